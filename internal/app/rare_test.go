package app

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"rampspread/internal/testkit"
)

// start begins the program as a process under a shell's limits, such as "ulimit -n 64;", and ends it with the test.
func start(t *testing.T, limits, config string, args ...string) (*exec.Cmd, *output) {
	t.Helper()
	out := &output{}
	program := exec.Command("/bin/sh", append([]string{"-c", limits + ` exec "$0" "$@"`, os.Args[0], "serve"}, args...)...)
	program.Env = append(os.Environ(), "RAMPSPREAD_TEST_PROGRAM=1", "LB_CONFIG="+config)
	program.Stdout, program.Stderr = out, out
	if err := program.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { program.Process.Kill(); program.Wait() })
	return program, out
}

func dialTo(t *testing.T, addr string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(30 * time.Second))
	return c
}

// wireText is a request of the platform's protocol as its bytes.
func wireText(id, body string) string {
	return fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: b\r\nX-Trace-Id: %s\r\nX-Qos: frage\r\nX-Expires-In: 60000m\r\n"+
		"X-Props: prompt_len=8\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// Where SIGTERM and SIGKILL are 3.7 s apart, what comes on open connections more than 0.7 s after SIGTERM must not be taken: half a
// request that comes whole later is refused at once, a connection whose stream ends then takes nothing more, one that rests is closed,
// and what had begun is finished.
func TestAfterSIGTERM(t *testing.T) {
	begun, let := make(chan bool, 1), make(chan bool)
	reader := testkit.NewReplica(t, testkit.Read)
	writer := testkit.NewReplica(t, func(w http.ResponseWriter, r *http.Request, n int) {
		if r.Header.Get("X-Trace-Id") == "streams" {
			w.Header().Set("Content-Type", "text/event-stream")
			io.WriteString(w, strings.SplitAfter(testkit.Answer("a"), "\n\n")[0])
			http.NewResponseController(w).Flush()
			begun <- true
			<-let
			io.WriteString(w, strings.SplitAfterN(testkit.Answer("a"), "\n\n", 2)[1])
			return
		}
		testkit.Write("alpha")(w, r, n)
	})
	list := listText(reader.Addr, writer.Addr)
	discovery, _ := newAgent(t, list)
	listen := freeAddr(t)
	program, out := start(t, "", file(t, "config.json", configText(listen, discovery, list)))
	ready(t, listen)

	rests, half, streams := dialTo(t, listen), dialTo(t, listen), dialTo(t, listen)
	restsFrom := bufio.NewReader(rests)
	io.WriteString(rests, wireText("rests", "{}"))
	if resp, err := http.ReadResponse(restsFrom, nil); err != nil || resp.StatusCode != 200 {
		t.Fatalf("before the end: %v, %v", resp, err)
	} else {
		io.Copy(io.Discard, resp.Body)
	}
	text := wireText("half", "{}")
	io.WriteString(half, text[:60])
	io.WriteString(streams, wireText("streams", "{}"))
	<-begun
	streamFrom := bufio.NewReader(streams)
	resp, err := http.ReadResponse(streamFrom, nil) // its head says nothing of a close
	if err != nil || resp.Close {
		t.Fatalf("the stream's head: %v, %v", resp, err)
	}
	if err := program.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if got, err := io.ReadAll(restsFrom); err != nil || len(got) > 0 {
		t.Errorf("the resting connection ended with %q, %v", got, err)
	}
	time.Sleep(rejectNewAfter) // more than that since SIGTERM: the time itself is what is tested
	io.WriteString(half, text[60:])
	if resp, err := http.ReadResponse(bufio.NewReader(half), nil); err != nil || resp.StatusCode != 503 || resp.Header.Get("Retry-After") == "" || !resp.Close {
		t.Errorf("a request that came too late: %v, %v", resp, err)
	}
	close(let)
	body, err := io.ReadAll(resp.Body)
	if err != nil || string(body) != testkit.Answer("a") {
		t.Errorf("the stream ended with %q, %v", body, err)
	}
	io.WriteString(streams, wireText("after", "{}"))
	if got, _ := io.ReadAll(streamFrom); len(got) > 0 {
		t.Errorf("behind the stream: %q", got)
	}
	if err := program.Wait(); err != nil {
		t.Errorf("ended with %v: %s", err, out.String())
	}
	if n, _ := writer.Calls(); n != 2 {
		t.Errorf("%d requests were sent on", n)
	}
}

// Idle clients that fill the descriptors while discovery is down keep neither it nor replicas nor those who ask from theirs.
func TestIdleClientsWhileDiscoveryIsDown(t *testing.T) {
	gone, reader, writer := testkit.NewReplica(t, testkit.Read), testkit.NewReplica(t, testkit.Read), testkit.NewReplica(t, testkit.Write("alpha"))
	var down atomic.Bool
	list := listText(gone.Addr, writer.Addr)
	var moved atomic.Pointer[string]
	moved.Store(&list)
	agent := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case down.Load():
			panic(http.ErrAbortHandler)
		case r.URL.Query().Get("stream") == "":
			io.WriteString(w, *moved.Load())
		default:
			io.WriteString(w, strings.ReplaceAll(*moved.Load(), "\n", "")+"\n")
			http.NewResponseController(w).Flush()
			<-r.Context().Done()
		}
	}))
	defer func() { agent.CloseClientConnections(); agent.Close() }()
	listen := freeAddr(t)
	config := strings.Replace(configText(listen, agent.Listener.Addr().String(), list), `"sockets":1024`, `"sockets":64`, 1)
	_, out := start(t, "ulimit -n 64;", file(t, "config.json", config))
	ready(t, listen)
	down.Store(true)
	agent.CloseClientConnections()
	for range 200 {
		dialTo(t, listen)
	}
	fresh := listText(reader.Addr, writer.Addr)
	moved.Store(&fresh)
	down.Store(false)
	testkit.Eventually(t, "a read at the new reader", func() bool {
		status, body := post(t, listen, "asks", "{}")
		if status != 200 || body != testkit.Answer("alpha") {
			t.Errorf("status %d, %q", status, body)
		}
		n, _ := reader.Calls()
		return n > 0 || t.Failed()
	})
	if text := out.String(); strings.Contains(text, "too many open files") {
		t.Errorf("descriptors ran out: %s", text)
	}
}

