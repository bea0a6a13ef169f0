package chatapi_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"rampspread/internal/chatapi"
	"rampspread/internal/testkit"
)

const configText = `{"listen":"127.0.0.1:0","models":{"frage":"frage","meldung":"meldung"},"max_tokens":100,
"filings":{"entries":64,"keep_s":3600}}`

type service struct {
	*testkit.Fleet
	front *chatapi.Handler
	url   string

	mu  sync.Mutex
	now time.Time
}

func (s *service) clock() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.now
}

func serve(t testing.TB, read, write testkit.Script) *service {
	t.Helper()
	s := &service{Fleet: testkit.NewFleet(t, read, write), now: time.Unix(1e9, 0)}
	config, err := chatapi.ParseConfig([]byte(configText), s.Settings)
	if err != nil {
		t.Fatal(err)
	}
	if s.front, err = chatapi.New(s.Core, s.Settings, config, s.clock); err != nil {
		t.Fatal(err)
	}
	h := httptest.NewServer(s.front)
	t.Cleanup(func() { h.CloseClientConnections(); h.Close() })
	s.url = h.URL
	return s
}

func body(model string, stream bool, text string) string {
	return fmt.Sprintf(`{"model":%q,"stream":%t,"stream_options":{"include_usage":true},"messages":[`+
		`{"role":"system","content":"You know parcels."},{"role":"user","content":[{"type":"text","text":%q}]}]}`,
		model, stream, text)
}

// post sends a request; the headers are pairs of name and value.
func (s *service) post(t testing.TB, text string, headers ...string) (*http.Response, string, error) {
	t.Helper()
	r, err := http.NewRequest(http.MethodPost, s.url+"/v1/chat/completions", strings.NewReader(text))
	if err != nil {
		t.Fatal(err)
	}
	for i := 0; i < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	return resp, string(got), err
}

func TestPlain(t *testing.T) {
	s := serve(t, testkit.Read, testkit.Write("Parcel ", "7"))
	resp, text, err := s.post(t, body("frage", false, "Whose?"))
	var got struct {
		ID, Object, Model string
		Choices           []struct {
			Message      struct{ Role, Content string }
			FinishReason string `json:"finish_reason"`
		}
		Usage struct {
			Total int `json:"total_tokens"`
		}
	}
	if err != nil || json.Unmarshal([]byte(text), &got) != nil || resp.StatusCode != 200 || got.Object != "chat.completion" ||
		!strings.HasPrefix(got.ID, "chatcmpl-") || got.Model != "frage" || len(got.Choices) != 1 ||
		got.Choices[0].Message.Role != "assistant" || got.Choices[0].Message.Content != "Parcel 7" ||
		got.Choices[0].FinishReason != "stop" || got.Usage.Total != 11 {
		t.Errorf("status %d, %s, %v", resp.StatusCode, text, err)
	}
	if s.Writer.Bodies()[0] == "" || !strings.Contains(s.Writer.Bodies()[0], `"stream":true`) {
		t.Errorf("the writer got %q", s.Writer.Bodies())
	}
}

func TestStream(t *testing.T) {
	s := serve(t, testkit.Read, testkit.Write("Parcel ", "7"))
	for _, usage := range []bool{true, false} {
		ask := body("frage", true, "Whose?")
		if !usage {
			ask = strings.Replace(ask, `"include_usage":true`, `"include_usage":false`, 1)
		}
		_, text, err := s.post(t, ask)
		events := strings.Split(strings.TrimSuffix(text, "\n\n"), "\n\n")
		content, role, finish, total := "", "", "", 0
		for _, event := range events[:len(events)-1] {
			var c struct {
				ID, Object, Model string
				Choices           []struct {
					Delta        struct{ Role, Content string }
					FinishReason string `json:"finish_reason"`
				}
				Usage struct {
					Total int `json:"total_tokens"`
				}
			}
			if err := json.Unmarshal([]byte(strings.TrimPrefix(event, "data: ")), &c); err != nil ||
				c.Object != "chat.completion.chunk" || c.Model != "frage" || !strings.HasPrefix(c.ID, "chatcmpl-") {
				t.Fatalf("event %q, %v", event, err)
			}
			total += c.Usage.Total
			for _, ch := range c.Choices {
				content, role, finish = content+ch.Delta.Content, role+ch.Delta.Role, finish+ch.FinishReason
			}
		}
		if err != nil || events[len(events)-1] != "data: [DONE]" || content != "Parcel 7" || role != "assistant" ||
			finish != "stop" || (total == 11) != usage {
			t.Errorf("usage %t: %q, %v", usage, text, err)
		}
	}
}

