package frontend_test

import (
	"bytes"
	"flag"
	"fmt"
	"io"
	"net/http"
	"regexp"
	"strings"
	"testing"

	"rampspread/internal/connlimit"
	"rampspread/internal/frontend"
	"rampspread/internal/testkit"
)

var update = flag.Bool("update", false, "write the golden files anew")

var waitTime = regexp.MustCompile(`Retry-After: [0-9]+\.[0-9]{3}\n`)

// Each answer that the platform's front gives, with its headers and its text.
func TestGoldenAnswers(t *testing.T) {
	set := func(name, value string) func(*http.Request) {
		return func(r *http.Request) { r.Header.Set(name, value) }
	}
	var all strings.Builder
	for _, c := range []struct {
		name        string
		read, write testkit.Script
		change      func(*http.Request)
	}{
		{name: "served"},
		{name: "refused", read: testkit.Status(503, true)},
		{name: "failed", write: testkit.Status(500, false), change: set("X-Qos", "meldung")},
		{name: "no id", change: set("X-Trace-Id", "")},
		{name: "no class", change: set("X-Qos", "")},
		{name: "no deadline", change: set("X-Expires-In", "")},
		{name: "no unit", change: set("X-Expires-In", "4800")},
		{name: "past deadline", change: set("X-Expires-In", "-1m")},
		{name: "no properties", change: set("X-Props", "")},
		{name: "no length", change: set("X-Props", "max_out=8")},
		{name: "bad length", change: set("X-Props", "prompt_len=-4")},
		{name: "no pair", change: set("X-Props", "prompt_len=4,prefix")},
		{name: "other path", change: func(r *http.Request) { r.URL.Path = "/v2" }},
		{name: "health", change: func(r *http.Request) {
			r.Method, r.URL.Path, r.Body, r.ContentLength = http.MethodGet, "/healthz", http.NoBody, 0
		}},
		{name: "empty body", change: func(r *http.Request) { r.Body, r.ContentLength = http.NoBody, 0 }},
		{name: "large body", change: func(r *http.Request) {
			r.Body, r.ContentLength = io.NopCloser(bytes.NewReader(make([]byte, 256<<10+1))), 256<<10+1
		}},
	} {
		read, write := testkit.Script(testkit.Read), testkit.Write("a")
		if c.read != nil {
			read = c.read
		}
		if c.write != nil {
			write = c.write
		}
		_, _, url := serve(t, read, write)
		resp, text, err := do(t, request(t, url, c.change))
		if err != nil {
			t.Errorf("%s: %v", c.name, err)
		}
		dump := testkit.DumpResponse(resp, text)
		if resp.StatusCode == http.StatusTooManyRequests { // the wait is drawn, in seconds with three decimals
			dump = waitTime.ReplaceAllString(dump, "Retry-After: WAIT\n")
		}
		fmt.Fprintf(&all, "# %s\n%s\n", c.name, dump)
	}
	testkit.CheckGolden(t, *update, "answers.golden", all.String())
}

// A text's number is the same at each dispatcher, of whatever version.
func TestGoldenKey(t *testing.T) {
	for text, want := range map[string]uint64{"text-1": 0x9273b224f1973628, "": 0} {
		if got := uint64(frontend.HashKey(text)); got != want {
			t.Errorf("%q: key %#x, want %#x", text, got, want)
		}
	}
}

// What a client is sent whose id is that of an open request, and one for whose body there is no room.
func TestGoldenTurnedAway(t *testing.T) {
	var all strings.Builder
	in, let := make(chan bool, 1), make(chan bool)
	_, _, url := serve(t, testkit.Read, func(w http.ResponseWriter, r *http.Request, n int) {
		in <- true
		<-let
		testkit.Write("a")(w, r, n)
	})
	first := make(chan int)
	go func() { resp, _, _ := do(t, request(t, url, nil)); first <- resp.StatusCode }()
	<-in
	resp, text, err := do(t, request(t, url, nil))
	close(let)
	if status := <-first; err != nil || status != http.StatusOK {
		t.Errorf("first %d, second %v", status, err)
	}
	fmt.Fprintf(&all, "# the id of an open request\n%s\n", testkit.DumpResponse(resp, text))

	_, server := guarded(t, 1, &connlimit.Lifecycle{}, func(w http.ResponseWriter, r *http.Request) {
		if _, status, err := connlimit.ReadBody(w, r); err != nil {
			http.Error(w, err.Error(), status)
		}
	})
	if resp, text, err = do(t, request(t, server.URL, nil)); err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(&all, "# too much in hand\n%s\n", testkit.DumpResponse(resp, text))
	testkit.CheckGolden(t, *update, "turned-away.golden", all.String())
}
