package frontend_test

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"testing"

	"rampspread/internal/frontend"
	"rampspread/internal/testutil"
)

const validProps = "prefix=5c0f6e1a2b3d4c59,prompt_len=120,prefix_len=48,max_out=80"

// newRequest returns a valid request, changed by mutate unless that is nil.
func newRequest(t testing.TB, url string, mutate func(*http.Request)) *http.Request {
	t.Helper()
	r, err := http.NewRequest(http.MethodPost, url+"/v1/chat/completions", strings.NewReader(`{"stream":true}`))
	if err != nil {
		t.Fatal(err)
	}
	for name, v := range map[string]string{"X-Trace-Id": "9b1f03aa5c7e2d41", "X-Qos": "frage", "X-Object": "7f3a",
		"X-Expires-In": "30000m", "X-Props": validProps} {
		r.Header.Set(name, v)
	}
	if mutate != nil {
		mutate(r)
	}
	return r
}

// startServer starts a server with a Handler and no Limiter. The Handler dispatches to a deployment whose replicas
// follow the scripts. The last result is the server's URL.
func startServer(t testing.TB, prefill, decode testutil.Script) (*testutil.Deployment, *frontend.Handler, string) {
	t.Helper()
	deployment := testutil.NewDeployment(t, prefill, decode)
	classes, err := deployment.Settings.ClassTable()
	if err != nil {
		t.Fatal(err)
	}
	handler := frontend.NewHandler(deployment.Dispatcher, deployment.Settings, classes)
	s := httptest.NewServer(handler)
	t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
	return deployment, handler, s.URL
}

// doRequest sends a request and returns its response and the body read. The error is the one from reading the body.
func doRequest(t testing.TB, r *http.Request) (*http.Response, string, error) {
	t.Helper()
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp, string(body), err
}

func TestAnswerIsServedUnchanged(t *testing.T) {
	deployment, _, url := startServer(t, testutil.ServePrefill, testutil.ServeDecode("alpha", "beta"))
	resp, body, err := doRequest(t, newRequest(t, url, nil))
	if err != nil || resp.StatusCode != http.StatusOK || body != testutil.EventStream("alpha", "beta") {
		t.Errorf("status %d, body %q, %v", resp.StatusCode, body, err)
	}
	if h := deployment.Decode.Header(0); h.Get("X-Trace-Id") != "9b1f03aa5c7e2d41" {
		t.Errorf("the decode replica got %v", h)
	}
}

// A stream that broke must not look complete to the client: its connection has to end without the last chunk.
func TestBrokenStreamEndsWithoutLastChunk(t *testing.T) {
	whole := testutil.EventStream("alpha", "beta")
	deployment, _, url := startServer(t, testutil.ServePrefill, testutil.ServePrefill)
	for n := strings.Index(whole, "\n\n") + 2; n < len(whole); n += 29 {
		deployment.Decode.SetScript(testutil.ServeTruncated(n, "alpha", "beta"))
		resp, body, err := doRequest(t, newRequest(t, url, nil))
		if err == nil || resp.StatusCode != http.StatusOK || body != testutil.CompleteEvents(whole[:n]) {
			t.Errorf("cut at %d: status %d, body %q, %v", n, resp.StatusCode, body, err)
		}
	}
}

// A client that does not read its answer must not delay the answers to other clients.
func TestSlowClientStallsNoOther(t *testing.T) {
	deployment, _, url := startServer(t, testutil.ServePrefill, testutil.ServeDecode(slices.Repeat([]string{strings.Repeat("x", 32<<10)}, 512)...))
	r := newRequest(t, url, nil)
	conn, err := net.Dial("tcp", r.URL.Host)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if err := r.Write(conn); err != nil {
		t.Fatal(err)
	}
	testutil.Eventually(t, "the slow client's answer to start", func() bool { n, _ := deployment.Decode.Calls(); return n == 1 })
	deployment.Decode.SetScript(testutil.ServeDecode("a"))
	for i := range 8 {
		resp, body, err := doRequest(t, newRequest(t, url, func(r *http.Request) { r.Header.Set("X-Trace-Id", strconv.Itoa(i)) }))
		if resp.StatusCode != 200 || body != testutil.EventStream("a") || err != nil {
			t.Errorf("request %d: status %d, %q, %v", i, resp.StatusCode, body, err)
		}
	}
}

func TestRejectionHasRetryAfter(t *testing.T) {
	_, _, url := startServer(t, testutil.ServeStatusNeverRan(503), testutil.ServePrefill)
	resp, _, _ := doRequest(t, newRequest(t, url, nil))
	if s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); resp.StatusCode != 429 || err != nil || s <= 0 {
		t.Errorf("status %d, Retry-After %q", resp.StatusCode, resp.Header.Get("Retry-After"))
	}
}

func TestRequestThatMayHaveRunIsNotRetried(t *testing.T) {
	deployment, _, url := startServer(t, testutil.ServePrefill, testutil.ServeStatus(500))
	resp, _, _ := doRequest(t, newRequest(t, url, func(r *http.Request) { r.Header.Set("X-Qos", "meldung") }))
	if total, _ := deployment.Decode.Calls(); resp.StatusCode != http.StatusBadGateway || total != 1 {
		t.Errorf("status %d after %d calls", resp.StatusCode, total)
	}
}

