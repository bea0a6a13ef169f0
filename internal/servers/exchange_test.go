package servers

import (
	"errors"
	"net"
	"testing"
)

// A used connection takes a call only while the Transport waits for bytes with none left over, and what comes
// before the call's first byte is never handed on.
func TestConnTake(t *testing.T) {
	pair := func() (*conn, net.Conn) {
		near, far := net.Pipe()
		t.Cleanup(func() { near.Close(); far.Close() })
		return newConn(near), far
	}
	left, _ := pair()
	if left.take() { // nobody reads: what came last is not used up
		t.Error("a connection with bytes left over was taken")
	}
	for _, called := range []bool{false, true} {
		c, far := pair()
		got := make(chan error)
		go func() {
			_, err := c.Read(make([]byte, 1))
			got <- err
		}()
		c.mu.Lock()
		waiting := c.waiting
		c.mu.Unlock()
		<-waiting // the Read is out
		if !c.take() {
			t.Fatal("a clean connection was not taken")
		}
		if called {
			go far.Read(make([]byte, 1))
			c.Write([]byte("c"))
		}
		far.Write([]byte("a"))
		if err := <-got; errors.Is(err, errStale) == called {
			t.Errorf("called %t: read %v", called, err)
		}
	}
}

// Only a call whose last byte was not written, over a connection that had been used before, may take another
// connection: after that it may have run, and a new connection that fails tells of its replica.
func TestSpent(t *testing.T) {
	for _, c := range []struct {
		idle                   int64
		written, unsent, given bool
		want                   bool
	}{
		{idle: 5, written: true, unsent: true, given: true, want: true},
		{idle: 5, want: true}, // it broke before anything was written
		{idle: 5, written: true, given: true},
		{idle: 5, given: true}, // nobody knows how far the writing came
		{idle: -1, written: true, unsent: true},
		{idle: -1}, // no connection came up
	} {
		x := newExchange(&attempt{body: &body{given: c.given}})
		x.idle.Store(c.idle)
		x.written.Store(c.written)
		x.unsent.Store(c.unsent)
		if got := x.spent(); got != c.want {
			t.Errorf("%+v: spent %t", c, got)
		}
	}
}
