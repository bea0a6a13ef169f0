package accept

import (
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"rampspread/internal/hostos"
)

// slowListener is a listener whose first accepts fail, and whose later accepts take slowAccept.
type slowListener struct {
	*net.TCPListener
	failures     int
	failureDelay time.Duration // how long an accept that fails takes
	onAccept     func()        // is called when an accept begins that does not fail
}

const slowAccept = 5 * time.Millisecond

func (l *slowListener) Accept() (net.Conn, error) {
	if l.failures > 0 {
		l.failures--
		time.Sleep(l.failureDelay)
		return nil, &net.OpError{Op: "accept", Net: "tcp", Addr: l.Addr(), Err: os.NewSyscallError("accept4", syscall.ENOBUFS)}
	}
	l.onAccept()
	time.Sleep(slowAccept)
	return l.TCPListener.Accept()
}

func connect(t *testing.T, l net.Listener) {
	t.Helper()
	conn, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
}

// An accept of a waiting connection that took over 1 ms was taken for one that had to wait for its connection, so the
// time in the backlog did not count for that connection and for those behind it. It counts for all that were waiting
// while accepts failed, however long an accept takes, and for none that comes once the backlog has been empty.
func TestAcceptDelayCountsForSlowAccepts(t *testing.T) {
	const (
		failures   = 5
		leastDelay = (1<<failures - 1) * initialBackoff // sum of the pauses after the failures
	)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer inner.Close()
	slow := &slowListener{TCPListener: inner.(*net.TCPListener), failures: failures, onAccept: func() {}}
	l := New(slow, hostos.Real())
	accept := func() time.Duration {
		t.Helper()
		conn, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		conn.Close()
		return l.AcceptDelay()
	}
	connect(t, inner)
	connect(t, inner)
	for i := range 2 {
		if delay := accept(); delay < leastDelay {
			t.Errorf("waiting connection %d: delay %v, waited at least %v", i, delay, leastDelay)
		}
	}
	slow.onAccept = func() { connect(t, inner) }
	if delay := accept(); delay != 0 {
		t.Errorf("connection that came later: delay %v", delay)
	}
	if l.Failures() != failures {
		t.Errorf("%d failures", l.Failures())
	}
}

// While no client connects, an accept waits. If it then fails, as it does while the process has no descriptor left, the
// time of that wait must not count for the connection, whose client has only just come.
func TestAcceptDelayLeavesOutTheWaitForAClient(t *testing.T) {
	const idle = 500 * time.Millisecond
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer inner.Close()
	l := New(&slowListener{
		TCPListener: inner.(*net.TCPListener), failures: 1, failureDelay: idle, onAccept: func() {},
	}, hostos.Real())
	time.AfterFunc(idle-slowAccept, func() {
		if conn, err := net.Dial("tcp", inner.Addr().String()); err == nil {
			t.Cleanup(func() { conn.Close() })
		}
	})
	conn, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if delay := l.AcceptDelay(); delay > idle/2 {
		t.Errorf("delay %v, %v of which no client had connected", delay, idle)
	}
}
