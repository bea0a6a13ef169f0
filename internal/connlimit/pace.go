package connlimit

import (
	"context"
	"time"
)

const (
	// burstSeconds is how many seconds' worth of its rate a connection may send at once.
	burstSeconds = 2
	// malformedCost is how many requests a malformed one counts as. No well-behaved client sends any.
	malformedCost = 5
	// maxTurnWait bounds the wait of one request for its turn.
	maxTurnWait = 500 * time.Millisecond
)

// awaitTurn lets a request wait if its connection sends more than its rate, so that one connection does not take the
// processor from the others, and sets when the wait ends if the client leaves. The process's end and an operator's drain
// end all waits to come.
func (l *Limiter) awaitTurn(ctx context.Context, c *trackedConn) {
	rate := l.limits.plan.RequestsPerSecond
	if rate == 0 || l.lifecycle.Stopping.Load() || l.lifecycle.Drain.Active() {
		return
	}
	cost := 1.0
	if c.penalized {
		cost = malformedCost
	}
	tokens := c.rate.Fill(time.Since(c.acceptedAt), rate, rate*burstSeconds)
	c.rate.Take(cost)
	if tokens >= cost {
		return
	}
	wait := min(time.Duration((cost-tokens)/rate*float64(time.Second)), maxTurnWait)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