// A restarted process is ready soon, whatever is silent then: its agent, a discovery that has to be asked, or a process of its name that
// was killed and left its folder. Settings that let news bind late hold it up no longer.
func TestReadyAfterARestart(t *testing.T) {
	for _, mode := range []string{"push", "ask"} {
		t.Run(mode, func(t *testing.T) {
			silent := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }))
			defer func() { silent.CloseClientConnections(); silent.Close() }()
			listen, folder := freeAddr(t), t.TempDir()
			text := configText(listen, silent.Listener.Addr().String(), listText("127.0.0.1:1", "127.0.0.1:1"))
			text = strings.Replace(text, `"az":0`, `"az":0,"discovery":"`+mode+`"`, 1)
			config := file(t, "config.json", strings.Replace(text, `"rules":{`, `"rules":{"stopSendingWithinMs":60000,`, 1))
			for range 2 {
				from := time.Now()
				program, _ := start(t, "", config, "-handover", folder)
				ready(t, listen)
				if took := time.Since(from); took > 6*time.Second {
					t.Errorf("ready after %v", took)
				}
				program.Process.Kill()
				program.Wait()
			}
		})
	}
}

// An event is passed on as it comes, while other clients take nothing of theirs: the replica writes each event only once the client has
// the one before, so one that is held back until the next ends the test.
func TestEachEventByItself(t *testing.T) {
	const events = 20
	took := make(chan bool)
	reader := testkit.NewReplica(t, testkit.Read)
	writer := testkit.NewReplica(t, func(w http.ResponseWriter, r *http.Request, n int) {
		if r.Header.Get("X-Trace-Id") != "fast" {
			testkit.Write(strings.Repeat("x", 8<<10), strings.Repeat("y", 60<<10))(w, r, n)
			return
		}
		w.Header().Set("Content-Type", "text/event-stream")
		for i := range events {
			fmt.Fprintf(w, "data: {\"n\":%d}\n\n", i)
			http.NewResponseController(w).Flush()
			<-took
		}
		io.WriteString(w, "data: [DONE]\n\n")
	})
	list := listText(reader.Addr, writer.Addr)
	discovery, _ := newAgent(t, list)
	listen := freeAddr(t)
	start(t, "", file(t, "config.json", configText(listen, discovery, list)))
	ready(t, listen)
	for i := range 12 {
		io.WriteString(dialTo(t, listen), wireText(fmt.Sprintf("slow-%d", i), "{}")) // and reads nothing
	}
	c := dialTo(t, listen)
	io.WriteString(c, wireText("fast", "{}"))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil || resp.StatusCode != 200 {
		t.Fatalf("%v, %v", resp, err)
	}
	lines := bufio.NewReader(resp.Body)
	for i := range events {
		line, err := lines.ReadString('\n')
		if blank, _ := lines.ReadString('\n'); err != nil || line != fmt.Sprintf("data: {\"n\":%d}\n", i) || blank != "\n" {
			t.Fatalf("event %d: %q, %v", i, line, err)
		}
		if extra := lines.Buffered(); extra > 0 {
			t.Errorf("%d bytes came with event %d", extra, i)
		}
		took <- true
	}
	if rest, err := io.ReadAll(lines); err != nil || string(rest) != "data: [DONE]\n\n" {
		t.Errorf("the end: %q, %v", rest, err)
	}
}

