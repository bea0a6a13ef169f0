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

const (
	// donorMinAgeGap is how much earlier than this process another member must have started to be preferred as a donor.
	// A member that started later has learned as little as this process.
	donorMinAgeGap = 3 * time.Second
	// donorMinAge is the time for which a process must have run before it sends its state to others, unless it has
	// received the state of another member. A younger process has learned too little.
	donorMinAge = 3 * time.Second
	// snapshotTimeout bounds the wait for this process's learned state.
	snapshotTimeout = time.Second
	// bootstrapSeedStream separates the requester's random draws from the draws of the node and other components.
	bootstrapSeedStream = 0xbe11ef
)

// LearnedState gives access to what this process has learned about replicas and prefixes, so that it can be transferred
// to members that start.
type LearnedState interface {
	// Snapshot returns the encoded state of this process, or false if there is none now.
	Snapshot(ctx context.Context) ([]byte, bool)
	// Restore merges the encoded state of another member. It returns an error if the state cannot be decoded.
	Restore(state []byte) error
}

// BootstrapStatus counts the transfers of learned state, as shown to operators.
type BootstrapStatus struct {
	Received  int64 `json:"taken"` // transfers received from other members after the start
	Sent      int64 `json:"given"`
	Declined  int64 `json:"busy"` // requests declined: nothing learned yet, limit reached, or no state to send
	Malformed int64 `json:"bad"`  // transfers that could not be decoded
}

// bootstrapper is the component that requests learned state from other members after this process's start, and sends
// this process's state to members that request it.
type bootstrapper struct {
	node  *Node
	state LearnedState

	mu        sync.Mutex
	requester *bootstrap.Requester
	donor     bootstrap.Donor

	received, sent, declined, malformed atomic.Int64
}

func newBootstrapper(n *Node, state LearnedState) *bootstrapper {
	rng := rand.New(rand.NewPCG(n.self.Seed, bootstrapSeedStream))
	requester := bootstrap.NewRequester(bootstrap.DefaultLimits, n.now(), rng.Int64N)
	return &bootstrapper{node: n, state: state, requester: requester}
}

// handlers implements component. Both handlers wait for the core of the dispatcher, so each message is handled in its
// own goroutine.
func (b *bootstrapper) handlers() map[byte]messageHandler {
	return map[byte]messageHandler{
		kindBootstrapRequest: func(m peerMessage) { go b.handleRequest(m.from) },
		kindLearnedState:     func(m peerMessage) { go b.handleState(m.from, m.learnedState) },
	}
}

// tick implements component. It sends a request to a donor, if one is due.
func (b *bootstrapper) tick(now time.Duration) {
	b.mu.Lock()
	if b.requester.Done(now) {
		b.mu.Unlock()
		return
	}
	self := b.node.self
	var members []bootstrap.Peer
	for _, m := range b.node.View().ActiveMembers() {
		if m.Name != self.Name {
			older := m.Started.Before(b.node.startWall.Add(-donorMinAgeGap))
			members = append(members, bootstrap.Peer{Name: m.Name, Older: older, SameZone: m.Zone == self.Zone})
		}
	}
	to, ok := b.requester.NextDonor(now, members)
	b.mu.Unlock()
	if ok {
		b.node.send(to, encodeBootstrapRequest(self.Name, uint64(b.node.startWall.UnixNano())))
	}
}

// stop implements component. There is nothing to release.
func (b *bootstrapper) stop() {}

// handleRequest sends this process's state to another member. It declines the request if the process has learned
// nothing yet, has reached the limit of transfers for now, or has no snapshot that can be sent.
func (b *bootstrapper) handleRequest(from string) {
	if b.takeTransfer() && b.sendState(from) {
		return
	}
	b.declined.Add(1)
	b.node.send(from, encodeLearnedState(b.node.self.Name, nil))
}

// takeTransfer reports whether this process may serve a transfer now, and if so counts the transfer.
func (b *bootstrapper) takeTransfer() bool {
	now := b.node.now()
	b.mu.Lock()
	defer b.mu.Unlock()
	hasLearned := now > donorMinAge || b.received.Load() > 0
	return hasLearned && b.donor.TakeTransfer(now, bootstrap.DefaultLimits)
}

// sendState sends this process's state to another member. It returns false if there is no state that can be sent now.
func (b *bootstrapper) sendState(to string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), snapshotTimeout)
	defer cancel()
	state, ok := b.state.Snapshot(ctx)
	if !ok || len(state) > maxLearnedStateBytes {
		return false
	}
	b.sent.Add(1)
	b.node.sendReliable(to, encodeLearnedState(b.node.self.Name, state))
	return true
}

// handleState handles a member's response to a request. A response that was not requested is ignored.
func (b *bootstrapper) handleState(from string, state []byte) {
	b.mu.Lock()
	requested := b.requester.WasRequested(from)
	b.mu.Unlock()
	if !requested {
		return
	}
	restored := len(state) > 0 && b.restoreState(from, state)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requester.RecordResponse(b.node.now(), from, restored)
}

// restoreState merges another member's state, and reports whether it could be decoded.
func (b *bootstrapper) restoreState(from string, state []byte) bool {
	if err := b.state.Restore(state); err != nil {
		b.malformed.Add(1)
		slog.Warn("bootstrap_rejected", "from", from, "err", err)
		return false
	}
	b.received.Add(1)
	slog.Info("bootstrap_received", "from", from, "bytes", len(state), "after", b.node.now().Round(time.Millisecond))
	return true
}

// BootstrapStatus returns the counts of transfers for operators, or false if transfers are not enabled.
func (n *Node) BootstrapStatus() (s BootstrapStatus, ok bool) {
	b, ok := componentOf[*bootstrapper](n)
	if !ok {
		return s, false
	}
	return BootstrapStatus{Received: b.received.Load(), Sent: b.sent.Load(), Declined: b.declined.Load(),
		Malformed: b.malformed.Load()}, true
}
