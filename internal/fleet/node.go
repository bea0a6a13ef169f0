package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/hashicorp/memberlist"

	"rampspread/internal/fleet/lease"
	"rampspread/internal/fleet/membership"
	"rampspread/internal/fleet/quota"
	"rampspread/internal/fleet/tombstone"
	"rampspread/internal/system"
)

const (
	tick = 100 * time.Millisecond // between looks at what changed
	// A member sends its beat to fanout others, a part of the fleet after the other, so that what one sends does not
	// grow with the fleet.
	beatEvery = 500 * time.Millisecond
	fanout    = 8
	// A pause of the process that others would notice.
	gap = 800 * time.Millisecond
	// MaxViewAge is how old a view may be for a decision to rest on it.
	MaxViewAge = gap
	// Those that are missing are called upon one at a time: after a long partition nobody else would.
	rejoinEvery = 2 * time.Second
	firstCalls  = 3 // of the others, at the start
	leaveWait   = 400 * time.Millisecond
	suspectMult = 4
	goodbyes    = 2 // datagrams get lost
	goodbyeWait = 30 * time.Millisecond
)

// Facts are what a process tells of itself that changes while it runs.
type Facts struct {
	Settings uint64 // fingerprint of the settings in force
	List     uint64 // version of discovery's list
	Serving  bool
}

// Self is what a process tells of itself for good.
type Self struct {
	Machine system.System // nil: the real one
	Name    string
	Zone    string
	Version string
	// Facts is asked often, from the node's own goroutine; it must not block.
	Facts func() Facts
	Seed  uint64
	// Tasks is what the fleet does in turn; nil: nothing.
	Tasks TaskRunner
	// TokenFloor is a number of a lease that no earlier life of this member has seen a higher one than, and Seen is told the highest that it
	// knows of, often; it must not block. nil: nothing of it outlives the process.
	TokenFloor   uint64
	ObserveToken func(number uint64)
	// HandleIdempotency takes what other members say of filings; nil: nothing of it is known here. It must not block.
	HandleIdempotency func(message []byte)
	// LearnedState tells others that start what this process has learnt, and learns from them at its own start; nil: it does not.
	LearnedState LearnedState
	// Quota acts by its part of the file's budgets; nil: nothing is shared.
	Quota QuotaUser
	// VersionSkew acts by how this process stands, if the file has stragglers judged; nil: nobody is judged here.
	VersionSkew VersionSkewActions
	// EndpointFilter takes others' newer lists, if the file lets it; nil: each goes by its own alone.
	EndpointFilter EndpointFilter
}

// Node is this process in the fleet. Its goroutines stop by Close.
type Node struct {
	cfg        *Config
	self       Self
	start      time.Time // of the clock that only advances
	wall       time.Time // at the start
	gossip     *memberlist.Memberlist
	rng        *rand.Rand // only run uses it
	bad        atomic.Int64
	view       atomic.Pointer[membership.View]
	left       atomic.Bool
	joined     atomic.Bool // list is there
	clockSkews sync.Map    // name -> time.Duration, by the last beat
	done       chan struct{}
	stop       context.CancelFunc

	duties  *leasedTasks  // nil: none
	shares  *shares       // nil: none
	beliefs *bootstrapper // nil: none
	ends    *endpointSync // nil: none

	stragglers *stragglers // nil: nobody is judged
	failed     func(error)
	twice      sync.Once

	mu    sync.Mutex
	table *membership.Table
	info  membership.MemberInfo // what it tells of itself now
}

// ErrDuplicateName says that another process of the same name is in the fleet.
var ErrDuplicateName = errors.New("fleet: the name is in use")

