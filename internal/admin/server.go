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
	// readTimeout and writeTimeout bound the two halves of a call. A caller waits 1 s for its answer, however busy the
	// process is. A connection whose line has not arrived by then is closed, so that slow or stuck callers do not delay
	// others.
	readTimeout  = time.Second
	writeTimeout = time.Second
	maxLineBytes = 256
	// maxOpenCalls bounds the calls that are open at a time. A further call gets FAILURE at once instead of queueing
	// behind stalled calls.
	maxOpenCalls = 64
	// The pause after a failed accept starts at minAcceptBackoff and doubles up to maxAcceptBackoff.
	minAcceptBackoff = 5 * time.Millisecond
	maxAcceptBackoff = time.Second
	// maxNameBytes is the length to which a call's name is truncated in the log and in answers.
	maxNameBytes = 40
)

// Server answers calls with the handlers that it was given. Its methods are safe for concurrent use.
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

// New returns a Server for the calls, whose handlers are given by name. Each answered call is logged to log.
func New(calls map[string]Handler, log *slog.Logger) *Server {
	return &Server{calls: calls, log: log, conns: map[net.Conn]struct{}{}}
}

// Malformed returns the number of connections that sent no complete line, that sent the name of an unknown call, or
// that were rejected because too many calls were open or the server was closing.
func (s *Server) Malformed() int64 { return s.malformed.Load() }

// Served returns the number of calls that a handler answered.
func (s *Server) Served() int64 { return s.served.Load() }

// Serve answers calls on l until Close is called; each connection has its own goroutine. If the server is already
// closed, Serve closes l and returns the error of closing it.
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
			// The process may be out of file descriptors. Wait and accept again, as net/http does: a failure of the
			// operators' calls must not end the process.
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

// register adds a listener to those that Close closes. It returns false if the server is already closed.
func (s *Server) register(l net.Listener) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.listeners = append(s.listeners, l)
	return true
}

// rejectBusy rejects a connection that exceeds maxOpenCalls or was accepted while the server closed.
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

// track adds a connection to those that Close closes. It returns false if the server is already closed.
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

// Close closes the listeners and the connections of open calls. It may be called more than once.
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

// handle reads one call from a connection and writes the answer.
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

// answer carries out the call that a line names; err is the error from reading the line. shouldReply is false if
// nothing was read from the caller.
func (s *Server) answer(name string, err error) (answer Answer, shouldReply bool) {
	call, known := s.calls[name]
	switch {
	case errors.Is(err, errLineTooLong):
		s.malformed.Add(1)
		return Fail("line too long"), true
	case errors.Is(err, errIncompleteLine):
		// A call without its newline may have been truncated anywhere: "drain-off" to "drain-o", or just before the
		// newline. It is not carried out, and a caller that still reads gets a failure.
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
	// errIncompleteLine reports a line that ended, or did not continue in time, before its newline.
	errIncompleteLine = errors.New("incomplete line")
)

// readLine reads one complete line and returns it without surrounding white space.
func readLine(r *bufio.Reader) (string, error) {
	line, err := r.ReadSlice('\n')
	switch {
	case errors.Is(err, bufio.ErrBufferFull):
		return "", errLineTooLong
	case err != nil && len(line) > 0:
		return "", errIncompleteLine
	case err != nil:
		return "", fmt.Errorf("read call: %w", err)
	}
	return strings.TrimSpace(string(line)), nil
}

// names returns the names of the known calls, sorted and separated by commas.
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