func TestErrorsMapped(t *testing.T) {
	good, key := body("frage", true, "x"), "Idempotency-Key"
	deep := strings.Repeat("[", 20000)
	for name, c := range map[string]struct {
		read, write testkit.Script
		text        string
		headers     []string
		status      int
		code        string
	}{
		"no json":        {text: "{", status: 400, code: "invalid_request"},
		"deep json":      {text: deep, status: 400, code: "invalid_request"},
		"no messages":    {text: `{"model":"frage"}`, status: 400, code: "invalid_request"},
		"unknown role":   {text: strings.Replace(good, "system", "king", 1), status: 400, code: "invalid_request"},
		"an image":       {text: strings.Replace(good, `"type":"text"`, `"type":"image_url"`, 1), status: 400, code: "invalid_request"},
		"two answers":    {text: strings.Replace(good, `"stream":`, `"n":2,"stream":`, 1), status: 400, code: "invalid_request"},
		"no tokens":      {text: strings.Replace(good, `"stream":`, `"max_tokens":0,"stream":`, 1), status: 400, code: "invalid_request"},
		"unknown model":  {text: body("gpt", true, "x"), status: 404, code: "model_not_found"},
		"bad deadline":   {text: good, headers: []string{"X-Expires-In", "soon"}, status: 400, code: "invalid_deadline"},
		"too large":      {text: strings.Repeat(" ", 256<<10) + good, status: 413, code: "invalid_body"},
		"empty":          {status: 400, code: "invalid_body"},
		"filing, no key": {text: body("meldung", true, "x"), status: 400, code: "idempotency_key_missing"},
		"refused":        {read: testkit.Status(503, true), text: good, status: 429, code: "rate_limit_exceeded"},
		"failed filing": {write: testkit.Status(500, false), text: body("meldung", true, "x"), headers: []string{key, "k"},
			status: 502, code: "upstream_failed"},
		"silent filing": {write: testkit.Silent, text: body("meldung", false, "x"),
			headers: []string{key, "k", "X-Expires-In", "900m"}, status: 504, code: "timeout"},
		"broken plain": {write: testkit.Cut(150, "a", "b"), text: body("frage", false, "x"), status: 502, code: "stream_broken"},
	} {
		read, write := testkit.Script(testkit.Read), testkit.Write("a")
		if c.read != nil {
			read = c.read
		}
		if c.write != nil {
			write = c.write
		}
		s := serve(t, read, write)
		resp, text, err := s.post(t, c.text, c.headers...)
		var got struct {
			Error struct{ Message, Type, Code string }
		}
		if err != nil || json.Unmarshal([]byte(text), &got) != nil || resp.StatusCode != c.status || got.Error.Code != c.code ||
			got.Error.Message == "" || got.Error.Type == "" {
			t.Errorf("%s: status %d, %s, %v", name, resp.StatusCode, text, err)
		}
		if c.status == 429 && (resp.Header.Get("Retry-After") == "" || resp.Header.Get("Retry-After") == "0") {
			t.Errorf("%s: Retry-After %q", name, resp.Header.Get("Retry-After"))
		}
		if r, _ := s.Reader.Calls(); c.read == nil && c.write == nil && (r != 0 || s.front.Malformed() != 1) {
			t.Errorf("%s: %d sends, %d counted", name, r, s.front.Malformed())
		}
	}
}

