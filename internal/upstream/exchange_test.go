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

// CloseDelay exports closeDelay to the tests in package upstream_test.
const CloseDelay time.Duration = closeDelay

// MaxEventSize exports maxEventSize to the tests in package upstream_test.
const MaxEventSize = maxEventSize

// After an attempt was withdrawn its first byte must not be written, not even on a connection that replaces a stale
// one. An exchange that has already begun must continue.
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
				t.Fatalf("write before Withdraw: %d bytes, %v", n, err)
			}
		}
		a.Withdraw()
		if ended := ctx.Err() != nil; ended == begun {
			t.Errorf("begun %t: Withdraw ended the attempt: %t", begun, ended)
		}
		if n, err := write(); n != 0 || !errors.Is(err, errFirstByteRefused) {
			t.Errorf("begun %t: write after Withdraw: %d bytes, %v", begun, n, err)
		}
	}
}

// Only a call over a used connection whose last byte was not written may be moved to another connection. After the last
// byte the call may have run, and the failure of a new connection is evidence about its replica.
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
		"used, an unknown part of it was written":        {used, writing, true, false},
		"new, failed in writing":                         {unused, writeFailed, false, false},
		"no connection came up":                          {unused, waitingForConn, false, false},
	} {
		x := newExchange(&attempt{body: &requestBody{consumed: c.consumed}})
		x.idleTime = c.idleTime
		x.request = c.request
		if got := x.connWasStale(); got != c.want {
			t.Errorf("%s: connWasStale %t", name, got)
		}
	}
}
