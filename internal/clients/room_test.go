package clients

import (
	"net"
	"net/http"
	"testing"
	"time"

	"golang.org/x/sync/semaphore"
)

// A request that has been read, and that its handler has not seen yet, keeps its connection when room is needed: a process that is
// held up for a moment would else close it with no answer.
func TestRoomIsNotMadeOfWhatHasBeenRead(t *testing.T) {
	h, c := pair(t)
	g := NewGuard(nil, semaphore.NewWeighted(1), new(State), nil)
	h.guard = g
	g.Attach(&http.Server{})
	k := &conn{guard: g, since: time.Now().Add(-time.Hour)}
	g.conns = map[net.Conn]*conn{h: k}
	if _, err := c.Write([]byte(asks)); err != nil {
		t.Fatal(err)
	}
	buf := make([]byte, 4096)
	n, err := h.Read(buf)
	if err != nil || string(buf[:n]) != asks {
		t.Fatalf("read %q, %v", buf[:n], err)
	}
	time.Sleep(silentFor + 10*time.Millisecond) // the process is held up
	if g.makeRoom(1) || k.closed {
		t.Fatal("closed with a request read and no answer given")
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
	last := lastByte(h, before)
	if last == last.Round(0) { // which strips the monotonic reading
		t.Fatalf("%v has no monotonic reading", last)
	}
	if last.Before(before) || last.After(time.Now()) {
		t.Errorf("%v is not between %v and now", last, before)
	}
}