func TestOtherResources(t *testing.T) {
	s := serve(t, testkit.Read, testkit.Write("a"))
	for path, want := range map[string]int{"/healthz": 200, "/v1/models": 200, "/v1/chat/completions": 405, "/x": 404} {
		resp, err := http.Get(s.url + path)
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		if resp.StatusCode != want {
			t.Errorf("%s: status %d", path, resp.StatusCode)
		}
	}
}

func TestFilingRepeats(t *testing.T) {
	s := serve(t, testkit.Read, testkit.Write("Noted"))
	filing := body("meldung", false, "The border is wrong.")
	status := func(text, key string) int {
		t.Helper()
		resp, _, _ := s.post(t, text, "Idempotency-Key", key)
		return resp.StatusCode
	}
	_, first, _ := s.post(t, filing, "Idempotency-Key", "k1")
	resp, again, _ := s.post(t, filing, "Idempotency-Key", "k1")
	if first != again || resp.Header.Get("Idempotent-Replayed") != "true" {
		t.Errorf("first %s, then %s", first, again)
	}
	_, streamed, _ := s.post(t, body("meldung", true, "The border is wrong."), "Idempotency-Key", "k1")
	if !strings.Contains(streamed, `"content":"Noted"`) || !strings.HasSuffix(streamed, "data: [DONE]\n\n") {
		t.Errorf("streamed repeat %s", streamed)
	}
	if got := status(body("meldung", false, "Another."), "k1"); got != 422 {
		t.Errorf("another filing under the key: status %d", got)
	}
	if total, _ := s.Writer.Calls(); total != 1 {
		t.Errorf("%d runs", total)
	}
	// A first try that surely never ran leaves the key free.
	s.Reader.Follow(testkit.Status(503, true))
	if got := status(filing, "k2"); got != 429 {
		t.Errorf("refused: status %d", got)
	}
	s.Reader.Follow(testkit.Read)
	if got := status(filing, "k2"); got != 200 {
		t.Errorf("after a refusal: status %d", got)
	}
	// One that may have run binds it until it expires.
	s.Writer.Follow(testkit.Cut(100, "Noted"))
	if got := status(filing, "k3"); got != 502 {
		t.Errorf("broken: status %d", got)
	}
	s.Writer.Follow(testkit.Write("Noted"))
	resp, _, _ = s.post(t, filing, "Idempotency-Key", "k3")
	if resp.StatusCode != 409 || resp.Header.Get("X-Should-Retry") != "false" {
		t.Errorf("after a break: status %d", resp.StatusCode)
	}
	s.mu.Lock()
	s.now = s.now.Add(time.Hour)
	s.mu.Unlock()
	if got := status(filing, "k3"); got != 200 {
		t.Errorf("after the key's time: status %d", got)
	}
}

func TestFullTableTakesNoFiling(t *testing.T) {
	s := serve(t, testkit.Read, testkit.Write("Noted"))
	for i := range 65 {
		resp, _, _ := s.post(t, body("meldung", false, "x"), "Idempotency-Key", fmt.Sprint(i))
		if want := map[bool]int{true: 200, false: 503}[i < 64]; resp.StatusCode != want {
			t.Fatalf("filing %d: status %d", i, resp.StatusCode)
		}
	}
}

func TestRepeatWhileFirstIsOut(t *testing.T) {
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
	resp, _, _ := s.post(t, filing, "Idempotency-Key", "k")
	close(let)
	if first := <-done; first != 200 || resp.StatusCode != 409 || resp.Header.Get("Retry-After") == "" {
		t.Errorf("first %d, repeat %d", first, resp.StatusCode)
	}
}

