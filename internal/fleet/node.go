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
	// membershipInterval is the interval at which a node advances the membership table and checks its own info for
	// changes.
	membershipInterval = 100 * time.Millisecond
	// maxTickGap is the longest time between two ticks of the membership table of a process that is merely busy. After
	// a longer pause, other members may have noticed that the process was stopped.
	maxTickGap = 800 * time.Millisecond
	// suspectAfterHeartbeats is the number of missed heartbeats after which a member is suspect.
	suspectAfterHeartbeats = 3
	// gossipTimeout bounds the wait until memberlist has sent a change of this process's info, or its leave.
	gossipTimeout = 400 * time.Millisecond
	// leaveNoticesPerMember is the number of leave notices that each member is sent, since datagrams may get lost.
	leaveNoticesPerMember = 2
	leaveNoticeInterval   = 30 * time.Millisecond
	// nodeSeedStream separates the node's random draws from its components' draws.
	nodeSeedStream = 0xf1ee7
)

// MaxViewAge is the age up to which a view may be used for decisions.
const MaxViewAge = maxTickGap

// ErrDuplicateName reports that another process of the same name is in the fleet.
var ErrDuplicateName = errors.New("fleet: the name is in use")

// LocalState holds the properties that a process reports of itself and that change while it runs.
type LocalState struct {
	SettingsDigest uint64 // fingerprint of the settings in force
	ListVersion    uint64 // version of the endpoint list
	Serving        bool
}

// Options describes this process to its Node. It does not change while the node runs.
type Options struct {
	// Machine provides the wall clock; nil means the real machine.
	Machine hostos.System
	Name    string
	Zone    string
	Version string // version of the program
	// LocalState returns the current local state. The node's own goroutine calls it often, so it must not block.
	LocalState func() LocalState
	// Seed seeds all random draws of the node and its components.
	Seed uint64
	// Tasks runs the tasks that one member runs for the whole fleet. If it is nil, this member runs none.
	Tasks TaskRunner
	// TokenFloor is at least as high as every fencing token that an earlier incarnation of this member has seen, or 0 if
	// no such bound is known. ObserveToken is called often with the highest token known to this incarnation, so that it
	// can be stored. It must not block. If ObserveToken is nil, tokens are lost when the process ends.
	TokenFloor   uint64
	ObserveToken func(token uint64)
	// HandleIdempotency handles messages of package idempotencyquorum from other members. It must not block. If it is
	// nil, these messages are ignored.
	HandleIdempotency func(message []byte)
	// LearnedState is sent to members that start, and received from others when this process starts. If it is nil, this
	// process neither sends nor requests learned state.
	LearnedState LearnedState
	// Quota applies this process's share of the configured budgets. If it is nil, the budgets are not shared.
	Quota QuotaUser
	// VersionSkew acts on this process's own version skew, if the configuration enables its detection. If it is nil,
	// the skew is not detected.
	VersionSkew VersionSkewActions
	// EndpointFilter receives the digests of other members' newer endpoint lists, if the configuration enables it. If
	// it is nil, the process uses its own list alone.
	EndpointFilter EndpointFilter
}

// Node makes this process a member of the fleet. Start creates it, Leave notifies the other members that the process
// leaves, and Close stops its goroutines. Its methods are safe for concurrent use.
type Node struct {
	cfg       *Config
	self      Options
	start     time.Time // start by the monotonic clock, from which the clock of the views counts
	startWall time.Time // start by the wall clock

	gossip      *memberlist.Memberlist // nil until joined
	joined      atomic.Bool            // whether memberlist listens at the peer address
	leaving     atomic.Bool
	rng         *rand.Rand // used only by run's goroutine
	malformed   atomic.Int64
	clockSkews  sync.Map // member's name -> time.Duration, from its last heartbeat
	onFailure   func(error)
	failureOnce sync.Once

	components []component             // enabled components, in a fixed order
	handlers   map[byte]messageHandler // by message kind

	cancel context.CancelFunc
	done   chan struct{} // closed when run has returned

	view  atomic.Pointer[membership.View]
	mu    sync.Mutex // guards table and info
	table *membership.Table
	info  membership.MemberInfo // what this process currently reports of itself
}

// Start listens for the other members and returns. The node contacts them while it runs. If another process has the
// address, such as the process that this one is to replace, the node waits until the address is free, and the process
// serves requests meanwhile. failed is called once, with an ErrDuplicateName, if a contacted member reports a running
// process of the same name at another address.
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
	local := self.LocalState()
	n.info = membership.MemberInfo{Name: self.Name, Zone: self.Zone, Incarnation: uint64(n.startWall.UnixMilli()),
		Started: n.startWall, Version: self.Version, SettingsDigest: local.SettingsDigest, ListVersion: local.ListVersion,
		Serving: local.Serving}
	limits := membership.Limits{HeartbeatInterval: heartbeatCycle, SuspectAfter: suspectAfterHeartbeats,
		MaxTickGap: maxTickGap}
	n.table = membership.New(n.info, cfg.names(), limits, n.now())
	n.publishView()
	n.addConfiguredComponents()
	return n
}

// run joins the fleet, and runs the membership and the components until the context ends.
func (n *Node) run(ctx context.Context) {
	defer close(n.done)
	if !n.waitJoined(ctx) {
		return
	}
	n.contactInitialMembers()
	var running sync.WaitGroup
	defer running.Wait()
	for _, c := range n.components {
		running.Go(func() { n.runComponent(ctx, c) })
	}
	n.runMembership(ctx)
}

// runMembership advances the table, gossips changes of this process's info, sends heartbeats and contacts missing
// members.
func (n *Node) runMembership(ctx context.Context) {
	ticks := time.NewTicker(membershipInterval)
	defer ticks.Stop()
	nextHeartbeat, nextContact := n.now(), n.now()
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
			n.gossip.UpdateNode(gossipTimeout) // memberlist continues to gossip after a timeout
		}
		if now >= nextHeartbeat {
			nextHeartbeat = now + heartbeatInterval
			position = n.sendHeartbeats(position)
		}
		if now >= nextContact {
			nextContact = now + n.drawContactDelay()
			n.contactMissingMember()
		}
	}
}

// Leave stops the components and notifies the other members that this process leaves. It waits briefly until the
// notices are sent.
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
	n.publishView()
	n.mu.Unlock()
	// Gossip may report the process as gone before it reports it as leaving, so each member is also sent a notice.
	for range leaveNoticesPerMember {
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

// Close stops the node's goroutines, closes its connections and releases its address. It may be called more than once.
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

// now returns the time since the start by the monotonic clock.
func (n *Node) now() time.Duration { return time.Since(n.start) }

// Now returns the time by the clock of the views.
func (n *Node) Now() time.Duration { return n.now() }

// Malformed returns the number of messages that could not be decoded or were not from this fleet.
func (n *Node) Malformed() int64 { return n.malformed.Load() }
