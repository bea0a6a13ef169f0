// Package frontend is the platform's front: it reads a request's headers, hands
// it to the core and writes the one answer.
package frontend

import (
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"rampspread/internal/config"
	"rampspread/internal/connlimit"
	"rampspread/internal/dispatch"
	"rampspread/internal/state/inflight"
	"rampspread/routing"
)

const (
	// A client that takes nothing for so long has stalled; it holds a replica's stream.
	writeWait = 10 * time.Second
	// The answer leaves this long before the client gives up, so that it is there in time.
	margin  = 25 * time.Millisecond
	maxWait = time.Hour
)

// Handler answers the platform's clients.
type Handler struct {
	core     *dispatch.Dispatcher
	settings *config.Settings
	bad      atomic.Int64
	open     sync.Map                // ids of open requests
	beside   *inflight.Table         // the same at other processes of this name; nil: there are none
	classes  atomic.Pointer[classes] // what a client may name
}

// classes are the module's classes for the names that clients may give, and of each class whether it may be repeated at will.
type classes struct {
	names map[string]int
	safe  []bool
}

// New returns a Front on the core, for clients that may name these classes.
func New(c *dispatch.Dispatcher, settings *config.Settings, now config.Classes) *Handler {
	f := &Handler{core: c, settings: settings}
	f.SetClasses(now)
	return f
}

// UsePeerTable shares the ids of open requests with other processes of this name; before the front serves.
func (f *Handler) UsePeerTable(t *inflight.Table) { f.beside = t }

// SetClasses changes the classes that clients may name, after a retune; open requests keep theirs.
func (f *Handler) SetClasses(now config.Classes) {
	c := &classes{names: now.Names}
	for _, class := range now.Config.Classes {
		c.safe = append(c.safe, class.Idempotency == routing.Idempotent)
	}
	f.classes.Store(c)
}

// Malformed is how many requests made no sense and were answered without being sent anywhere.
func (f *Handler) Malformed() int64 { return f.bad.Load() }

// ServeHTTP implements http.Handler.
func (f *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet && r.URL.Path == "/healthz" {
		w.WriteHeader(http.StatusOK)
		return
	}
	req, status, err := f.read(w, r, connlimit.ArrivedAt(r, time.Now()))
	if err != nil {
		f.bad.Add(1)
		http.Error(w, err.Error(), status)
		return
	}
	// Another client's open request may have this id: what is sent or released for one would be for both.
	if _, taken := f.open.LoadOrStore(req.Call.ID, true); taken {
		f.bad.Add(1)
		http.Error(w, "X-Trace-Id belongs to an open request", http.StatusConflict)
		return
	}
	defer f.open.Delete(req.Call.ID)
	v := f.beside.Acquire(inflight.Request, req.Call.ID)
	switch {
	case v == inflight.Acquired:
		defer f.beside.Release(inflight.Request, req.Call.ID)
	case v != inflight.Unknown:
		f.bad.Add(1)
		http.Error(w, "X-Trace-Id belongs to an open request", http.StatusConflict)
		return
	case !f.classes.Load().safe[req.Class]: // it might run twice
		w.Header().Set("Retry-After", "1")
		http.Error(w, "another process may have this request", http.StatusServiceUnavailable)
		return
	}
	a := f.core.Dispatch(r.Context(), req)
	switch a.Kind {
	case dispatch.Served:
		CopyStream(w, a.Stream, writeWait)
	case dispatch.Rejected:
		w.Header().Set("Retry-After", strconv.FormatFloat(a.RetryAfter.Seconds(), 'f', 3, 64))
		http.Error(w, "refused: come back later", http.StatusTooManyRequests)
	default:
		http.Error(w, "failed", http.StatusBadGateway)
	}
}

// CopyStream passes a stream on, event by event. A stream that breaks ends the connection without a last
// chunk, so that nobody takes it for whole.
func CopyStream(w http.ResponseWriter, s dispatch.Stream, wait time.Duration) {
	defer s.Close()
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
	rc := http.NewResponseController(w)
	buf := make([]byte, 4<<10)
	for {
		n, err := s.Read(buf)
		if n > 0 {
			rc.SetWriteDeadline(time.Now().Add(wait))
			if _, werr := w.Write(buf[:n]); werr != nil {
				panic(http.ErrAbortHandler)
			}
			if rc.Flush() != nil {
				panic(http.ErrAbortHandler)
			}
		}
		if err == io.EOF {
			rc.SetWriteDeadline(time.Time{})
			return
		}
		if err != nil {
			panic(http.ErrAbortHandler)
		}
	}
}

