package chatapi_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"rampspread/internal/chatapi"
	"rampspread/internal/testutil"
)

const configJSON = `{"listen":"127.0.0.1:0","models":{"frage":"frage","meldung":"meldung"},"max_tokens":100,
"filings":{"entries":64,"keep_s":3600}}`

// testService is a Handler with its own HTTP server and a deployment of one prefill and one decode replica.
type testService struct {
	*testutil.Deployment
	handler *chatapi.Handler
	url     string

	mu  sync.Mutex
	now time.Time
}

func (s *testService) clock() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.now
}

// advance advances the clock that determines when idempotency keys expire.
func (s *testService) advance(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.now = s.now.Add(d)
}

// startService starts a service whose replicas follow the scripts.
func startService(t testing.TB, prefill, decode testutil.Script) *testService {
	t.Helper()
	s := &testService{Deployment: testutil.NewDeployment(t, prefill, decode), now: time.Unix(1e9, 0)}
	config, err := chatapi.ParseConfig([]byte(configJSON), s.Settings)
	if err != nil {
		t.Fatal(err)
	}
	if s.handler, err = chatapi.New(s.Dispatcher, s.Settings, config, s.clock); err != nil {
		t.Fatal(err)
	}
	server := httptest.NewServer(s.handler)
	t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	s.url = server.URL
	return s
}

// requestBody returns the body of a request for a model with a user's question.
func requestBody(model string, stream bool, question string) string {
	return fmt.Sprintf(`{"model":%q,"stream":%t,"stream_options":{"include_usage":true},"messages":[`+
		`{"role":"system","content":"You know parcels."},{"role":"user","content":[{"type":"text","text":%q}]}]}`,
		model, stream, question)
}