// A request with the id of an open request must be rejected without being sent to a replica. The id can be used again
// once the open request has ended.
func TestDuplicateIDOfAnOpenRequestIsRejected(t *testing.T) {
	entered, finish := make(chan bool, 8), make(chan bool, 8)
	deployment, handler, url := startServer(t, testutil.ServePrefill, func(w http.ResponseWriter, r *http.Request, n int) {
		entered <- true
		<-finish
		testutil.ServeDecode("a")(w, r, n)
	})
	firstStatus := make(chan int)
	go func() {
		resp, _, _ := doRequest(t, newRequest(t, url, nil))
		firstStatus <- resp.StatusCode
	}()
	<-entered
	resp, _, _ := doRequest(t, newRequest(t, url, nil))
	total, _ := deployment.Prefill.Calls()
	finish <- true
	finish <- true
	if got := <-firstStatus; got != 200 || resp.StatusCode != http.StatusConflict || total != 1 || handler.Malformed() != 1 {
		t.Errorf("first %d, second %d, %d prefill calls, %d malformed", got, resp.StatusCode, total, handler.Malformed())
	}
	if resp, _, _ := doRequest(t, newRequest(t, url, nil)); resp.StatusCode != 200 {
		t.Errorf("afterwards: status %d", resp.StatusCode)
	}
}

func TestMalformedRequestsAreRejectedAndCounted(t *testing.T) {
	deployment, handler, url := startServer(t, testutil.ServePrefill, testutil.ServeDecode("a"))
	set := func(name, value string) func(*http.Request) {
		return func(r *http.Request) { r.Header.Set(name, value) }
	}
	cases := map[string]func(*http.Request){
		"no id":          set("X-Trace-Id", ""),
		"id with a path": set("X-Trace-Id", "../x"),
		"long id":        set("X-Trace-Id", strings.Repeat("a", 65)),
		"no class":       set("X-Qos", ""),
		"unknown class":  set("X-Qos", "chat"),
		"no deadline":    set("X-Expires-In", ""),
		"no unit":        set("X-Expires-In", "4800"),
		"no time":        set("X-Expires-In", "m"),
		"past deadline":  set("X-Expires-In", "-1m"),
		"no number":      set("X-Expires-In", "NaNm"),
		"far deadline":   set("X-Expires-In", "1e30u"),
		"no props":       set("X-Props", ""),
		"no length":      set("X-Props", "max_out=8"),
		"bad length":     set("X-Props", "prompt_len=-4"),
		"half a token":   set("X-Props", "prompt_len=4.5"),
		"no pair":        set("X-Props", "prompt_len=4,prefix"),
		"other path":     func(r *http.Request) { r.URL.Path = "/v2" },
		"no post":        func(r *http.Request) { r.Method = http.MethodPut },
		"empty body":     func(r *http.Request) { r.Body, r.ContentLength = http.NoBody, 0 },
		"large body": func(r *http.Request) {
			r.Body, r.ContentLength = io.NopCloser(bytes.NewReader(make([]byte, 256<<10+1))), 256<<10+1
		},
	}
	for name, mutate := range cases {
		if resp, _, _ := doRequest(t, newRequest(t, url, mutate)); resp.StatusCode/100 != 4 || resp.StatusCode == 429 {
			t.Errorf("%s: status %d", name, resp.StatusCode)
		}
	}
	if total, _ := deployment.Prefill.Calls(); total != 0 || handler.Malformed() != int64(len(cases)) {
		t.Errorf("%d prefill calls, %d of %d requests counted as malformed", total, handler.Malformed(), len(cases))
	}
	if resp, _, err := doRequest(t, newRequest(t, url, nil)); resp.StatusCode != 200 || err != nil {
		t.Errorf("a good request after them: status %d, %v", resp.StatusCode, err)
	}
}

// FuzzRequestHeader passes raw request bytes through net/http's parser to the handler. Every request that net/http
// parses must be answered, and nothing may panic.
func FuzzRequestHeader(f *testing.F) {
	valid := "POST /v1/chat/completions HTTP/1.1\r\nHost: b\r\nX-Trace-Id: 9b1f03aa5c7e2d41\r\nX-Qos: frage\r\n" +
		"X-Expires-In: 4800m\r\nX-Props: " + validProps + "\r\nContent-Length: 2\r\n\r\n{}"
	for _, text := range testutil.CorruptedSeeds(2, valid, strings.Replace(valid, "4800m", "4800000u", 1)) {
		f.Add(text)
	}
	_, handler, _ := startServer(f, testutil.ServePrefill, testutil.ServeDecode("a"))
	f.Fuzz(func(t *testing.T, text string) {
		r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(text)))
		if err != nil {
			return
		}
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, r)
		if w.Code < 200 || w.Code > 599 {
			t.Errorf("status %d for %q", w.Code, text)
		}
	})
}
