package app

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"rampspread/internal/testutil"
)

// With 3.7 s between SIGTERM and SIGKILL, a request that completes on an open connection more than 0.7 s after SIGTERM
// could be lost when the process is killed. It must be rejected at once. An idle connection must be closed, a stream
// that is open must be finished, and its connection must not accept another request.
func TestLateRequestsAfterSIGTERMAreRejected(t *testing.T) {
	started, finish := make(chan bool, 1), make(chan bool)
	prefill := testutil.NewReplica(t, testutil.ServePrefill)
	decode := testutil.NewReplica(t, func(w http.ResponseWriter, r *http.Request, n int) {
		if r.Header.Get("X-Trace-Id") == "streams" {
			w.Header().Set("Content-Type", "text/event-stream")
			io.WriteString(w, strings.SplitAfter(testutil.EventStream("a"), "\n\n")[0])
			http.NewResponseController(w).Flush()
			started <- true
			<-finish
			io.WriteString(w, strings.SplitAfterN(testutil.EventStream("a"), "\n\n", 2)[1])
			return
		}
		testutil.ServeDecode("alpha")(w, r, n)
	})
	list := endpointList(prefill.Addr, decode.Addr)
	discovery, _ := newDiscoveryAgent(t, list)
	listen := freeAddr(t)
	program, out := startProcess(t, "", writeFile(t, "config.json", configText(listen, discovery, list)))
	awaitReady(t, listen)

	idle, partial, streaming := dial(t, listen), dial(t, listen), dial(t, listen)
	idleAnswers := bufio.NewReader(idle)
	io.WriteString(idle, requestText("rests", "{}"))
	if resp, err := http.ReadResponse(idleAnswers, nil); err != nil || resp.StatusCode != 200 {
		t.Fatalf("before SIGTERM: %v, %v", resp, err)
	} else {
		io.Copy(io.Discard, resp.Body)
	}
	text := requestText("half", "{}")
	io.WriteString(partial, text[:60])
	io.WriteString(streaming, requestText("streams", "{}"))
	<-started
	streamAnswers := bufio.NewReader(streaming)
	resp, err := http.ReadResponse(streamAnswers, nil) // the head does not announce that the connection closes
	if err != nil || resp.Close {
		t.Fatalf("the head of the stream: %v, %v", resp, err)
	}
	if err := program.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if got, err := io.ReadAll(idleAnswers); err != nil || len(got) > 0 {
		t.Errorf("the idle connection ended with %q, %v", got, err)
	}
	time.Sleep(rejectNewAfter) // the test is about the time since SIGTERM, which is now longer than this
	io.WriteString(partial, text[60:])
	if resp, err := http.ReadResponse(bufio.NewReader(partial), nil); err != nil || resp.StatusCode != 503 ||
		resp.Header.Get("Retry-After") == "" || !resp.Close {
		t.Errorf("a request that came too late: %v, %v", resp, err)
	}
	close(finish)
	body, err := io.ReadAll(resp.Body)
	if err != nil || string(body) != testutil.EventStream("a") {
		t.Errorf("the stream ended with %q, %v", body, err)
	}
	io.WriteString(streaming, requestText("after", "{}"))
	if got, _ := io.ReadAll(streamAnswers); len(got) > 0 {
		t.Errorf("after the stream: %q", got)
	}
	if err := program.Wait(); err != nil {
		t.Errorf("ended with %v: %s", err, out.String())
	}
	if n, _ := decode.Calls(); n != 2 {
		t.Errorf("%d requests were forwarded", n)
	}
}

// Idle clients that connect while discovery is down must not use up the file descriptors: discovery, replicas and other
// clients must still get connections.
func TestIdleClientsWhileDiscoveryIsDown(t *testing.T) {
	oldPrefill, prefill := testutil.NewReplica(t, testutil.ServePrefill), testutil.NewReplica(t, testutil.ServePrefill)
	decode := testutil.NewReplica(t, testutil.ServeDecode("alpha"))
	var down atomic.Bool
	list := endpointList(oldPrefill.Addr, decode.Addr)
	var currentList atomic.Pointer[string]
	currentList.Store(&list)
	agent := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case down.Load():
			panic(http.ErrAbortHandler)
		case r.URL.Query().Get("stream") == "":
			io.WriteString(w, *currentList.Load())
		default:
			io.WriteString(w, strings.ReplaceAll(*currentList.Load(), "\n", "")+"\n")
			http.NewResponseController(w).Flush()
			<-r.Context().Done()
		}
	}))
	defer func() { agent.CloseClientConnections(); agent.Close() }()
	listen := freeAddr(t)
	config := strings.Replace(configText(listen, agent.Listener.Addr().String(), list), `"sockets":1024`, `"sockets":64`, 1)
	_, out := startProcess(t, "ulimit -n 64;", writeFile(t, "config.json", config))
	awaitReady(t, listen)
	down.Store(true)
	agent.CloseClientConnections()
	for range 200 {
		dial(t, listen)
	}
	newList := endpointList(prefill.Addr, decode.Addr)
	currentList.Store(&newList)
	down.Store(false)
	testutil.Eventually(t, "a prefill at the new replica", func() bool {
		status, body := postRequest(t, listen, "request", "{}")
		if status != 200 || body != testutil.EventStream("alpha") {
			t.Errorf("status %d, %q", status, body)
		}
		n, _ := prefill.Calls()
		return n > 0 || t.Failed()
	})
	if text := out.String(); strings.Contains(text, "too many open files") {
		t.Errorf("descriptors ran out: %s", text)
	}
}

