package fleet

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"rampspread/internal/fleet/bootstrap"
)

// LearnedState is what a process has learnt, for others that start, and takes what they tell it.
type LearnedState interface {
	// Tell packs what this process knows; false: it cannot now.
	Tell(ctx context.Context) ([]byte, bool)
	// Learn takes what another has packed.
	Learn(told []byte) error
}

const (
	// olderBy is by how much another must have started earlier to count as one that knows.
	olderBy = 3 * time.Second
	// knowsAfter is how long a process has to live until it knows something, if nobody has told it.
	knowsAfter = 3 * time.Second
	tellWait   = time.Second
)

// bootstrapper asks others for what they know after this process's start, and tells those that ask.
type bootstrapper struct {
	node  *Node
	knows LearnedState

	mu        sync.Mutex
	requester *bootstrap.Requester
	donor     bootstrap.Donor

	taken, given, busy, bad atomic.Int64
}

// BootstrapStatus is what operators are shown of them.
type BootstrapStatus struct {
	Received  int64 `json:"taken"` // from others, after the start
	Sent      int64 `json:"given"`
	Declined  int64 `json:"busy"` // questions that had no gift: it knew nothing yet, or had given enough
	Malformed int64 `json:"bad"`  // gifts that made no sense
}

func newBootstrapper(n *Node, k LearnedState) *bootstrapper {
	rng := rand.New(rand.NewPCG(n.self.Seed, 0xbe11ef))
	return &bootstrapper{node: n, knows: k, requester: bootstrap.NewRequester(bootstrap.DefaultLimits, n.now(), rng.Int64N)}
}

// step asks somebody, if it is time.
func (b *bootstrapper) step(now time.Duration) {
	b.mu.Lock()
	if b.requester.Done(now) {
		b.mu.Unlock()
		return
	}
	self := b.node.self
	var members []bootstrap.Member
	for _, m := range b.node.View().ActiveMembers() {
		if m.Name != self.Name {
			members = append(members, bootstrap.Member{Name: m.Name, Older: m.Started.Before(b.node.wall.Add(-olderBy)), SameZone: m.Zone == self.Zone})
		}
	}
	to, ok := b.requester.NextDonor(now, members)
	b.mu.Unlock()
	if ok {
		b.node.send(to, encodeBootstrapRequest(self.Name, uint64(b.node.wall.UnixNano())))
	}
}

// answer tells another what this process knows, or that it knows nothing or has given enough.
func (b *bootstrapper) answer(from string) {
	now := b.node.now()
	b.mu.Lock()
	gives := (now > knowsAfter || b.taken.Load() > 0) && b.donor.TakeTransfer(now, bootstrap.DefaultLimits)
	b.mu.Unlock()
	if gives {
		ctx, cancel := context.WithTimeout(context.Background(), tellWait)
		defer cancel()
		if told, ok := b.knows.Tell(ctx); ok && len(told) <= maxLearnedStateBytes {
			b.given.Add(1)
			b.node.call(from, encodeLearnedState(b.node.self.Name, told))
			return
		}
	}
	b.busy.Add(1)
	b.node.send(from, encodeLearnedState(b.node.self.Name, nil))
}

// take takes an answer of one that was asked.
func (b *bootstrapper) take(from string, told []byte) {
	b.mu.Lock()
	asked := b.requester.WasRequested(from)
	b.mu.Unlock()
	if !asked {
		return
	}
	taught := false
	if len(told) > 0 {
		if err := b.knows.Learn(told); err != nil {
			b.bad.Add(1)
			slog.Warn("beliefs_refused", "from", from, "err", err)
		} else {
			taught = true
			b.taken.Add(1)
			slog.Info("beliefs", "from", from, "bytes", len(told), "after", b.node.now().Round(time.Millisecond))
		}
	}
	b.mu.Lock()
	b.requester.RecordResponse(b.node.now(), from, taught)
	b.mu.Unlock()
}

// BootstrapStatus is what was learnt from others and told to them, for operators; false: nothing is.
func (n *Node) BootstrapStatus() (s BootstrapStatus, ok bool) {
	b := n.beliefs
	if b == nil {
		return s, false
	}
	return BootstrapStatus{Received: b.taken.Load(), Sent: b.given.Load(), Declined: b.busy.Load(), Malformed: b.bad.Load()}, true
}
