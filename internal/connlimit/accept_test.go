package connlimit_test

import (
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"syscall"
	"testing"

	"golang.org/x/sync/semaphore"

	"rampspread/internal/connlimit"
	"rampspread/internal/system"
)

// acceptErrors are those that accept(2) documents for a connection or a moment, not for the listening socket.
var acceptErrors = []syscall.Errno{syscall.ECONNABORTED, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EPROTO,
	syscall.EPERM, syscall.ENETDOWN, syscall.ENOPROTOOPT, syscall.EHOSTDOWN, syscall.ENONET, syscall.EHOSTUNREACH, syscall.EOPNOTSUPP,
	syscall.ENETUNREACH, syscall.EINTR, syscall.ETIMEDOUT}

// failing is a listener whose first accepts fail, one for each error.
type failing struct {
	net.Listener
	failed atomic.Int64
}

func (l *failing) Accept() (net.Conn, error) {
	if n := l.failed.Add(1) - 1; int(n) < len(acceptErrors) {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Addr: l.Addr(), Err: os.NewSyscallError("accept4", acceptErrors[n])}
	}
	return l.Listener.Accept()
}

// An accept that fails ends nothing: the client that comes next is served.
func TestAcceptErrorsEndNothing(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	g := connlimit.NewLimiter(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), semaphore.NewWeighted(1), new(connlimit.Lifecycle), nil)
	s := &http.Server{}
	g.Attach(s)
	ended := make(chan error, 1)
	go func() { ended <- s.Serve(g.Listen(&failing{Listener: l}, room, system.Real())) }()
	defer s.Close()
	answered := make(chan error, 1)
	go func() {
		resp, err := http.Get("http://" + l.Addr().String() + "/healthz")
		if err == nil {
			resp.Body.Close()
		}
		answered <- err
	}()
	select {
	case err := <-ended:
		t.Fatalf("serving ended with %v", err)
	case err := <-answered:
		if err != nil {
			t.Fatal(err)
		}
	}
}