// Start listens for the others and returns; they are called upon for as long as the node runs. While another process has the
// address, as when this one is to replace it, the node waits for it without harm to what the process serves. Failed is called once, with
// ErrTwice, if a member that this process calls upon knows a living one of the same name at another address.
func Start(cfg *Config, self Self, failed func(error)) (*Node, error) {
	if self.Machine == nil {
		self.Machine = system.Real()
	}
	n := &Node{cfg: cfg, self: self, start: time.Now(), wall: self.Machine.Wall(), done: make(chan struct{}), failed: failed,
		rng: rand.New(rand.NewPCG(self.Seed, 0xf1ee7))}
	f := self.Facts()
	n.info = membership.MemberInfo{Name: self.Name, Zone: self.Zone, Incarnation: uint64(n.wall.UnixMilli()), Started: n.wall, Version: self.Version,
		Settings: f.Settings, ListVersion: f.List, Serving: f.Serving}
	cycle := func(size int) time.Duration { return beatEvery * time.Duration(max(1, (size-1+fanout-1)/fanout)) }
	n.table = membership.New(n.info, cfg.names(), membership.Limits{HeartbeatInterval: cycle, SuspectAfter: 3, MaxTickGap: gap}, n.now())
	n.publish()
	if self.Tasks != nil && len(cfg.Voters) > 0 {
		n.duties = newLeasedTasks(n, self.Tasks)
	}
	if self.Quota != nil && cfg.Budgets != nil {
		n.shares = newShares(n, self.Quota)
	}
	if self.LearnedState != nil && cfg.Bootstrap {
		n.beliefs = newBootstrapper(n, self.LearnedState)
	}
	if self.EndpointFilter != nil && cfg.EndpointFilter {
		n.ends = &endpointSync{node: n, filter: self.EndpointFilter, calls: map[string]bool{}}
	}
	if self.VersionSkew != nil && cfg.VersionSkew != nil {
		n.stragglers = newStragglers(n, self.VersionSkew)
	}
	if inUse(cfg.Listen) {
		slog.Warn("fleet_waits", "listen", cfg.Listen)
	} else if err := n.open(); err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	n.stop = stop
	go n.run(ctx)
	return n, nil
}

// inUse tells whether another process has an address: the one that this one is to replace, most likely.
func inUse(addr string) bool {
	l, err := net.Listen("tcp", addr)
	if err == nil {
		l.Close()
	}
	return errors.Is(err, syscall.EADDRINUSE)
}

// open listens for the others; from then on the node is up.
func (n *Node) open() error {
	cfg := n.cfg
	logger := log.New(&logLines{n}, "", 0)
	t, err := newTransport(cfg.Listen, logger)
	if err != nil {
		return err
	}
	at, err := netip.ParseAddrPort(cfg.address(n.self.Name))
	if err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	m := memberlist.DefaultLANConfig()
	m.Name, m.Label, m.SecretKey = n.self.Name, cfg.Fleet, cfg.key
	m.Transport = t
	m.AdvertiseAddr, m.AdvertisePort = at.Addr().String(), int(at.Port())
	m.ProbeInterval, m.ProbeTimeout = cfg.probe, cfg.probe*3/5
	m.SuspicionMult, m.SuspicionMaxTimeoutMult = suspectMult, 2
	m.GossipInterval, m.GossipToTheDeadTime = cfg.probe*2/5, 40*cfg.probe
	m.PushPullInterval, m.TCPTimeout = 20*cfg.probe, 4*cfg.probe
	m.EnableCompression = false // what is said is small
	m.Delegate, m.Events, m.Conflict, m.Merge = n, n, n, n
	m.Logger = logger
	// A name that was given up may come back at once, from wherever the list says that it is.
	m.DeadNodeReclaimTime = time.Millisecond
	if n.gossip, err = memberlist.Create(m); err != nil {
		t.Shutdown()
		return fmt.Errorf("fleet: %w", err)
	}
	n.joined.Store(true)
	return nil
}

// reopenEvery is how often a process that waits for its peer address looks whether it is free.
const reopenEvery = 300 * time.Millisecond

// waitOpen returns once the node is up, or false at the context's end.
func (n *Node) waitOpen(ctx context.Context) bool {
	for !n.joined.Load() {
		select {
		case <-time.After(reopenEvery):
		case <-ctx.Done():
			return false
		}
		if inUse(n.cfg.Listen) {
			continue
		}
		if err := n.open(); err != nil {
			slog.Warn("fleet_waits", "err", err)
		}
	}
	return true
}

func (n *Node) now() time.Duration { return time.Since(n.start) }

// Now is the time of the views' clock.
func (n *Node) Now() time.Duration { return n.now() }

// View is who is there, as last published. Whoever acts on it asks Fresh first.
func (n *Node) View() membership.View { return *n.view.Load() }

// Malformed is how many messages made no sense, or were not from this fleet.
func (n *Node) Malformed() int64 { return n.bad.Load() }

// others are the addresses of the others on the list.
func (n *Node) others() []string {
	var out []string
	for _, m := range n.cfg.Members {
		if m.Name != n.self.Name {
			out = append(out, m.Address)
		}
	}
	return out
}

