package ops_test

import (
	"bufio"
	"io"
	"log/slog"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"rampspread/internal/ops"
)

func serve(t *testing.T, calls map[string]ops.Call) (*ops.Server, string) {
	t.Helper()
	s := ops.New(calls, slog.New(slog.NewTextHandler(io.Discard, nil)))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go s.Serve(l)
	t.Cleanup(s.Close)
	return s, l.Addr().String()
}

func call(t *testing.T, addr, line string) string {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(5 * time.Second))
	io.WriteString(c, line)
	answer, err := bufio.NewReader(c).ReadString('\n')
	if err != nil {
		t.Fatalf("%q: %v", line, err)
	}
	return answer
}

// Each call is answered by its first word; unknown ones and bad lines fail and are counted.
func TestCallsAreAnswered(t *testing.T) {
	var on atomic.Bool
	s, addr := serve(t, map[string]ops.Call{
		"drain-on": func() (bool, string) { on.Store(true); return true, "draining" },
		"check":    func() (bool, string) { return !on.Load(), "" },
	})
	for _, c := range []struct{ line, want string }{
		{"check\n", "SUCCESS"}, {"drain-on\r\n", "SUCCESS draining"}, {"check\n", "FAILURE"},
		{"reboot\n", "FAILURE unknown call"}, {strings.Repeat("x", 300) + "\n", "FAILURE line too long"},
	} {
		if got := call(t, addr, c.line); !strings.HasPrefix(got, c.want) || !strings.HasSuffix(got, "\n") {
			t.Errorf("%.20q: %q, want %q", c.line, got, c.want)
		}
	}
	if s.Served() != 3 || s.Bad() != 2 {
		t.Errorf("served %d, bad %d", s.Served(), s.Bad())
	}
}

// Callers that connect and say nothing, or half a line, hold up nobody else, and are let go in time.
func TestStalledCallersHoldNobodyUp(t *testing.T) {
	_, addr := serve(t, map[string]ops.Call{"check": func() (bool, string) { return true, "serving" }})
	var stalled []net.Conn
	for i := range 20 {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if i%2 == 0 {
			io.WriteString(c, "che")
		}
		stalled = append(stalled, c)
	}
	start := time.Now()
	if got := call(t, addr, "check\n"); got != "SUCCESS serving\n" || time.Since(start) > time.Second {
		t.Errorf("%q after %v", got, time.Since(start))
	}
	for _, c := range stalled {
		c.SetReadDeadline(time.Now().Add(5 * time.Second))
		if _, err := c.Read(make([]byte, 64)); err != io.EOF {
			t.Errorf("a stalled caller: %v, want it let go", err)
		}
	}
}
