package app

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"rampspread/internal/system"
	"rampspread/internal/testkit"
)

// drainChecked is when, after an operator's drain began, its clients' connections are looked at.
const drainChecked = 4 * time.Second

// drained is a program that an operator is about to drain.
type drained struct {
	listen, ops string
	let         chan bool // ends a stream that has begun
}

// firstDrained is the last part of the first loopback address of this test's programs, which no other test uses.
const firstDrained = 50

// startDrained serves in this process, on an address of its own; each stream of its writer sends one event and waits.
func startDrained(t *testing.T, number int) *drained {
	t.Helper()
	host := fmt.Sprintf("%s%d", testkit.Net(), firstDrained+number)
	d := &drained{listen: host + ":9000", ops: host + ":9600", let: make(chan bool, 8)}
	end := make(chan struct{})
	reader := testkit.NewReplica(t, testkit.Read)
	writer := testkit.NewReplica(t, func(w http.ResponseWriter, r *http.Request, n int) {
		text := testkit.Answer("one", "two")
		first := strings.Index(text, "\n\n") + 2
		w.Header().Set("Content-Type", "text/event-stream")
		io.WriteString(w, text[:first])
		http.NewResponseController(w).Flush()
		select {
		case <-d.let:
		case <-end:
		}
		io.WriteString(w, text[first:])
	})
	list := listText(reader.Addr, writer.Addr)
	discovery, _ := newAgent(t, list)
	config := strings.Replace(configText(d.listen, discovery, list), `"listen"`, fmt.Sprintf(`"ops":%q,"listen"`, d.ops), 1)
	ctx, term := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	args := []string{"serve", "-config", file(t, "config.json", config)}
	go func() { ended <- run(ctx, system.Real(), args, signals{print: make(chan os.Signal)}, new(output)) }()
	t.Cleanup(func() {
		close(end)
		term()
		if err := <-ended; err != nil {
			t.Errorf("ended with %v", err)
		}
	})
	ready(t, d.listen)
	return d
}

// ended is what came on a connection, and whether the other side has closed it.
func ended(c net.Conn) (text string, closed bool) {
	c.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	got, err := io.ReadAll(c)
	timeout, ok := err.(net.Error)
	return string(got), !ok || !timeout.Timeout()
}

// drainCase is a client of a program that is drained at a time. It returns the connection that must have ended by then; answer is what
// must have come on it.
type drainCase struct {
	answer string
	client func(t *testing.T, d *drained, from time.Time, streaming net.Conn, answers *bufio.Reader) net.Conn
}

var drainCases = map[string]drainCase{
	"asks again as a stream ends": {"", func(t *testing.T, d *drained, from time.Time, c net.Conn, answers *bufio.Reader) net.Conn {
		resp, err := http.ReadResponse(answers, nil)
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Until(from.Add(2500 * time.Millisecond)))
		d.let <- true
		io.Copy(io.Discard, resp.Body)
		io.WriteString(c, wireText("again", "{}"))
		return c
	}},
	"asks late": {"HTTP/1.1 503 ", func(t *testing.T, d *drained, from time.Time, _ net.Conn, _ *bufio.Reader) net.Conn {
		time.Sleep(time.Until(from.Add(2100 * time.Millisecond)))
		late := dialTo(t, d.listen)
		io.WriteString(late, wireText("late", "{}"))
		return late
	}},
	"is silent, and came late": {"", func(t *testing.T, d *drained, from time.Time, _ net.Conn, _ *bufio.Reader) net.Conn {
		time.Sleep(time.Until(from.Add(2200 * time.Millisecond)))
		return dialTo(t, d.listen)
	}},
	"stops in a body": {"HTTP/1.1 503 ", func(t *testing.T, d *drained, from time.Time, _ net.Conn, _ *bufio.Reader) net.Conn {
		time.Sleep(time.Until(from.Add(1800 * time.Millisecond)))
		late := dialTo(t, d.listen)
		text := wireText("half", "{}")
		io.WriteString(late, text[:len(text)-1])
		return late
	}},
	"sends a head byte by byte": {"HTTP/1.1 503 ", func(t *testing.T, d *drained, from time.Time, _ net.Conn, _ *bufio.Reader) net.Conn {
		time.Sleep(time.Until(from.Add(2300 * time.Millisecond)))
		late := dialTo(t, d.listen)
		go func() {
			for _, b := range []byte(wireText("bytes", "{}")) {
				if _, err := late.Write([]byte{b}); err != nil {
					return
				}
				time.Sleep(200 * time.Millisecond)
			}
		}()
		return late
	}},
}

// Four seconds after an operator's drain no client's connection is held that rests, waits for the rest of a request, or has a request of
// the last two seconds.
func TestDrainEndsConnections(t *testing.T) {
	number := 0
	for name, c := range drainCases {
		number++
		t.Run(name, func(t *testing.T) {
			own := number
			t.Parallel()
			d := startDrained(t, own)
			streaming := dialTo(t, d.listen)
			io.WriteString(streaming, wireText("first", "{}"))
			answers := bufio.NewReader(streaming)
			if _, err := answers.Peek(1); err != nil { // its head is out, and does not say that it is the last answer
				t.Fatal(err)
			}
			from := time.Now()
			if got := call(t, d.ops, "drain-on"); got != "SUCCESS draining" {
				t.Fatal(got)
			}
			held := c.client(t, d, from, streaming, answers)
			time.Sleep(time.Until(from.Add(drainChecked)))
			text, closed := ended(held)
			if !closed {
				t.Errorf("held %v after the drain", time.Since(from))
			}
			if !strings.HasPrefix(text, c.answer) || c.answer == "" && text != "" {
				t.Errorf("it got %q, want %q", text, c.answer)
			}
		})
	}
}