// finals counts the final answers in what a client read of one request: a whole answer, an error, or the
// end of a stream.
func finals(status int, stream bool, text string) int {
	if status != 200 || !stream {
		return strings.Count(text, `"error":{`) + strings.Count(text, `"object":"chat.completion",`)
	}
	return strings.Count(text, "data: [DONE]\n\n") + strings.Count(text, `data: {"error":{`)
}

// Streams are cut at random points on the servers' side. Every request gets exactly one final answer, no
// stream that broke looks whole, and no filing runs twice however often its client repeats it.
func TestServerCuts(t *testing.T) {
	rng := rand.New(rand.NewPCG(11, 11))
	s := serve(t, testkit.Read, testkit.Read)
	whole := testkit.Answer("Parcel ", "7 ", "is yours")
	for i := range 60 {
		n := rng.IntN(len(whole) + 40)
		cut, model := n < len(whole), []string{"frage", "meldung"}[rng.IntN(2)]
		stream := rng.IntN(2) == 0
		if !cut {
			n = -1
		}
		s.Writer.Follow(testkit.Cut(n, "Parcel ", "7 ", "is yours"))
		for try := range 3 {
			resp, text, err := s.post(t, body(model, stream, fmt.Sprint("cut ", i)), "Idempotency-Key", fmt.Sprint("cut ", i))
			if got := finals(resp.StatusCode, stream, text); got != 1 {
				t.Errorf("cut at %d, try %d of a %s: %d final answers in %q", n, try, model, got, text)
			}
			if cut && (err == nil && resp.StatusCode == 200 || strings.Contains(text, "[DONE]")) {
				t.Errorf("cut at %d, try %d of a %s looks whole: %q", n, try, model, text)
			}
			if model == "meldung" && resp.StatusCode == 429 {
				t.Errorf("cut at %d: a filing that may have run was refused", n)
			}
		}
	}
	s.checkRuns(t)
}

// Spoilt streams leave their connections open: here too each request gets exactly one final answer, in time,
// and no filing runs twice.
func TestSpoiltStreams(t *testing.T) {
	s := serve(t, testkit.Read, testkit.Read)
	one := testkit.Whole(testkit.Answer("Parcel")[:100])
	for name, spoilt := range map[string]string{
		"noise":               "\x03\x80\x91\n\xffnoise\n\n",
		"a head without end":  "HTTP/1.1 200 OK\r\nX-Pad: aaaa",
		"noise for an event":  testkit.Chunks("\x03\x80\n\n"),
		"a bad size":          testkit.Chunks(one) + "zz\r\n",
		"a chunk without end": testkit.Chunks(one) + "b2d05e00\r\n" + strings.Repeat("x", 99),
	} {
		for _, stream := range []bool{true, false} {
			s.Writer.Follow(testkit.Raw(spoilt))
			for try, want := range []bool{false, true} { // a repeat is never run
				start := time.Now()
				resp, text, err := s.post(t, body("meldung", stream, fmt.Sprint(name, stream)), "Idempotency-Key", fmt.Sprint(name, stream))
				if got := finals(resp.StatusCode, stream, text); got != 1 || time.Since(start) > 12*time.Second {
					t.Errorf("%s, try %d: %d final answers after %v in %q", name, try, got, time.Since(start), text)
				}
				if resp.StatusCode == 200 && err == nil || strings.Contains(text, "[DONE]") || (resp.StatusCode == 409) != want {
					t.Errorf("%s, try %d: status %d, %q, %v", name, try, resp.StatusCode, text, err)
				}
			}
		}
	}
	s.checkRuns(t)
}

// checkRuns counts executions per filing, by what was filed.
func (s *service) checkRuns(t *testing.T) {
	t.Helper()
	runs := map[string]int{}
	for _, text := range s.Writer.Bodies() {
		if strings.Contains(text, `"model":"meldung"`) {
			runs[text]++
		}
	}
	if len(runs) == 0 {
		t.Error("no filing ran")
	}
	for text, n := range runs {
		if n != 1 {
			t.Errorf("%d runs of %s", n, text)
		}
	}
}

