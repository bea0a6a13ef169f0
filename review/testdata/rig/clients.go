package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// reply is a client's view of one answer of the chat API.
type reply struct {
	status   int
	replayed bool
	text     string // the answer's text
	code     string // the error's code
	err      error
}

func (a reply) String() string {
	switch {
	case a.err != nil:
		return "no answer: " + a.err.Error()
	case a.status == http.StatusOK:
		return fmt.Sprintf("200 replayed=%v %.24q", a.replayed, a.text)
	}
	return fmt.Sprintf("%d %s", a.status, a.code)
}

// filing is a request of the class that must not run twice.
type filing struct{ key, text string }

// file sends one filing: a request of the class that must not run twice, with an idempotency key.
func (r *rig) file(ctx context.Context, chat, key, text string) (a reply) {
	body := fmt.Sprintf(`{"model":"korrektur-meldung","messages":[{"role":"user","content":%q}]}`, text)
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+chat+"/v1/chat/completions", strings.NewReader(body))
	r.must(err, "request")
	if key != "" {
		q.Header.Set("Idempotency-Key", key)
	}
	q.Header.Set("Content-Type", "application/json")
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 20 * time.Second}
	resp, err := client.Do(q)
	if err != nil {
		return reply{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	var got struct {
		Choices []struct{ Message struct{ Content string } }
		Error   struct{ Code string }
	}
	if err == nil {
		err = json.Unmarshal(data, &got)
	}
	a = reply{status: resp.StatusCode, replayed: resp.Header.Get("Idempotent-Replayed") == "true", code: got.Error.Code, err: err}
	if len(got.Choices) > 0 {
		a.text = got.Choices[0].Message.Content
	}
	return a
}
