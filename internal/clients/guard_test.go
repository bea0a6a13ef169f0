package clients_test

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"golang.org/x/sync/semaphore"

	"rampspread/internal/clients"
	"rampspread/internal/testkit"
)

func guarded(t *testing.T, bytes int64, draining *atomic.Bool, next http.HandlerFunc) (*clients.Guard, *httptest.Server) {
	g := clients.NewGuard(next, semaphore.NewWeighted(bytes), draining)
	s := httptest.NewUnstartedServer(nil)
	g.Attach(s.Config)
	s.Start()
	t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
	return g, s
}

func TestBadHeadsAreCounted(t *testing.T) {
	g, s := guarded(t, 1<<20, new(atomic.Bool), func(http.ResponseWriter, *http.Request) {})
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
	testkit.Eventually(t, "three counted heads", func() bool { return g.BadHeads() == 3 })
}

// Bodies in memory are bounded: what would go over is refused before it is read, with nothing run.
func TestBodiesAreBounded(t *testing.T) {
	in, let := make(chan bool), make(chan bool)
	g, s := guarded(t, 10, new(atomic.Bool), func(http.ResponseWriter, *http.Request) { in <- true; <-let })
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
	if got := <-first; got != 200 || resp.StatusCode != 503 || resp.Header.Get("Retry-After") != "1" || g.Shed() != 1 {
		t.Errorf("first %d, second %d, %d shed", got, resp.StatusCode, g.Shed())
	}
}

func TestDrainingEndsConnections(t *testing.T) {
	var draining atomic.Bool
	_, s := guarded(t, 10, &draining, func(http.ResponseWriter, *http.Request) {})
	for _, want := range []bool{false, true} {
		draining.Store(want)
		resp, err := http.Get(s.URL)
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		if resp.Close != want || resp.StatusCode != 200 {
			t.Errorf("draining %t: status %d, close %t", want, resp.StatusCode, resp.Close)
		}
	}
}
