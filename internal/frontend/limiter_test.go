package frontend_test

import (
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"testing"
	"time"

	"golang.org/x/sync/semaphore"

	"rampspread/internal/connlimit"
	"rampspread/internal/hostos"
	"rampspread/internal/testutil"
)

const maxConns = 4

// newLimitedServer starts a server with a capacity of maxConns behind a Limiter.
func newLimitedServer(t *testing.T, bodyMemory int64, next http.HandlerFunc) (*connlimit.Limiter, *httptest.Server) {
	t.Helper()
	l := connlimit.NewLimiter(next, semaphore.NewWeighted(bodyMemory), new(connlimit.Lifecycle), nil)
	s := httptest.NewUnstartedServer(nil)
	l.Attach(s.Config)
	s.Listener = l.Listen(s.Listener, maxConns, hostos.Real())
	s.Start()
	t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
	return l, s
}

// dial opens a connection that is closed as the test ends, and that no read or write waits on for long.
func dial(t *testing.T, addr string) *net.TCPConn {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(20 * time.Second))
	return conn.(*net.TCPConn)
}

// A client that sends a partial header or request is disconnected in time, also where the header alone is malformed.
func TestPartialRequestIsDisconnected(t *testing.T) {
	_, handler, _ := serve(t, testutil.ServePrefill, testutil.ServeDecode("a"))
	_, s := newLimitedServer(t, 1<<20, handler.ServeHTTP)
	partials := []string{
		"",
		"POST /v1/chat/comp",
		"POST /v1/chat/completions HTTP/1.1\r\nHost: b\r\nContent-Length: 9\r\n\r\n{",
	}
	var conns []net.Conn
	for _, partial := range partials {
		conn := dial(t, s.Listener.Addr().String())
		io.WriteString(conn, partial)
		conns = append(conns, conn)
	}
	for i, conn := range conns {
		if _, err := io.ReadAll(conn); errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("%q: still open", partials[i])
		}
	}
}
