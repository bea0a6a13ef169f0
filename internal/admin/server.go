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
	// readTimeout and writeTimeout bound each half of a call: a caller waits 1 s for its answer, however busy the
	// process is. One that has not sent its line by then is closed, so that slow or stuck callers hold up nobody else.
	readTimeout  = time.Second
	writeTimeout = time.Second
	maxLineBytes = 256
	// maxOpenCalls is how many calls may be open at a time. One more is answered FAILURE at once instead of queueing
	// behind those that stall.
	maxOpenCalls = 64
	// The pause after a failed accept doubles from the first bound to the second.
	minAcceptBackoff = 5 * time.Millisecond
	maxAcceptBackoff = time.Second
	// maxNameBytes is how much of an unknown call's name is logged and echoed.
	maxNameBytes = 40
)

// Server answers the calls that it was given by name. Its methods are safe for use by several goroutines.
type Server struct {
	calls     map[string]Handler
	log       *slog.Logger
	openCalls atomic.Int64
	malformed atomic.Int64
	served    atomic.Int64

	mu        sync.Mutex
	listeners []net.Listener
	conns     map[net.Conn]struct{}
	closed    bool
}

// New returns a Server for the calls; each answered call is logged to log.
func New(calls map[string]Handler, log *slog.Logger) *Server {
	return &Server{calls: calls, log: log, conns: map[net.Conn]struct{}{}}
}

// Malformed returns how many connections sent no whole line, or one that names no known call.
func (s *Server) Malformed() int64 { return s.malformed.Load() }

// Served returns how many calls were answered by their handler.
func (s *Server) Served() int64 { return s.served.Load() }

// Serve answers calls on l until Close; each connection has a goroutine of its own. Its error is that of closing l,
// where the server was closed before.
func (s *Server) Serve(l net.Listener) error {
	if !s.register(l) {
		return l.Close()
	}
	var backoff time.Duration
	for {
		c, err := l.Accept()
		if err != nil {
			if s.isClosed() {
				return nil
			}
			// The process may be out of descriptors: back off and accept again, as net/http does. A failure of the
			// calls must not end the process.
			backoff = min(max(2*backoff, minAcceptBackoff), maxAcceptBackoff)
			s.log.Warn("admin_accept_failed", "err", err, "backoff", backoff)
			time.Sleep(backoff)
			continue
		}
		backoff = 0
		if s.openCalls.Add(1) > maxOpenCalls || !s.track(c) {
			s.rejectBusy(c)
			continue
		}
		go s.handle(c)
	}
}

// register adds a listener for Close; false if the server is closed already.
func (s *Server) register(l net.Listener) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.listeners = append(s.listeners, l)
	return true
}

// rejectBusy answers a connection over the limit, or one that came as the server closed.
func (s *Server) rejectBusy(c net.Conn) {
	s.openCalls.Add(-1)
	s.malformed.Add(1)
	c.SetWriteDeadline(time.Now().Add(writeTimeout))
	fmt.Fprintln(c, "FAILURE busy: too many open calls")
	c.Close()
}

func (s *Server) isClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}

// track adds a connection for Close; false if the server is closed already.
func (s *Server) track(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.conns[c] = struct{}{}
	return true
}

func (s *Server) untrack(c net.Conn) {
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
	c.Close()
	s.openCalls.Add(-1)
}

// Close closes the listeners and the connections of open calls. It may be called again.
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

// handle reads one call and writes its answer.
func (s *Server) handle(c net.Conn) {
	defer s.untrack(c)
	c.SetReadDeadline(time.Now().Add(readTimeout))
	name, err := readLine(bufio.NewReaderSize(c, maxLineBytes))
	answer, shouldReply := s.answer(name, err)
	if !shouldReply {
		return
	}
	c.SetWriteDeadline(time.Now().Add(writeTimeout))
	fmt.Fprintf(c, "%s %s\n", answer.Outcome, answer.Text)
	s.log.Info("admin_call", "call", truncateName(name), "outcome", answer.Outcome, "text", answer.Text)
}

// answer carries out the call that a line names; err is what reading the line returned. owed is false where the caller
// sent nothing and waits no longer.
func (s *Server) answer(name string, err error) (answer Answer, shouldReply bool) {
	call, known := s.calls[name]
	switch {
	case errors.Is(err, errLineTooLong):
		s.malformed.Add(1)
		return Fail("line too long"), true
	case errors.Is(err, errIncompleteLine):
		// A call without its newline may be cut anywhere, "drain-off" to "drain-o" as well as just before the newline:
		// nothing is done, and a caller that still reads gets a failure.
		s.malformed.Add(1)
		return Fail("cut call: no whole line within 1 s"), true
	case err != nil:
		s.malformed.Add(1)
		return Answer{}, false
	case !known:
		s.malformed.Add(1)
		return Fail(fmt.Sprintf("unknown call %q: there are %s", truncateName(name), s.names())), true
	}
	answer = call()
	s.served.Add(1)
	return answer, true
}

var (
	errLineTooLong = errors.New("line too long")
	// errIncompleteLine is a line that ended, or stopped, before its newline.
	errIncompleteLine = errors.New("cut call")
)

// readLine reads one whole line and returns it without white space around it.
func readLine(r *bufio.Reader) (string, error) {
	line, err := r.ReadSlice('\n')
	switch {
	case errors.Is(err, bufio.ErrBufferFull):
		return "", errLineTooLong
	case err != nil && len(line) > 0:
		return "", errIncompleteLine
	case err != nil:
		return "", fmt.Errorf("ops: read: %w", err)
	}
	return strings.TrimSpace(string(line)), nil
}

// names lists the known calls.
func (s *Server) names() string {
	var names []string
	for name := range s.calls {
		names = append(names, name)
	}
	slices.Sort(names)
	return strings.Join(names, ", ")
}

func truncateName(name string) string {
	if len(name) > maxNameBytes {
		return name[:maxNameBytes]
	}
	return name
}
