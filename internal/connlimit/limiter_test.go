package connlimit_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/semaphore"

	"rampspread/internal/connlimit"
	"rampspread/internal/system"
	"rampspread/internal/testkit"
)

const room = 4 // connections

func guarded(t *testing.T, bytes int64, state *connlimit.Lifecycle, next http.HandlerFunc) (*connlimit.Limiter, *httptest.Server) {
	g := connlimit.NewLimiter(next, semaphore.NewWeighted(bytes), state, nil)
	s := httptest.NewUnstartedServer(nil)
	g.Attach(s.Config)
	s.Listener = g.Listen(s.Listener, room, system.Real())
	s.Start()
	t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
	return g, s
}

func TestBadHeadsAreCounted(t *testing.T) {
	g, s := guarded(t, 1<<20, new(connlimit.Lifecycle), func(http.ResponseWriter, *http.Request) {})
	for _, text := range []string{"GARBAGE\r\n\r\n", "GET / HTTP/1.1\r\n\r\n", "GET / HTTP/1.1\r\nHost x\r\n\r\n"} {
		conn, err := net.Dial("tcp", s.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
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
	testkit.Eventually(t, "three counted heads", func() bool { return g.Malformed() == 3 })
}

// Bodies in memory are bounded: what goes over is refused, with nothing run. A body that is only promised
// takes no room.
func TestBodiesAreBounded(t *testing.T) {
	in, let := make(chan bool), make(chan bool)
	g, s := guarded(t, 10, new(connlimit.Lifecycle), func(w http.ResponseWriter, r *http.Request) {
		if _, status, err := connlimit.ReadBody(w, r); err != nil {
			w.WriteHeader(status)
			return
		}
		in <- true
		<-let
	})
	promise, err := net.Dial("tcp", s.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer promise.Close()
	io.WriteString(promise, "POST / HTTP/1.1\r\nHost: b\r\nContent-Length: 9\r\n\r\n")
	first := make(chan int)
	go func() {
		resp, err := http.Post(s.URL, "", strings.NewReader("12345678"))
		if err != nil {
			t.Error(err)
			close(first)
			return
		}
		resp.Body.Close()
		first <- resp.StatusCode
	}()
	<-in
	resp, err := http.Post(s.URL, "", strings.NewReader("12345678"))
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	let <- true
	if got := <-first; got != 200 || resp.StatusCode != 503 || resp.Header.Get("Retry-After") != "1" || g.Rejected() != 1 {
		t.Errorf("first %d, second %d, %d shed", got, resp.StatusCode, g.Rejected())
	}
}

func TestDrainingEndsConnections(t *testing.T) {
	var state connlimit.Lifecycle
	_, s := guarded(t, 10, &state, func(http.ResponseWriter, *http.Request) {})
	for _, want := range []bool{false, true} {
		state.Stopping.Store(want)
		for _, path := range []string{"/", "/healthz"} {
			resp, err := http.Get(s.URL + path)
			if err != nil {
				t.Fatal(err)
			}
			resp.Body.Close()
			// A process that replaces this one may share the address: healthz must not send clients from both.
			if resp.Close != want || resp.StatusCode != 200 {
				t.Errorf("stopping %t, %s: status %d, close %t", want, path, resp.StatusCode, resp.Close)
			}
		}
	}
}

// The operator's drain says no to GET /healthz, ends each connection with its answer, and closes those that
// are idle or quiet, but none with an open request; after it, healthz says yes again.
func TestHeldFrontSendsClientsAway(t *testing.T) {
	var state connlimit.Lifecycle
	in, let := make(chan bool), make(chan bool)
	g, s := guarded(t, 1<<20, &state, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			in <- true
			<-let
		}
	})
	addr := s.Listener.Addr().String()
	dial := func() net.Conn {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		return c
	}
	idle, slow, silent := dial(), dial(), dial()
	r := bufio.NewReader(idle)
	ask := func(c net.Conn, r *bufio.Reader, path string) *http.Response {
		t.Helper()
		io.WriteString(c, "GET "+path+" HTTP/1.1\r\nHost: x\r\n\r\n")
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Fatalf("%s: %v", path, err)
		}
		io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		return resp
	}
	if resp := ask(idle, r, "/healthz"); resp.StatusCode != 200 || resp.Close {
		t.Fatalf("before the drain: %d, close %t", resp.StatusCode, resp.Close)
	}
	io.WriteString(slow, "GET /slow HTTP/1.1\r\nHost: x\r\n\r\n")
	<-in
	time.Sleep(50 * time.Millisecond) // the idle one's state is told after its answer was written
	state.Drain.Begin(time.Now())
	if n := g.CloseIdle(time.Hour); n != 1 {
		t.Errorf("closed %d of idle, open and silent, want the idle one", n)
	}
	if n := g.CloseIdle(0); n != 1 {
		t.Errorf("closed %d of open and silent when the silent one was quiet too long, want 1", n)
	}
	for _, c := range []net.Conn{idle, silent} {
		c.SetReadDeadline(time.Now().Add(5 * time.Second))
		if _, err := c.Read(make([]byte, 1)); err == nil {
			t.Error("a closed connection still reads")
		}
	}
	let <- true
	if resp, err := http.ReadResponse(bufio.NewReader(slow), nil); err != nil || resp.StatusCode != 200 {
		t.Errorf("the open request: %v, %v", resp, err)
	}
	fresh := dial()
	if resp := ask(fresh, bufio.NewReader(fresh), "/healthz"); resp.StatusCode != 503 || !resp.Close {
		t.Errorf("drained: %d, close %t", resp.StatusCode, resp.Close)
	}
	state.Drain.End()
	again := dial()
	if resp := ask(again, bufio.NewReader(again), "/healthz"); resp.StatusCode != 200 || resp.Close {
		t.Errorf("after the drain: %d, close %t", resp.StatusCode, resp.Close)
	}
}

