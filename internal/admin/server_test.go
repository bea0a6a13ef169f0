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

func startServer(t *testing.T, calls map[string]admin.Handler) (*admin.Server, string) {
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

// A call is answered with its handler's outcome. Unknown calls, malformed lines and truncated calls fail, are counted
// and are not carried out.
func TestServerAnswersCallsAndRejectsMalformedLines(t *testing.T) {
	var draining atomic.Bool
	s, addr := startServer(t, map[string]admin.Handler{
		"drain-on": func() admin.Answer { draining.Store(true); return admin.OK("draining") },
		"check": func() admin.Answer {
			if draining.Load() {
				return admin.Fail("")
			}
			return admin.OK("")
		},
		"drain-off": func() admin.Answer { draining.Store(false); return admin.OK("serving") },
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
	for _, cut := range []string{"drain-o", "drain-on"} { // truncated within the name, or just before the newline
		if got := call(t, addr, cut); got != "FAILURE cut call: no whole line within 1 s\n" {
			t.Errorf("%q: %q", cut, got)
		}
	}
	if draining.Load() || call(t, addr, "check\n") != "SUCCESS \n" {
		t.Error("a truncated call was carried out")
	}
	if s.Served() != 5 || s.Malformed() != 4 {
		t.Errorf("served %d, malformed %d", s.Served(), s.Malformed())
	}
}

// Callers that connect and send nothing, or only part of a line, do not delay other callers and are closed in time.
func TestStalledCallersDelayNoOther(t *testing.T) {
	_, addr := startServer(t, map[string]admin.Handler{"check": func() admin.Answer { return admin.OK("serving") }})
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
		want := "" // a caller that sent nothing is closed without an answer
		if i%2 == 0 {
			want = "FAILURE cut call: no whole line within 1 s\n"
		}
		if err != nil || string(got) != want {
			t.Errorf("stalled caller %d: %q, %v; want %q and a close", i, got, err, want)
		}
	}
}
