package connlimit

import (
	"context"
	"net/http"
	"time"

	"rampspread/internal/memory"
	"rampspread/internal/precondition"
	"rampspread/internal/tokenbucket"
)

// connState is the state of a client's connection, as seen by net/http's hooks and the handler:
//
//	new       ──header read───────────────────> receiving
//	receiving ──body complete─────────────────> handling
//	receiving ──answered, body never complete─> idle
//	handling  ──answered──────────────────────> idle
//	idle      ──header read───────────────────> receiving
//
// Every state except handling may change to evicted, which is final. A connection that net/http has closed is no longer
// tracked; while its last answer may still be in transit, Limiter.lingering counts it.
//
// The state does not determine two other facts, which trackedConn stores separately: whether the connection has had a
// complete request (an evicted or receiving connection may or may not have had one), and whether a request whose header
// was read has reached the handler.
type connState int

const (
	connNew       connState = iota // no request's header has been read
	connReceiving                  // a header has been read; the body is incomplete or was not accepted
	connHandling                   // a complete request is being answered, possibly with a rejection
	connIdle                       // the last request has been answered; the header of the next one has not been read
	connEvicted                    // the limiter has closed the connection or is about to; it accepts no further request
)

// trackedConn is the limiter's record of one connection. Limiter.mu guards its mutable fields, except where a field's
// comment says otherwise.
type trackedConn struct {
	limiter *Limiter
	client  *clientConn // the raw connection, or nil if another listener accepted it

	payload    *memory.Reservation // heads and bodies of its requests
	holdsSlot  bool                // its request counts in Limits.open
	rate       tokenbucket.Bucket  // requests that it may still send at once; only the handler uses it
	penalized  bool                // whether the last request was malformed; only the handler uses it
	headReadAt time.Time           // when the head of the request in the handler was read; only the handler uses it

	// contentLengths is the number of Content-Length headers of the requests received so far. Only net/http's goroutine
	// for the connection uses it.
	contentLengths int64

	state           connState
	hadRequest      bool // whether a complete request has been received
	requestsBegun   int  // number of requests whose header was read
	requestsHandled int  // number of requests that reached the handler
	acceptedAt      time.Time
	// lastActivity is the latest of these times: when the connection was accepted, when its last answer was finished,
	// and when a header was read after its first complete request. Received bytes alone do not update it (see
	// lastByteAt).
	lastActivity  time.Time
	lastRequestID string    // id of the last request that was accepted or rejected; empty if there was none
	lastRequestAt time.Time // when that request was accepted or rejected; zero if there was none
	// closeDeferred is why a drain or shutdown was last not allowed to close the connection. It is Allowed if the
	// connection was closed, or if no drain or shutdown has checked whether it may be closed.
	closeDeferred precondition.Reason
}

type trackedConnKey struct{}

// trackedConnOf returns the connection on which a request was received, or nil if the server has no Limiter.
func trackedConnOf(r *http.Request) *trackedConn {
	c, _ := r.Context().Value(trackedConnKey{}).(*trackedConn)
	return c
}

// withTrackedConn returns a context for the requests of a connection, in which trackedConnOf finds c.
func withTrackedConn(ctx context.Context, c *trackedConn) context.Context {
	return context.WithValue(ctx, trackedConnKey{}, c)
}

// moveTo changes the state unless it is connEvicted, which is final. Limiter.mu must be held.
func (c *trackedConn) moveTo(state connState) {
	if c.state != connEvicted {
		c.state = state
	}
}

// recordHeaderRead records that net/http has read a request's header, or bytes that are not a valid header. Limiter.mu
// must be held.
func (c *trackedConn) recordHeaderRead() {
	c.requestsBegun++
	c.moveTo(connReceiving)
	if c.client != nil {
		c.client.beginRequest()
	}
	if c.hadRequest {
		c.lastActivity = time.Now()
	}
}

// recordRequestComplete records that a complete request was received and decided on. The request is answered if it was
// accepted or rejected, but not if its client has gone or its connection was evicted. Limiter.mu must be held.
func (c *trackedConn) recordRequestComplete(id string, decision precondition.Reason) {
	c.hadRequest = true
	if decision != precondition.Allowed && !isAnsweredRejection(decision) {
		return
	}
	c.moveTo(connHandling)
	c.lastRequestID, c.lastRequestAt = id, time.Now()
}

// recordAnswered records that the last request was answered and net/http waits for the next one. Limiter.mu must be
// held.
func (c *trackedConn) recordAnswered() {
	if c.client != nil {
		if c.state != connHandling {
			c.client.recordRequestComplete() // answered before it was read completely; the rest is not expected any more
		}
		c.client.endRequest()
	}
	c.moveTo(connIdle)
	c.lastActivity = time.Now()
}

// beginHandling records that a request has reached the handler.
func (c *trackedConn) beginHandling() {
	c.headReadAt = time.Now()
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	c.requestsHandled++
}

// endHandling records that the handler has finished.
func (c *trackedConn) endHandling() {
	c.payload.Release()
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	c.penalized = c.state != connHandling
	if c.holdsSlot {
		c.holdsSlot = false
		c.limiter.limits.closeRequest()
	}
}

// inHandler reports whether the handler has been called for the last request and has not finished. Limiter.mu must be
// held.
func (c *trackedConn) inHandler() bool {
	return c.state != connIdle && c.requestsBegun > 0 && c.requestsHandled == c.requestsBegun
}
