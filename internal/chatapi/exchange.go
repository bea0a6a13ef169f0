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
	"rampspread/internal/memory"
	"rampspread/routing"
)

const (
	// deadlineMargin is the time before the client's deadline at which the dispatcher gives up, so that the answer
	// arrives in time. It is at most the client's timeout divided by deadlineMarginDivisor.
	deadlineMargin        = 25 * time.Millisecond
	deadlineMarginDivisor = 4
	// deadlineGrowthFactor is how many times faster than its latency objective a class's deadline grows with the length
	// of the prompt.
	deadlineGrowthFactor = 2
	// objectiveTokens is the number of prompt tokens for which a class's latency objective grows by
	// routing.Class.TTFTObjectivePer1K.
	objectiveTokens = 1000

	requestIDBytes = 8

	// parsedCopies is how many copies of a body its parsing makes, beside the body that is forwarded.
	parsedCopies = 2
)

// exchange is one chat completion request and the data needed to answer it.
type exchange struct {
	request         *chatCompletionRequest
	dispatchRequest dispatch.Request
	id              string // id of the completion
	created         int64  // Unix time in seconds
	payload         *memory.Reservation
	requiresKey     bool // the request needs an idempotency key, since its class is not idempotent
}

// newExchange reads and validates a request, and sets the fields that the dispatcher's decisions depend on.
func (h *Handler) newExchange(w http.ResponseWriter, r *http.Request) (*exchange, *apiError) {
	arrivedAt := connlimit.ArrivedAt(r, time.Now())
	body, status, err := connlimit.ReadBody(w, r)
	if err != nil {
		return nil, invalidRequest(status, "invalid_body", "body: %v", err)
	}
	payload := connlimit.Payload(r)
	parsing := int64(parsedCopies * len(body))
	if !payload.Grow(parsing) {
		return nil, invalidRequest(http.StatusServiceUnavailable, "invalid_body", "body: too much in hand")
	}
	defer payload.Shrink(parsing)
	request, upstreamBody, err := parseRequest(body)
	if err != nil {
		return nil, invalidRequest(http.StatusBadRequest, "invalid_request", "%v", err)
	}
	class := classIndex(h.settings, h.config.Models[request.Model])
	if class < 0 {
		return nil, invalidRequest(http.StatusNotFound, "model_not_found", "the model %q does not exist", request.Model)
	}
	random := make([]byte, requestIDBytes)
	rand.Read(random) // never returns an error
	requestID := hex.EncodeToString(random)
	x := &exchange{request: request, payload: payload, id: "chatcmpl-" + requestID, created: arrivedAt.Unix(),
		requiresKey: h.classes[class].Idempotency != routing.Idempotent}
	x.dispatchRequest = dispatch.Request{Class: class, Call: dispatch.UpstreamCall{ID: requestID, Method: http.MethodPost,
		Target: completionsPath, ContentType: "application/json", Body: upstreamBody}}
	x.dispatchRequest.ClientGone = connlimit.ClientGoneFunc(r)
	request.setRoutingInputs(&x.dispatchRequest, h.config.MaxTokens, frontend.HashKey)
	request.Messages = nil // the answer does not depend on them

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

// classTimeout returns the time that a class allows for a prompt of the given length: the class's DeadlineMs, extended
// by deadlineGrowthFactor times the growth of its latency objective with the prompt's length.
func (h *Handler) classTimeout(class, promptTokens int) time.Duration {
	return config.FromMS(h.settings.Classes[class].DeadlineMs) +
		time.Duration(deadlineGrowthFactor*float64(h.classes[class].TTFTObjectivePer1K)*float64(promptTokens)/objectiveTokens)
}
