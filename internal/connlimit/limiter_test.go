package connlimit_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/semaphore"

	"rampspread/internal/connlimit"
	"rampspread/internal/hostos"
	"rampspread/internal/testutil"
)

const maxConns = 4

// newLimitedServer starts a server with a capacity of maxConns behind a Limiter.
func newLimitedServer(
	t *testing.T, bodyMemory int64, lifecycle *connlimit.Lifecycle, next http.HandlerFunc,
) (*connlimit.Limiter, *httptest.Server) {
	t.Helper()
	return newObservedServer(t, bodyMemory, lifecycle, next, func(http.ConnState) {})
}

// newObservedServer is newLimitedServer with a function that is called with each new state of a connection, after the
// Limiter has learned it.
func newObservedServer(
	t *testing.T, bodyMemory int64, lifecycle *connlimit.Lifecycle, next http.HandlerFunc, observe func(http.ConnState),
) (*connlimit.Limiter, *httptest.Server) {
	t.Helper()
	l := connlimit.NewLimiter(next, semaphore.NewWeighted(bodyMemory), lifecycle, nil)
	s := httptest.NewUnstartedServer(nil)
	l.Attach(s.Config)
	limiterHook := s.Config.ConnState
	s.Config.ConnState = func(conn net.Conn, state http.ConnState) {
		limiterHook(conn, state)
		observe(state)
	}
	s.Listener = l.Listen(s.Listener, maxConns, hostos.Real())
	s.Start()
	t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
	return l, s
}

// dial opens a connection that is closed as the test ends.
func dial(t *testing.T, s *httptest.Server) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", s.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn
}

// roundTrip sends a GET request on a connection and reads its answer.
func roundTrip(t *testing.T, conn net.Conn, responses *bufio.Reader, path string) *http.Response {
	t.Helper()
	io.WriteString(conn, "GET "+path+" HTTP/1.1\r\nHost: x\r\n\r\n")
	resp, err := http.ReadResponse(responses, nil)
	if err != nil {
		t.Fatalf("%s: %v", path, err)
	}
	io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
	return resp
}

func TestMalformedHeadersAreCounted(t *testing.T) {
	l, s := newLimitedServer(t, 1<<20, new(connlimit.Lifecycle), func(http.ResponseWriter, *http.Request) {})
	for _, text := range []string{"GARBAGE\r\n\r\n", "GET / HTTP/1.1\r\n\r\n", "GET / HTTP/1.1\r\nHost x\r\n\r\n"} {
		conn := dial(t, s)
		io.WriteString(conn, text)
		if got, _ := io.ReadAll(conn); !strings.HasPrefix(string(got), "HTTP/1.1 400 ") {
			t.Errorf("%q: answered %q", text, got)
		}
		conn.Close()
	}
	resp, err := http.Get(s.URL)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	testutil.Eventually(t, "three counted headers", func() bool { return l.Malformed() == 3 })
}

// Bodies in memory are bounded: what exceeds the bound is rejected, with nothing run. A body that is only promised by its
// header takes no memory.
func TestBodiesAreBounded(t *testing.T) {
	entered, finish := make(chan bool), make(chan bool)
	l, s := newLimitedServer(t, 10, new(connlimit.Lifecycle), func(w http.ResponseWriter, r *http.Request) {
		if _, status, err := connlimit.ReadBody(w, r); err != nil {
			w.WriteHeader(status)
			return
		}
		entered <- true
		<-finish
	})
	promise := dial(t, s)
	io.WriteString(promise, "POST / HTTP/1.1\r\nHost: b\r\nContent-Length: 9\r\n\r\n")
	firstStatus := make(chan int)
	go func() {
		resp, err := http.Post(s.URL, "", strings.NewReader("12345678"))
		if err != nil {
			t.Error(err)
			close(firstStatus)
			return
		}
		resp.Body.Close()
		firstStatus <- resp.StatusCode
	}()
	<-entered
	resp, err := http.Post(s.URL, "", strings.NewReader("12345678"))
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	finish <- true
	got := <-firstStatus
	if got != 200 || resp.StatusCode != 503 || resp.Header.Get("Retry-After") != "1" || l.Rejected() != 1 {
		t.Errorf("first %d, second %d, %d rejected", got, resp.StatusCode, l.Rejected())
	}
}

func TestStoppingClosesConnectionsAfterTheirAnswer(t *testing.T) {
	var lifecycle connlimit.Lifecycle
	_, s := newLimitedServer(t, 10, &lifecycle, func(http.ResponseWriter, *http.Request) {})
	for _, want := range []bool{false, true} {
		lifecycle.Stopping.Store(want)
		for _, path := range []string{"/", "/healthz"} {
			resp, err := http.Get(s.URL + path)
			if err != nil {
				t.Fatal(err)
			}
			resp.Body.Close()
			// A process that replaces this one may share the address: healthz must not send clients away from both.
			if resp.Close != want || resp.StatusCode != 200 {
				t.Errorf("stopping %t, %s: status %d, close %t", want, path, resp.StatusCode, resp.Close)
			}
		}
	}
}

