package connlimit

import (
	"bufio"
	"net"
	"net/http"
	"testing"
	"time"

	"golang.org/x/sync/semaphore"

	"rampspread/internal/system"
	"rampspread/internal/testkit"
)

// A request that has been read, and that its handler has not seen yet, keeps its connection when room is needed: a process that is
// held up for a moment would else close it with no answer.
func TestRoomIsNotMadeOfWhatHasBeenRead(t *testing.T) {
	h, c := pair(t)
	g := NewLimiter(nil, semaphore.NewWeighted(1), new(Lifecycle), nil)
	h.limiter = g
	g.Attach(&http.Server{})
	k := &trackedConn{limiter: g, quietSince: time.Now().Add(-time.Hour)}
	g.conns = map[net.Conn]*trackedConn{h: k}
	if _, err := c.Write([]byte(asks)); err != nil {
		t.Fatal(err)
	}
	buf := make([]byte, 4096)
	n, err := h.Read(buf)
	if err != nil || string(buf[:n]) != asks {
		t.Fatalf("read %q, %v", buf[:n], err)
	}
	time.Sleep(evictSilentAfter + 10*time.Millisecond) // the process is held up
	if g.ensureCapacity(1) || k.state == connEvicted {
		t.Fatal("closed with a request read and no answer given")
	}
}

// A house that is full of open requests still answers who comes: it refuses. A connection that waited for room until its client's time
// was over would be a request with no answer.
func TestFullOfOpenRequestsRefuses(t *testing.T) {
	const most = 3
	let := make(chan bool)
	g := NewLimiter(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, _, err := ReadBody(w, r); err == nil {
			<-let
		}
	}), semaphore.NewWeighted(1<<20), new(Lifecycle), nil)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &http.Server{}
	g.Attach(s)
	go s.Serve(g.Listen(l, most, system.Real()))
	defer s.Close()
	defer close(let)
	ask := func() net.Conn {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		if _, err := c.Write([]byte(asks)); err != nil {
			t.Fatal(err)
		}
		return c
	}
	for range most {
		ask()
	}
	testkit.Eventually(t, "a full house", func() bool {
		g.mu.Lock()
		defer g.mu.Unlock()
		open := 0
		for _, k := range g.conns {
			if k.state == connHandling {
				open++
			}
		}
		return open == most
	})
	for range 2 * most {
		c := ask()
		c.SetReadDeadline(time.Now().Add(2 * time.Second))
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil || resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" {
			t.Fatalf("%v, %v", resp, err)
		}
	}
}

// When a connection last sent something is a time of the clock that only advances: a wall clock that is stepped makes no client that is
// writing a silent one, and none that is silent a writer.
func TestLastByteIsNoWallTime(t *testing.T) {
	h, c := pair(t)
	before := time.Now()
	if _, err := c.Write([]byte(asks)); err != nil {
		t.Fatal(err)
	}
	if _, err := h.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	last := lastByteAt(h, before)
	if last == last.Round(0) { // which strips the monotonic reading
		t.Fatalf("%v has no monotonic reading", last)
	}
	if last.Before(before) || last.After(time.Now()) {
		t.Errorf("%v is not between %v and now", last, before)
	}
}