// read checks a request; the status goes with the error.
func (f *Handler) read(w http.ResponseWriter, r *http.Request, at time.Time) (dispatch.Request, int, error) {
	fail := func(status int, format string, args ...any) (dispatch.Request, int, error) {
		return dispatch.Request{}, status, fmt.Errorf(format, args...)
	}
	if r.Method != http.MethodPost || r.URL.Path != "/v1/chat/completions" {
		return fail(http.StatusNotFound, "no such resource")
	}
	h := r.Header
	id := h.Get("X-Trace-Id")
	if !validID(id) {
		return fail(http.StatusBadRequest, "X-Trace-Id missing or malformed")
	}
	req := dispatch.Request{Class: -1, Session: HashKey(h.Get("X-Object"))}
	if class, ok := f.classes.Load().names[h.Get("X-Qos")]; ok {
		req.Class = class
	}
	if req.Class < 0 {
		return fail(http.StatusBadRequest, "X-Qos missing or unknown")
	}
	for i, p := range f.settings.Parties {
		if p.Name == h.Get("X-Customer") {
			req.Tenant = i
		}
	}
	wait, err := ParseExpiry(h.Get("X-Expires-In"))
	if err != nil {
		return fail(http.StatusBadRequest, "X-Expires-In: %v", err)
	}
	req.Deadline = at.Add(wait - min(margin, wait/4))
	if err := props(&req, h.Get("X-Props")); err != nil {
		return fail(http.StatusBadRequest, "X-Props: %v", err)
	}
	body, status, err := connlimit.ReadBody(w, r)
	if err != nil {
		return fail(status, "body: %v", err)
	}
	req.ClientGone = connlimit.ClientGoneFunc(r)
	req.Call = dispatch.Call{ID: id, Method: r.Method, Target: r.URL.RequestURI(), ContentType: h.Get("Content-Type"), Body: body}
	return req, 0, nil
}

// validID tells whether an id is one that may stand in a path and a header.
func validID(id string) bool {
	if id == "" || len(id) > 64 {
		return false
	}
	for _, c := range []byte(id) {
		if !(c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c == '-' || c == '_') {
			return false
		}
	}
	return true
}

// HashKey is a text's number, the same at every dispatcher; none for no text.
func HashKey(text string) routing.Key {
	if text == "" {
		return 0
	}
	h := fnv.New64a()
	io.WriteString(h, text)
	return routing.Key(max(h.Sum64(), 1))
}

// ParseExpiry reads a time such as 4800m (milliseconds) or 4800000u (microseconds).
func ParseExpiry(text string) (time.Duration, error) {
	if text == "" {
		return 0, errors.New("missing")
	}
	unit := time.Millisecond
	switch text[len(text)-1] {
	case 'm':
	case 'u':
		unit = time.Microsecond
	default:
		return 0, fmt.Errorf("unknown unit in %q", text)
	}
	n, err := strconv.ParseFloat(text[:len(text)-1], 64)
	if err != nil || !(n > 0) || n*float64(unit) > float64(maxWait) {
		return 0, fmt.Errorf("%q is out of range", text)
	}
	return time.Duration(n * float64(unit)), nil
}

// props reads the list of a prompt's properties. Unknown ones are skipped.
func props(req *dispatch.Request, text string) error {
	for item := range strings.SplitSeq(text, ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(item), "=")
		if !ok || value == "" {
			return fmt.Errorf("%q is no property", item)
		}
		var to *int
		switch name {
		case "prefix":
			req.SharedPrefix = HashKey(value)
			continue
		case "prompt_len":
			to = &req.PromptTokens
		case "prefix_len":
			to = &req.SharedPrefixTokens
		case "max_out":
			to = &req.MaxOutputTokens
		default:
			continue
		}
		n, err := strconv.ParseFloat(value, 64)
		if err != nil || !(n >= 0 && n <= 1e9) || n != math.Trunc(n) {
			return fmt.Errorf("%s is out of range", item)
		}
		*to = int(n)
	}
	if req.PromptTokens == 0 {
		return errors.New("no prompt_len")
	}
	return nil
}
