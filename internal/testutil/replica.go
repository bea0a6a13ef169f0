package testutil

import (
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
)

// releasePath is the start of the path of a DELETE request by which a dispatcher releases the state of a prefill; the
// request's ID follows.
const releasePath = "/bootstrap/rooms/"

// Replica is a fake replica on a loopback socket. It answers calls according to its script, which may be replaced at
// any time, accepts each release, and records both. A call counts once its whole body has arrived.
type Replica struct {
	Addr string // host and port

	mu        sync.Mutex
	script    Script
	callsByID map[string]int // number of calls by request ID
	total     int            // number of all calls
	releases  map[string]int // number of releases by request ID
	headers   []http.Header
	bodies    []string
}

// NewReplica starts a replica that follows the script. It is closed when the test ends.
func NewReplica(t testing.TB, script Script) *Replica {
	t.Helper()
	r := &Replica{script: script, callsByID: map[string]int{}, releases: map[string]int{}}
	s := httptest.NewServer(r)
	t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
	r.Addr = s.Listener.Addr().String()
	return r
}

// ServeHTTP implements http.Handler.
func (r *Replica) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if id, ok := strings.CutPrefix(req.URL.Path, releasePath); ok && req.Method == http.MethodDelete {
		r.recordRelease(id)
		w.WriteHeader(http.StatusNoContent)
		return
	}
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return // a call whose body is incomplete is not executed
	}
	script, n := r.recordCall(req, string(body))
	script(w, req, n)
}

func (r *Replica) recordRelease(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.releases[id]++
}

// recordCall records a call, and returns its number, counted from 0, and the script to follow.
func (r *Replica) recordCall(req *http.Request, body string) (script Script, n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	n = r.total
	r.total++
	r.callsByID[req.Header.Get("X-Trace-Id")]++
	r.headers = append(r.headers, req.Header.Clone())
	r.bodies = append(r.bodies, body)
	return r.script, n
}

// SetScript replaces the script for calls that arrive from now on.
func (r *Replica) SetScript(script Script) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.script = script
}

// Calls returns the number of calls, and the largest number of calls with the same request ID.
func (r *Replica) Calls() (total, maxPerID int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, n := range r.callsByID {
		maxPerID = max(maxPerID, n)
	}
	return r.total, maxPerID
}

// Releases returns the number of releases of a request ID.
func (r *Replica) Releases(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.releases[id]
}

// Bodies returns the bodies of all calls in the order of their arrival.
func (r *Replica) Bodies() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.bodies)
}

// Header returns the header of the call with the number n, counted from 0. It panics if there was none.
func (r *Replica) Header(n int) http.Header {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.headers[n]
}
