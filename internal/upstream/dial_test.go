package upstream_test

import (
	"errors"
	"fmt"
	"net"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"rampspread/internal/hostos"
	"rampspread/internal/testutil"
	"rampspread/internal/upstream"
	"rampspread/routing"
)

// The time for which a replica holds state runs on while connections fail to come up: they are given up soon enough for
// another decode replica, even where the settings let a connection take far longer than that time.
func TestDialTimeoutAllowsForAnotherReplica(t *testing.T) {
	full, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0) // a full accept queue: connections never come up
	if err != nil {
		t.Fatal(err)
	}
	defer unix.Close(full)
	if err := errors.Join(unix.Bind(full, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}), unix.Listen(full, 0)); err != nil {
		t.Fatal(err)
	}
	bound, err := unix.Getsockname(full)
	if err != nil {
		t.Fatal(err)
	}
	addr := fmt.Sprintf("127.0.0.1:%d", bound.(*unix.SockaddrInet4).Port)
	for range 2 {
		if c, err := net.DialTimeout("tcp", addr, 200*time.Millisecond); err == nil {
			defer c.Close()
		}
	}
	settings := testutil.Settings(t)
	settings.Limits.ConnectTimeoutMs, settings.ModelFamily.ReservationTTLMs = 60_000, 200
	client, obs := upstream.New(settings, 8, 8, hostos.Real()), newObserver()
	defer client.Close()
	from := time.Now()
	client.Send(specFor(addr, 2*time.Minute), obs)
	if o := <-obs.ended; o.Outcome != routing.ConnectFailed {
		t.Errorf("outcome %d", o.Outcome)
	}
	if took := time.Since(from); took > 10*time.Second { // half of what the connection may take is 30 s
		t.Errorf("given up after %v, with a state held for 200 ms", took)
	}
}

// A moment in which this process has no descriptor left is no fault of the replica's, and costs the attempt a moment.
func TestDescriptorExhaustionIsNoFaultOfTheReplica(t *testing.T) {
	r := testutil.NewReplica(t, testutil.ServePrefill)
	client, obs := newClient(t, 8), newObserver()
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		t.Fatal(err)
	}
	none := limit
	none.Cur = 3                                                           // the standard ones are open
	t.Cleanup(func() { syscall.Setrlimit(syscall.RLIMIT_NOFILE, &limit) }) // also if the test is ended by a failure
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &none); err != nil {
		t.Fatal(err)
	}
	client.Send(specFor(r.Addr, 5*time.Second), obs)
	testutil.Eventually(t, "three connections that fail on this machine", func() bool { return client.LocalFailures() >= 3 })
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		t.Fatal(err)
	}
	if o := <-obs.ended; o.Outcome != routing.PrefillDone {
		t.Errorf("ended with %d, want a finished prefill", o.Outcome)
	}
}
