package connlimit

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/semaphore"

	"rampspread/internal/precondition"
	"rampspread/internal/system"
	"rampspread/internal/testkit"
)

// pair is both ends of a connection.
func pair(t *testing.T) (server *clientConn, client *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	s, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	h := newClientConn(s, NewLimiter(nil, nil, new(Lifecycle), nil))
	t.Cleanup(func() { c.Close(); s.Close() })
	return h, c.(*net.TCPConn)
}

// closeResting closes a connection as a guard does, at the process's end or before, and tells whether it did.
func closeResting(h *clientConn, ends bool) bool {
	cause := precondition.ForDrain
	if ends {
		cause = precondition.AtShutdown
	}
	return h.closeIfAllowed(precondition.CloseConnection{Cause: cause}) == precondition.Allowed
}

// A resting connection is closed only while nothing has come on it: bytes that were read and are no whole request yet keep it, and so do
// bytes that wait in the socket, unless the process ends; what comes after the close is not read.
func TestCloseCrossesNoRequest(t *testing.T) {
	come := func(t *testing.T, h *clientConn, c net.Conn) {
		io.WriteString(c, "POST")
		testkit.Eventually(t, "the bytes", func() bool { bytes, _ := h.pollSocket(); return bytes })
	}
	for over, want := range map[bool]string{false: "POST", true: ""} {
		t.Run(fmt.Sprintf("bytes wait in the socket, over them %t", over), func(t *testing.T) {
			h, c := pair(t)
			come(t, h, c)
			h.awaitingBytes = true // a Read has begun, and has not come to its system call
			if closeResting(h, over) != over {
				t.Fatalf("closed over unread bytes %t", !over)
			}
			if n, err := h.Read(make([]byte, 8)); n != len(want) || (err == nil) == over {
				t.Fatalf("read %d bytes, %v", n, err)
			}
		})
	}
	t.Run("half a request is read", func(t *testing.T) {
		h, c := pair(t)
		come(t, h, c)
		h.Read(make([]byte, 8))
		h.awaitingBytes = true // for the rest
		if closeResting(h, true) {
			t.Fatal("closed over half a request")
		}
		h.requestComplete()
		if !closeResting(h, false) {
			t.Fatal("not closed at rest")
		}
	})
	t.Run("net/http holds a request that was sent ahead", func(t *testing.T) {
		h, c := pair(t)
		come(t, h, c)
		h.Read(make([]byte, 8))
		h.requestComplete()
		if closeResting(h, true) {
			t.Fatal("closed while nobody waits for bytes")
		}
	})
	t.Run("a read is out", func(t *testing.T) {
		h, c := pair(t)
		read := make(chan error)
		go func() { _, err := h.Read(make([]byte, 8)); read <- err }()
		testkit.Eventually(t, "the close", func() bool { return closeResting(h, false) })
		io.WriteString(c, "POST")
		if err := <-read; err == nil {
			t.Fatal("read after the close")
		}
	})
	t.Run("the process ends", func(t *testing.T) {
		h, c := pair(t)
		come(t, h, c)
		h.limiter.lifecycle.Closing.Store(true)
		h.endRequest()
		if n, err := h.Read(make([]byte, 8)); n != 0 || err == nil {
			t.Fatalf("read %d bytes, %v", n, err)
		}
	})
	t.Run("the client has gone", func(t *testing.T) {
		h, c := pair(t)
		come(t, h, c)
		c.Close()
		testkit.Eventually(t, "the client's close", func() bool { _, over := h.pollSocket(); return over })
		h.awaitingBytes = true
		if !closeResting(h, false) {
			t.Fatal("kept for a client that has gone")
		}
	})
}

// serving is a guarded server; its handler reads the body and answers.
func serving(t *testing.T, state *Lifecycle, next http.HandlerFunc) (*Limiter, string) {
	t.Helper()
	g := NewLimiter(next, semaphore.NewWeighted(1<<20), state, nil)
	s := httptest.NewUnstartedServer(nil)
	g.Attach(s.Config)
	s.Listener = g.Listen(s.Listener, 64, system.Real())
	s.Start()
	t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
	return g, s.Listener.Addr().String()
}

const asks = "POST / HTTP/1.1\r\nHost: b\r\nContent-Length: 1\r\n\r\n1"