// Two listeners share one address, as a process and the one that replaces it do.
func TestListenersShareAnAddress(t *testing.T) {
	first, shared, err := connlimit.Listen(context.Background(), "127.0.0.1:0")
	if err != nil || !shared {
		t.Fatalf("%v, shared %t", err, shared)
	}
	defer first.Close()
	second, shared, err := connlimit.Listen(context.Background(), first.Addr().String())
	if err != nil || !shared {
		t.Fatalf("the second: %v, shared %t", err, shared)
	}
	second.Close()
}

// Connections that say nothing, send half a request, or ask once and stay, do not lock others out, and none
// of them costs an open request its connection.
func TestRoomIsMade(t *testing.T) {
	in, let := make(chan bool), make(chan bool)
	g, s := guarded(t, 1<<20, new(connlimit.Lifecycle), func(w http.ResponseWriter, r *http.Request) {
		if _, _, err := connlimit.ReadBody(w, r); err == nil && r.URL.Path == "/held" {
			in <- true
			<-let
		}
	})
	held := make(chan error)
	go func() {
		resp, err := http.Post(s.URL+"/held", "", strings.NewReader("x"))
		if err == nil {
			resp.Body.Close()
		}
		held <- err
	}()
	<-in
	for i := range 3 * room {
		conn, err := net.Dial("tcp", s.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		switch i % 3 {
		case 0:
			io.WriteString(conn, "POST / HTTP/1.1\r\nHost: b\r\nContent-Length: 9\r\n\r\n1")
		case 1: // it asks once and stays
			conn.SetDeadline(time.Now().Add(20 * time.Second))
			io.WriteString(conn, "POST / HTTP/1.1\r\nHost: b\r\nContent-Length: 1\r\n\r\n1")
			if _, err := conn.Read(make([]byte, 1)); err != nil {
				t.Fatalf("connection %d: %v", i, err)
			}
		}
	}
	let <- true
	if err := <-held; err != nil || g.Evicted() == 0 {
		t.Errorf("the held request: %v; %d closed", err, g.Evicted())
	}
}

// What a body hides is never read as a request: both framings, none that can be trusted, or too much.
func TestMisframed(t *testing.T) {
	hidden := "POST /hidden HTTP/1.1\r\nHost: b\r\nContent-Length: 2\r\n\r\n{}"
	for head, want := range map[string]string{
		"Content-Length: 63\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n": "400",
		"Transfer-Encoding: chunked\r\ncOntent-length:63\r\n\r\n0\r\n\r\n":  "400",
		"Transfer-Encoding: chunked\nContent-Length: 63\n\n0\r\n\r\n":       "400",
		"Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n":                 "501",
		"Content-Length: 60000000\r\n\r\n":                                  "413",
		"Content-Length: 99999999999999999999\r\n\r\n":                      "400",
		"Content-Length: -2\r\n\r\n":                                        "400",
		"Content-Length: 2\r\nContent-Length: 3\r\n\r\n":                    "400",
	} {
		g, s := guarded(t, 1<<20, new(connlimit.Lifecycle), func(_ http.ResponseWriter, r *http.Request) {
			t.Errorf("%q: %s reached the handler", head, r.URL)
		})
		conn, err := net.Dial("tcp", s.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		io.WriteString(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: b\r\n"+head+hidden)
		got, _ := io.ReadAll(conn)
		conn.Close()
		if !strings.HasPrefix(string(got), "HTTP/1.1 "+want) || strings.Count(string(got), "HTTP/1.1 ") != 1 {
			t.Errorf("%q: answered %q", head, got)
		}
		testkit.Eventually(t, "the count", func() bool { return g.Malformed() == 1 })
	}
}

// When room is needed, a client that is slowly writing its request keeps its connection, and those that have
// sent nothing for longer give way first.
func TestSlowWriterKeepsItsRoom(t *testing.T) {
	_, s := guarded(t, 1<<20, new(connlimit.Lifecycle), func(w http.ResponseWriter, r *http.Request) {
		connlimit.ReadBody(w, r)
	})
	addr := s.Listener.Addr().String()
	slow, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer slow.Close()
	request := "POST / HTTP/1.1\r\nHost: b\r\nContent-Length: 1\r\n\r\n1"
	written := make(chan error, 1)
	go func() { // a byte every 20 ms: 0.9 s for the whole request, while others crowd in
		for i := range request {
			if _, err := io.WriteString(slow, request[i:i+1]); err != nil {
				written <- err
				return
			}
			time.Sleep(20 * time.Millisecond)
		}
		written <- nil
	}()
	time.Sleep(150 * time.Millisecond) // older than the 0.1 s after which a silent one gives way
	for range 3 * room {               // silent ones, each a new need for room
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		time.Sleep(30 * time.Millisecond)
	}
	if err := <-written; err != nil {
		t.Fatalf("the slow writer lost its connection: %v", err)
	}
	slow.SetReadDeadline(time.Now().Add(5 * time.Second))
	if resp, err := http.ReadResponse(bufio.NewReader(slow), nil); err != nil || resp.StatusCode != 200 {
		t.Errorf("the slow writer's answer: %v, %v", resp, err)
	}
}
