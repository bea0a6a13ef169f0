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
	"rampspread/internal/memory"
)

const (
	maxContentBytes  = 1 << 20  // limit of the length of an answer's text
	maxRetainedBytes = 16 << 10 // limit of the text of an answer that is retained for retries of its idempotency key
)

var (
	errContentTooLong = errors.New("answer text is longer than 1 MiB")
	errClientGone     = errors.New("client disconnected")
	errNoMemory       = errors.New("no memory for the answer's text")
)

// runResult is the result of running a request.
type runResult struct {
	mayHaveRun bool            // whether a replica may have executed the request
	completion *chatCompletion // the complete answer, or nil if it is not known or too long to retain
}

// complete dispatches a request and writes its final answer.
func (h *Handler) complete(client context.Context, w http.ResponseWriter, x *exchange) runResult {
	answer := h.dispatcher.Dispatch(client, x.dispatchRequest)
	switch answer.Kind {
	case dispatch.Served:
		x.dispatchRequest.Call.Body = nil // a stream that has begun is not sent again
		x.payload.Release()
		return runResult{mayHaveRun: true, completion: h.relay(w, x, answer.Stream)}
	case dispatch.Rejected:
		setRetryAfter(w, answer.RetryAfter.Seconds())
		writeError(w, &apiError{status: http.StatusTooManyRequests, Type: rateLimitErrorType, Code: "rate_limit_exceeded",
			Message: "the service is busy; nothing was run"})
		return runResult{}
	case dispatch.ClientDisconnected:
		if x.requiresKey { // the request has not run, and its key is released
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

// relay forwards a replica's stream to the client, or collects it if the client requested an answer without streaming.
// It returns the complete answer, or nil if the stream was not read to its end or the answer is too long to retain. The
// stream of a request with a key is read to its end even if the client disconnects.
func (h *Handler) relay(w http.ResponseWriter, x *exchange, stream dispatch.Stream) *chatCompletion {
	defer stream.Close()
	out := newEventWriter(w, x)
	if x.request.Stream {
		out.begin()
	}
	collected := accumulator{memory: x.payload, streamed: x.request.Stream, retained: x.requiresKey,
		complete: x.requiresKey || !x.request.Stream}
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
	collected.complete = collected.complete && collected.retained
	if !collected.complete || collected.content.Len() > maxRetainedBytes {
		return nil
	}
	return completion
}

// relayEvent processes the data of one event. It skips and counts data that is not a chunk.
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

// writeBrokenStream writes the final answer for a stream that was not read to its end. A streaming client gets an error
// event, and its stream ends without the last event, so that it cannot mistake the events received so far for the
// complete answer.
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

// accumulator collects an answer from the chunks of its stream, as far as it is needed: the whole text for a client
// that requested no stream, and a text of limited length for retries of an idempotency key.
type accumulator struct {
	memory       *memory.Reservation
	streamed     bool // the client gets the answer as a stream
	retained     bool // the answer is retained for retries
	complete     bool // content holds the whole text so far
	content      strings.Builder
	finishReason *string
	usage        *usage
}

// collect adds text. If it is not needed or too long to retain, or memory is short, it discards all text unless the
// client still has to get it.
func (a *accumulator) collect(text string) error {
	if a.streamed && (!a.complete || a.content.Len()+len(text) > maxRetainedBytes) {
		a.discard()
		return nil
	}
	if a.content.Len()+len(text) > maxContentBytes {
		return errContentTooLong
	}
	before := a.content.Cap()
	a.content.WriteString(text)
	if a.memory.Grow(int64(a.content.Cap() - before)) {
		return nil
	}
	if !a.streamed {
		return errNoMemory
	}
	a.discard()
	return nil
}

func (a *accumulator) discard() {
	a.memory.Shrink(int64(a.content.Cap()))
	a.content, a.complete = strings.Builder{}, false
}

func (a *accumulator) add(chunk *chatCompletionChunk) error {
	for _, choice := range chunk.Choices {
		if err := a.collect(choice.Delta.Content); err != nil {
			return err
		}
		if choice.FinishReason != nil {
			a.finishReason = choice.FinishReason
		}
	}
	if chunk.Usage != nil {
		a.usage = chunk.Usage
		a.usage.TotalTokens = a.usage.PromptTokens + a.usage.CompletionTokens
	}
	return nil
}

// completion returns the complete answer to a request.
func (a *accumulator) completion(x *exchange) *chatCompletion {
	message := assistantMessage{Role: assistantRole, Content: a.content.String()}
	return &chatCompletion{ID: x.id, Object: completionObject, Created: x.created, Model: x.request.Model, Usage: a.usage,
		Choices: []choice{{Message: message, FinishReason: a.finishReason}}}
}