// A request that comes as its resting connection is closed is answered, or it was not taken at all: over many crossings, each one that
// reached the handler has its answer.
func TestClosedAsARequestComes(t *testing.T) {
	const crossings = 300
	var taken, answered atomic.Int64
	g, addr := serving(t, new(Lifecycle), func(w http.ResponseWriter, r *http.Request) {
		if _, _, err := ReadBody(w, r); err == nil {
			taken.Add(1)
		}
	})
	lost := 0
	for range crossings {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		r := bufio.NewReader(c)
		ask := func() bool {
			io.WriteString(c, asks)
			resp, err := http.ReadResponse(r, nil)
			if err != nil {
				return false
			}
			resp.Body.Close()
			answered.Add(1)
			return true
		}
		if !ask() {
			t.Fatal("the first request was not answered")
		}
		var both sync.WaitGroup
		both.Go(func() { g.CloseIdle(time.Hour) })
		if !ask() {
			lost++
		}
		both.Wait()
		c.Close()
	}
	testkit.Eventually(t, "no open connection", func() bool { return g.ConnectionCount() == 0 })
	if taken.Load() != answered.Load() {
		t.Errorf("%d taken, %d answered, %d not taken", taken.Load(), answered.Load(), lost)
	}
}

// The last answer on a connection reaches a client that has sent more, which nobody reads: a plain close over it would reset the connection.
func TestLastAnswerArrives(t *testing.T) {
	var state Lifecycle
	state.Stopping.Store(true)
	g, addr := serving(t, &state, func(w http.ResponseWriter, r *http.Request) {
		ReadBody(w, r)
		io.WriteString(w, "the answer")
	})
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	io.WriteString(c, asks+strings.Repeat(asks, 1000))
	got, err := io.ReadAll(c)
	if text := string(got); err != nil || strings.Count(text, "the answer") != 1 || strings.Count(text, "HTTP/1.1 ") != 1 {
		t.Errorf("%q, %v", text, err)
	}
	testkit.Eventually(t, "no open connection", func() bool { return g.ConnectionCount() == 0 })
}

// The count of connections that wait for their last answer comes back to none, also if many ask for more than there may be in the same moment as
// others end: the drain waits for it.
func TestLingeringIsCountedOnce(t *testing.T) {
	g := NewLimiter(nil, nil, new(Lifecycle), nil)
	g.maxLingering.Store(2)
	var all sync.WaitGroup
	for range 16 {
		all.Go(func() {
			for range 50000 {
				if g.beginLingering() {
					g.endLingering()
				}
			}
		})
	}
	all.Wait()
	if n := g.ConnectionCount(); n != 0 {
		t.Errorf("%d are counted at the end", n)
	}
}

// A client has gone once it closes its connection, also if it has sent ahead, half or whole requests, before that, closes its sending side
// alone, or resets; its request's context ends. net/http itself looks no further than the first byte sent ahead.
func TestClientThatSentAheadHasGone(t *testing.T) {
	ways := map[string]func(c *net.TCPConn){
		"closes": func(c *net.TCPConn) { c.Close() },
		"half":   func(c *net.TCPConn) { c.CloseWrite() },
		"resets": func(c *net.TCPConn) { c.SetLinger(0); c.Close() },
	}
	for name, ahead := range map[string]string{"nothing": "", "a byte": "P", "half a request": asks[:30], "many": strings.Repeat(asks, 100)} {
		for way, leave := range ways {
			t.Run(name+" ahead, "+way, func(t *testing.T) {
				in, out := make(chan bool), make(chan error, 1)
				var calls atomic.Int64
				_, addr := serving(t, new(Lifecycle), func(w http.ResponseWriter, r *http.Request) {
					if _, _, err := ReadBody(w, r); err != nil || calls.Add(1) > 1 {
						return
					}
					in <- true
					select {
					case <-r.Context().Done():
						out <- r.Context().Err()
					case <-time.After(10 * time.Second):
						out <- errors.New("never told")
					}
				})
				c, err := net.Dial("tcp", addr)
				if err != nil {
					t.Fatal(err)
				}
				defer c.Close()
				io.WriteString(c, asks+ahead)
				<-in
				leave(c.(*net.TCPConn))
				if err := <-out; !errors.Is(err, context.Canceled) {
					t.Error(err)
				}
			})
		}
	}
}

// A drain cuts the wait for the rest of a body, and nothing else: a body that has come whole is being answered.
func TestCutBody(t *testing.T) {
	for _, waits := range []bool{true, false} {
		h, client := pair(t)
		h.mu.Lock()
		h.partialRequest, h.awaitingBytes = true, waits
		h.mu.Unlock()
		h.abortBodyRead()
		io.WriteString(client, "x")
		_, err := h.Conn.Read(make([]byte, 1))
		if cut := errors.Is(err, os.ErrDeadlineExceeded); cut != waits {
			t.Errorf("waits %t: %v", waits, err)
		}
	}
}