// publish hands out a view; the caller holds the lock, or is alone.
func (n *Node) publish() {
	v := n.table.View()
	n.view.Store(&v)
}

// updateTable gives the table an event.
func (n *Node) updateTable(f func(t *membership.Table, now time.Duration)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f(n.table, n.now())
	if n.table.Changed() {
		n.publish()
	}
}

// run looks after the table, tells of itself and calls upon the missing, until the context ends.
func (n *Node) run(ctx context.Context) {
	defer close(n.done)
	if !n.waitOpen(ctx) {
		return
	}
	others := n.others()
	n.rng.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	for _, to := range others[:min(firstCalls, len(others))] {
		go n.gossip.Join([]string{to}) // one that is not there yet is called upon later
	}
	var steps []func(time.Duration)
	if n.duties != nil {
		steps = append(steps, n.duties.step)
	}
	if n.shares != nil {
		steps = append(steps, n.shares.step)
	}
	if n.beliefs != nil {
		steps = append(steps, n.beliefs.step)
	}
	if n.stragglers != nil {
		steps = append(steps, n.stragglers.step)
	}
	if n.ends != nil {
		steps = append(steps, n.ends.step)
	}
	var work sync.WaitGroup
	defer work.Wait()
	for _, step := range steps {
		work.Go(func() {
			t := time.NewTicker(componentInterval)
			defer t.Stop()
			for {
				select {
				case <-t.C:
					step(n.now())
				case <-ctx.Done():
					return
				}
			}
		})
	}
	ticks := time.NewTicker(tick)
	defer ticks.Stop()
	nextBeat, nextCall := n.now(), n.now()
	at := n.rng.IntN(len(n.cfg.Members))
	for {
		select {
		case <-ticks.C:
		case <-ctx.Done():
			return
		}
		now := n.now()
		n.mu.Lock()
		n.table.Tick(now)
		n.table.Changed()
		n.publish()
		n.mu.Unlock()
		if n.refresh() {
			n.gossip.UpdateNode(leaveWait) // told by gossip; a time-out here loses nothing
		}
		if now >= nextBeat {
			nextBeat = now + beatEvery
			at = n.beat(at)
		}
		if now >= nextCall {
			// Drawn, so that the members do not call in step.
			nextCall = now + rejoinEvery/2 + time.Duration(n.rng.Int64N(int64(rejoinEvery)))
			n.callMissing()
		}
	}
}

// refresh brings what this process tells of itself up to date, and says whether it changed.
func (n *Node) refresh() bool {
	f := n.self.Facts()
	n.mu.Lock()
	defer n.mu.Unlock()
	next := n.info
	next.Settings, next.ListVersion, next.Serving = f.Settings, f.List, f.Serving && !next.Leaving
	if next == n.info {
		return false
	}
	// A new list alone goes with the next beat: discovery changes often, and all members would gossip of it at once.
	told := next.Settings != n.info.Settings || next.Serving != n.info.Serving
	n.info = next
	n.table.UpdateSelf(next, n.now())
	return told
}

