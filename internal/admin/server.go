// Package admin is the operators' line protocol on a second address: each connection carries one line, the
// name of a call, and gets one line back, starting with SUCCESS or FAILURE, before it is closed.
package admin

import (
	"bufio"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// A caller waits 1 s for its answer, however busy the program is; one that has not sent its line by then
	// is not waited for, so that slow or stuck callers hold no one else up.
	lineWait  = time.Second
	writeWait = time.Second
	maxLine   = 256
	// Open calls at a time. One more is answered FAILURE at once rather than queued behind those that stall.
	mostOpen = 64
)

// Handler carries out one operator's call. It must not block: it reads and sets the program's atomics, never
// waits for the core. ok picks the first word of the answer; the text follows it.
type Handler func() (ok bool, text string)

// Server answers the calls it was given by name.
type Server struct {
	calls  map[string]Handler
	log    *slog.Logger
	open   atomic.Int64
	bad    atomic.Int64
	served atomic.Int64

	mu        sync.Mutex
	listeners []net.Listener
	conns     map[net.Conn]struct{}
	closed    bool
}

// New returns a Server for the calls; log takes a line for each call.
func New(calls map[string]Handler, log *slog.Logger) *Server {
	return &Server{calls: calls, log: log, conns: map[net.Conn]struct{}{}}
}

// Bad is how many connections sent no whole line, or one with no known call.
func (s *Server) Bad() int64 { return s.bad.Load() }

// Served is how many calls were answered.
func (s *Server) Served() int64 { return s.served.Load() }

// Serve answers calls on l until Close; each connection has a goroutine of its own.
func (s *Server) Serve(l net.Listener) error {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return l.Close()
	}
	s.listeners = append(s.listeners, l)
	s.mu.Unlock()
	var delay time.Duration
	for {
		c, err := l.Accept()
		if err != nil {
			if s.isClosed() {
				return nil
			}
			// Out of descriptors, say: wait and try again, as net/http does. The calls are not worth the
			// program's life.
			delay = min(max(2*delay, 5*time.Millisecond), time.Second)
			s.log.Warn("ops_accept_failed", "err", err, "pause", delay)
			time.Sleep(delay)
			continue
		}
		delay = 0
		if s.open.Add(1) > mostOpen || !s.track(c) {
			s.open.Add(-1)
			s.bad.Add(1)
			c.SetWriteDeadline(time.Now().Add(writeWait))
			fmt.Fprintln(c, "FAILURE busy: too many open calls")
			c.Close()
			continue
		}
		go s.answer(c)
	}
}

func (s *Server) isClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}

func (s *Server) track(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.conns[c] = struct{}{}
	return true
}

// Close stops the listeners and ends open calls.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	s.closed = true
	for _, l := range s.listeners {
		l.Close()
	}
	for c := range s.conns {
		c.Close()
	}
}

func (s *Server) answer(c net.Conn) {
	defer func() {
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
		c.Close()
		s.open.Add(-1)
	}()
	c.SetReadDeadline(time.Now().Add(lineWait))
	name, err := readLine(bufio.NewReaderSize(c, maxLine))
	var ok bool
	var text string
	switch call, known := s.calls[name]; {
	case errors.Is(err, errLong):
		s.bad.Add(1)
		ok, text = false, "line too long"
	case errors.Is(err, errCut):
		// A call without its line's end may be cut anywhere, "drain-off" to "drain-o" as well as before its end:
		// nothing is done, and whoever still reads is told.
		s.bad.Add(1)
		ok, text = false, "cut call: no whole line within 1 s"
	case err != nil:
		s.bad.Add(1)
		return // nobody said anything, and nobody waits any more
	case !known:
		s.bad.Add(1)
		ok, text = false, fmt.Sprintf("unknown call %q: there are %s", clip(name), s.names())
	default:
		ok, text = call()
		s.served.Add(1)
	}
	word := "FAILURE"
	if ok {
		word = "SUCCESS"
	}
	c.SetWriteDeadline(time.Now().Add(writeWait))
	fmt.Fprintf(c, "%s %s\n", word, text)
	s.log.Info("ops_call", "call", clip(name), "answer", word, "text", text)
}

var errLong = errors.New("line too long")

// readLine reads one whole line, without its end.
func readLine(r *bufio.Reader) (string, error) {
	line, err := r.ReadSlice('\n')
	switch {
	case errors.Is(err, bufio.ErrBufferFull):
		return "", errLong
	case err != nil && len(line) > 0:
		return "", errCut
	case err != nil:
		return "", fmt.Errorf("ops: read: %w", err)
	}
	return strings.TrimSpace(string(line)), nil
}

// errCut is a line that ended, or stopped, before its end.
var errCut = errors.New("cut call")

func (s *Server) names() string {
	var names []string
	for name := range s.calls {
		names = append(names, name)
	}
	slices.Sort(names)
	return strings.Join(names, ", ")
}

func clip(s string) string {
	if len(s) > 40 {
		return s[:40]
	}
	return s
}
