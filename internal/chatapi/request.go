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

const (
	maxTokenLimit      = 1e6 // largest limit of output tokens that a client may set
	charactersPerToken = 4
)

// Names of the body fields that are set for the replicas.
const (
	streamKey        = "stream"
	streamOptionsKey = "stream_options"
)

// chatCompletionRequest holds the fields of OpenAI's request body that this package uses. The replicas receive all
// fields of the body; only stream and stream_options are changed (see withStreaming). encoding/json ignores the case of
// the tags here when it decodes, but writes them into the error texts that clients receive.
type chatCompletionRequest struct {
	Model               string        `json:"Model"`
	Messages            []message     `json:"Messages"`
	Stream              bool          `json:"Stream"`
	N                   *int          `json:"N"`
	MaxTokens           *int          `json:"max_tokens"`
	MaxCompletionTokens *int          `json:"max_completion_tokens"`
	PromptCacheKey      string        `json:"prompt_cache_key"`
	StreamOptions       streamOptions `json:"stream_options"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// message is one message of the conversation.
type message struct {
	Role    string         `json:"Role"`
	Content messageContent `json:"Content"`
}

// messageContent is the text of a message. In JSON it is a string, a list of parts that must all be text, or null.
type messageContent string

// UnmarshalJSON implements json.Unmarshaler.
func (c *messageContent) UnmarshalJSON(data []byte) error {
	var text *string
	if json.Unmarshal(data, &text) == nil {
		if text != nil {
			*c = messageContent(*text)
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
	var joined strings.Builder
	for _, part := range parts {
		if part.Type != "text" {
			return fmt.Errorf("content part of type %q is not supported", part.Type)
		}
		joined.WriteString(part.Text)
	}
	*c = messageContent(joined.String())
	return nil
}

// parseRequest decodes and validates a request body. The second result is the body to forward to the replicas.
func parseRequest(body []byte) (*chatCompletionRequest, []byte, error) {
	var request chatCompletionRequest
	if err := json.Unmarshal(body, &request); err != nil {
		return nil, nil, fmt.Errorf("the body is no chat request: %w", decodeError(err))
	}
	if err := request.validate(); err != nil {
		return nil, nil, err
	}
	upstreamBody, err := withStreaming(body)
	if err != nil {
		return nil, nil, err
	}
	return &request, upstreamBody, nil
}

func (r *chatCompletionRequest) validate() error {
	if len(r.Messages) == 0 {
		return errors.New("messages must not be empty")
	}
	for i, m := range r.Messages {
		switch m.Role {
		case "system", "developer", "user", "assistant", "tool":
		default:
			return fmt.Errorf("messages[%d]: unknown role %q", i, m.Role)
		}
	}
	if r.N != nil && *r.N != 1 {
		return errors.New("n must be 1")
	}
	for _, limit := range r.tokenLimits() {
		if limit != nil && (*limit < 1 || *limit > maxTokenLimit) {
			return errors.New("max_tokens is out of range")
		}
	}
	return nil
}

// tokenLimits returns the client's limits of output tokens, with nil for a limit that is not set. The last limit that
// is set takes precedence.
func (r *chatCompletionRequest) tokenLimits() [2]*int {
	return [2]*int{r.MaxTokens, r.MaxCompletionTokens}
}

// withStreaming returns the body with the fields set that request a stream with usage, since replicas answer in that
// form. The other fields are unchanged.
func withStreaming(body []byte) ([]byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, fmt.Errorf("the body is no chat request: %w", err)
	}
	// encoding/json and the replicas ignore the case of field names. A field whose name has another case would be read
	// as the same field and could override the value that is set here.
	for name := range fields {
		if lower := strings.ToLower(name); lower != name && (lower == streamKey || lower == streamOptionsKey) {
			delete(fields, name)
		}
	}
	fields[streamKey], fields[streamOptionsKey] = json.RawMessage("true"), json.RawMessage(`{"include_usage":true}`)
	encoded, err := json.Marshal(fields)
	if err != nil {
		return nil, fmt.Errorf("the body cannot be passed on: %w", err)
	}
	return encoded, nil
}

// setRoutingInputs sets the fields of req that the dispatcher's decisions depend on. A session is identified by the
// client's cache key or, without one, by the beginning of the conversation, since the prompt of each turn begins with
// the prompt of the previous turn. The first message is a shared prefix if its role is system or developer.
func (r *chatCompletionRequest) setRoutingInputs(
	req *dispatch.Request, defaultMaxTokens int, hashKey func(string) routing.Key,
) {
	promptCharacters := 0
	for _, m := range r.Messages {
		promptCharacters += utf8.RuneCountInString(string(m.Content))
	}
	req.PromptTokens = max(estimateTokens(promptCharacters), 1)
	if first := r.Messages[0]; first.Role == "system" || first.Role == "developer" {
		req.SharedPrefix = hashKey(string(first.Content))
		req.SharedPrefixTokens = estimateTokens(utf8.RuneCountInString(string(first.Content)))
	}
	req.Session, req.MaxOutputTokens = hashKey(r.sessionKey()), defaultMaxTokens
	for _, limit := range r.tokenLimits() {
		if limit != nil {
			req.MaxOutputTokens = *limit
		}
	}
}

// sessionKey returns the client's cache key or, without one, the messages up to and including the user's first message.
func (r *chatCompletionRequest) sessionKey() string {
	if r.PromptCacheKey != "" {
		return r.PromptCacheKey
	}
	key := ""
	for _, m := range r.Messages {
		key += m.Role + "\x00" + string(m.Content) + "\x00"
		if m.Role == "user" {
			break
		}
	}
	return key
}

// estimateTokens returns the estimated number of tokens at four characters per token, as the platform counts them.
func estimateTokens(characters int) int {
	return (characters + charactersPerToken - 1) / charactersPerToken
}
