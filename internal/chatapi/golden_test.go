package chatapi_test

import (
	"flag"
	"io"
	"net/http"
	"regexp"
	"strings"
	"testing"
	"time"

	"rampspread/internal/testkit"
)

var update = flag.Bool("update", false, "write the golden files anew")

// What differs from run to run.
var (
	randomID = regexp.MustCompile(`[0-9a-f]{16}`)
	created  = regexp.MustCompile(`"created":[1-9][0-9]*`)
	waitTime = regexp.MustCompile(`(Retry-After[A-Za-z-]*): [0-9]+`)
)

func dump(name string, resp *http.Response, text string) string {
	out := testkit.DumpResponse(resp, text)
	out = created.ReplaceAllString(randomID.ReplaceAllString(out, "ID"), `"created":NOW`)
	if resp.StatusCode == http.StatusTooManyRequests { // the wait is drawn
		out = waitTime.ReplaceAllString(out, "$1: WAIT")
	}
	return "# " + name + "\n" + out + "\n"
}

// Whole answers, streams and the list of models, as clients are sent them, and what is passed on to the servers.
func TestGoldenAnswers(t *testing.T) {
	s := serve(t, testkit.Read, testkit.Write("Parcel ", "7"))
	var all strings.Builder
	noUsage := strings.Replace(body("frage", true, "Whose?"), `"include_usage":true`, `"include_usage":false`, 1)
	for _, c := range []struct{ name, text, key string }{
		{"plain", body("frage", false, "Whose?"), ""},
		{"stream with usage", body("frage", true, "Whose?"), ""},
		{"stream without usage", noUsage, ""},
		{"filing", body("meldung", false, "Whose?"), "key-1"},
		{"filing again", body("meldung", false, "Whose?"), "key-1"},
		{"filing, a stream", body("meldung", true, "Whose?"), "key-2"},
		{"filing again, a stream", body("meldung", true, "Whose?"), "key-2"},
		{"another filing of the key", body("meldung", true, "Mine?"), "key-2"},
	} {
		var headers []string
		if c.key != "" {
			headers = []string{"Idempotency-Key", c.key}
		}
		resp, text, err := s.post(t, c.text, headers...)
		if err != nil {
			t.Fatal(err)
		}
		all.WriteString(dump(c.name, resp, text))
	}
	for _, path := range []string{"/healthz", "/v1/models", "/v1/chat/completions", "/elsewhere"} {
		resp, err := http.Get(s.url + path)
		if err != nil {
			t.Fatal(err)
		}
		text, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		if err != nil {
			t.Fatal(err)
		}
		all.WriteString(dump("GET "+path, resp, string(text)))
	}
	all.WriteString("# the body that a server gets\n" + s.Writer.Bodies()[0] + "\n")
	testkit.CheckGolden(t, *update, "answers.golden", all.String())
}

// Each answer to a request that is not run, or fails.
func TestGoldenErrors(t *testing.T) {
	good, filing := body("frage", false, "x"), body("meldung", false, "x")
	key := []string{"Idempotency-Key", "k"}
	var all strings.Builder
	for _, c := range []struct {
		name        string
		read, write testkit.Script
		text        string
		headers     []string
	}{
		{name: "no json", text: "{"},
		{name: "a number", text: "5"},
		{name: "model is a number", text: `{"model":5}`},
		{name: "messages are a number", text: `{"messages":5}`},
		{name: "a message is a number", text: `{"messages":[5]}`},
		{name: "role is a number", text: `{"messages":[{"role":5}]}`},
		{name: "content is a number", text: `{"messages":[{"content":5}]}`},
		{name: "stream is a number", text: `{"stream":5}`},
		{name: "n is a text", text: `{"n":"x"}`},
		{name: "n is a fraction", text: `{"n":1.5}`},
		{name: "max_tokens is a text", text: `{"max_tokens":"x"}`},
		{name: "max_completion_tokens is a text", text: `{"max_completion_tokens":"x"}`},
		{name: "prompt_cache_key is a number", text: `{"prompt_cache_key":5}`},
		{name: "stream_options is a number", text: `{"stream_options":5}`},
		{name: "include_usage is a number", text: `{"stream_options":{"include_usage":5}}`},
		{name: "no messages", text: `{"model":"frage"}`},
		{name: "unknown role", text: strings.Replace(good, "system", "king", 1)},
		{name: "an image", text: strings.Replace(good, `"type":"text"`, `"type":"image_url"`, 1)},
		{name: "two answers", text: strings.Replace(good, `"stream":`, `"n":2,"stream":`, 1)},
		{name: "no tokens", text: strings.Replace(good, `"stream":`, `"max_tokens":0,"stream":`, 1)},
		{name: "unknown model", text: body("gpt", false, "x")},
		{name: "bad deadline", text: good, headers: []string{"X-Expires-In", "soon"}},
		{name: "too large", text: strings.Repeat(" ", 256<<10) + good},
		{name: "empty"},
		{name: "filing without a key", text: filing},
		{name: "refused", read: testkit.Status(503, true), text: good},
		{name: "failed filing", write: testkit.Status(500, false), text: filing, headers: key},
		{name: "silent filing", write: testkit.Silent, text: filing, headers: append([]string{"X-Expires-In", "900m"}, key...)},
		{name: "broken plain", write: testkit.Cut(150, "a", "b"), text: good},
		{name: "broken filing", write: testkit.Cut(150, "a", "b"), text: filing, headers: key},
		{name: "broken stream", write: testkit.Cut(150, "a", "b"), text: body("frage", true, "x")},
	} {
		read, write := testkit.Script(testkit.Read), testkit.Write("a")
		if c.read != nil {
			read = c.read
		}
		if c.write != nil {
			write = c.write
		}
		resp, text, _ := serve(t, read, write).post(t, c.text, c.headers...) // a stream that breaks off has an error here
		all.WriteString(dump(c.name, resp, text))
	}
	testkit.CheckGolden(t, *update, "errors.golden", all.String())
}

// The answers to a filing's repeat, as long as its own answer is not known, and to one more than the table holds.
func TestGoldenFilings(t *testing.T) {
	var all strings.Builder
	let := make(chan struct{})
	s := serve(t, testkit.Read, func(w http.ResponseWriter, r *http.Request, n int) {
		<-let
		testkit.Write("Noted")(w, r, n)
	})
	filing, done := body("meldung", false, "x"), make(chan int)
	go func() {
		resp, _, _ := s.post(t, filing, "Idempotency-Key", "k")
		done <- resp.StatusCode
	}()
	testkit.Eventually(t, "the first try", func() bool { n, _ := s.Writer.Calls(); return n == 1 })
	resp, text, _ := s.post(t, filing, "Idempotency-Key", "k")
	all.WriteString(dump("in progress", resp, text))
	close(let)
	<-done
	s.Writer.Follow(testkit.Status(500, false))
	s.post(t, filing, "Idempotency-Key", "k2")
	resp, text, _ = s.post(t, filing, "Idempotency-Key", "k2")
	all.WriteString(dump("may have run", resp, text))
	for range 62 {
		s.post(t, filing, "Idempotency-Key", "more "+time.Now().String())
	}
	resp, text, _ = s.post(t, filing, "Idempotency-Key", "one more")
	all.WriteString(dump("full", resp, text))
	testkit.CheckGolden(t, *update, "filings.golden", all.String())
}
