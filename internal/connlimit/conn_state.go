package connlimit

import (
	"context"
	"net/http"
	"time"

	"rampspread/internal/precondition"
)

// connState is the state of a client's connection, as far as net/http's hooks and the handler show it:
//
//	new       ──header read───────────────────> receiving
//	receiving ──body complete─────────────────> handling
//	receiving ──answered, body never complete─> idle
//	handling  ──answered──────────────────────> idle
//	idle      ──header read───────────────────> receiving
//
// Each state in which no request is handled may become evicted, which is final. A connection that net/http has closed is
// not tracked any more; while its last answer may be on its way, Limiter.lingering counts it.
//
// The state does not imply two other facts: hadRequest, since an evicted or receiving connection may have had a complete
// request or not, and the two counts of requests, since a request whose header was read may have reached its handler or not.
type connState int

const (
	connNew       connState = iota // no request's header has been read
	connReceiving                  // a header has been read; the body is not complete or not accepted
	connHandling                   // a complete request is being answered, be it with a rejection
	connIdle                       // the last request has been answered, the next one's header has not been read
	connEvicted                    // this side has closed it, or is about to; nothing more is accepted from it
)

// trackedConn is what the limiter knows of a connection. Limiter.mu guards its mutable fields, but for those that say
// otherwise.
type trackedConn struct {
	limiter *Limiter
	client  *clientConn // the raw connection; nil where another listener accepted it

	// contentLengths is how many Content-Length lines the headers of its requests are known to have had. Only
	// net/http's goroutine for the connection uses it.
	contentLengths int64

	state           connState
	hadRequest      bool // a complete request has come on it
	requestsBegun   int  // requests whose header was read,
	requestsHandled int  // and those that reached the handler
	acceptedAt      time.Time
	quietSince      time.Time // when it was accepted or last answered, or when the next header was read
	lastRequestID   string    // of the last request that was accepted or rejected; empty: none was
	lastRequestAt   time.Time
	closeDeferred   precondition.Reason // why the last attempt to close it did not; Allowed: it did, or there was none
}

type trackedConnKey struct{}

// trackedConnOf returns the connection on which a request came; nil: no Limiter stands before the handler.
func trackedConnOf(r *http.Request) *trackedConn {
	c, _ := r.Context().Value(trackedConnKey{}).(*trackedConn)
	return c
}

// withTrackedConn returns a context for the requests of a connection.
func withTrackedConn(ctx context.Context, c *trackedConn) context.Context {
	return context.WithValue(ctx, trackedConnKey{}, c)
}

// moveTo changes the state, which stays once it is connEvicted. Limiter.mu is held.
func (c *trackedConn) moveTo(state connState) {
	if c.state != connEvicted {
		c.state = state
	}
}

// headerRead notes that net/http has read a request's header, or what was to be one. Limiter.mu is held.
func (c *trackedConn) headerRead() {
	c.requestsBegun++
	c.moveTo(connReceiving)
	if c.client != nil {
		c.client.beginRequest()
	}
	if c.hadRequest {
		c.quietSince = time.Now()
	}
}

// requestComplete notes that a whole request has come, and whether it will be answered. Limiter.mu is held.
func (c *trackedConn) requestComplete(id string, decision precondition.Reason) {
	c.hadRequest = true
	if decision != precondition.Allowed && !isRejection(decision) {
		return
	}
	c.moveTo(connHandling)
	c.lastRequestID, c.lastRequestAt = id, time.Now()
}

// answered notes that net/http waits for the next request. Limiter.mu is held.
func (c *trackedConn) answered() {
	if c.client != nil {
		if c.state != connHandling {
			c.client.requestComplete() // it was answered without being read whole
		}
		c.client.endRequest()
	}
	c.moveTo(connIdle)
	c.quietSince = time.Now()
}

// inHandler reports whether the handler has been called for the last request and has not finished. Limiter.mu is held.
func (c *trackedConn) inHandler() bool {
	return c.state != connIdle && c.requestsBegun > 0 && c.requestsHandled == c.requestsBegun
}
