package upstream

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http/httptrace"
	"testing"
	"time"
)

// CloseFor is closeFor, for the tests from outside.
const CloseFor time.Duration = closeFor

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

// Once an attempt is withdrawn no first byte of it is written, also not on another connection after one that was of no
// use; what has been begun goes on.
func TestWithdrawnWritesNothing(t *testing.T) {
	for _, begun := range []bool{false, true} {
		ctx, cancel := context.WithCancel(t.Context())
		a := &attempt{ctx: ctx, cancel: cancel, body: &body{}, until: time.Now().Add(time.Minute)}
		write := func() (int, error) {
			near, far := net.Pipe()
			defer near.Close()
			go io.Copy(io.Discard, far)
			c, x := newConn(near), newExchange(a)
			if !usable(httptrace.GotConnInfo{Conn: c}, x.begin) {
				t.Fatal("a new connection is not usable")
			}
			return c.Write([]byte("POST"))
		}
		if begun {
			if n, err := write(); n != 4 || err != nil {
				t.Fatalf("before it was withdrawn: %d bytes, %v", n, err)
			}
		}
		a.Withdraw()
		if ended := ctx.Err() != nil; ended == begun {
			t.Errorf("begun %t: ended by being withdrawn %t", begun, ended)
		}
		if n, err := write(); n != 0 || !errors.Is(err, errWithdrawn) {
			t.Errorf("begun %t: %d bytes written after it was withdrawn, %v", begun, n, err)
		}
	}
}

// An attempt that is aborted once its last byte was handed over has not failed in writing: net/http asks the body once more then.
func TestBodyEndsOnceGiven(t *testing.T) {
	b := &body{rest: []byte("ab")}
	if n, err := b.Read(make([]byte, 9)); n != 2 || err != io.EOF {
		t.Fatalf("%d bytes, %v", n, err)
	}
	b.aborted = true
	if n, err := b.Read(make([]byte, 9)); n != 0 || err != io.EOF {
		t.Errorf("behind its end: %d bytes, %v", n, err)
	}
	b = &body{rest: []byte("ab"), aborted: true}
	if n, err := b.Read(make([]byte, 9)); n != 0 || err != errAborted {
		t.Errorf("aborted before: %d bytes, %v", n, err)
	}
}

// Only a call whose last byte was not written, over a connection that had been used before, may take another
// connection: after that it may have run, and a new connection that fails tells of its replica.
func TestSpent(t *testing.T) {
	for _, c := range []struct {
		idle                          int64
		wrote, written, unsent, given bool
		want                          bool
	}{
		{idle: 5, wrote: true, written: true, unsent: true, given: true, want: true},
		{idle: 5, want: true},              // it broke before anything was written,
		{idle: 5, given: true, want: true}, // with all of it ready to be
		{idle: 5, wrote: true, written: true, given: true},
		{idle: 5, wrote: true, given: true}, // nobody knows how far the writing came
		{idle: -1, wrote: true, written: true, unsent: true},
		{idle: -1}, // no connection came up
	} {
		x := newExchange(&attempt{body: &body{given: c.given}})
		x.idle.Store(c.idle)
		x.wrote.Store(c.wrote)
		x.written.Store(c.written)
		x.unsent.Store(c.unsent)
		if got := x.spent(); got != c.want {
			t.Errorf("%+v: spent %t", c, got)
		}
	}
}