// The operator's drain answers GET /healthz with 503, ends each connection with its answer, and closes those that are idle or
// quiet, but none with an open request; after it, healthz answers 200 again.
func TestDrainClosesIdleAndQuietConnections(t *testing.T) {
	var lifecycle connlimit.Lifecycle
	entered, finish := make(chan bool), make(chan bool)
	var becameIdle atomic.Bool
	l, s := newObservedServer(t, 1<<20, &lifecycle, func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			entered <- true
			<-finish
		}
	}, func(state http.ConnState) {
		if state == http.StateIdle {
			becameIdle.Store(true)
		}
	})
	idle, slow, silent := dial(t, s), dial(t, s), dial(t, s)
	if resp := roundTrip(t, idle, bufio.NewReader(idle), "/healthz"); resp.StatusCode != 200 || resp.Close {
		t.Fatalf("before the drain: %d, close %t", resp.StatusCode, resp.Close)
	}
	io.WriteString(slow, "GET /slow HTTP/1.1\r\nHost: x\r\n\r\n")
	<-entered
	// net/http reports the idle one only after its answer was written.
	testutil.Eventually(t, "the limiter to learn that the first connection is idle", becameIdle.Load)
	lifecycle.Drain.Begin(time.Now())
	if n := l.CloseIdle(time.Hour); n != 1 {
		t.Errorf("closed %d of idle, open and silent, want the idle one", n)
	}
	if n := l.CloseIdle(0); n != 1 {
		t.Errorf("closed %d of open and silent when the silent one was quiet too long, want 1", n)
	}
	for _, conn := range []net.Conn{idle, silent} {
		conn.SetReadDeadline(time.Now().Add(5 * time.Second))
		if _, err := conn.Read(make([]byte, 1)); err == nil {
			t.Error("a closed connection still reads")
		}
	}
	finish <- true
	if resp, err := http.ReadResponse(bufio.NewReader(slow), nil); err != nil || resp.StatusCode != 200 {
		t.Errorf("the open request: %v, %v", resp, err)
	}
	during := dial(t, s)
	if resp := roundTrip(t, during, bufio.NewReader(during), "/healthz"); resp.StatusCode != 503 || !resp.Close {
		t.Errorf("draining: %d, close %t", resp.StatusCode, resp.Close)
	}
	lifecycle.Drain.End()
	after := dial(t, s)
	if resp := roundTrip(t, after, bufio.NewReader(after), "/healthz"); resp.StatusCode != 200 || resp.Close {
		t.Errorf("after the drain: %d, close %t", resp.StatusCode, resp.Close)
	}
}

// Two listeners share one address, as a process and the one that replaces it do.
func TestListenersShareAnAddress(t *testing.T) {
	first, shared, err := connlimit.Listen(t.Context(), "127.0.0.1:0")
	if err != nil || !shared {
		t.Fatalf("%v, shared %t", err, shared)
	}
	defer first.Close()
	second, shared, err := connlimit.Listen(t.Context(), first.Addr().String())
	if err != nil || !shared {
		t.Fatalf("the second: %v, shared %t", err, shared)
	}
	second.Close()
}

// Connections that send nothing or a partial request, or send one request and stay, do not lock others out, and none of them
// costs an open request its connection.
func TestSilentAndIdleConnectionsAreEvicted(t *testing.T) {
	entered, finish := make(chan bool), make(chan bool)
	l, s := newLimitedServer(t, 1<<20, new(connlimit.Lifecycle), func(w http.ResponseWriter, r *http.Request) {
		if _, _, err := connlimit.ReadBody(w, r); err == nil && r.URL.Path == "/open" {
			entered <- true
			<-finish
		}
	})
	openErr := make(chan error)
	go func() {
		resp, err := http.Post(s.URL+"/open", "", strings.NewReader("x"))
		if err == nil {
			resp.Body.Close()
		}
		openErr <- err
	}()
	<-entered
	for i := range 3 * maxConns {
		conn := dial(t, s)
		switch i % 3 {
		case 0:
			io.WriteString(conn, "POST / HTTP/1.1\r\nHost: b\r\nContent-Length: 9\r\n\r\n1")
		case 1: // it sends one request and stays
			conn.SetDeadline(time.Now().Add(20 * time.Second))
			io.WriteString(conn, "POST / HTTP/1.1\r\nHost: b\r\nContent-Length: 1\r\n\r\n1")
			if _, err := conn.Read(make([]byte, 1)); err != nil {
				t.Fatalf("connection %d: %v", i, err)
			}
		}
	}
	finish <- true
	if err := <-openErr; err != nil || l.Evicted() == 0 {
		t.Errorf("the open request: %v; %d evicted", err, l.Evicted())
	}
}

// When capacity is needed, a client that slowly sends its request is not evicted, and those that have sent nothing for longer
// are evicted first.
func TestSlowSenderIsNotEvicted(t *testing.T) {
	_, s := newLimitedServer(t, 1<<20, new(connlimit.Lifecycle), func(w http.ResponseWriter, r *http.Request) {
		connlimit.ReadBody(w, r)
	})
	slow := dial(t, s)
	request := "POST / HTTP/1.1\r\nHost: b\r\nContent-Length: 1\r\n\r\n1"
	sent := make(chan error, 1)
	go func() { // a byte every 20 ms: 0.9 s for the whole request, while others connect
		for i := range request {
			if _, err := io.WriteString(slow, request[i:i+1]); err != nil {
				sent <- err
				return
			}
			time.Sleep(20 * time.Millisecond) // the pace of the sender is what is tested
		}
		sent <- nil
	}()
	time.Sleep(150 * time.Millisecond) // older than the 0.1 s after which a silent one is evicted
	for range 3 * maxConns {           // silent ones, each of which needs capacity
		dial(t, s)
		time.Sleep(30 * time.Millisecond) // the pace at which others connect while the slow one sends
	}
	if err := <-sent; err != nil {
		t.Fatalf("the slow sender lost its connection: %v", err)
	}
	slow.SetReadDeadline(time.Now().Add(5 * time.Second))
	if resp, err := http.ReadResponse(bufio.NewReader(slow), nil); err != nil || resp.StatusCode != 200 {
		t.Errorf("the slow sender's answer: %v, %v", resp, err)
	}
}
