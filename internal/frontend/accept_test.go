package frontend_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sync/semaphore"

	"rampspread/internal/connlimit"
	"rampspread/internal/frontend"
	"rampspread/internal/system"
	"rampspread/internal/testkit"
)

// stalled is a listener whose accepts fail for a time.
type stalled struct {
	net.Listener
	until time.Time
}

func (l *stalled) Accept() (net.Conn, error) {
	if time.Now().Before(l.until) {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Addr: l.Addr(), Err: os.NewSyscallError("accept4", syscall.ENOBUFS)}
	}
	return l.Listener.Accept()
}

// A request that has waited since accepts failed has so much less time left, and its replica is told no more than that.
func TestTimeSpentInTheBacklogIsGone(t *testing.T) {
	const stall, patience = 400 * time.Millisecond, time.Second
	f := testkit.NewFleet(t, testkit.Read, testkit.Write("alpha"))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	classes, err := f.Settings.ClassTable()
	if err != nil {
		t.Fatal(err)
	}
	g := connlimit.NewLimiter(frontend.New(f.Core, f.Settings, classes), semaphore.NewWeighted(1<<20), new(connlimit.Lifecycle), nil)
	s := &http.Server{}
	g.Attach(s)
	asked := time.Now()
	go s.Serve(g.Listen(&stalled{l, asked.Add(stall)}, room, system.Real()))
	defer s.Close()
	const slow = 2 // this one's last bytes come after the stall
	ask := func(id int) (text string) {
		return fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: b\r\nX-Trace-Id: waited%d\r\nX-Qos: frage\r\nX-Expires-In: %dm\r\n"+
			"X-Props: prompt_len=8\r\nContent-Length: 2\r\n\r\n{}", id, patience.Milliseconds())
	}
	late := dial(t, l.Addr().String())
	io.WriteString(late, ask(slow)[:60])
	for i := range 2 { // the second has waited as long as the first
		c := dial(t, l.Addr().String())
		io.WriteString(c, ask(i))
	}
	testkit.Eventually(t, "both reads", func() bool { n, _ := f.Reader.Calls(); return n == 2 })
	for i := range 2 {
		told, err := frontend.ParseExpiry(f.Reader.Header(i).Get("X-Expires-In"))
		if err != nil || told > patience-stall+150*time.Millisecond {
			t.Errorf("call %d is told %v (%v), %v after it was sent", i, told, err, stall)
		}
	}
	time.Sleep(time.Until(asked.Add(2 * stall)))
	io.WriteString(late, ask(slow)[60:])
	testkit.Eventually(t, "the third read", func() bool { n, _ := f.Reader.Calls(); return n == 3 })
	if told, err := frontend.ParseExpiry(f.Reader.Header(slow).Get("X-Expires-In")); err != nil || told < patience-stall {
		t.Errorf("the request whose last byte came late is told %v (%v)", told, err)
	}
}
