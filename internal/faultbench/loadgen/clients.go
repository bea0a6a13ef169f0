// Package loadgen simulates the clients. They send a run's requests over kept-alive connections, retry as the protocol
// allows, check what they receive, and misbehave where a fault says so. What they send and receive is recorded in the
// bench's history. All types are safe for concurrent use.
package loadgen

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"rampspread/internal/faultbench/deployment"
	"rampspread/internal/faultbench/frontlayer"
	"rampspread/internal/faultbench/history"
	"rampspread/internal/faultbench/network"
	"rampspread/internal/faultbench/replica"
	"rampspread/internal/faultbench/timing"
)

// Config configures the clients. Its functions take the index of a dispatcher.
type Config struct {
	History    *history.Recorder
	Deployment *deployment.Deployment
	Cluster    *replica.Cluster
	Front      *frontlayer.Front
	Zones      int
	Seed       uint64
	Address    func(dispatcher int) string // address of the listener for requests
	Chat       func(dispatcher int) string // address of the chat API
	Link       func(dispatcher int) *network.Link
	// UpSince reports whether a dispatcher's process has been up without interruption since a time.
	UpSince func(dispatcher int, t time.Time) bool
}

// Clients simulates all clients of a run and holds the connections that they keep alive.
type Clients struct {
	config Config

	mu            sync.Mutex
	idle          map[int][]*connection    // by dispatcher
	open          map[*connection]struct{} // open connections, busy or idle
	opened        int                      // number of connections opened so far
	leaveFraction float64                  // fraction of the clients that leave before their answer is complete
}

// New returns clients without connections.
func New(c Config) *Clients {
	return &Clients{config: c, idle: map[int][]*connection{}, open: map[*connection]struct{}{}}
}

// SetLeaveFraction sets the fraction of the clients that leave before their answer is complete.
func (c *Clients) SetLeaveFraction(fraction float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaveFraction = fraction
}

func (c *Clients) drawLeave(rng *rand.Rand) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leaveFraction > 0 && rng.Float64() < c.leaveFraction
}

// Status is the outcome of a request or of one attempt. Its text is a key in reports.
type Status string

// Values of Status.
const (
	Served      Status = "served" // the stream was complete and in time
	Late        Status = "late"   // the stream was complete, but missed the objective for first token or token interval
	Refused     Status = "refused"
	Failed      Status = "failed" // the HTTP status was not 200, 429 or 503
	Unanswered  Status = "unanswered"
	Unreachable Status = "unreachable"
	Broken      Status = "broken" // the stream was incomplete
	Left        Status = "left"   // the client left
)

// Result is the result of a request after all its retries.
type Result struct {
	Request    *deployment.Request
	Attempts   int
	Status     Status
	FirstToken time.Duration // time from the first attempt to the first token, or 0 if none arrived
	Earned     float64       // part of the request's value that was earned
}

// outcome is the result of one attempt.
type outcome struct {
	status     Status
	retryAfter time.Duration // delay that the response advises, or 0
}

const (
	maxClientAttempts = 3 // first attempt and the client's own retries
	minRetryDelay     = 50 * time.Millisecond
	retryJitter       = 200 * time.Millisecond
	maxRetryAfter     = 500 * time.Millisecond // longest advised delay that a client obeys
	minTimeout        = 50 * time.Millisecond  // shortest remaining time with which a client sends an attempt
)

// Do sends one request with its client's own retries, and returns the result.
func (c *Clients) Do(ctx context.Context, r *deployment.Request, rng *rand.Rand) Result {
	start := time.Now()
	out := Result{Request: r, Status: Unreachable}
	for out.Attempts = 1; ; out.Attempts++ {
		o := c.attempt(ctx, r, start, rng, &out)
		out.Status = o.status
		if !o.retryable(r.Class) || out.Attempts == maxClientAttempts || time.Since(start) > r.Class.Deadline {
			return out
		}
		delay := o.retryAfter
		if delay == 0 {
			delay = minRetryDelay + time.Duration(rng.Int64N(int64(retryJitter)))
		}
		if timing.Sleep(ctx, min(delay, maxRetryAfter)) != nil {
			return out
		}
	}
}

// retryable reports whether a client of a class may retry after an outcome.
func (o outcome) retryable(class *deployment.Class) bool {
	switch o.status {
	case Refused, Unreachable:
		return true
	case Failed, Unanswered, Broken:
		return class.Repeatable
	}
	return false
}

// requestText returns the bytes of the HTTP request for one attempt.
func (c *Clients) requestText(id string, r *deployment.Request, timeout time.Duration) string {
	return fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: backend.local\r\nX-Trace-Id: %s\r\nX-Qos: %s\r\n%s"+
		"X-Object: %s\r\nX-Expires-In: %dm\r\nX-Props: %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s",
		id, r.Class.Name, c.config.Deployment.TenantHeader(r.Zone), r.Session, timeout.Milliseconds(), r.Properties(), len(r.Body), r.Body)
}