// A client that sends many requests at once on one connection has each answered once and in order, and those behind the one that is open
// when it leaves are not sent on.
func TestFloodOnOneConnection(t *testing.T) {
	const flood = 300
	reader, writer := testkit.NewReplica(t, testkit.Read), testkit.NewReplica(t, testkit.Write("alpha"))
	list := listText(reader.Addr, writer.Addr)
	discovery, _ := newAgent(t, list)
	listen := freeAddr(t)
	start(t, "", file(t, "config.json", configText(listen, discovery, list)))
	ready(t, listen)
	c := dialTo(t, listen)
	go func() {
		for i := range flood {
			io.WriteString(c, wireText(fmt.Sprintf("flood-%d", i), "{}"))
		}
	}()
	from := bufio.NewReader(c)
	for i := range flood {
		resp, err := http.ReadResponse(from, nil)
		if err != nil || resp.StatusCode != 200 {
			t.Fatalf("answer %d: %v, %v", i, resp, err)
		}
		if body, err := io.ReadAll(resp.Body); err != nil || string(body) != testkit.Answer("alpha") {
			t.Fatalf("answer %d: %q, %v", i, body, err)
		}
	}
	if total, most := writer.Calls(); total != flood || most != 1 {
		t.Errorf("%d calls, %d of one id", total, most)
	}

	var open atomic.Int64
	reader.Follow(func(_ http.ResponseWriter, r *http.Request, _ int) { open.Add(1); <-r.Context().Done() })
	c = dialTo(t, listen)
	for i := range flood {
		if _, err := io.WriteString(c, wireText(fmt.Sprintf("left-%d", i), "{}")); err != nil {
			t.Fatal(err)
		}
	}
	testkit.Eventually(t, "the first read", func() bool { return open.Load() == 1 })
	c.Close()
	ctx, stop := context.WithTimeout(context.Background(), 2*time.Second)
	defer stop()
	<-ctx.Done() // in which a second would be sent on
	if n := open.Load(); n != 1 {
		t.Errorf("%d reads for a client that had left during the first", n)
	}
}
