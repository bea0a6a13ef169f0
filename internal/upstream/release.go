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
	releaseTry  = 100 * time.Millisecond // for one replica to take a release
	releaseNext = 20 * time.Millisecond  // without an answer, until the next is asked beside it
	// releaseFor is for how long a release that no replica has taken is tried: what is held is then let go late rather than never.
	releaseFor = 2 * time.Second
	// releaseAhead is for how long a call waits for its own release, which takes longer only where several replicas are silent.
	releaseAhead = 50 * time.Millisecond
	// releaseRound is the least time between two calls of one release at the same replica.
	releaseRound = 300 * time.Millisecond
)

// Release implements core.Servers. What is held must be let go in time, and this side does not know which replicas its calls reach:
// only an answer tells. A replica that does not answer at once is not waited for, and the next is asked beside it; where none has
// answered, all are asked again. A release that comes twice does no more than one.
func (p *Client) Release(call dispatch.Call, through []dispatch.Target) {
	p.releasing.Add(1)
	over := make(chan struct{})
	p.releases.Store(call.ID, over)
	go func() {
		defer p.releasing.Add(-1)
		defer p.releases.CompareAndDelete(call.ID, over)
		defer close(over)
		p.releaseThrough(call.ID, through)
	}()
}

// awaitRelease returns once no release for a call is on its way any more, but no later than releaseAhead: one that arrives while the call
// is being read would let go of what it reads.
func (p *Client) awaitRelease(ctx context.Context, id string) {
	over, ok := p.releases.Load(id)
	if !ok {
		return
	}
	timer := time.NewTimer(releaseAhead)
	defer timer.Stop()
	select {
	case <-over.(chan struct{}):
	case <-timer.C:
	case <-ctx.Done():
	}
}

// PendingReleases is how many releases no replica has taken yet.
func (p *Client) PendingReleases() int64 { return p.releasing.Load() }

func (p *Client) releaseThrough(id string, through []dispatch.Target) {
	if len(through) == 0 {
		slog.Warn("release_failed", "id", id, "asked", 0)
		return
	}
	taken := make(chan struct{}, 1)
	over := time.NewTimer(releaseFor)
	defer over.Stop()
	for asked := 0; ; asked++ {
		failed := make(chan struct{})
		to := through[asked%len(through)]
		go func() {
			if err := p.release(id, to); err != nil {
				slog.Info("release_not_taken", "id", id, "err", err)
				close(failed)
				return
			}
			select {
			case taken <- struct{}{}:
			default: // another one has, too
			}
		}()
		next := time.After(releasePause(asked, len(through)))
		early := failed
		if asked >= len(through) {
			early = nil // those that refuse at once are not asked all the time
		}
		select {
		case <-taken:
			return
		case <-next:
		case <-early:
		case <-over.C:
			slog.Warn("release_failed", "id", id, "asked", asked+1)
			return
		}
	}
}

// releasePause is the time from one call of a release to the next, by how many came before it.
func releasePause(asked, targets int) time.Duration {
	if asked < targets {
		return releaseNext
	}
	return max(releaseNext, releaseRound/time.Duration(targets))
}

// release makes one call; an error says that nobody knows whether it arrived.
func (p *Client) release(id string, to dispatch.Target) error {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTry)
	defer cancel()
	resp, _, err := p.short(ctx, http.MethodDelete, to, roomsPath+url.PathEscape(id), "")
	if err != nil {
		return fmt.Errorf("release through %s: %w", to.Name, err)
	}
	if resp.StatusCode/100 != 2 {
		return fmt.Errorf("release through %s: status %d", to.Name, resp.StatusCode)
	}
	return nil
}
