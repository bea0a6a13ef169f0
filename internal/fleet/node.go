package fleet

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"

	"rampspread/internal/fleet/membership"
	"rampspread/internal/hostos"
)

const (
	// membershipInterval is the time between two looks at the membership table and this process's own info.
	membershipInterval = 100 * time.Millisecond
	// maxTickGap is the shortest pause of the process that others would notice.
	maxTickGap = 800 * time.Millisecond
	// suspectAfterHeartbeats is after how many missed heartbeats a member is suspect.
	suspectAfterHeartbeats = 3
	// gossipTimeout bounds the wait until memberlist has sent a change of this process's info, or its leave.
	gossipTimeout = 400 * time.Millisecond
	// leaveNotices is how many leave notices each member is sent, since datagrams get lost.
	leaveNotices        = 2
	leaveNoticeInterval = 30 * time.Millisecond
	// nodeSeedStream separates the node's random draws from those of its components.
	nodeSeedStream = 0xf1ee7
)

// MaxViewAge is how old a view may be for a decision to rest on it.
const MaxViewAge = maxTickGap

// ErrDuplicateName says that another process of the same name is in the fleet.
var ErrDuplicateName = errors.New("fleet: the name is in use")

// LocalState are what a process reports of itself that changes while it runs.
type LocalState struct {
	SettingsDigest uint64 // fingerprint of the settings in force
	ListVersion    uint64 // version of the endpoint list
	Serving        bool
}

// Options describes this process to its Node. It does not change while the node runs.
type Options struct {
	// Machine is the clock; nil: the real one.
	Machine hostos.System
	Name    string
	Zone    string
	Version string // of the program
	// LocalState is called often, from the node's own goroutine; it must not block.
	LocalState func() LocalState
	// Seed seeds all random draws of the node and its components.
	Seed uint64
	// Tasks runs the tasks that one member runs for all; nil: none.
	Tasks TaskRunner
	// TokenFloor is at least every fencing token that an earlier incarnation of this member has seen. ObserveToken is
	// called often with the highest token that this one knows of; it must not block. nil: tokens do not outlive the
	// process.
	TokenFloor   uint64
	ObserveToken func(token uint64)
	// HandleIdempotency takes other members' messages of package idempotencyquorum; nil: they are ignored. It must not
	// block.
	HandleIdempotency func(message []byte)
	// LearnedState is given to members that start, and taken from others at this one's start; nil: neither.
	LearnedState LearnedState
	// Quota acts by this process's share of the configured budgets; nil: nothing is shared.
	Quota QuotaUser
	// VersionSkew acts on this process's own version skew, if the configuration has it detected; nil: it is not.
	VersionSkew VersionSkewActions
	// EndpointFilter takes the digests of others' newer endpoint lists, if the configuration allows it; nil: each
	// process goes by its own list alone.
	EndpointFilter EndpointFilter
}

// Node is this process as a member of the fleet. Start creates it; Leave notifies the others that the process leaves,
// and Close ends its goroutines. Its methods are safe for use by several goroutines.
type Node struct {
	cfg       *Config
	self      Options
	start     time.Time // by the monotonic clock; the views' clock counts from here
	startWall time.Time // by the wall clock

	gossip        *memberlist.Memberlist // nil until joined
	joined        atomic.Bool            // it listens at the peer address
	leaving       atomic.Bool
	rng           *rand.Rand // used by run's goroutine alone
	malformed     atomic.Int64
	clockSkews    sync.Map // member's name -> time.Duration, by its last heartbeat
	onFailure     func(error)
	reportFailure sync.Once

	components []component             // those that are enabled, in a fixed order
	handlers   map[byte]messageHandler // by message kind

	cancel context.CancelFunc
	done   chan struct{} // closed when run has returned

	view  atomic.Pointer[membership.View]
	mu    sync.Mutex // guards table and info
	table *membership.Table
	info  membership.MemberInfo // what this process reports of itself now
}

