package chatapi

import (
	"crypto/rand"
	"encoding/hex"
	"net/http"
	"time"

	"rampspread/internal/config"
	"rampspread/internal/connlimit"
	"rampspread/internal/dispatch"
	"rampspread/internal/frontend"
	"rampspread/routing"
)

const (
	// deadlineMargin is the time before the client's deadline at which the dispatcher gives up, so that its answer
	// arrives in time. It is at most a quarter of the whole wait.
	deadlineMargin        = 25 * time.Millisecond
	deadlineMarginDivisor = 4
	// deadlineGrowth is how many times faster than its latency objective a class's deadline grows with the length of
	// the prompt.
	deadlineGrowth = 2
	// objectiveTokens is the number of prompt tokens that routing.Class.TTFTObjectivePer1K is for.
	objectiveTokens = 1000

	requestIDBytes = 8
)

// exchange is one chat completion request on its way to its answer.
type exchange struct {
	request         *chatCompletionRequest
	dispatchRequest dispatch.Request
	id              string // of the completion
	created         int64  // Unix time in seconds
	requiresKey     bool   // its class is not idempotent, so that it needs an idempotency key
}

// newExchange reads and validates a request and sets what the dispatcher decides by.
func (h *Handler) newExchange(w http.ResponseWriter, r *http.Request) (*exchange, *apiError) {
	arrivedAt := connlimit.ArrivedAt(r, time.Now())
	body, status, err := connlimit.ReadBody(w, r)
	if err != nil {
		return nil, invalidRequest(status, "invalid_body", "body: %v", err)
	}
	request, upstreamBody, err := parseRequest(body)
	if err != nil {
		return nil, invalidRequest(http.StatusBadRequest, "invalid_request", "%v", err)
	}
	class := classIndex(h.settings, h.config.Models[request.Model])
	if class < 0 {
		return nil, invalidRequest(http.StatusNotFound, "model_not_found", "the model %q does not exist", request.Model)
	}
	random := make([]byte, requestIDBytes)
	rand.Read(random) // never fails
	requestID := hex.EncodeToString(random)
	x := &exchange{request: request, id: "chatcmpl-" + requestID, created: arrivedAt.Unix(),
		requiresKey: h.classes[class].Idempotency != routing.Idempotent}
	x.dispatchRequest = dispatch.Request{Class: class, Call: dispatch.UpstreamCall{ID: requestID, Method: http.MethodPost,
		Target: completionsPath, ContentType: "application/json", Body: upstreamBody}}
	x.dispatchRequest.ClientGone = connlimit.ClientGoneFunc(r)
	request.setRoutingInputs(&x.dispatchRequest, h.config.MaxTokens, frontend.HashKey)

	timeout := h.classTimeout(class, x.dispatchRequest.PromptTokens)
	if header := r.Header.Get("X-Expires-In"); header != "" {
		requested, err := frontend.ParseExpiry(header)
		if err != nil {
			return nil, invalidRequest(http.StatusBadRequest, "invalid_deadline", "X-Expires-In: %v", err)
		}
		timeout = min(timeout, requested)
	}
	x.dispatchRequest.Deadline = arrivedAt.Add(timeout - min(deadlineMargin, timeout/deadlineMarginDivisor))
	return x, nil
}

// classTimeout is the time that a class allows for a prompt of the given length: its hard limit, extended for a long
// prompt by twice what its latency objective grows.
func (h *Handler) classTimeout(class, promptTokens int) time.Duration {
	return config.FromMS(h.settings.Classes[class].DeadlineMs) +
		time.Duration(deadlineGrowth*float64(h.classes[class].TTFTObjectivePer1K)*float64(promptTokens)/objectiveTokens)
}
