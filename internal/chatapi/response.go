package chatapi

// Values of the fields object and role in answers.
const (
	completionObject = "chat.completion"
	chunkObject      = "chat.completion.chunk"
	assistantRole    = "assistant"
)

// chatCompletion is OpenAI's chat completion object: an answer without streaming. It is also stored for retries of an
// idempotency key.
type chatCompletion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"` // Unix time in seconds
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

// textBytes returns the length of the answer's text, or 0 if the completion is nil.
func (c *chatCompletion) textBytes() (bytes int64) {
	if c == nil {
		return 0
	}
	for _, choice := range c.Choices {
		bytes += int64(len(choice.Message.Content))
	}
	return bytes
}

type choice struct {
	Index        int              `json:"index"`
	Message      assistantMessage `json:"message"`
	FinishReason *string          `json:"finish_reason"`
}

type assistantMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// chatCompletionChunk is OpenAI's chat completion chunk object: the data of one event of a streamed answer.
type chatCompletionChunk struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Created int64         `json:"created"` // Unix time in seconds
	Model   string        `json:"model"`
	Choices []chunkChoice `json:"choices"`
	Usage   *usage        `json:"usage,omitempty"`
}

type chunkChoice struct {
	Index        int     `json:"index"`
	Delta        delta   `json:"delta"`
	FinishReason *string `json:"finish_reason"`
}

// delta is the text, and in the first chunk the role, that a chunk adds to the message.
type delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

// usage holds the numbers of tokens of a request and its answer.
type usage struct {
	PromptTokens        int                 `json:"prompt_tokens"`
	CompletionTokens    int                 `json:"completion_tokens"`
	TotalTokens         int                 `json:"total_tokens"`
	PromptTokensDetails promptTokensDetails `json:"prompt_tokens_details"`
}

type promptTokensDetails struct {
	CachedTokens int `json:"cached_tokens"`
}
