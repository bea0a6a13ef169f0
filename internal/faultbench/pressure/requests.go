package pressure

import (
	"fmt"
	"strings"
)

// PlatformRequest returns a function that makes requests of the platform's protocol for a class, as Config.Request.
func PlatformRequest(class string) func(name, otherClass string, bodyBytes int) string {
	return func(name, otherClass string, bodyBytes int) string {
		if otherClass == "" {
			otherClass = class
		}
		body := chatBody(class, bodyBytes)
		return fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: b\r\nX-Trace-Id: %s\r\nX-Qos: %s\r\nX-Object: %s\r\n"+
			"X-Expires-In: 5000m\r\nX-Props: prefix=%s,prompt_len=400,prefix_len=100,max_out=100\r\nContent-Length: %d\r\n\r\n%s",
			name, otherClass, name, name, len(body), body)
	}
}

// ChatRequest returns a function that makes requests of the chat API for a model, as Config.Request. Each has the name
// as its idempotency key.
func ChatRequest(model string) func(name, otherClass string, bodyBytes int) string {
	return func(name, otherClass string, bodyBytes int) string {
		if otherClass == "" {
			otherClass = model
		}
		body := chatBody(otherClass, bodyBytes)
		return fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: b\r\nIdempotency-Key: %s\r\n"+
			"Content-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", name, len(body), body)
	}
}

func chatBody(model string, bytes int) string {
	return fmt.Sprintf(`{"model":%q,"stream":true,"messages":[{"role":"user","content":"%s"}]}`, model, strings.Repeat("a", bytes))
}
