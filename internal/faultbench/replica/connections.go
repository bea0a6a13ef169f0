package replica

import (
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// ConnectionStats counts the connections that dispatchers open to one replica.
type ConnectionStats struct {
	opened, open, maxOpen atomic.Int64

	mu       sync.Mutex
	openedAt []time.Time
}

// Opened is how many connections were opened in all.
func (s *ConnectionStats) Opened() int64 { return s.opened.Load() }

// MaxOpen is the largest number of connections that were open at once.
func (s *ConnectionStats) MaxOpen() int64 { return s.maxOpen.Load() }

// OpenTimes are the times at which connections were opened.
func (s *ConnectionStats) OpenTimes() []time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.openedAt)
}

// trackConnState is the server's ConnState hook.
func (s *ConnectionStats) trackConnState(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		s.opened.Add(1)
		s.mu.Lock()
		s.openedAt = append(s.openedAt, time.Now())
		s.mu.Unlock()
		for n := s.open.Add(1); ; {
			if m := s.maxOpen.Load(); n <= m || s.maxOpen.CompareAndSwap(m, n) {
				return
			}
		}
	case http.StateClosed, http.StateHijacked:
		s.open.Add(-1)
	}
}
