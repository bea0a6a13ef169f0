package clients

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	"golang.org/x/sync/semaphore"
)

// Guard stands before a front's handler on its http.Server. It counts heads that net/http turned away by
// itself, bounds the bodies that are in memory at a time, and ends connections while the program drains.
type Guard struct {
	next     http.Handler
	bodies   *semaphore.Weighted
	draining *atomic.Bool
	conns    sync.Map // net.Conn to *heads
	badHeads atomic.Int64
	shed     atomic.Int64
}

// heads counts what came on a connection: requests begun, and those that reached the handler.
type heads struct{ begun, handled atomic.Int64 }

type headsKey struct{}

// NewGuard guards next. The fronts of a program share bodies, in bytes, and draining.
func NewGuard(next http.Handler, bodies *semaphore.Weighted, draining *atomic.Bool) *Guard {
	return &Guard{next: next, bodies: bodies, draining: draining}
}

// Attach sets the server's handler and its hooks.
func (g *Guard) Attach(s *http.Server) {
	s.Handler = g
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		h := &heads{}
		g.conns.Store(c, h)
		return context.WithValue(ctx, headsKey{}, h)
	}
	s.ConnState = func(c net.Conn, state http.ConnState) {
		v, ok := g.conns.Load(c)
		if !ok {
			return
		}
		h := v.(*heads)
		switch state {
		case http.StateActive:
			h.begun.Add(1)
		case http.StateClosed, http.StateHijacked:
			g.conns.Delete(c)
			if h.begun.Load() > h.handled.Load() {
				g.badHeads.Add(1)
			}
		}
	}
}

// BadHeads is how many heads were cut short or malformed.
func (g *Guard) BadHeads() int64 { return g.badHeads.Load() }

// Shed is how many requests were refused since too many bodies were in memory.
func (g *Guard) Shed() int64 { return g.shed.Load() }

// ServeHTTP implements http.Handler.
func (g *Guard) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if h, ok := r.Context().Value(headsKey{}).(*heads); ok {
		h.handled.Add(1)
	}
	if g.draining.Load() {
		w.Header().Set("Connection", "close") // the last answer on its connection
	}
	weight := r.ContentLength
	if weight < 0 || weight > maxBody {
		weight = maxBody
	}
	if !g.bodies.TryAcquire(weight) {
		g.shed.Add(1)
		w.Header().Set("Retry-After", "1")
		http.Error(w, "refused: too much in hand", http.StatusServiceUnavailable)
		return
	}
	defer g.bodies.Release(weight)
	g.next.ServeHTTP(w, r)
}
