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
	"rampspread/internal/system"
	"rampspread/internal/testkit"
)

const room = 4 // connections

func guarded(t *testing.T, bytes int64, state *connlimit.Lifecycle, next http.HandlerFunc) (*connlimit.Limiter, *httptest.Server) {
	g := connlimit.NewLimiter(next, semaphore.NewWeighted(bytes), state, nil)
	s := httptest.NewUnstartedServer(nil)
	g.Attach(s.Config)
	s.Listener = g.Listen(s.Listener, room, system.Real())
	s.Start()
	t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
	return g, s
}

// A client that sends half a request, or half a head, is let go in time, also where the head alone is bad.
func TestHalfARequest(t *testing.T) {
	_, front, _ := serve(t, testkit.Read, testkit.Write("a"))
	_, s := guarded(t, 1<<20, new(connlimit.Lifecycle), front.ServeHTTP)
	texts := []string{"", "POST /v1/chat/comp", "POST /v1/chat/completions HTTP/1.1\r\nHost: b\r\nContent-Length: 9\r\n\r\n{"}
	var conns []net.Conn
	for _, text := range texts {
		conn, err := net.Dial("tcp", s.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		conn.SetDeadline(time.Now().Add(20 * time.Second))
		io.WriteString(conn, text)
		conns = append(conns, conn)
	}
	for i, conn := range conns {
		if _, err := io.ReadAll(conn); errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("%q: still open", texts[i])
		}
	}
}
