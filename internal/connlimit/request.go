package connlimit

import (
	"log/slog"
	"net/http"
	"time"

	"rampspread/internal/precondition"
)

// acceptRequest decides whether a request that has come whole is accepted. From then on its connection is not evicted.
// The check of the client is needed since net/http passes on what a client sent ahead also when it has gone.
func acceptRequest(r *http.Request) precondition.Reason {
	c := trackedConnOf(r)
	if c == nil {
		return precondition.Allowed
	}
	clientGone := c.client != nil && !c.client.requestComplete()
	limiter := c.limiter
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	decision := precondition.Accept{
		ClientGone:   clientGone,
		Evicted:      c.state == connEvicted,
		ShuttingDown: limiter.lifecycle.RejectNew.Load(),
		Draining:     !limiter.lifecycle.Drain.accepts(time.Now()),
	}.Check()
	rejected := isRejection(decision)
	c.requestComplete(r.Header.Get("X-Trace-Id"), decision)
	if c.state == connHandling {
		if limiter.lifecycle.Drain.Active() {
			slog.Info("request_while_draining", "id", c.lastRequestID, "rejected", rejected, "remote", r.RemoteAddr,
				"requests", c.requestsBegun, "age", time.Since(c.acceptedAt))
		}
		if c.client != nil {
			c.client.expectAnswer()
		}
	}
	if rejected {
		limiter.rejected.Add(1)
	}
	return decision
}

// isRejection reports whether a request is not accepted, but its client is there to get an answer that says so.
func isRejection(decision precondition.Reason) bool {
	return decision == precondition.ShuttingDown || decision == precondition.Draining
}

// drainRejects reports whether an operator's drain has lasted so long that no request is accepted.
func drainRejects(r *http.Request) bool {
	c := trackedConnOf(r)
	return c != nil && !c.limiter.lifecycle.Drain.accepts(time.Now())
}

// ArrivedAt returns the earliest time at which a request's last byte may have come, as far as that is known; now is
// when its header was read. Bytes that were there at the first read of a new connection may have come when the
// connection did, or while accepts failed.
func ArrivedAt(r *http.Request, now time.Time) time.Time {
	c := trackedConnOf(r)
	if c == nil || c.client == nil || c.requestsHandled > 1 || !c.client.hadBytesAtFirstRead() {
		return now
	}
	return c.client.acceptedAt.Add(-c.client.backlogWait)
}

// ClientGoneFunc returns a function that polls a request's connection and reports whether its client has closed it. It
// returns nil if there is no such connection to poll.
func ClientGoneFunc(r *http.Request) func() bool {
	c := trackedConnOf(r)
	if c == nil || c.client == nil {
		return nil
	}
	return c.client.clientGone
}
