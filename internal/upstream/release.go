package upstream

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"net/url"
	"time"

	"rampspread/internal/dispatch"
)

const (
	releasePath = "/bootstrap/rooms/" // followed by the call's ID

	// releaseTimeout is the limit for one replica to confirm a release.
	releaseTimeout = 100 * time.Millisecond
	// releaseHedgeDelay is how long a release waits for a confirmation before it is also sent through the next replica.
	releaseHedgeDelay = 20 * time.Millisecond
	// releaseRetryTimeout is how long a release that no replica confirms is repeated. The state is better released late
	// than never.
	releaseRetryTimeout = 2 * time.Second
	// maxReleaseWait is how long a call waits for its own release at most. The release takes longer only if several
	// replicas do not respond.
	maxReleaseWait = 50 * time.Millisecond
	// releaseRepeatInterval is the minimum time between two calls of one release to the same replica.
	releaseRepeatInterval = 300 * time.Millisecond
)

// Release implements dispatch.Upstream. The state must be released in time, but only a response shows whether a call
// reached a replica. So the release is hedged: if a replica does not confirm it at once, the same call is also sent to
// the next replica, and if none of them has confirmed it, it is sent to all of them again. A release is idempotent.
func (c *Client) Release(call dispatch.UpstreamCall, targets []dispatch.EndpointAddress) {
	c.pendingReleases.Add(1)
	done := make(chan struct{})
	c.releaseDone.Store(call.ID, done)
	go func() {
		defer c.pendingReleases.Add(-1)
		defer c.releaseDone.CompareAndDelete(call.ID, done)
		defer close(done)
		c.hedgeRelease(call.ID, targets)
	}()
}

// awaitRelease waits until the newest release of a call has ended, but no longer than maxReleaseWait. A release that
// arrives during the call's prefill would release the state that the prefill creates.
func (c *Client) awaitRelease(ctx context.Context, callID string) {
	done, ok := c.releaseDone.Load(callID)
	if !ok {
		return
	}
	timer := time.NewTimer(maxReleaseWait)
	defer timer.Stop()
	select {
	case <-done.(chan struct{}):
	case <-timer.C:
	case <-ctx.Done():
	}
}

// PendingReleases returns how many releases are still being sent because no replica has confirmed them yet.
func (c *Client) PendingReleases() int64 { return c.pendingReleases.Load() }

// hedgeRelease sends a release through one replica after the other until one of them confirms it or releaseRetryTimeout
// has passed. Many releases may come at once, and many replicas be silent then. The calls in flight are limited, and what
// one release learns of a replica serves the others: see releaseTargets.
func (c *Client) hedgeRelease(callID string, targets []dispatch.EndpointAddress) {
	if len(targets) == 0 {
		slog.Warn("release_failed", "id", callID, "attempts", 0)
		return
	}
	confirmed := make(chan struct{}, 1)
	giveUp := time.NewTimer(releaseRetryTimeout)
	defer giveUp.Stop()
	var target dispatch.EndpointAddress
	for sent := 0; ; sent++ {
		select {
		case c.releaseCalls <- struct{}{}:
		case <-confirmed:
			return
		case <-giveUp.C:
			slog.Warn("release_failed", "id", callID, "attempts", sent)
			return
		}
		target = c.releaseTargets.begin(targets, target.Addr, time.Now())
		failed := c.releaseAsync(callID, target, confirmed)
		if sent >= len(targets) {
			failed = nil // in later rounds a replica that refuses at once must not be called again without a pause
		}
		select {
		case <-confirmed:
			return
		case <-time.After(releaseInterval(sent, len(targets))):
		case <-failed:
		case <-giveUp.C:
			slog.Warn("release_failed", "id", callID, "attempts", sent+1)
			return
		}
	}
}

// releaseAsync sends a release to one replica in its own goroutine, which gives back the caller's place in releaseCalls.
// If the replica confirms the release, releaseAsync sends to confirmed, unless a confirmation is already waiting there;
// if the call fails, it closes the returned channel.
func (c *Client) releaseAsync(callID string, target dispatch.EndpointAddress, confirmed chan<- struct{}) (failed chan struct{}) {
	failed = make(chan struct{})
	go func() {
		defer func() { <-c.releaseCalls }()
		err := c.release(callID, target)
		c.releaseTargets.end(target, err == nil, time.Now())
		if err != nil {
			slog.Info("release_attempt_failed", "id", callID, "err", err)
			close(failed)
			return
		}
		select {
		case confirmed <- struct{}{}:
		default:
		}
	}()
	return failed
}

// releaseInterval returns the time between two successive calls of a release; sent is the number of calls made before
// the first of the two.
func releaseInterval(sent, targets int) time.Duration {
	if sent < targets {
		return releaseHedgeDelay
	}
	return max(releaseHedgeDelay, releaseRepeatInterval/time.Duration(targets))
}

// release makes one call. After an error it is unknown whether the release arrived.
func (c *Client) release(callID string, target dispatch.EndpointAddress) error {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	resp, _, err := c.shortCall(ctx, http.MethodDelete, target, releasePath+url.PathEscape(callID), "")
	if err != nil {
		return fmt.Errorf("release through %s: %w", target.Name, err)
	}
	if resp.StatusCode/100 != 2 {
		return fmt.Errorf("release through %s: %w", target.Name, statusError(resp.StatusCode))
	}
	return nil
}
