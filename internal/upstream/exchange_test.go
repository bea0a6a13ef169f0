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

// CloseDelay is closeDelay, for the tests from outside.
const CloseDelay time.Duration = closeDelay

// MaxEventSize is maxEventSize, for the tests from outside.
const MaxEventSize = maxEventSize

// After an attempt was withdrawn no first byte of it is written, also not on another connection after one that was
// stale; an exchange that has begun goes on.
func TestWithdrawnAttemptWritesNoFirstByte(t *testing.T) {
	for _, begun := range []bool{false, true} {
		ctx, cancel := context.WithCancel(t.Context())
		a := &attempt{ctx: ctx, cancel: cancel, body: &requestBody{}, deadline: time.Now().Add(time.Minute)}
		write := func() (int, error) {
			raw, peer := net.Pipe()
			defer raw.Close()
			go io.Copy(io.Discard, peer)
			c, x := newConn(raw), newExchange(a)
			if !prepareConn(httptrace.GotConnInfo{Conn: c}, x.admitFirstByte) {
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
		if n, err := write(); n != 0 || !errors.Is(err, errFirstByteRefused) {
			t.Errorf("begun %t: %d bytes written after it was withdrawn, %v", begun, n, err)
		}
	}
}

// Only a call whose last byte was not written, over a connection that had been used before, may take another
// connection: after that it may have run, and a new connection that fails says something about its replica.
func TestConnWasStaleOnlyIfUsedBeforeAndLastByteUnwritten(t *testing.T) {
	const used, unused = 5 * time.Nanosecond, newConnIdleTime
	for name, c := range map[string]struct {
		idleTime time.Duration
		request  requestState
		consumed bool
		want     bool
	}{
		"used, failed in writing":                        {used, writeFailed, true, true},
		"used, broke before anything was written":        {used, waitingForConn, false, true},
		"used, broke with all of it ready to be written": {used, waitingForConn, true, true},
		"used, written":                                  {used, written, true, false},
		"used, nobody knows how much was written":        {used, writing, true, false},
		"new, failed in writing":                         {unused, writeFailed, false, false},
		"no connection came up":                          {unused, waitingForConn, false, false},
	} {
		x := newExchange(&attempt{body: &requestBody{consumed: c.consumed}})
		x.idleTime = c.idleTime
		x.request = c.request
		if got := x.connWasStale(); got != c.want {
			t.Errorf("%s: stale %t", name, got)
		}
	}
}
