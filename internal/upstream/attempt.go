package upstream

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"rampspread/internal/dispatch"
	"rampspread/internal/precondition"
	"rampspread/routing"
)

const (
	// closeDelay is what a close takes to reach the replica: a few milliseconds between a deployment's machines, like
	// a request, and it may be overtaken by a request that goes to another replica.
	closeDelay = 10 * time.Millisecond
	// maxStaleConns is how many connections may turn out to be closed before a call counts as failed.
	maxStaleConns = 3
)

// attempt is one call of a request at one replica. It implements dispatch.Attempt.
//
// Its lifecycle:
//
//	waiting for a release of the same call    awaitRelease
//	waiting for a connection                  requestState waitingForConn
//	writing, then written or writeFailed      requestState
//	reading the head                          responseState readingHead
//	streaming (status 200)                    stream
//	ended                                     AttemptObserver.Ended, which is called exactly once
//
// While used connections turn out to be closed before the last byte was written, the attempt goes back to waiting for a
// connection with a new exchange. A response with another status than 200 is short; the attempt ends when it was read.
type attempt struct {
	client      *Client
	spec        dispatch.AttemptSpec
	deadline    time.Time // for the whole attempt
	dedupExpiry time.Time // with spec.Retry: until then the replicas drop repeats
	ctx         context.Context
	cancel      context.CancelFunc

	mu        sync.Mutex
	body      *requestBody        // of the current exchange
	begun     bool                // the current exchange's first byte may have been written
	withdrawn bool                // no exchange may begin any more
	refused   precondition.Reason // why the current exchange's first byte was not written
}

// Send implements dispatch.Upstream.
func (c *Client) Send(spec dispatch.AttemptSpec, observer dispatch.AttemptObserver) dispatch.Attempt {
	ctx, cancel := context.WithCancel(context.Background())
	now := time.Now()
	a := &attempt{
		client:      c,
		spec:        spec,
		deadline:    now.Add(spec.Timeout),
		dedupExpiry: now.Add(spec.DedupWindow),
		ctx:         ctx,
		cancel:      cancel,
		body:        &requestBody{unread: spec.Call.Body},
	}
	go a.run(observer)
	return a
}

// Abort implements dispatch.Attempt.
func (a *attempt) Abort() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.body.abort()
	a.cancel()
}

// Withdraw implements dispatch.Attempt.
func (a *attempt) Withdraw() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.withdrawn = true
	if !a.begun {
		a.cancel()
	}
}

// run makes the attempt and reports how it ended.
func (a *attempt) run(observer dispatch.AttemptObserver) {
	a.client.awaitRelease(a.ctx, a.spec.Call.ID)
	x := newExchange(a)
	resp, err := x.roundTrip()
	for n := 0; n < maxStaleConns && err != nil && x.connWasStale(); n++ {
		// The last byte was not written, so it is the same attempt, and the replica is not to blame.
		slog.Info("attempt_reconnected", "id", a.spec.Call.ID, "server", a.spec.Target.Name,
			"idle", x.connIdleTime(), "err", err)
		next := a.nextExchange()
		if next == nil {
			break
		}
		x = next
		resp, err = x.roundTrip()
	}
	if err != nil {
		a.fail(x, err, observer)
		return
	}
	if resp.StatusCode == http.StatusOK {
		x.stopHeadTimer()
		a.stream(resp, observer)
		return
	}
	data, err := readShortBody(resp.Body)
	x.stopHeadTimer()
	a.cancel()
	observer.Ended(a.client.shortResult(resp, data, err))
}

// nextExchange begins the attempt anew on another connection. It returns nil if the attempt has been aborted or
// withdrawn meanwhile.
func (a *attempt) nextExchange() *exchange {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ctx.Err() != nil || a.withdrawn {
		return nil
	}
	a.body, a.begun = &requestBody{unread: a.spec.Call.Body}, false
	return newExchange(a)
}

// admitFirstByte decides whether an exchange's first byte may be written. The connection may have come long after Send,
// so the preconditions are checked again at this moment.
func (a *attempt) admitFirstByte() bool {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refused = precondition.FirstByte{
		Withdrawn:     a.withdrawn,
		ClientGone:    a.spec.ClientGone != nil && a.spec.ClientGone(),
		RemainingTime: a.deadline.Sub(now),
		MayHaveRun:    a.spec.MayHaveRun,
		DedupWindow:   a.dedupExpiry.Sub(now),
	}.Check()
	a.begun = a.refused == precondition.Allowed
	return a.begun
}

// refusal returns why the attempt did not begin. precondition.Allowed says that it did, or that this side did not keep
// it from beginning.
func (a *attempt) refusal() precondition.Reason {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.refused == precondition.Allowed && a.withdrawn && !a.begun {
		return precondition.Withdrawn
	}
	return a.refused
}

// fail reports an attempt that got no response head. One that this side prevented from beginning, or that this machine
// could not connect, says nothing about the replica.
func (a *attempt) fail(x *exchange, err error, observer dispatch.AttemptObserver) {
	if x.firstByteWritten() {
		a.abandon()
	} else {
		a.cancel()
	}
	outcome, refusal := x.failureOutcome(), a.refusal()
	ownFailure := refusal != precondition.Allowed || errors.Is(err, errLocalFailure)
	if outcome == routing.ConnectFailed && !x.firstByteWritten() && ownFailure {
		outcome = routing.NotSent
	}
	slog.Info("attempt_failed", "id", a.spec.Call.ID, "server", a.spec.Target.Name, "outcome", outcome,
		"reason", refusal.String(), "idle", x.connIdleTime(), "err", err)
	observer.Ended(dispatch.AttemptResult{Outcome: outcome, StreamStarted: x.responseBegan()})
}

// abandon ends an attempt of which something was written, and closes its connection. It returns when the replica has
// had time to notice that: the attempt counts as in flight until then, and its reported end lets the next attempt go
// out, which would otherwise overlap with this one.
func (a *attempt) abandon() {
	a.cancel()
	time.Sleep(closeDelay)
}