// A restarted process is ready within 6 s, whatever does not respond then: its agent, a discovery that has to be
// polled, or a process of its name that was killed and whose folder remains. A long drain deadline in the settings does
// not delay it further.
func TestRestartServesInTime(t *testing.T) {
	for _, mode := range []string{"push", "ask"} {
		t.Run(mode, func(t *testing.T) {
			silent := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }))
			defer func() { silent.CloseClientConnections(); silent.Close() }()
			listen, folder := freeAddr(t), t.TempDir()
			text := configText(listen, silent.Listener.Addr().String(), endpointList("127.0.0.1:1", "127.0.0.1:1"))
			text = strings.Replace(text, `"az":0`, `"az":0,"discovery":"`+mode+`"`, 1)
			config := writeFile(t, "config.json", strings.Replace(text, `"rules":{`, `"rules":{"stopSendingWithinMs":60000,`, 1))
			for range 2 {
				started := time.Now()
				program, _ := startProcess(t, "", config, "-handover", folder)
				awaitReady(t, listen)
				if took := time.Since(started); took > 6*time.Second {
					t.Errorf("ready after %v", took)
				}
				program.Process.Kill()
				program.Wait()
			}
		})
	}
}

// Each event of a stream is forwarded at once, even while other clients do not read their answers. The replica writes
// an event only after the client has received the previous one, so an event that is buffered until the next one fails
// the test.
func TestStreamForwardsEachEventAtOnce(t *testing.T) {
	const events = 20
	received := make(chan bool)
	prefill := testutil.NewReplica(t, testutil.ServePrefill)
	decode := testutil.NewReplica(t, func(w http.ResponseWriter, r *http.Request, n int) {
		if r.Header.Get("X-Trace-Id") != "fast" {
			testutil.ServeDecode(strings.Repeat("x", 8<<10), strings.Repeat("y", 60<<10))(w, r, n)
			return
		}
		w.Header().Set("Content-Type", "text/event-stream")
		for i := range events {
			fmt.Fprintf(w, "data: {\"n\":%d}\n\n", i)
			http.NewResponseController(w).Flush()
			<-received
		}
		io.WriteString(w, "data: [DONE]\n\n")
	})
	list := endpointList(prefill.Addr, decode.Addr)
	discovery, _ := newDiscoveryAgent(t, list)
	listen := freeAddr(t)
	startProcess(t, "", writeFile(t, "config.json", configText(listen, discovery, list)))
	awaitReady(t, listen)
	for i := range 12 {
		io.WriteString(dial(t, listen), requestText(fmt.Sprintf("slow-%d", i), "{}")) // the answer is never read
	}
	c := dial(t, listen)
	io.WriteString(c, requestText("fast", "{}"))
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
		received <- true
	}
	if rest, err := io.ReadAll(lines); err != nil || string(rest) != "data: [DONE]\n\n" {
		t.Errorf("the end: %q, %v", rest, err)
	}
}

// Each pipelined request on one connection is answered once and in order. If the client disconnects, the requests
// queued behind the open one are not forwarded.
func TestPipelinedRequestsOnOneConnection(t *testing.T) {
	const requests = 300
	prefill, decode := testutil.NewReplica(t, testutil.ServePrefill), testutil.NewReplica(t, testutil.ServeDecode("alpha"))
	list := endpointList(prefill.Addr, decode.Addr)
	discovery, _ := newDiscoveryAgent(t, list)
	listen := freeAddr(t)
	startProcess(t, "", writeFile(t, "config.json", configText(listen, discovery, list)))
	awaitReady(t, listen)
	c := dial(t, listen)
	go func() {
		for i := range requests {
			io.WriteString(c, requestText(fmt.Sprintf("flood-%d", i), "{}"))
		}
	}()
	responses := bufio.NewReader(c)
	for i := range requests {
		resp, err := http.ReadResponse(responses, nil)
		if err != nil || resp.StatusCode != 200 {
			t.Fatalf("answer %d: %v, %v", i, resp, err)
		}
		if body, err := io.ReadAll(resp.Body); err != nil || string(body) != testutil.EventStream("alpha") {
			t.Fatalf("answer %d: %q, %v", i, body, err)
		}
	}
	if total, most := decode.Calls(); total != requests || most != 1 {
		t.Errorf("%d calls, %d of one id", total, most)
	}

	var open atomic.Int64
	prefill.SetScript(func(_ http.ResponseWriter, r *http.Request, _ int) { open.Add(1); <-r.Context().Done() })
	c = dial(t, listen)
	for i := range requests {
		if _, err := io.WriteString(c, requestText(fmt.Sprintf("gone-%d", i), "{}")); err != nil {
			t.Fatal(err)
		}
	}
	testutil.Eventually(t, "the first prefill", func() bool { return open.Load() == 1 })
	c.Close()
	ctx, stop := context.WithTimeout(t.Context(), 2*time.Second)
	defer stop()
	<-ctx.Done() // long enough for a second one to be forwarded
	if n := open.Load(); n != 1 {
		t.Errorf("%d prefills for a client that had disconnected during the first", n)
	}
}
