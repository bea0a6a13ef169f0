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

// memoryStore is an IdempotencyStore that rejects every claim with the last answer passed to RecordResult.
type memoryStore struct{ answer []byte }

func (m *memoryStore) Claim(string, []byte, time.Duration) (idempotency.Outcome, idempotency.Vote, []byte, idempotency.Attempt) {
	return idempotency.Rejected, idempotency.VoteAnswered, m.answer, idempotency.Attempt{}
}
func (m *memoryStore) RecordResult(_ string, _ idempotency.Attempt, answer []byte) { m.answer = answer }
func (m *memoryStore) Withdraw(string, idempotency.Attempt)                        {}

// Stored answers are read by other versions of the program, so their format must not change.
func TestGoldenStoredAnswer(t *testing.T) {
	text, err := os.ReadFile("testdata/stored.golden")
	if err != nil {
		t.Fatal(err)
	}
	stored := strings.TrimSuffix(string(text), "\n")
	finish := "finish-1"
	want := &chatCompletion{ID: "id-1", Object: "object-1", Created: 2, Model: "model-1",
		Choices: []choice{{Index: 3, Message: assistantMessage{Role: "role-1", Content: "content-1"}, FinishReason: &finish}},
		Usage:   &usage{PromptTokens: 4, CompletionTokens: 5, TotalTokens: 6}}
	want.Usage.PromptTokensDetails.CachedTokens = 7

	store := &memoryStore{}
	h := &Handler{keys: newKeyTable(8, time.Hour, time.Now), store: store}
	h.recordResult("key", idempotency.Attempt{}, runResult{mayHaveRun: true, completion: want})
	if string(store.answer) != stored {
		t.Errorf("stored %s, want %s", store.answer, stored)
	}
	store.answer = []byte(stored)
	if got := h.claimFromPeersAndStore(&exchange{}, "key"); got.result != claimAnswered || !reflect.DeepEqual(got.completion, want) {
		t.Errorf("result %d, read %+v, want %+v", got.result, got.completion, want)
	}
}

// This test guards against a change in how the used fields of a request and the events of replicas are decoded.
func TestGoldenRead(t *testing.T) {
	got, _, err := parseRequest([]byte(`{"model":"model-1",
		"messages":[{"role":"system","content":"content-1"},{"role":"user","content":[{"type":"text","text":"content-2"}]}],
		"stream":true,"n":1,"max_tokens":2,"max_completion_tokens":3,
		"prompt_cache_key":"key-1","stream_options":{"include_usage":true}}`))
	if err != nil {
		t.Fatal(err)
	}
	one, two, three := 1, 2, 3
	want := &chatCompletionRequest{Model: "model-1", Stream: true,
		Messages: []message{{Role: "system", Content: "content-1"}, {Role: "user", Content: "content-2"}},
		N:        &one, MaxTokens: &two, MaxCompletionTokens: &three, PromptCacheKey: "key-1"}
	want.StreamOptions.IncludeUsage = true
	if !reflect.DeepEqual(got, want) {
		t.Errorf("read %+v, want %+v", got, want)
	}

	const event = `{"id":"id-1","object":"object-1","created":2,"model":"model-1",` +
		`"choices":[{"index":3,"delta":{"role":"role-1","content":"content-1"},` +
		`"finish_reason":"finish-1"}],"usage":{"prompt_tokens":4,"completion_tokens":5,"total_tokens":6,` +
		`"prompt_tokens_details":{"cached_tokens":7}}}`
	finish := "finish-1"
	wantChunk := chatCompletionChunk{ID: "id-1", Object: "object-1", Created: 2, Model: "model-1",
		Choices: []chunkChoice{{Index: 3, Delta: delta{Role: "role-1", Content: "content-1"}, FinishReason: &finish}},
		Usage:   &usage{PromptTokens: 4, CompletionTokens: 5, TotalTokens: 6}}
	wantChunk.Usage.PromptTokensDetails.CachedTokens = 7
	var gotChunk chatCompletionChunk
	if err := json.Unmarshal([]byte(event), &gotChunk); err != nil || !reflect.DeepEqual(gotChunk, wantChunk) {
		t.Errorf("read %+v, %v, want %+v", gotChunk, err, wantChunk)
	}
	if text, err := json.Marshal(wantChunk); err != nil || string(text) != event {
		t.Errorf("wrote %s, %v, want %s", text, err, event)
	}
}

// This test guards against a change of the configuration file's keys. It sets each of them.
func TestGoldenConfig(t *testing.T) {
	settings, err := config.ParseSettings([]byte(`{"classes":[{"name":"class-1"}]}`))
	if err != nil {
		t.Fatal(err)
	}
	got, err := ParseConfig([]byte(`{"listen":"127.0.0.1:1","models":{"model-1":"class-1"},
		"max_tokens":2,"filings":{"entries":3,"keep_s":4.5}}`), settings)
	if err != nil {
		t.Fatal(err)
	}
	want := &Config{Listen: "127.0.0.1:1", Models: map[string]string{"model-1": "class-1"}, MaxTokens: 2}
	want.Idempotency.Entries, want.Idempotency.KeepS = 3, 4.5
	if !reflect.DeepEqual(got, want) {
		t.Errorf("read %+v, want %+v", got, want)
	}
}
