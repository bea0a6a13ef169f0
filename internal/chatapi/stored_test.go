package chatapi

import (
	"encoding/json"
	"os"
	"reflect"
	"strings"
	"testing"
	"time"

	"rampspread/internal/config"
	"rampspread/internal/fleet/idempotency"
)

// memory is a Ledger that keeps what it is given.
type memory struct{ answer []byte }

func (m *memory) Claim(string, []byte, time.Duration) (idempotency.Outcome, idempotency.Vote, []byte, idempotency.Attempt) {
	return idempotency.Rejected, idempotency.VoteAnswered, m.answer, idempotency.Attempt{}
}
func (m *memory) Settle(_ string, _ idempotency.Attempt, answer []byte) { m.answer = answer }
func (m *memory) Withdraw(string, idempotency.Attempt)                  {}

// A filing's answer is kept in the fleet and on disk, and read by programs of other versions.
func TestGoldenStoredAnswer(t *testing.T) {
	text, err := os.ReadFile("testdata/stored.golden")
	if err != nil {
		t.Fatal(err)
	}
	stored := strings.TrimSuffix(string(text), "\n")
	finish := "finish-1"
	want := &completion{ID: "id-1", Object: "object-1", Created: 2, Model: "model-1",
		Choices: []choice{{Index: 3, Message: reply{Role: "role-1", Content: "content-1"}, FinishReason: &finish}},
		Usage:   &usage{PromptTokens: 4, CompletionTokens: 5, TotalTokens: 6}}
	want.Usage.Details.CachedTokens = 7

	ledger := &memory{}
	f := &Handler{filings: newFilings(8, time.Hour, time.Now), ledger: ledger}
	f.note("key", idempotency.Attempt{}, want, true)
	if string(ledger.answer) != stored {
		t.Errorf("stored %s, want %s", ledger.answer, stored)
	}
	ledger.answer = []byte(stored)
	if v, got, _ := f.granted(&job{}, "key"); v != answered || !reflect.DeepEqual(got, want) {
		t.Errorf("verdict %d, read %+v, want %+v", v, got, want)
	}
}

// A request with each field that is used, and one server's event.
func TestGoldenRead(t *testing.T) {
	a, _, err := parse([]byte(`{"model":"model-1","messages":[{"role":"system","content":"content-1"},{"role":"user","content":[{"type":"text","text":"content-2"}]}],
		"stream":true,"n":1,"max_tokens":2,"max_completion_tokens":3,"prompt_cache_key":"key-1","stream_options":{"include_usage":true}}`))
	if err != nil {
		t.Fatal(err)
	}
	one, two, three := 1, 2, 3
	want := &ask{Model: "model-1", Messages: []message{{Role: "system", Content: "content-1"}, {Role: "user", Content: "content-2"}}, Stream: true,
		N: &one, MaxTokens: &two, MaxCompletionTokens: &three, PromptCacheKey: "key-1"}
	want.StreamOptions.IncludeUsage = true
	if !reflect.DeepEqual(a, want) {
		t.Errorf("read %+v, want %+v", a, want)
	}

	const event = `{"id":"id-1","object":"object-1","created":2,"model":"model-1","choices":[{"index":3,"delta":{"role":"role-1","content":"content-1"},` +
		`"finish_reason":"finish-1"}],"usage":{"prompt_tokens":4,"completion_tokens":5,"total_tokens":6,"prompt_tokens_details":{"cached_tokens":7}}}`
	finish := "finish-1"
	wantChunk := chunk{ID: "id-1", Object: "object-1", Created: 2, Model: "model-1",
		Choices: []chunkChoice{{Index: 3, Delta: delta{Role: "role-1", Content: "content-1"}, FinishReason: &finish}},
		Usage:   &usage{PromptTokens: 4, CompletionTokens: 5, TotalTokens: 6}}
	wantChunk.Usage.Details.CachedTokens = 7
	var got chunk
	if err := json.Unmarshal([]byte(event), &got); err != nil || !reflect.DeepEqual(got, wantChunk) {
		t.Errorf("read %+v, %v, want %+v", got, err, wantChunk)
	}
	if text, err := json.Marshal(wantChunk); err != nil || string(text) != event {
		t.Errorf("wrote %s, %v, want %s", text, err, event)
	}
}

// The front's own file, with each key.
func TestGoldenConfig(t *testing.T) {
	settings, err := config.ParseSettings([]byte(`{"classes":[{"name":"class-1"}]}`))
	if err != nil {
		t.Fatal(err)
	}
	got, err := ParseConfig([]byte(`{"listen":"127.0.0.1:1","models":{"model-1":"class-1"},"max_tokens":2,"filings":{"entries":3,"keep_s":4.5}}`), settings)
	if err != nil {
		t.Fatal(err)
	}
	want := &Config{Listen: "127.0.0.1:1", Models: map[string]string{"model-1": "class-1"}, MaxTokens: 2}
	want.Idempotency.Entries, want.Idempotency.KeepS = 3, 4.5
	if !reflect.DeepEqual(got, want) {
		t.Errorf("read %+v, want %+v", got, want)
	}
}
