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
	// closeDelay is the time that the close of a connection takes to reach the replica. Between the machines of a
	// deployment it takes a few milliseconds, as a request does, and a request to another replica may overtake it.
	closeDelay = 10 * time.Millisecond
	// maxStaleConns is how many stale connections an attempt may replace before it counts as failed. A connection is
	// stale if it was used before and turns out to be closed.
	maxStaleConns = 3
)

// attempt is one call of a request at one replica. It implements dispatch.Attempt.
//
// Its states, and the functions or types that implement them:
//
//	waiting for a release of the same call    awaitRelease
//	waiting for a connection                  requestState waitingForConn
//	writing, then written or writeFailed      requestState
//	reading the head                          responseState readingHead
//	streaming (status 200)                    stream
//	ended                                     AttemptObserver.Ended, which is called exactly once
//
// If a used connection turns out to be closed before the last byte was written, the attempt starts a new exchange,
// which waits for another connection. A response with a status other than 200 has a short body, and the attempt ends
// when that body has been read.
type attempt struct {
	client      *Client
	spec        dispatch.AttemptSpec
	deadline    time.Time // deadline of the whole attempt
	dedupExpiry time.Time // time until which replicas discard a repeated call; used only with spec.MayHaveRun
	ctx         context.Context
	cancel      context.CancelFunc

	mu                sync.Mutex
	body              *requestBody        // body of the current exchange
	firstByteAdmitted bool                // the current exchange's first byte may have been written
	withdrawn         bool                // no further exchange may begin
	firstByteRefusal  precondition.Reason // why the current exchange's first byte was refused, or Allowed
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
	if !a.firstByteAdmitted {
		a.cancel()
	}
}

// run makes the attempt and reports how it ended.
func (a *attempt) run(observer dispatch.AttemptObserver) {
	a.client.awaitRelease(a.ctx, a.spec.Call.ID)
	x := newExchange(a)
	resp, err := x.roundTrip()
	for n := 0; n < maxStaleConns && err != nil && x.connWasStale(); n++ {
		// The last byte was not written, so the call never ran. It remains the same attempt, and the stale connection
		// does not count as a failure of the replica.
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
		a.reportFailure(x, err, observer)
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

// nextExchange returns a new exchange, with which the attempt begins again on another connection. It returns nil if the
// attempt has been aborted or withdrawn in the meantime.
func (a *attempt) nextExchange() *exchange {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ctx.Err() != nil || a.withdrawn {
		return nil
	}
	a.body, a.firstByteAdmitted = &requestBody{unread: a.spec.Call.Body}, false
	return newExchange(a)
}

// dropBody lets the call's body be collected, once it will not be sent again.
func (a *attempt) dropBody() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.spec.Call.Body = nil
	a.body.drop()
}

// admitFirstByte decides whether an exchange's first byte may be written. The connection may have become available long
// after Send, so the preconditions are checked again at this moment.
func (a *attempt) admitFirstByte() bool {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.firstByteRefusal = precondition.FirstByte{
		Withdrawn:     a.withdrawn,
		ClientGone:    a.spec.ClientGone != nil && a.spec.ClientGone(),
		RemainingTime: a.deadline.Sub(now),
		MayHaveRun:    a.spec.MayHaveRun,
		DedupWindow:   a.dedupExpiry.Sub(now),
	}.Check()
	a.firstByteAdmitted = a.firstByteRefusal == precondition.Allowed
	return a.firstByteAdmitted
}

// refusalReason returns the precondition that prevented the attempt from beginning. It returns precondition.Allowed if
// the attempt began, or if something other than a precondition prevented it.
func (a *attempt) refusalReason() precondition.Reason {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.firstByteRefusal == precondition.Allowed && a.withdrawn && !a.firstByteAdmitted {
		return precondition.Withdrawn
	}
	return a.firstByteRefusal
}

// reportFailure reports an attempt that received no response head. The outcome is routing.NotSent, which says nothing
// about the replica, if a precondition prevented the attempt from beginning or this machine could not make a
// connection.
func (a *attempt) reportFailure(x *exchange, err error, observer dispatch.AttemptObserver) {
	if x.firstByteWritten() {
		a.abandon()
	} else {
		a.cancel()
	}
	outcome, refusalReason := x.failureOutcome(), a.refusalReason()
	causedLocally := refusalReason != precondition.Allowed || errors.Is(err, errLocalFailure)
	if outcome == routing.ConnectFailed && !x.firstByteWritten() && causedLocally {
		outcome = routing.NotSent
	}
	slog.Info("attempt_failed", "id", a.spec.Call.ID, "server", a.spec.Target.Name, "outcome", outcome,
		"reason", refusalReason.String(), "idle", x.connIdleTime(), "err", err)
	observer.Ended(dispatch.AttemptResult{Outcome: outcome, StreamStarted: x.responseBegan()})
}

// abandon ends an attempt of which bytes were written, and closes its connection. It returns once the replica has had
// time to notice the close. Until then the attempt counts as in flight: as soon as its end is reported, the next
// attempt may be sent, and would otherwise overlap with this one.
func (a *attempt) abandon() {
	a.cancel()
	time.Sleep(closeDelay)
}
