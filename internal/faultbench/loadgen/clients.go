// Package loadgen simulates the clients: they send a run's requests over kept-alive connections, retry as the protocol
// page allows, check what they receive, and misbehave where a fault says so. What they send and receive goes into the
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

// Config says whom the clients call. The functions take a dispatcher's number, from 0.
type Config struct {
	History    *history.Recorder
	Deployment *deployment.Deployment
	Cluster    *replica.Cluster
	Front      *frontlayer.Front
	Zones      int
	Seed       uint64
	Address    func(dispatcher int) string // of its listener for requests
	Chat       func(dispatcher int) string // of its chat API
	Link       func(dispatcher int) *network.Link
	// UpSince tells whether a dispatcher's process has been up since a time without a break.
	UpSince func(dispatcher int, t time.Time) bool
}

// Clients are all clients of a run, with the connections that they keep alive.
type Clients struct {
	config Config

	mu            sync.Mutex
	idle          map[int][]*connection // by dispatcher
	open          map[*connection]struct{}
	opened        int     // connections in all
	leaveFraction float64 // of the clients, that leave before their answer is complete
}

// New makes clients without connections.
func New(c Config) *Clients {
	return &Clients{config: c, idle: map[int][]*connection{}, open: map[*connection]struct{}{}}
}

// SetLeaveFraction sets which part of the clients leave before their answer is complete.
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

// Status is what became of a request, or of one attempt at it. Its text is a key of reports.
type Status string

// The statuses.
const (
	Served      Status = "served" // in time
	Late        Status = "late"   // complete, but the first token or the pace missed its objective
	Refused     Status = "refused"
	Failed      Status = "failed" // another status than 200, 429 and 503
	Unanswered  Status = "unanswered"
	Unreachable Status = "unreachable"
	Broken      Status = "broken" // an incomplete stream
	Left        Status = "left"   // the client left
)

// Result is what became of a request with all its retries.
type Result struct {
	Request    *deployment.Request
	Attempts   int
	Status     Status
	FirstToken time.Duration // since the first attempt; 0: no event arrived
	Earned     float64       // of the request's value
}

// outcome is what became of one attempt.
type outcome struct {
	status     Status
	retryAfter time.Duration // that the response advises; 0: none
}

const (
	maxClientAttempts = 3 // the first and the client's own retries
	minRetryDelay     = 50 * time.Millisecond
	retryJitter       = 200 * time.Millisecond
	maxRetryAfter     = 500 * time.Millisecond // the longest advice that a client obeys
	minTimeout        = 50 * time.Millisecond  // with less remaining a client does not retry
)

// Do carries one request through, with its client's own retries.
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

// retryable tells whether a client of a class may retry after an outcome.
func (o outcome) retryable(class *deployment.Class) bool {
	switch o.status {
	case Refused, Unreachable:
		return true
	case Failed, Unanswered, Broken:
		return class.Repeatable
	}
	return false
}

// requestText is a request as its bytes.
func (c *Clients) requestText(id string, r *deployment.Request, timeout time.Duration) string {
	return fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: backend.local\r\nX-Trace-Id: %s\r\nX-Qos: %s\r\n%s"+
		"X-Object: %s\r\nX-Expires-In: %dm\r\nX-Props: %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s",
		id, r.Class.Name, c.config.Deployment.TenantHeader(r.Zone), r.Session, timeout.Milliseconds(), r.Properties(), len(r.Body), r.Body)
}