// encodeHeartbeat is a beat's message.
func (n *Node) encodeHeartbeat() []byte {
	number := uint64(0)
	if n.duties != nil {
		number = n.duties.most()
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	told := n.info
	told.HighestToken = number // in beats only: it changes often
	return append([]byte{kindHeartbeat}, encodeMemberInfo(told, time.Now().UnixMilli())...)
}

// send sends a message to a member by one datagram, which may get lost as any other. Its address is the list's: the nodes that memberlist hands out change
// under the reader.
func (n *Node) send(name string, msg []byte) {
	if addr := n.cfg.address(name); addr != "" {
		n.gossip.SendToAddress(memberlist.Address{Addr: addr, Name: name}, msg)
	}
}

// SendIdempotency sends a message of package claims to a member. A large one goes by a call, the others by a datagram; either may
// get lost.
func (n *Node) SendIdempotency(name string, message []byte, large bool) {
	if !n.joined.Load() {
		return
	}
	message = append([]byte{kindIdempotency}, message...)
	if !large {
		n.send(name, message)
		return
	}
	go n.call(name, message)
}

// call sends a message that is too large for a datagram. It waits for a connection, for TCPTimeout at the most.
func (n *Node) call(name string, message []byte) {
	at, err := netip.ParseAddrPort(n.cfg.address(name))
	if err != nil {
		return // a name that is not on the list
	}
	to := &memberlist.Node{Name: name, Addr: at.Addr().AsSlice(), Port: at.Port()}
	if err := n.gossip.SendReliable(to, message); err != nil {
		slog.Debug("fleet_call", "to", name, "err", err)
	}
}

// beat sends a sign of life to the next of the members that are there.
func (n *Node) beat(at int) int {
	msg, there := n.encodeHeartbeat(), n.there()
	for range min(fanout, len(there)) {
		at = (at + 1) % len(there)
		n.send(there[at], msg)
	}
	return at
}

// there are the others that have not been given up and have not left, by name.
func (n *Node) there() []string {
	var out []string
	for _, m := range n.View().Members {
		if m.Name != n.self.Name && (m.Active() || m.State == membership.Joining) {
			out = append(out, m.Name)
		}
	}
	return out
}

// callMissing calls upon one of those that are not there, so that sides of a partition find each other again.
func (n *Node) callMissing() {
	if n.left.Load() {
		return
	}
	v := n.View()
	var missing []string
	for _, m := range v.Members {
		if m.Name != n.self.Name && (m.State == membership.Unknown || m.State == membership.Unreachable || m.State == membership.Left) {
			missing = append(missing, n.cfg.address(m.Name))
		}
	}
	if len(missing) == 0 {
		return
	}
	to := missing[n.rng.IntN(len(missing))]
	go n.gossip.Join([]string{to}) // it waits for a connection; one that is not there costs TCPTimeout
}

// Leave tells the others that this process goes. It waits a short time for them to hear it.
func (n *Node) Leave() {
	if n.left.Swap(true) || !n.joined.Load() {
		return
	}
	if n.duties != nil {
		n.duties.end()
	}
	if n.shares != nil {
		n.shares.end()
	}
	there := n.there()
	n.mu.Lock()
	n.info.Leaving, n.info.Serving = true, false
	n.table.UpdateSelf(n.info, n.now())
	n.publish()
	n.mu.Unlock()
	// By gossip the news that it is gone may overtake the news that it goes, so it says goodbye to each as well.
	for range goodbyes {
		msg := n.encodeHeartbeat()
		for _, name := range there {
			n.send(name, msg)
		}
		time.Sleep(goodbyeWait)
	}
	if err := n.gossip.Leave(leaveWait); err != nil {
		slog.Warn("fleet_leave", "err", err)
	}
}

// Close ends the node's goroutines and connections, and gives up its address. It may be called again.
func (n *Node) Close() {
	n.stop()
	<-n.done
	if !n.joined.Swap(false) {
		return
	}
	if err := n.gossip.Shutdown(); err != nil {
		slog.Warn("fleet_close", "err", err)
	}
}

// NodeMeta implements memberlist.Delegate.
func (n *Node) NodeMeta(limit int) []byte {
	n.mu.Lock()
	defer n.mu.Unlock()
	b := encodeMemberInfo(n.info, 0)
	return b[:min(len(b), limit)] // fields are bounded so that it always fits
}

// NotifyMsg implements memberlist.Delegate: a beat came, or a message of the duties.
func (n *Node) NotifyMsg(b []byte) {
	if len(b) == 0 {
		n.bad.Add(1)
		return
	}
	if b[0] == kindHeartbeat {
		n.beaten(b[1:])
		return
	}
	if !n.joined.Load() {
		return
	}
	if b[0] == kindIdempotency {
		if n.self.HandleIdempotency != nil {
			n.self.HandleIdempotency(b[1:])
		}
		return
	}
	m, err := decodeMessage(b[1:], n.now())
	if err != nil {
		n.bad.Add(1)
		return
	}
	stranger := m.from == n.self.Name || n.cfg.address(m.from) == ""
	switch kind := b[0]; {
	case (kind == kindLeaseRequest || kind == kindQuotaClaim || kind == kindBootstrapRequest || kind == kindLearnedState || kind == kindEndpointDigest) && stranger:
		n.bad.Add(1)
	case kind == kindLeaseRequest && n.duties != nil:
		n.duties.answer(lease.Request{Seq: m.seq, From: lease.Candidate{Name: m.from, Incarnation: m.incarnation}, Claims: m.claims, Releases: m.releases})
	case kind == kindLeaseReply && n.duties != nil:
		n.duties.mu.Lock()
		n.duties.holder.HandleReply(n.now(), lease.Reply{Seq: m.seq, To: lease.Candidate{Name: n.self.Name, Incarnation: m.incarnation}, Voter: m.from, Grants: m.grants})
		n.duties.mu.Unlock()
	case kind == kindTaskResults && n.duties != nil:
		n.duties.take(m.results, false)
	case kind == kindQuotaClaim && n.shares != nil:
		n.shares.answer(m.quotaClaim(n.cfg.Voters))
	case kind == kindBootstrapRequest && n.beliefs != nil:
		go n.beliefs.answer(m.from) // it asks the core
	case kind == kindLearnedState && n.beliefs != nil:
		go n.beliefs.take(m.from, m.learnedState)
	case kind == kindEndpointDigest && n.ends != nil:
		n.ends.filter.UpdatePeer(m.from, tombstone.Digest{Version: m.seq, Ready: m.ready, Draining: m.draining})
	case kind == kindQuotaGrant && n.shares != nil:
		n.shares.take(quota.Grant{To: quota.BorrowerID{Name: n.self.Name, Incarnation: m.incarnation}, Voter: m.from, Seq: m.seq, Fraction: m.fraction})
	}
}

func (n *Node) beaten(b []byte) {
	i, sent, err := decodeMemberInfo(b)
	if err != nil {
		n.bad.Add(1)
		return
	}
	if sent > 0 && n.cfg.address(i.Name) != "" {
		n.clockSkews.Store(i.Name, time.Until(time.UnixMilli(sent)))
	}
	if n.duties != nil {
		n.duties.observeToken(i.HighestToken)
	}
	n.updateTable(func(t *membership.Table, now time.Duration) { t.Heartbeat(i, now) })
}

// GetBroadcasts implements memberlist.Delegate; beats go straight to their receivers.
func (n *Node) GetBroadcasts(int, int) [][]byte { return nil }

// known is what a member tells another of a name when they exchange all that they know.
type known struct {
	Name        string `json:"n"`
	Incarnation uint64 `json:"i"`
}

// maxKnown bounds what is read of another's list, in bytes: names of maxName and numbers of 20 digits in their JSON.
const maxKnown = maxMembers * (maxName + 64)

// LocalState implements memberlist.Delegate: the latest incarnation of each name, so that one that comes back without
// memory, and with a clock that went back, takes a higher one.
func (n *Node) LocalState(bool) []byte {
	var out []known
	for _, m := range n.View().Members {
		if m.Incarnation > 0 {
			out = append(out, known{m.Name, m.Incarnation})
		}
	}
	b, err := json.Marshal(out)
	if err != nil {
		return nil // strings and numbers always marshal
	}
	return b
}

// MergeRemoteState implements memberlist.Delegate.
func (n *Node) MergeRemoteState(b []byte, _ bool) {
	var in []known
	if len(b) > maxKnown || json.Unmarshal(b, &in) != nil {
		n.bad.Add(1)
		return
	}
	for _, k := range in {
		if k.Name != n.self.Name {
			continue
		}
		n.mu.Lock()
		if k.Incarnation > n.info.Incarnation {
			n.info.Incarnation = k.Incarnation + 1
			n.table.UpdateSelf(n.info, n.now())
			n.publish()
		}
		n.mu.Unlock()
	}
}

// member reads what a node tells of itself.
func (n *Node) member(node *memberlist.Node) (membership.MemberInfo, bool) {
	i, _, err := decodeMemberInfo(node.Meta)
	if err != nil || i.Name != node.Name {
		n.bad.Add(1)
		return i, false
	}
	return i, true
}

// NotifyJoin implements memberlist.EventDelegate.
func (n *Node) NotifyJoin(node *memberlist.Node) {
	if i, ok := n.member(node); ok {
		n.updateTable(func(t *membership.Table, now time.Duration) { t.MarkJoined(i, now) })
	}
}

// NotifyUpdate implements memberlist.EventDelegate.
func (n *Node) NotifyUpdate(node *memberlist.Node) { n.NotifyJoin(node) }

// NotifyLeave implements memberlist.EventDelegate.
func (n *Node) NotifyLeave(node *memberlist.Node) {
	if i, ok := n.member(node); ok {
		n.updateTable(func(t *membership.Table, now time.Duration) { t.MarkLost(i.Name, i.Incarnation, now) })
	}
}

// NotifyConflict implements memberlist.ConflictDelegate: the other is passed over.
func (n *Node) NotifyConflict(existing, other *memberlist.Node) {
	slog.Warn("fleet_conflict", "name", existing.Name, "address", existing.Address(), "other", other.Address())
	n.updateTable(func(t *membership.Table, now time.Duration) { t.RecordConflict(other.Name, other.Address(), now) })
}

// NotifyMerge implements memberlist.MergeDelegate: two processes of one name do not meet in one fleet.
func (n *Node) NotifyMerge(peers []*memberlist.Node) error {
	own := n.cfg.address(n.self.Name)
	for _, p := range peers {
		if p.Name == n.self.Name && p.State == memberlist.StateAlive && p.Address() != own {
			err := fmt.Errorf("%w: %q is at %s", ErrDuplicateName, p.Name, p.Address())
			n.twice.Do(func() { n.failed(err) })
			return err
		}
	}
	return nil
}

// logLines turns memberlist's log into ours. What cannot be read or is not of this fleet shows only there.
type logLines struct{ n *Node }

var badLines = [][]byte{[]byte("failed to receive"), []byte("Decrypt packet failed"), []byte("label"), []byte("UDP packet too short"), []byte("Got invalid checksum"),
	[]byte("Msg type"), []byte("Failed to decode"), []byte("failed to decode"), []byte("unpack")}

// Write implements io.Writer.
func (l *logLines) Write(b []byte) (int, error) {
	line := bytes.TrimSpace(b)
	for _, bad := range badLines {
		if bytes.Contains(line, bad) {
			l.n.bad.Add(1)
			slog.Debug("fleet_bad", "line", string(line))
			return len(b), nil
		}
	}
	level := slog.LevelDebug
	if bytes.Contains(line, []byte("[ERR]")) {
		level = slog.LevelInfo
	}
	slog.Log(context.Background(), level, "fleet", "line", string(line))
	return len(b), nil
}

// Status is what operators are shown.
type Status struct {
	Fleet        string         `json:"fleet"`
	Self         string         `json:"self"`
	ViewVersion  uint64         `json:"view"`
	Fresh        bool           `json:"fresh"`
	Members      []MemberStatus `json:"members"`
	Conflicts    []string       `json:"conflicts,omitempty"`
	Malformed    int64          `json:"bad"`
	Stale        int64          `json:"stale"`
	Unconfigured int64          `json:"strangers"`
}

// MemberStatus is a member as operators are shown it. Times are in seconds before now.
type MemberStatus struct {
	Name           string  `json:"name"`
	State          string  `json:"state"`
	StateForS      float64 `json:"for_s"`
	LastHeartbeatS float64 `json:"heard_s"`
	Zone           string  `json:"zone"`
	Incarnation    uint64  `json:"incarnation"`
	Incarnations   int     `json:"lives"`
	Started        string  `json:"started,omitempty"`
	Version        string  `json:"version"`
	Settings       string  `json:"settings"`
	ListVersion    uint64  `json:"list"`
	SkewMS         int64   `json:"skew_ms"` // of its clock against ours, and the way of its beat
}

// TasksStatus is who does what, for operators; ok is false where nothing is done in turn.
func (n *Node) TasksStatus() (s TasksStatus, ok bool) {
	if n.duties == nil {
		return s, false
	}
	return n.duties.status(), true
}

// Status is who is there, for operators.
func (n *Node) Status() Status {
	now := n.now()
	v := n.View()
	n.mu.Lock()
	out := Status{Fleet: n.cfg.Fleet, Self: n.self.Name, ViewVersion: v.Version, Fresh: v.Fresh(now, MaxViewAge), Malformed: n.bad.Load(),
		Stale: n.table.Stale(), Unconfigured: n.table.Unconfigured()}
	n.mu.Unlock()
	for _, m := range v.Members {
		s := MemberStatus{Name: m.Name, State: m.State.String(), StateForS: (now - m.Since).Seconds(), LastHeartbeatS: (now - m.LastHeartbeat).Seconds(),
			Zone: m.Zone, Incarnation: m.Incarnation, Incarnations: m.Incarnations, Version: m.Version, Settings: fmt.Sprintf("%016x", m.Settings), ListVersion: m.ListVersion}
		if m.Incarnation > 0 {
			s.Started = m.Started.UTC().Format(time.RFC3339)
		}
		if skew, ok := n.clockSkews.Load(m.Name); ok {
			s.SkewMS = skew.(time.Duration).Milliseconds()
		}
		out.Members = append(out.Members, s)
	}
	for _, c := range v.Conflicts {
		out.Conflicts = append(out.Conflicts, c.Name+" at "+c.Address)
	}
	return out
}
