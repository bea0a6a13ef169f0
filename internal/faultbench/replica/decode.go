package replica

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"rampspread/internal/faultbench/deployment"
	"rampspread/internal/faultbench/history"
	"rampspread/internal/faultbench/network"
	"rampspread/internal/faultbench/timing"
)

// Capacity and speed of a decode replica.
const (
	decodeSlots             = 16
	decodeQueueLimit        = 16
	fullBatchSlowdown       = 0.5  // fraction by which a token takes longer when all slots are in use
	meanBatchSlowdown       = 1.25 // factor by which a token takes longer when half of the slots are in use
	transferTokensPerSecond = 250e3
	crossZoneTransferFactor = 2.0 // factor by which a transfer between zones takes longer than within a zone
)

// TokensPerEvent is the number of tokens in an event of a stream.
const TokensPerEvent = 4

// EventMark returns the content of an event, which identifies its request and the number of tokens before the event.
func EventMark(id string, tokens int) string { return fmt.Sprintf("%s.%d ", id, tokens) }

// responder responds to an attempt that started to execute. The state is the request's, which decode has fetched.
type responder func(w http.ResponseWriter, req *http.Request, a attempt, state *reservedState)

// failAfterStart is the responder of a replica that fails during execution.
func failAfterStart(w http.ResponseWriter, _ *http.Request, _ attempt, _ *reservedState) {
	w.WriteHeader(http.StatusInternalServerError)
}

// decode waits for a slot, fetches the request's state and calls respond. If the queue is full or there is no state, it
// responds that the attempt was not executed.
func (r *Replica) decode(w http.ResponseWriter, req *http.Request, a attempt, respond responder) {
	r.mu.Lock()
	if r.waiting+r.active >= decodeSlots+decodeQueueLimit {
		r.mu.Unlock()
		respondNotExecuted(w, http.StatusServiceUnavailable)
		return
	}
	r.waiting++
	r.mu.Unlock()
	if !r.acquireSlot(req.Context()) {
		return
	}
	defer r.releaseSlot()
	state := r.cluster.removeState(a.id, true)
	if state == nil {
		respondNotExecuted(w, http.StatusGone)
		return
	}
	r.cluster.history.Add(history.Event{Kind: history.ExecutionStarted, Request: a.id, Group: a.request.Group,
		Class: a.request.Class.Name, Replica: r.Name, Dispatcher: a.dispatcher})
	respond(w, req, a, state)
}

// acquireSlot waits for a slot and makes the waiting attempt active. It returns false if the caller disconnects first.
func (r *Replica) acquireSlot(ctx context.Context) bool {
	acquired := false
	select {
	case r.slots <- struct{}{}:
		acquired = true
	case <-ctx.Done():
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.waiting--
	if acquired {
		r.active++
	}
	return acquired
}

func (r *Replica) releaseSlot() {
	<-r.slots
	r.mu.Lock()
	r.active--
	r.mu.Unlock()
}

// streamResponse transfers the state and streams the response's events.
func (r *Replica) streamResponse(w http.ResponseWriter, req *http.Request, a attempt, state *reservedState) {
	ctx := req.Context()
	transfer := float64(state.tokens) / transferTokensPerSecond
	if state.holder.Zone != r.Zone {
		transfer *= crossZoneTransferFactor
	}
	if timing.Sleep(ctx, time.Duration(transfer*float64(time.Second))) != nil {
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	rc := http.NewResponseController(w)
	output := a.request.OutputTokens
	for sent := 0; sent < output; sent += TokensPerEvent {
		r.awaitResumed(ctx)
		if timing.Sleep(ctx, time.Duration(r.tokenTime()*float64(min(TokensPerEvent, output-sent)))) != nil {
			return
		}
		if linkHealthy(req) {
			r.cluster.recordEventWrite(a.id, sent)
		}
		finish := "null"
		if sent+TokensPerEvent >= output {
			finish = `"stop"`
		}
		fmt.Fprintf(w, "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":%q},\"finish_reason\":%s}]}\n\n", EventMark(a.id, sent), finish)
		if rc.Flush() != nil {
			return
		}
	}
	fmt.Fprintf(w, "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":%d,\"completion_tokens\":%d,"+
		"\"prompt_tokens_details\":{\"cached_tokens\":%d}}}\n\ndata: [DONE]\n\n", a.request.PromptTokens, output, a.request.PromptTokens)
}

// tokenTime returns the current time per token, in nanoseconds.
func (r *Replica) tokenTime() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return float64(deployment.DecodeTokenTime) * (1 + float64(r.active)/decodeSlots*fullBatchSlowdown) / r.relativeSpeed()
}

// linkHealthy reports whether the link of a call's connection currently has no fault. The delay of an event that is
// written over a faulty link is not measured, because the fault and not the dispatcher may cause it.
func linkHealthy(req *http.Request) bool {
	c, ok := req.Context().Value(connectionKey{}).(*network.Conn)
	return ok && c.Link().Healthy(time.Now())
}
