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
	roomsPath = "/bootstrap/rooms/" // followed by the call's ID

	// releaseTimeout is the limit for one replica to confirm a release.
	releaseTimeout = 100 * time.Millisecond
	// releaseHedgeDelay is how long a release waits without an answer until it is also sent through the next replica.
	releaseHedgeDelay = 20 * time.Millisecond
	// releaseGiveUp is for how long a release that no replica confirms is repeated: the state is then released late
	// rather than never.
	releaseGiveUp = 2 * time.Second
	// maxReleaseWait is for how long a call waits for its own release, which takes longer only where several replicas
	// are silent.
	maxReleaseWait = 50 * time.Millisecond
	// releaseRepeatInterval is the least time between two calls of one release to the same replica.
	releaseRepeatInterval = 300 * time.Millisecond
)

// Release implements dispatch.Upstream. The state must be released in time, and this side does not know which replicas
// its calls reach: only an answer says so. So the release is hedged: a replica that does not answer at once is not
// waited for, and the next one gets the same call; where none has answered, all get it again. A release is idempotent.
func (c *Client) Release(call dispatch.UpstreamCall, through []dispatch.EndpointAddress) {
	c.pendingReleases.Add(1)
	done := make(chan struct{})
	c.releaseDone.Store(call.ID, done)
	go func() {
		defer c.pendingReleases.Add(-1)
		defer c.releaseDone.CompareAndDelete(call.ID, done)
		defer close(done)
		c.releaseThrough(call.ID, through)
	}()
}

// awaitRelease returns once no release of a call is in flight any more, but no later than maxReleaseWait: a release that
// arrives during the call's prefill would release the state that the prefill makes.
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

// PendingReleases returns how many releases no replica has confirmed yet and are still being sent.
func (c *Client) PendingReleases() int64 { return c.pendingReleases.Load() }

// releaseThrough sends a release through one replica after the other until one confirms it or releaseGiveUp has passed.
func (c *Client) releaseThrough(callID string, through []dispatch.EndpointAddress) {
	if len(through) == 0 {
		slog.Warn("release_failed", "id", callID, "attempts", 0)
		return
	}
	confirmed := make(chan struct{}, 1)
	giveUp := time.NewTimer(releaseGiveUp)
	defer giveUp.Stop()
	for sent := 0; ; sent++ {
		failed := c.releaseAsync(callID, through[sent%len(through)], confirmed)
		if sent >= len(through) {
			failed = nil // a replica that refuses at once must not be called all the time
		}
		select {
		case <-confirmed:
			return
		case <-time.After(releaseInterval(sent, len(through))):
		case <-failed:
		case <-giveUp.C:
			slog.Warn("release_failed", "id", callID, "attempts", sent+1)
			return
		}
	}
}

// releaseAsync sends a release to one replica in a goroutine of its own. A confirmation goes to confirmed, unless there
// is one already; the returned channel is closed if there is none.
func (c *Client) releaseAsync(callID string, target dispatch.EndpointAddress, confirmed chan<- struct{}) (failed chan struct{}) {
	failed = make(chan struct{})
	go func() {
		if err := c.release(callID, target); err != nil {
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

// releaseInterval is the time from one call of a release to the next, where sent calls came before it.
func releaseInterval(sent, targets int) time.Duration {
	if sent < targets {
		return releaseHedgeDelay
	}
	return max(releaseHedgeDelay, releaseRepeatInterval/time.Duration(targets))
}

// release makes one call. After an error nobody knows whether the release arrived.
func (c *Client) release(callID string, target dispatch.EndpointAddress) error {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	resp, _, err := c.shortCall(ctx, http.MethodDelete, target, roomsPath+url.PathEscape(callID), "")
	if err != nil {
		return fmt.Errorf("release through %s: %w", target.Name, err)
	}
	if resp.StatusCode/100 != 2 {
		return fmt.Errorf("release through %s: %w", target.Name, statusError(resp.StatusCode))
	}
	return nil
}
