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

// What a decode replica can do.
const (
	decodeSlots             = 16
	decodeQueueLimit        = 16
	fullBatchSlowdown       = 0.5  // by which a token takes longer when all slots are in use
	meanBatchSlowdown       = 1.25 // factor, with half of the slots in use
	transferTokensPerSecond = 250e3
	crossZoneTransferFactor = 2.0 // times as long as within a zone
)

// TokensPerEvent is how many tokens an event of a stream has.
const TokensPerEvent = 4

// EventMark is the content of an event: it names the request that it was made for and the tokens before it.
func EventMark(id string, tokens int) string { return fmt.Sprintf("%s.%d ", id, tokens) }

// responder answers an attempt that has begun, with the state that it took.
type responder func(w http.ResponseWriter, q *http.Request, a attempt, state *reservedState)

// failAfterStart is the answer of a replica that fails while it executes.
func failAfterStart(w http.ResponseWriter, _ *http.Request, _ attempt, _ *reservedState) {
	w.WriteHeader(http.StatusInternalServerError)
}

// decode waits for a slot, takes the request's state and answers.
func (r *Replica) decode(w http.ResponseWriter, q *http.Request, a attempt, respond responder) {
	r.mu.Lock()
	if r.waiting+r.active >= decodeSlots+decodeQueueLimit {
		r.mu.Unlock()
		respondNotExecuted(w, http.StatusServiceUnavailable)
		return
	}
	r.waiting++
	r.mu.Unlock()
	if !r.acquireSlot(q.Context()) {
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
	respond(w, q, a, state)
}

// acquireSlot makes a waiting attempt an active one, or drops it when its caller has gone.
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

// streamResponse transfers the state and streams the answer's events.
func (r *Replica) streamResponse(w http.ResponseWriter, q *http.Request, a attempt, state *reservedState) {
	ctx := q.Context()
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
	for n := 0; n < output; n += TokensPerEvent {
		r.awaitResumed(ctx)
		if timing.Sleep(ctx, time.Duration(r.tokenTime()*float64(min(TokensPerEvent, output-n)))) != nil {
			return
		}
		if linkHealthy(q) {
			r.cluster.recordEventWrite(a.id, n)
		}
		finish := "null"
		if n+TokensPerEvent >= output {
			finish = `"stop"`
		}
		fmt.Fprintf(w, "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":%q},\"finish_reason\":%s}]}\n\n", EventMark(a.id, n), finish)
		if rc.Flush() != nil {
			return
		}
	}
	fmt.Fprintf(w, "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":%d,\"completion_tokens\":%d,"+
		"\"prompt_tokens_details\":{\"cached_tokens\":%d}}}\n\ndata: [DONE]\n\n", a.request.PromptTokens, output, a.request.PromptTokens)
}

// tokenTime is how long a token takes now, in nanoseconds.
func (r *Replica) tokenTime() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return float64(deployment.DecodeTokenTime) * (1 + float64(r.active)/decodeSlots*fullBatchSlowdown) / r.relativeSpeed()
}

// linkHealthy tells whether what is written to a call's connection now leaves this machine: what a fault of the link
// holds back is not held back by the dispatcher.
func linkHealthy(q *http.Request) bool {
	c, ok := q.Context().Value(connectionKey{}).(*network.Conn)
	return ok && c.Link().Healthy(time.Now())
}
