package connlimit

import (
	"log/slog"
	"net/http"
	"time"

	"rampspread/internal/precondition"
)

// acceptRequest decides whether a request that was received completely is accepted. It returns precondition.Allowed, or
// the reason why the request is not accepted. Once it is accepted, its connection is not evicted. The check for a
// client that has gone is needed since net/http passes pipelined requests to the handler even if their client has
// closed the connection.
func acceptRequest(r *http.Request) precondition.Reason {
	c := trackedConnOf(r)
	if c == nil {
		return precondition.Allowed
	}
	observable := c.client == nil || c.client.observable()
	clientGone := c.client != nil && !c.client.recordRequestComplete()
	limiter := c.limiter
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	facts := precondition.Accept{
		ClientGone:   clientGone,
		Evicted:      c.state == connEvicted,
		ShuttingDown: limiter.lifecycle.RejectNew.Load(),
		Draining:     !limiter.lifecycle.Drain.acceptsRequests(time.Now()),
	}
	if facts.Check() == precondition.Allowed {
		c.holdsSlot = observable && limiter.openRequest()
		facts.Full = !c.holdsSlot
	}
	decision := facts.Check()
	rejected := isAnsweredRejection(decision)
	c.recordRequestComplete(r.Header.Get("X-Trace-Id"), decision)
	if c.state == connHandling {
		if limiter.lifecycle.Drain.Active() {
			slog.Info("request_while_draining", "id", c.lastRequestID, "rejected", rejected, "remote", r.RemoteAddr,
				"requests", c.requestsBegun, "age", time.Since(c.acceptedAt))
		}
		if c.client != nil {
			c.client.markAnswerPending()
		}
	}
	if rejected {
		limiter.rejected.Add(1)
		slog.Info("request_rejected", "id", c.lastRequestID, "reason", decision.String(), "remote", r.RemoteAddr,
			"observable", observable)
	}
	return decision
}

// isAnsweredRejection reports whether a decision of acceptRequest rejects a request whose client can still receive an
// answer.
func isAnsweredRejection(decision precondition.Reason) bool {
	return decision == precondition.ShuttingDown || decision == precondition.Draining || decision == precondition.NoCapacity
}

// drainRejects reports whether an operator's drain has been active for so long that no request is accepted any more.
func drainRejects(r *http.Request) bool {
	c := trackedConnOf(r)
	return c != nil && !c.limiter.lifecycle.Drain.acceptsRequests(time.Now())
}

// ArrivedAt returns the earliest time at which a request's last byte may have arrived. That is when its header was read,
// even if the handler let it wait for its turn; now is used if that time is not known. Bytes that were in the socket at
// the first read of a new connection may have arrived as early as the connection itself, which may have waited in the
// backlog while accepts failed.
func ArrivedAt(r *http.Request, now time.Time) time.Time {
	c := trackedConnOf(r)
	if c == nil {
		return now
	}
	if c.client == nil || c.requestsHandled > 1 || !c.client.firstReadGotAllBytes() {
		return c.headReadAt
	}
	return c.client.acceptedAt.Add(-c.client.backlogWait)
}

// ClientGoneFunc returns a function that polls a request's connection and reports whether the client has closed it. It
// returns nil if the connection cannot be polled.
func ClientGoneFunc(r *http.Request) func() bool {
	c := trackedConnOf(r)
	if c == nil || c.client == nil {
		return nil
	}
	return c.client.clientGone
}