// post sends a request with the given headers, which are pairs of name and value. It returns the response and the part
// of its body that could be read.
func (s *testService) post(t testing.TB, body string, headers ...string) (*http.Response, string, error) {
	t.Helper()
	r, err := http.NewRequest(http.MethodPost, s.url+"/v1/chat/completions", strings.NewReader(body))
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

func TestAnswerWithoutStreamIsOneCompletion(t *testing.T) {
	s := startService(t, testutil.ServePrefill, testutil.ServeDecode("Parcel ", "7"))
	resp, text, err := s.post(t, requestBody("frage", false, "Whose?"))
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
	if s.Decode.Bodies()[0] == "" || !strings.Contains(s.Decode.Bodies()[0], `"stream":true`) {
		t.Errorf("the decode replica received %q", s.Decode.Bodies())
	}
}

func TestStreamedAnswerIsChunksUpToDone(t *testing.T) {
	s := startService(t, testutil.ServePrefill, testutil.ServeDecode("Parcel ", "7"))
	for _, usage := range []bool{true, false} {
		request := requestBody("frage", true, "Whose?")
		if !usage {
			request = strings.Replace(request, `"include_usage":true`, `"include_usage":false`, 1)
		}
		_, text, err := s.post(t, request)
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

// scriptOr returns the script, or defaultScript if the script is nil.
func scriptOr(script, defaultScript testutil.Script) testutil.Script {
	if script == nil {
		return defaultScript
	}
	return script
}

func TestFailuresHaveStatusAndErrorCode(t *testing.T) {
	good, key := requestBody("frage", true, "x"), "Idempotency-Key"
	const nesting = 20000
	for name, c := range map[string]struct {
		prefill, decode testutil.Script
		body            string
		headers         []string
		status          int
		code            string
	}{
		"no json":                {body: "{", status: 400, code: "invalid_request"},
		"deep json":              {body: strings.Repeat("[", nesting), status: 400, code: "invalid_request"},
		"no messages":            {body: `{"model":"frage"}`, status: 400, code: "invalid_request"},
		"unknown role":           {body: strings.Replace(good, "system", "king", 1), status: 400, code: "invalid_request"},
		"an image":               {body: strings.Replace(good, `"type":"text"`, `"type":"image_url"`, 1), status: 400, code: "invalid_request"},
		"two choices":            {body: strings.Replace(good, `"stream":`, `"n":2,"stream":`, 1), status: 400, code: "invalid_request"},
		"no tokens":              {body: strings.Replace(good, `"stream":`, `"max_tokens":0,"stream":`, 1), status: 400, code: "invalid_request"},
		"unknown model":          {body: requestBody("gpt", true, "x"), status: 404, code: "model_not_found"},
		"bad deadline":           {body: good, headers: []string{"X-Expires-In", "soon"}, status: 400, code: "invalid_deadline"},
		"too large":              {body: strings.Repeat(" ", 256<<10) + good, status: 413, code: "invalid_body"},
		"empty":                  {status: 400, code: "invalid_body"},
		"no idempotency key":     {body: requestBody("meldung", true, "x"), status: 400, code: "idempotency_key_missing"},
		"rejected by the server": {prefill: testutil.ServeStatusNeverRan(503), body: good, status: 429, code: "rate_limit_exceeded"},
		"keyed request failed": {decode: testutil.ServeStatus(500), body: requestBody("meldung", true, "x"), headers: []string{key, "k"},
			status: 502, code: "upstream_failed"},
		"keyed request unanswered": {decode: testutil.NeverRespond, body: requestBody("meldung", false, "x"),
			headers: []string{key, "k", "X-Expires-In", "900m"}, status: 504, code: "timeout"},
		"broken stream, not streamed on": {decode: testutil.ServeTruncated(150, "a", "b"), body: requestBody("frage", false, "x"), status: 502, code: "stream_broken"},
	} {
		s := startService(t, scriptOr(c.prefill, testutil.ServePrefill), scriptOr(c.decode, testutil.ServeDecode("a")))
		resp, text, err := s.post(t, c.body, c.headers...)
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
		calls, _ := s.Prefill.Calls()
		if c.prefill == nil && c.decode == nil && (calls != 0 || s.handler.Malformed() != 1) {
			t.Errorf("%s: %d calls, %d counted as malformed", name, calls, s.handler.Malformed())
		}
	}
}

func TestOtherResourcesAreServedByPath(t *testing.T) {
	s := startService(t, testutil.ServePrefill, testutil.ServeDecode("a"))
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

// Each change makes the configuration file invalid, and ParseConfig must reject it.
func TestParseConfigRejectsInvalidFile(t *testing.T) {
	settings := testutil.Settings(t)
	for _, change := range [][2]string{{`{"listen"`, `{"x"`}, {`"meldung"}`, `"note"}`}, {":100", ":0"}, {"64", "0"},
		{"3600", "-1"}, {`{"frage":"frage","meldung":"meldung"}`, "{}"}, {"}}", "}"}} {
		if _, err := chatapi.ParseConfig([]byte(strings.Replace(configJSON, change[0], change[1], 1)), settings); err == nil {
			t.Errorf("%s for %s was accepted", change[1], change[0])
		}
	}
}

// FuzzCreateCompletion passes arbitrary requests and replica streams to the handler. Every request must get exactly one
// final answer, and nothing may panic except to abort a stream that broke.
func FuzzCreateCompletion(f *testing.F) {
	requests := testutil.CorruptedSeeds(4, requestBody("frage", true, "x"), requestBody("frage", false, "y"))
	streams := testutil.CorruptedSeeds(5, testutil.EventStream("a", "b"), testutil.EventStream("c"))
	for i, request := range requests {
		f.Add(request, streams[i%len(streams)])
	}
	var mu sync.Mutex
	answer := ""
	s := startService(f, testutil.ServePrefill, func(w http.ResponseWriter, _ *http.Request, _ int) {
		mu.Lock()
		defer mu.Unlock()
		io.WriteString(w, answer)
	})
	f.Fuzz(func(t *testing.T, request, stream string) {
		mu.Lock()
		answer = stream
		mu.Unlock()
		w := httptest.NewRecorder()
		defer func() {
			if p := recover(); p != nil && p != http.ErrAbortHandler {
				panic(p)
			}
			if got := countFinalAnswers(w.Code, strings.Contains(w.Body.String(), "data:"), w.Body.String()); got != 1 {
				t.Errorf("%d final answers to %q: %d %q", got, request, w.Code, w.Body)
			}
		}()
		s.handler.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/v1/chat/completions", strings.NewReader(request)))
	})
}
