package admin_test

import (
	"bufio"
	"io"
	"log/slog"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"rampspread/internal/admin"
)

func serve(t *testing.T, calls map[string]admin.Handler) (*admin.Server, string) {
	t.Helper()
	s := admin.New(calls, slog.New(slog.NewTextHandler(io.Discard, nil)))
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
	s, addr := serve(t, map[string]admin.Handler{
		"drain-on":  func() (bool, string) { on.Store(true); return true, "draining" },
		"check":     func() (bool, string) { return !on.Load(), "" },
		"drain-off": func() (bool, string) { on.Store(false); return true, "serving" },
	})
	for _, c := range []struct{ line, want string }{
		{"check\n", "SUCCESS"}, {"drain-on\r\n", "SUCCESS draining"}, {"check\n", "FAILURE"},
		{"reboot\n", "FAILURE unknown call"}, {strings.Repeat("x", 300) + "\n", "FAILURE line too long"},
	} {
		if got := call(t, addr, c.line); !strings.HasPrefix(got, c.want) || !strings.HasSuffix(got, "\n") {
			t.Errorf("%.20q: %q, want %q", c.line, got, c.want)
		}
	}
	if call(t, addr, "drain-off\n") != "SUCCESS serving\n" {
		t.Fatal("drain-off")
	}
	for _, cut := range []string{"drain-o", "drain-on"} { // cut before its end, or just at it, and the caller waits
		if got := call(t, addr, cut); got != "FAILURE cut call: no whole line within 1 s\n" {
			t.Errorf("%q: %q", cut, got)
		}
	}
	if on.Load() || call(t, addr, "check\n") != "SUCCESS \n" {
		t.Error("a cut call was carried out or changed something")
	}
	if s.Served() != 5 || s.Bad() != 4 {
		t.Errorf("served %d, bad %d", s.Served(), s.Bad())
	}
}

// Callers that connect and say nothing, or half a line, hold up nobody else, and are let go in time.
func TestStalledCallersHoldNobodyUp(t *testing.T) {
	_, addr := serve(t, map[string]admin.Handler{"check": func() (bool, string) { return true, "serving" }})
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
	for i, c := range stalled {
		c.SetReadDeadline(time.Now().Add(5 * time.Second))
		got, err := io.ReadAll(c)
		want := "" // one that said nothing is let go
		if i%2 == 0 {
			want = "FAILURE cut call: no whole line within 1 s\n"
		}
		if err != nil || string(got) != want {
			t.Errorf("stalled caller %d: %q, %v; want %q and a close", i, got, err, want)
		}
	}
}
