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

// Opened returns how many connections were opened in total.
func (s *ConnectionStats) Opened() int64 { return s.opened.Load() }

// MaxOpen returns the largest number of connections that were open at the same time.
func (s *ConnectionStats) MaxOpen() int64 { return s.maxOpen.Load() }

// OpenTimes returns the times at which connections were opened.
func (s *ConnectionStats) OpenTimes() []time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.openedAt)
}

// trackConnState updates the counts. It is the ConnState hook of the replica's HTTP servers.
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
