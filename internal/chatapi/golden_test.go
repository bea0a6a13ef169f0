package chatapi_test

import (
	"io"
	"net/http"
	"regexp"
	"strings"
	"testing"
	"time"

	"rampspread/internal/testutil"
	"rampspread/internal/testutil/golden"
)

// Patterns of the parts of answers that differ between runs.
var (
	randomID   = regexp.MustCompile(`[0-9a-f]{16}`)
	created    = regexp.MustCompile(`"created":[1-9][0-9]*`)
	retryAfter = regexp.MustCompile(`(Retry-After[A-Za-z-]*): [0-9]+`)
)

// formatAnswer formats an answer for a golden file. It replaces the parts that differ between runs.
func formatAnswer(name string, resp *http.Response, text string) string {
	out := testutil.DumpResponse(resp, text)
	out = created.ReplaceAllString(randomID.ReplaceAllString(out, "ID"), `"created":NOW`)
	if resp.StatusCode == http.StatusTooManyRequests { // the time is random
		out = retryAfter.ReplaceAllString(out, "$1: WAIT")
	}
	return "# " + name + "\n" + out + "\n"
}

// This test guards against an unintended change of the answers, streams and list of models that clients receive, and of
// the request that is forwarded to the replicas.
func TestGoldenAnswers(t *testing.T) {
	s := startService(t, testutil.ServePrefill, testutil.ServeDecode("Parcel ", "7"))
	var all strings.Builder
	noUsage := strings.Replace(requestBody("frage", true, "Whose?"), `"include_usage":true`, `"include_usage":false`, 1)
	for _, c := range []struct{ name, body, key string }{
		{"plain", requestBody("frage", false, "Whose?"), ""},
		{"stream with usage", requestBody("frage", true, "Whose?"), ""},
		{"stream without usage", noUsage, ""},
		{"filing", requestBody("meldung", false, "Whose?"), "key-1"},
		{"filing again", requestBody("meldung", false, "Whose?"), "key-1"},
		{"filing, a stream", requestBody("meldung", true, "Whose?"), "key-2"},
		{"filing again, a stream", requestBody("meldung", true, "Whose?"), "key-2"},
		{"another filing of the key", requestBody("meldung", true, "Mine?"), "key-2"},
	} {
		var headers []string
		if c.key != "" {
			headers = []string{"Idempotency-Key", c.key}
		}
		resp, text, err := s.post(t, c.body, headers...)
		if err != nil {
			t.Fatal(err)
		}
		all.WriteString(formatAnswer(c.name, resp, text))
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
		all.WriteString(formatAnswer("GET "+path, resp, string(text)))
	}
	all.WriteString("# the body that a server gets\n" + s.Decode.Bodies()[0] + "\n")
	golden.Text(t, "answers.golden", all.String())
}

// This test guards against an unintended change of the answers to requests that are not run or that fail.
func TestGoldenErrors(t *testing.T) {
	good, keyed := requestBody("frage", false, "x"), requestBody("meldung", false, "x")
	key := []string{"Idempotency-Key", "k"}
	var all strings.Builder
	for _, c := range []struct {
		name            string
		prefill, decode testutil.Script
		body            string
		headers         []string
	}{
		{name: "no json", body: "{"},
		{name: "a number", body: "5"},
		{name: "model is a number", body: `{"model":5}`},
		{name: "messages are a number", body: `{"messages":5}`},
		{name: "a message is a number", body: `{"messages":[5]}`},
		{name: "role is a number", body: `{"messages":[{"role":5}]}`},
		{name: "content is a number", body: `{"messages":[{"content":5}]}`},
		{name: "stream is a number", body: `{"stream":5}`},
		{name: "n is a text", body: `{"n":"x"}`},
		{name: "n is a fraction", body: `{"n":1.5}`},
		{name: "max_tokens is a text", body: `{"max_tokens":"x"}`},
		{name: "max_completion_tokens is a text", body: `{"max_completion_tokens":"x"}`},
		{name: "prompt_cache_key is a number", body: `{"prompt_cache_key":5}`},
		{name: "stream_options is a number", body: `{"stream_options":5}`},
		{name: "include_usage is a number", body: `{"stream_options":{"include_usage":5}}`},
		{name: "no messages", body: `{"model":"frage"}`},
		{name: "unknown role", body: strings.Replace(good, "system", "king", 1)},
		{name: "an image", body: strings.Replace(good, `"type":"text"`, `"type":"image_url"`, 1)},
		{name: "two answers", body: strings.Replace(good, `"stream":`, `"n":2,"stream":`, 1)},
		{name: "no tokens", body: strings.Replace(good, `"stream":`, `"max_tokens":0,"stream":`, 1)},
		{name: "unknown model", body: requestBody("gpt", false, "x")},
		{name: "bad deadline", body: good, headers: []string{"X-Expires-In", "soon"}},
		{name: "too large", body: strings.Repeat(" ", 256<<10) + good},
		{name: "empty"},
		{name: "filing without a key", body: keyed},
		{name: "refused", prefill: testutil.ServeStatusNeverRan(503), body: good},
		{name: "failed filing", decode: testutil.ServeStatus(500), body: keyed, headers: key},
		{name: "silent filing", decode: testutil.NeverRespond, body: keyed, headers: append([]string{"X-Expires-In", "900m"}, key...)},
		{name: "broken plain", decode: testutil.ServeTruncated(150, "a", "b"), body: good},
		{name: "broken filing", decode: testutil.ServeTruncated(150, "a", "b"), body: keyed, headers: key},
		{name: "broken stream", decode: testutil.ServeTruncated(150, "a", "b"), body: requestBody("frage", true, "x")},
	} {
		s := startService(t, scriptOr(c.prefill, testutil.ServePrefill), scriptOr(c.decode, testutil.ServeDecode("a")))
		// The error is ignored: in the case "broken stream" the connection is closed before the body is complete.
		resp, text, _ := s.post(t, c.body, c.headers...)
		all.WriteString(formatAnswer(c.name, resp, text))
	}
	golden.Text(t, "errors.golden", all.String())
}

// This test guards against an unintended change of the answers to a retry whose first attempt has no known answer, and
// to a request whose key no longer fits into the table.
func TestGoldenIdempotencyKeys(t *testing.T) {
	var all strings.Builder
	release := make(chan struct{})
	s := startService(t, testutil.ServePrefill, func(w http.ResponseWriter, r *http.Request, n int) {
		<-release
		testutil.ServeDecode("Noted")(w, r, n)
	})
	request, done := requestBody("meldung", false, "x"), make(chan int)
	go func() {
		resp, _, _ := s.post(t, request, "Idempotency-Key", "k")
		done <- resp.StatusCode
	}()
	testutil.Eventually(t, "the first attempt", func() bool { n, _ := s.Decode.Calls(); return n == 1 })
	resp, text, _ := s.post(t, request, "Idempotency-Key", "k")
	all.WriteString(formatAnswer("in progress", resp, text))
	close(release)
	<-done
	s.Decode.SetScript(testutil.ServeStatus(500))
	s.post(t, request, "Idempotency-Key", "k2")
	resp, text, _ = s.post(t, request, "Idempotency-Key", "k2")
	all.WriteString(formatAnswer("may have run", resp, text))
	for range 62 {
		s.post(t, request, "Idempotency-Key", "more "+time.Now().String())
	}
	resp, text, _ = s.post(t, request, "Idempotency-Key", "one more")
	all.WriteString(formatAnswer("full", resp, text))
	golden.Text(t, "filings.golden", all.String())
}