// Clients cut their connections at random points, of the request and of the answer, and then repeat. What
// was cut off is not answered twice, and no filing runs twice.
func TestClientCuts(t *testing.T) {
	rng := rand.New(rand.NewPCG(12, 12))
	s := serve(t, testkit.Read, testkit.Write("Parcel ", "7 ", "is yours"))
	addr := strings.TrimPrefix(s.url, "http://")
	for i := range 60 {
		model, stream := []string{"frage", "meldung"}[rng.IntN(2)], rng.IntN(2) == 0
		text, key := body(model, stream, fmt.Sprint("left ", i)), fmt.Sprint("left ", i)
		head := fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nConnection: close\r\nIdempotency-Key: %s\r\nContent-Length: %d\r\n\r\n",
			key, len(text))
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		if sent := rng.IntN(2 * len(head+text)); sent < len(head+text) {
			io.WriteString(conn, (head + text)[:sent])
		} else {
			io.WriteString(conn, head+text)
			io.CopyN(io.Discard, bufio.NewReader(conn), int64(rng.IntN(900)))
		}
		conn.Close()
		final := 0
		testkit.Eventually(t, "the repeat's answer", func() bool {
			resp, got, _ := s.post(t, text, "Idempotency-Key", key)
			if final = finals(resp.StatusCode, stream, got); resp.StatusCode == 409 && strings.Contains(got, "in_progress") {
				return false // the first try is still out
			}
			if resp.StatusCode != 200 {
				t.Errorf("%s repeat after a cut: status %d, %s", model, resp.StatusCode, got)
			}
			return true
		})
		if final != 1 {
			t.Errorf("%s: %d final answers to the repeat", model, final)
		}
	}
	s.checkRuns(t)
	testkit.Eventually(t, "all to end", func() bool { return s.Core.Counters(t.Context()).Open == 0 })
}

func TestConfig(t *testing.T) {
	settings := testkit.Settings(t)
	for _, change := range [][2]string{{`{"listen"`, `{"x"`}, {`"meldung"}`, `"note"}`}, {":100", ":0"}, {"64", "0"},
		{"3600", "-1"}, {`{"frage":"frage","meldung":"meldung"}`, "{}"}, {"}}", "}"}} {
		if _, err := chatapi.ParseConfig([]byte(strings.Replace(configText, change[0], change[1], 1)), settings); err == nil {
			t.Errorf("%s for %s was taken", change[1], change[0])
		}
	}
}

// FuzzChat feeds the front requests and servers' streams: every request gets one answer, and nothing panics
// but the abort of a stream that broke.
func FuzzChat(f *testing.F) {
	asks := testkit.Broken(4, body("frage", true, "x"), body("frage", false, "y"))
	streams := testkit.Broken(5, testkit.Answer("a", "b"), testkit.Answer("c"))
	for i, ask := range asks {
		f.Add(ask, streams[i%len(streams)])
	}
	var mu sync.Mutex
	text := ""
	s := serve(f, testkit.Read, func(w http.ResponseWriter, _ *http.Request, _ int) {
		mu.Lock()
		defer mu.Unlock()
		io.WriteString(w, text)
	})
	f.Fuzz(func(t *testing.T, ask, stream string) {
		mu.Lock()
		text = stream
		mu.Unlock()
		w := httptest.NewRecorder()
		defer func() {
			if p := recover(); p != nil && p != http.ErrAbortHandler {
				panic(p)
			}
			if got := finals(w.Code, strings.Contains(w.Body.String(), "data:"), w.Body.String()); got != 1 {
				t.Errorf("%d final answers to %q: %d %q", got, ask, w.Code, w.Body)
			}
		}()
		s.front.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/v1/chat/completions", strings.NewReader(ask)))
	})
}