// Start listens for the other members and returns; the node contacts them for as long as it runs. While another
// process has the address, as when this one is to replace it, the node waits for it without harm to what the process
// serves. failed is called once, with an ErrDuplicateName, if a member that this process contacts knows a living one
// of the same name at another address.
func Start(cfg *Config, self Options, failed func(error)) (*Node, error) {
	if self.Machine == nil {
		self.Machine = hostos.Real()
	}
	n := newNode(cfg, self, failed)
	if addressInUse(cfg.Listen) {
		slog.Warn("fleet_address_in_use", "listen", cfg.Listen)
	} else if err := n.join(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	go n.run(ctx)
	return n, nil
}

func newNode(cfg *Config, self Options, failed func(error)) *Node {
	n := &Node{cfg: cfg, self: self, start: time.Now(), startWall: self.Machine.Wall(), done: make(chan struct{}),
		onFailure: failed, rng: rand.New(rand.NewPCG(self.Seed, nodeSeedStream))}
	facts := self.LocalState()
	n.info = membership.MemberInfo{Name: self.Name, Zone: self.Zone, Incarnation: uint64(n.startWall.UnixMilli()),
		Started: n.startWall, Version: self.Version, SettingsDigest: facts.SettingsDigest, ListVersion: facts.ListVersion,
		Serving: facts.Serving}
	limits := membership.Limits{HeartbeatInterval: heartbeatCycle, SuspectAfter: suspectAfterHeartbeats,
		MaxTickGap: maxTickGap}
	n.table = membership.New(n.info, cfg.names(), limits, n.now())
	n.publish()
	n.addConfigured()
	return n
}

// run joins the fleet, and keeps up the membership and the components until the context ends.
func (n *Node) run(ctx context.Context) {
	defer close(n.done)
	if !n.waitJoined(ctx) {
		return
	}
	n.contactFirst()
	var running sync.WaitGroup
	defer running.Wait()
	for _, c := range n.components {
		running.Go(func() { n.runComponent(ctx, c) })
	}
	n.runMembership(ctx)
}

// runMembership advances the table, reports this process's changes, sends heartbeats and contacts missing members.
func (n *Node) runMembership(ctx context.Context) {
	ticks := time.NewTicker(membershipInterval)
	defer ticks.Stop()
	nextHeartbeat, nextRejoin := n.now(), n.now()
	position := n.rng.IntN(len(n.cfg.Members))
	for {
		select {
		case <-ticks.C:
		case <-ctx.Done():
			return
		}
		now := n.now()
		n.tickTable(now)
		if n.refreshInfo() {
			n.gossip.UpdateNode(gossipTimeout) // memberlist goes on gossiping after a timeout
		}
		if now >= nextHeartbeat {
			nextHeartbeat = now + heartbeatInterval
			position = n.sendHeartbeats(position)
		}
		if now >= nextRejoin {
			nextRejoin = now + n.drawRejoinDelay()
			n.contactMissing()
		}
	}
}

// Leave stops the components and notifies the others that this process leaves. It waits a short time for them to be
// notified.
func (n *Node) Leave() {
	if n.leaving.Swap(true) || !n.joined.Load() {
		return
	}
	for _, c := range n.components {
		c.stop()
	}
	reachable := n.reachable()
	n.mu.Lock()
	n.info.Leaving, n.info.Serving = true, false
	n.table.UpdateSelf(n.info, n.now())
	n.publish()
	n.mu.Unlock()
	// Gossip may deliver that the process is gone before that it is leaving, so each member is sent a notice as well.
	for range leaveNotices {
		notice := n.encodeHeartbeat()
		for _, name := range reachable {
			n.send(name, notice)
		}
		time.Sleep(leaveNoticeInterval)
	}
	if err := n.gossip.Leave(gossipTimeout); err != nil {
		slog.Warn("fleet_leave_failed", "err", err)
	}
}

// Close ends the node's goroutines and connections, and releases its address. It may be called again.
func (n *Node) Close() {
	n.cancel()
	<-n.done
	if !n.joined.Swap(false) {
		return
	}
	if err := n.gossip.Shutdown(); err != nil {
		slog.Warn("fleet_shutdown_failed", "err", err)
	}
}

// now is the time since the start, by a clock that only advances.
func (n *Node) now() time.Duration { return time.Since(n.start) }

// Now is the time by the views' clock.
func (n *Node) Now() time.Duration { return n.now() }

// Malformed is how many messages could not be decoded, or were not from this fleet.
func (n *Node) Malformed() int64 { return n.malformed.Load() }
