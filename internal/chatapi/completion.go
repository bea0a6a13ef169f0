package chatapi

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"net/http"
	"strings"
	"time"

	"rampspread/internal/dispatch"
)

const (
	maxContentBytes  = 1 << 20  // of an answer's text
	maxRetainedBytes = 16 << 10 // of the text of an answer that is retained for retries of its idempotency key
)

var (
	errContentTooLong = errors.New("the answer is too long")
	errClientGone     = errors.New("the client has gone")
)

// runResult is how the run of a request ended.
type runResult struct {
	mayHaveRun bool
	completion *chatCompletion // nil: the answer is not known whole
}

// complete sends a request through the dispatcher and writes its one final answer.
func (h *Handler) complete(client context.Context, w http.ResponseWriter, x *exchange) runResult {
	answer := h.dispatcher.Dispatch(client, x.dispatchRequest)
	switch answer.Kind {
	case dispatch.Served:
		return runResult{mayHaveRun: true, completion: h.relay(w, x, answer.Stream)}
	case dispatch.Rejected:
		setRetryAfter(w, answer.RetryAfter.Seconds())
		writeError(w, &apiError{status: http.StatusTooManyRequests, Type: rateLimitErrorType, Code: "rate_limit_exceeded",
			Message: "the service is busy; nothing was run"})
		return runResult{}
	case dispatch.ClientDisconnected:
		if x.requiresKey { // it has not run, and its key is free again
			writeError(w, &apiError{status: http.StatusServiceUnavailable, Type: serverErrorType, Code: "client_gone",
				Message: "nothing was run"})
			return runResult{}
		}
		panic(http.ErrAbortHandler)
	}
	failure := &apiError{status: http.StatusBadGateway, Type: serverErrorType, Code: "upstream_failed",
		Message: "no server answered"}
	if !time.Now().Before(x.dispatchRequest.Deadline) {
		failure.status, failure.Code, failure.Message = http.StatusGatewayTimeout, "timeout", "no server answered in time"
	}
	writeFailure(w, x, failure)
	return runResult{mayHaveRun: true}
}

// relay forwards a server's stream to the client, or collects it for an answer in one piece. It returns the whole
// completion; nil if the stream broke or is too long to be retained. The stream of a request with a key is read to its
// end even if its client has gone.
func (h *Handler) relay(w http.ResponseWriter, x *exchange, stream dispatch.Stream) *chatCompletion {
	defer stream.Close()
	out := newEventWriter(w, x)
	if x.request.Stream {
		out.begin()
	}
	var collected accumulator
	err := readEvents(stream, func(data []byte) error { return h.relayEvent(out, &collected, data) })
	if err != nil {
		writeBrokenStream(out, err)
		return nil
	}
	completion := collected.completion(x)
	if x.request.Stream {
		out.end()
	} else {
		writeJSON(w, http.StatusOK, completion)
	}
	if collected.content.Len() > maxRetainedBytes {
		return nil
	}
	return completion
}

// relayEvent handles the data of one event. Data that is not a chunk is skipped and counted.
func (h *Handler) relayEvent(out *eventWriter, collected *accumulator, data []byte) error {
	var chunk chatCompletionChunk
	var fields map[string]json.RawMessage
	if json.Unmarshal(data, &chunk) != nil || json.Unmarshal(data, &fields) != nil {
		h.skippedEvents.Add(1)
		return nil
	}
	if err := collected.add(&chunk); err != nil {
		return err
	}
	if out.exchange.request.Stream {
		out.forward(&chunk, fields)
	}
	if out.clientGone && !out.exchange.requiresKey {
		return errClientGone
	}
	return nil
}

// writeBrokenStream is the one final answer to a stream that broke. A client that has received events gets an error
// event and no end of the stream, so that it cannot take what it has for the whole answer.
func writeBrokenStream(out *eventWriter, cause error) {
	failure := &apiError{status: http.StatusBadGateway, Type: serverErrorType, Code: "stream_broken",
		Message: "the answer broke off"}
	if !out.exchange.request.Stream {
		writeFailure(out.w, out.exchange, failure)
		return
	}
	slog.Warn("chat_stream_broken", "id", out.exchange.dispatchRequest.Call.ID, "err", cause)
	out.writeEvent(failure.body())
	panic(http.ErrAbortHandler)
}

// accumulator collects an answer from the chunks of its stream.
type accumulator struct {
	content      strings.Builder
	finishReason *string
	usage        *usage
}

func (a *accumulator) add(chunk *chatCompletionChunk) error {
	for _, choice := range chunk.Choices {
		a.content.WriteString(choice.Delta.Content)
		if choice.FinishReason != nil {
			a.finishReason = choice.FinishReason
		}
	}
	if chunk.Usage != nil {
		a.usage = chunk.Usage
		a.usage.TotalTokens = a.usage.PromptTokens + a.usage.CompletionTokens
	}
	if a.content.Len() > maxContentBytes {
		return errContentTooLong
	}
	return nil
}

// completion returns the whole answer to a request.
func (a *accumulator) completion(x *exchange) *chatCompletion {
	message := assistantMessage{Role: assistantRole, Content: a.content.String()}
	return &chatCompletion{ID: x.id, Object: completionObject, Created: x.created, Model: x.request.Model, Usage: a.usage,
		Choices: []choice{{Message: message, FinishReason: a.finishReason}}}
}
