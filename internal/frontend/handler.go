// Package frontend is the HTTP frontend for the platform's protocol. It parses a request's headers, dispatches the
// request and writes its final answer. Package connlimit wraps the frontend and manages the client connections.
//
// A Handler owns the table of classes that clients may name and the table of ids in use. net/http runs one
// goroutine per request; methods may be called from any goroutine unless their comments say otherwise.
package frontend

import (
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"rampspread/internal/config"
	"rampspread/internal/connlimit"
	"rampspread/internal/dispatch"
	"rampspread/internal/state/inflight"
	"rampspread/routing"
)

// Handler answers the platform's clients.
type Handler struct {
	dispatcher *dispatch.Dispatcher
	settings   *config.Settings
	malformed  atomic.Int64
	ids        idTable                    // ids that are in use or must not be used again
	peerTable  *inflight.Table            // ids of open requests of this process and its peers, or nil without peers
	classes    atomic.Pointer[classTable] // classes that clients may name
}

// classTable maps the class names that clients may give to the router's classes.
type classTable struct {
	indexes    map[string]int // index of the class in the router's configuration, by name
	idempotent []bool         // by class index; requests of an idempotent class may run more than once
}

// NewHandler returns a Handler for clients that may name the given classes.
func NewHandler(dispatcher *dispatch.Dispatcher, settings *config.Settings, classes config.Classes) *Handler {
	h := &Handler{dispatcher: dispatcher, settings: settings, ids: newIDTable(maxExecutedIDs)}
	h.SetClasses(classes)
	return h
}

// UsePeerTable makes the handler share the ids of open requests with its peer processes, which are the other processes
// on this machine with the same dispatcher name. It must be called before the handler serves requests.
func (h *Handler) UsePeerTable(t *inflight.Table) { h.peerTable = t }

// SetClasses replaces the classes that clients may name, after a configuration change. Open requests keep their class.
func (h *Handler) SetClasses(classes config.Classes) {
	table := &classTable{indexes: classes.IndexByName}
	for _, class := range classes.Config.Classes {
		table.idempotent = append(table.idempotent, class.Idempotency == routing.Idempotent)
	}
	h.classes.Store(table)
}

// Malformed returns the number of requests that were malformed, had the id of another open request, or had a body that
// connlimit.ReadBody did not accept. They were answered without being sent to a replica.
func (h *Handler) Malformed() int64 { return h.malformed.Load() }

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet && r.URL.Path == "/healthz" {
		w.WriteHeader(http.StatusOK)
		return
	}
	req, malformed := h.parse(w, r, connlimit.ArrivedAt(r, time.Now()))
	if malformed != nil {
		h.malformed.Add(1)
		slog.Info("request_malformed", "status", malformed.status, "err", malformed, "remote", r.RemoteAddr)
		http.Error(w, malformed.Error(), malformed.status)
		return
	}
	h.serveCompletion(w, r, req)
}

// serveCompletion dispatches a request unless its id is in use. Two requests with one id could not be told apart: what is
// sent or released for one would also apply to the other. An id is in use until nothing of its request can run or be
// sent any more, which may be after its client has left.
func (h *Handler) serveCompletion(w http.ResponseWriter, r *http.Request, req dispatch.Request) {
	id := requestID{handler: h, name: req.Call.ID, runsOnce: !h.classes.Load().idempotent[req.Class]}
	switch id.claim() {
	case inflight.Acquired:
	case inflight.Unknown: // the request might run twice
		w.Header().Set("Retry-After", "1")
		http.Error(w, "another process may have this request", http.StatusServiceUnavailable)
		return
	default:
		h.malformed.Add(1)
		slog.Info("duplicate_id", "id", id.name)
		http.Error(w, "X-Trace-Id belongs to an open request", http.StatusConflict)
		return
	}
	var released sync.Once
	release := func(mayHaveRun bool) { released.Do(func() { id.release(mayHaveRun) }) }
	req.Done = release
	answer := h.dispatcher.Dispatch(r.Context(), req)
	if answer.Kind == dispatch.Served {
		connlimit.ReleaseBody(r) // a stream that has begun is not retried
		defer release(true)      // its end is known here, before the client sees it
	}
	writeAnswer(w, answer)
}
