package chatapi

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"unicode/utf8"

	"rampspread/internal/dispatch"
	"rampspread/routing"
)

// ask is what is used of a client's request. All else passes on to the servers as it came.
type ask struct {
	Model               string    `json:"Model"`
	Messages            []message `json:"Messages"`
	Stream              bool      `json:"Stream"`
	N                   *int      `json:"N"`
	MaxTokens           *int      `json:"max_tokens"`
	MaxCompletionTokens *int      `json:"max_completion_tokens"`
	PromptCacheKey      string    `json:"prompt_cache_key"`
	StreamOptions       struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
}

type message struct {
	Role    string  `json:"Role"`
	Content content `json:"Content"`
}

// content is a message's text: a string, parts of which those with text count, or null.
type content string

// UnmarshalJSON implements json.Unmarshaler.
func (c *content) UnmarshalJSON(data []byte) error {
	var text *string
	if json.Unmarshal(data, &text) == nil {
		if text != nil {
			*c = content(*text)
		}
		return nil
	}
	var parts []struct {
		Type string `json:"Type"`
		Text string `json:"Text"`
	}
	if err := json.Unmarshal(data, &parts); err != nil {
		return errors.New("content is neither text nor parts")
	}
	var b strings.Builder
	for _, p := range parts {
		if p.Type != "text" {
			return fmt.Errorf("content part of type %q is not supported", p.Type)
		}
		b.WriteString(p.Text)
	}
	*c = content(b.String())
	return nil
}

// parse reads a body. The second result is the body that goes on: the same with the answer streamed and
// its usage told, since that is how servers answer.
func parse(body []byte) (*ask, []byte, error) {
	var a ask
	if err := json.Unmarshal(body, &a); err != nil {
		return nil, nil, fmt.Errorf("the body is no chat request: %w", decodeError(err))
	}
	if len(a.Messages) == 0 {
		return nil, nil, errors.New("messages must not be empty")
	}
	for i, m := range a.Messages {
		switch m.Role {
		case "system", "developer", "user", "assistant", "tool":
		default:
			return nil, nil, fmt.Errorf("messages[%d]: unknown role %q", i, m.Role)
		}
	}
	if a.N != nil && *a.N != 1 {
		return nil, nil, errors.New("n must be 1")
	}
	for _, limit := range []*int{a.MaxTokens, a.MaxCompletionTokens} {
		if limit != nil && (*limit < 1 || *limit > 1e6) {
			return nil, nil, errors.New("max_tokens is out of range")
		}
	}
	var all map[string]json.RawMessage
	if err := json.Unmarshal(body, &all); err != nil {
		return nil, nil, fmt.Errorf("the body is no chat request: %w", err)
	}
	// A name in another case would be read as the same field, here as at the servers.
	for name := range all {
		if low := strings.ToLower(name); low != name && (low == "stream" || low == "stream_options") {
			delete(all, name)
		}
	}
	all["stream"], all["stream_options"] = json.RawMessage("true"), json.RawMessage(`{"include_usage":true}`)
	out, err := json.Marshal(all)
	if err != nil {
		return nil, nil, fmt.Errorf("the body cannot be passed on: %w", err)
	}
	return &a, out, nil
}

// tokens counts four characters as one token, as the platform does.
func tokens(characters int) int { return (characters + 3) / 4 }

// fill sets what the core decides by. A conversation is known by its cache key, else by how it begins:
// each turn's prompt begins with the turn's before. Its opening is shared if it is an instruction.
func (a *ask) fill(req *dispatch.Request, maxTokens int, key func(string) routing.Key) {
	total := 0
	for _, m := range a.Messages {
		total += utf8.RuneCountInString(string(m.Content))
	}
	req.PromptTokens = max(tokens(total), 1)
	first := a.Messages[0]
	if first.Role == "system" || first.Role == "developer" {
		req.SharedPrefix, req.SharedPrefixTokens = key(string(first.Content)), tokens(utf8.RuneCountInString(string(first.Content)))
	}
	begin := a.PromptCacheKey
	if begin == "" {
		for _, m := range a.Messages {
			begin += m.Role + "\x00" + string(m.Content) + "\x00"
			if m.Role == "user" {
				break
			}
		}
	}
	req.Session, req.MaxOutputTokens = key(begin), maxTokens
	for _, limit := range []*int{a.MaxTokens, a.MaxCompletionTokens} {
		if limit != nil {
			req.MaxOutputTokens = *limit
		}
	}
}

// usage is the count of an answer's tokens.
type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
	Details          struct {
		CachedTokens int `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

type delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

// chunk is an event of a streamed answer.
type chunk struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Created int64         `json:"created"`
	Model   string        `json:"model"`
	Choices []chunkChoice `json:"choices"`
	Usage   *usage        `json:"usage,omitempty"`
}

type chunkChoice struct {
	Index        int     `json:"index"`
	Delta        delta   `json:"delta"`
	FinishReason *string `json:"finish_reason"`
}

// completion is a whole answer.
type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

type choice struct {
	Index        int     `json:"index"`
	Message      reply   `json:"message"`
	FinishReason *string `json:"finish_reason"`
}

type reply struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// apiError is OpenAI's error object; retry false tells clients that a repeat is of no use.
type apiError struct {
	status  int
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Param   *string `json:"param"`
	Code    string  `json:"code"`
}

func invalid(status int, code, format string, args ...any) *apiError {
	return &apiError{status: status, Type: "invalid_request_error", Code: code, Message: fmt.Sprintf(format, args...)}
}

func (e *apiError) body() []byte {
	text, err := json.Marshal(map[string]*apiError{"error": e})
	if err != nil {
		return []byte(`{"error":{}}`) // strings always marshal
	}
	return text
}
