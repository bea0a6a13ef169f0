package frontend_test

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"regexp"
	"strings"
	"testing"

	"rampspread/internal/connlimit"
	"rampspread/internal/frontend"
	"rampspread/internal/testutil"
	"rampspread/internal/testutil/golden"
)

// retryAfter matches a Retry-After header with a random time, in seconds with three decimals.
var retryAfter = regexp.MustCompile(`Retry-After: [0-9]+\.[0-9]{3}\n`)

// This test guards against an unintended change of the status, headers or text of the frontend's answers.
func TestGoldenAnswers(t *testing.T) {
	set := func(name, value string) func(*http.Request) {
		return func(r *http.Request) { r.Header.Set(name, value) }
	}
	var all strings.Builder
	for _, c := range []struct {
		name            string
		prefill, decode testutil.Script
		mutate          func(*http.Request)
	}{
		{name: "served"},
		{name: "refused", prefill: testutil.ServeStatusNeverRan(503)},
		{name: "failed", decode: testutil.ServeStatus(500), mutate: set("X-Qos", "meldung")},
		{name: "no id", mutate: set("X-Trace-Id", "")},
		{name: "no class", mutate: set("X-Qos", "")},
		{name: "no deadline", mutate: set("X-Expires-In", "")},
		{name: "no unit", mutate: set("X-Expires-In", "4800")},
		{name: "past deadline", mutate: set("X-Expires-In", "-1m")},
		{name: "no properties", mutate: set("X-Props", "")},
		{name: "no length", mutate: set("X-Props", "max_out=8")},
		{name: "bad length", mutate: set("X-Props", "prompt_len=-4")},
		{name: "no pair", mutate: set("X-Props", "prompt_len=4,prefix")},
		{name: "other path", mutate: func(r *http.Request) { r.URL.Path = "/v2" }},
		{name: "health", mutate: func(r *http.Request) {
			r.Method, r.URL.Path, r.Body, r.ContentLength = http.MethodGet, "/healthz", http.NoBody, 0
		}},
		{name: "empty body", mutate: func(r *http.Request) { r.Body, r.ContentLength = http.NoBody, 0 }},
		{name: "large body", mutate: func(r *http.Request) {
			r.Body, r.ContentLength = io.NopCloser(bytes.NewReader(make([]byte, 256<<10+1))), 256<<10+1
		}},
	} {
		prefill, decode := testutil.Script(testutil.ServePrefill), testutil.ServeDecode("a")
		if c.prefill != nil {
			prefill = c.prefill
		}
		if c.decode != nil {
			decode = c.decode
		}
		_, _, url := startServer(t, prefill, decode)
		resp, text, err := doRequest(t, newRequest(t, url, c.mutate))
		if err != nil {
			t.Errorf("%s: %v", c.name, err)
		}
		dump := testutil.DumpResponse(resp, text)
		if resp.StatusCode == http.StatusTooManyRequests { // the time is random
			dump = retryAfter.ReplaceAllString(dump, "Retry-After: WAIT\n")
		}
		fmt.Fprintf(&all, "# %s\n%s\n", c.name, dump)
	}
	golden.Text(t, "answers.golden", all.String())
}

// The key of a name must be the same at all dispatchers, whatever their version.
func TestGoldenHashKey(t *testing.T) {
	for name, want := range map[string]uint64{"text-1": 0x9273b224f1973628, "": 0} {
		if got := uint64(frontend.HashKey(name)); got != want {
			t.Errorf("%q: key %#x, want %#x", name, got, want)
		}
	}
}

// This test guards against an unintended change of the answers to a request with the id of an open request, and to a
// request for whose body there is not enough memory.
func TestGoldenRejections(t *testing.T) {
	var all strings.Builder
	entered, finish := make(chan bool, 1), make(chan bool)
	_, _, url := startServer(t, testutil.ServePrefill, func(w http.ResponseWriter, r *http.Request, n int) {
		entered <- true
		<-finish
		testutil.ServeDecode("a")(w, r, n)
	})
	firstStatus := make(chan int)
	go func() { resp, _, _ := doRequest(t, newRequest(t, url, nil)); firstStatus <- resp.StatusCode }()
	<-entered
	resp, text, err := doRequest(t, newRequest(t, url, nil))
	close(finish)
	if status := <-firstStatus; err != nil || status != http.StatusOK {
		t.Errorf("first %d, second %v", status, err)
	}
	fmt.Fprintf(&all, "# the id of an open request\n%s\n", testutil.DumpResponse(resp, text))

	_, server := newLimitedServer(t, 1, func(w http.ResponseWriter, r *http.Request) {
		if _, status, err := connlimit.ReadBody(w, r); err != nil {
			http.Error(w, err.Error(), status)
		}
	})
	if resp, text, err = doRequest(t, newRequest(t, server.URL, nil)); err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(&all, "# too much in hand\n%s\n", testutil.DumpResponse(resp, text))
	golden.Text(t, "turned-away.golden", all.String())
}
