// Package frontend is the HTTP frontend of the platform's protocol. It parses a request's headers, dispatches the
// request and writes its one answer; package connlimit is placed before it and manages the connections.
//
// A Handler owns the table of classes that clients may name and the ids of open requests. net/http runs one goroutine a
// request; all methods may be called from any of them, except where they say otherwise.
package frontend

import (
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
	openIDs    sync.Map                   // ids of this process's open requests
	peerTable  *inflight.Table            // the same of peer processes with this name; nil: there are none
	classes    atomic.Pointer[classTable] // that clients may name
}

// classTable holds the router's classes by the names that clients may give.
type classTable struct {
	indexes    map[string]int
	idempotent []bool // by class: it may be repeated at will
}

// NewHandler returns a Handler for clients that may name the given classes.
func NewHandler(dispatcher *dispatch.Dispatcher, settings *config.Settings, classes config.Classes) *Handler {
	h := &Handler{dispatcher: dispatcher, settings: settings}
	h.SetClasses(classes)
	return h
}

// UsePeerTable shares the ids of open requests with peer processes of this name. It is called before the handler
// serves.
func (h *Handler) UsePeerTable(t *inflight.Table) { h.peerTable = t }

// SetClasses replaces the classes that clients may name, after a configuration change; open requests keep theirs.
func (h *Handler) SetClasses(classes config.Classes) {
	table := &classTable{indexes: classes.Names}
	for _, class := range classes.Config.Classes {
		table.idempotent = append(table.idempotent, class.Idempotency == routing.Idempotent)
	}
	h.classes.Store(table)
}

// Malformed is how many requests were malformed or had the id of an open request. They were answered without being sent
// to a replica.
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
		http.Error(w, malformed.Error(), malformed.status)
		return
	}
	h.serve(w, r, req)
}

// serve dispatches a request if no other open request has its id: what is sent or released for one would be for both.
func (h *Handler) serve(w http.ResponseWriter, r *http.Request, req dispatch.Request) {
	id := req.Call.ID
	if _, open := h.openIDs.LoadOrStore(id, true); open {
		h.rejectDuplicateID(w)
		return
	}
	defer h.openIDs.Delete(id)
	switch h.peerTable.Acquire(inflight.Request, id) {
	case inflight.Acquired:
		defer h.peerTable.Release(inflight.Request, id)
	case inflight.Unknown:
		if !h.classes.Load().idempotent[req.Class] { // it might run twice
			w.Header().Set("Retry-After", "1")
			http.Error(w, "another process may have this request", http.StatusServiceUnavailable)
			return
		}
	default:
		h.rejectDuplicateID(w)
		return
	}
	writeAnswer(w, h.dispatcher.Dispatch(r.Context(), req))
}

func (h *Handler) rejectDuplicateID(w http.ResponseWriter) {
	h.malformed.Add(1)
	http.Error(w, "X-Trace-Id belongs to an open request", http.StatusConflict)
}
