package fleet

import (
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"rampspread/internal/fleet/lease"
	"rampspread/internal/fleet/membership"
)

const (
	defaultTerm       = 1200 * time.Millisecond
	componentInterval = 50 * time.Millisecond
	flushEvery        = 2 * componentInterval // at the least
	// One that stands by claims a duty that it has heard nothing of for a term and this.
	standbyGrace = 100 * time.Millisecond
	// And gives it back to the owner after so many terms, where that one counts again.
	standbyTerms = 8
	resultBytes  = 64 << 10 // that a member sends in a second, to all together
	forgetAfter  = time.Minute
)

// TaskRunner is what the fleet does in turn. Its methods may be called from several goroutines; Duties, Every and Told must not
// block.
type TaskRunner interface {
	// Names are the names of what is to be done by one member for all.
	Names() []string
	// Interval is how often a duty is carried out.
	Interval(duty string) time.Duration
	// Run carries it out under a lease, and calls done once with what it found (at most 64 bytes), or with nil.
	Run(duty string, number uint64, done func(found []byte))
	// HandleResults takes what was found out, here or by other members.
	HandleResults(found []TaskResult)
}

// TaskResult is one result of a duty.
type TaskResult struct {
	Task string
	Data []byte
	Age  time.Duration
}

// TaskStatus is a duty as operators are shown it.
type TaskStatus struct {
	Task        string  `json:"duty"`
	Owner       string  `json:"owner"` // by the view
	Standby     string  `json:"standby"`
	Held        bool    `json:"held"` // by this member
	Token       uint64  `json:"number"`
	HeldForS    float64 `json:"for_s"`
	RemainingS  float64 `json:"left_s"`
	LastResultS float64 `json:"heard_s"` // since its last result, from whomever
}

// TasksStatus is what operators are shown of the duties.
type TasksStatus struct {
	Self        string       `json:"self"`
	Voters      []string     `json:"voters"`
	Recovering  bool         `json:"mute"` // a voter that does not vote yet
	Tasks       []TaskStatus `json:"duties"`
	LastExpired string       `json:"lapsed,omitempty"` // what ended last here, and why
	Executions  int64        `json:"acts"`
	LateResults int64        `json:"late"` // results of leases that others have followed
	Bytes       int64        `json:"bytes"`
}

// leasedTasks carries out the fleet's work: it claims what the view says is this member's, votes if it is a voter, acts
// under its leases and spreads what was found.
type leasedTasks struct {
	node       *Node
	work       TaskRunner
	limits     lease.Limits
	executions atomic.Int64
	late       atomic.Int64
	bytes      atomic.Int64

	mu         sync.Mutex
	holder     *lease.Holder
	voter      *lease.Voter // nil: not one
	fence      lease.Fence
	names      map[lease.Task]string
	list       []string // what names was made of
	assigned   lease.Assignment
	members    []string
	next       map[lease.Task]time.Duration
	heard      map[lease.Task]time.Duration // the last result
	standing   map[lease.Task]time.Duration // held for another since
	out        map[lease.Task]taskResult    // to be sent, the latest of each
	flushed    time.Duration
	budget     float64
	forgotten  time.Duration
	lapsedSeen *lease.Expired
	ended      bool // this process goes
}

func newLeasedTasks(n *Node, work TaskRunner) *leasedTasks {
	c := n.cfg
	limits := lease.Limits{Term: c.term, Margin: c.term / 10, Renew: c.term / 6}
	rng := rand.New(rand.NewPCG(n.self.Seed, 0x1ea5e))
	d := &leasedTasks{node: n, work: work, limits: limits, next: map[lease.Task]time.Duration{}, heard: map[lease.Task]time.Duration{},
		standing: map[lease.Task]time.Duration{}, out: map[lease.Task]taskResult{}, names: map[lease.Task]string{}, budget: resultBytes}
	d.holder = lease.NewHolder(lease.Candidate{Name: n.self.Name, Incarnation: uint64(n.wall.UnixNano())}, c.Voters, limits, rng.Int64N)
	d.holder.ObserveToken(n.self.TokenFloor)
	if slices.Contains(c.Voters, n.self.Name) {
		d.voter = lease.NewVoter(n.self.Name, limits, n.now())
	}
	return d
}

// most is the highest number of a lease that this member knows of.
func (d *leasedTasks) most() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return max(d.fence.HighestToken(), d.holder.HighestToken())
}

// observeToken takes the highest number that another knows of, so that one that starts grants and claims no lower ones: while it may
// not vote yet it hears of them.
func (d *leasedTasks) observeToken(number uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.holder.ObserveToken(number)
}

// step is one look at what is to be claimed, done and sent.
func (d *leasedTasks) step(now time.Duration) {
	v := d.node.View()
	d.mu.Lock()
	d.assign(now, v)
	most := max(d.fence.HighestToken(), d.holder.HighestToken())
	d.holder.ObserveToken(most)
	if d.node.self.ObserveToken != nil {
		d.node.self.ObserveToken(most)
	}
	if d.voter != nil {
		d.voter.ObserveToken(most)
		if now-d.forgotten > forgetAfter {
			d.forgotten = now
			d.voter.Compact(now, forgetAfter)
		}
	}
	d.holder.SetWanted(now, d.wants(now))
	q, claims := d.holder.Step(now)
	if l := d.holder.LastExpired(); l != nil && l != d.lapsedSeen {
		d.lapsedSeen = l
		slog.Info("duty_lapsed", "duty", d.names[l.Task], "number", l.Token, "why", l.Reason)
	}
	var due []lease.Task
	for _, h := range d.holder.Leases(now) {
		if now >= d.next[h.Task] {
			due = append(due, h.Task)
			d.next[h.Task] = now + d.work.Interval(d.names[h.Task])
		}
	}
	packets := d.flush(now)
	d.mu.Unlock()
	if claims {
		d.ask(q)
	}
	for _, duty := range due {
		d.act(duty)
	}
	for _, p := range packets {
		d.node.send(p.to, p.data)
	}
}

// end gives up all that is held: this process goes, and others may go on at once.
func (d *leasedTasks) end() {
	d.mu.Lock()
	d.ended = true
	d.mu.Unlock()
	d.step(d.node.now())
}

// assign works out whose each duty is, when the duties or those who count have changed; the caller holds the lock.
func (d *leasedTasks) assign(now time.Duration, v membership.View) {
	names := d.work.Names()
	slices.Sort(names)
	var members []string
	for _, m := range v.ActiveMembers() {
		if s := d.node.stragglers; s == nil || !s.excluded(m.Name) {
			members = append(members, m.Name)
		}
	}
	if slices.Equal(names, d.list) && slices.Equal(members, d.members) {
		return
	}
	d.list, d.members = names, members
	d.names = map[lease.Task]string{}
	for _, name := range names {
		duty := lease.TaskOf(name)
		d.names[duty] = name
		if _, ok := d.heard[duty]; !ok {
			d.heard[duty] = now
		}
	}
	forget(d.heard, d.names)
	forget(d.next, d.names)
	forget(d.standing, d.names)
	forget(d.out, d.names)
	d.fence.Retain(func(duty lease.Task) bool { return d.names[duty] != "" })
	d.assigned = lease.Assign(slices.Collect(maps.Keys(d.names)), members)
}

// forget drops what is kept of duties that are no more.
func forget[V any](kept map[lease.Task]V, names map[lease.Task]string) {
	maps.DeleteFunc(kept, func(d lease.Task, _ V) bool { return names[d] == "" })
}

// wants are the duties that are this member's, and those that it stands by for and that seem to have lapsed; the caller
// holds the lock.
func (d *leasedTasks) wants(now time.Duration) map[lease.Task]bool {
	out := map[lease.Task]bool{}
	if d.ended || d.node.stragglers != nil && d.node.stragglers.restricted.Load() {
		return out
	}
	self := d.node.self.Name
	for duty := range d.names {
		if d.assigned.Owner[duty] == self {
			out[duty] = true
			delete(d.standing, duty)
			continue
		}
		if d.assigned.Standby[duty] != self {
			continue
		}
		since, standing := d.standing[duty]
		switch {
		case standing && now-since < standbyTerms*d.limits.Term:
			out[duty] = true
		case standing:
			delete(d.standing, duty) // the owner counts, or the duty would be another's by now
			d.heard[duty] = now
		case now-d.heard[duty] > d.limits.Term+standbyGrace+d.work.Interval(d.names[duty])/4:
			d.standing[duty] = now
			out[duty] = true
		}
	}
	return out
}

// ask sends a request to all voters.
func (d *leasedTasks) ask(q lease.Request) {
	packets := encodeLeaseRequest(q)
	for _, voter := range d.node.cfg.Voters {
		if voter == d.node.self.Name {
			d.answer(q)
			continue
		}
		for _, p := range packets {
			d.node.send(voter, p)
		}
	}
}

// answer answers a request as a voter.
func (d *leasedTasks) answer(q lease.Request) {
	d.mu.Lock()
	if d.voter == nil {
		d.mu.Unlock()
		return
	}
	now := d.node.now()
	r := d.voter.HandleRequest(now, q)
	if q.From.Name == d.node.self.Name {
		d.holder.HandleReply(now, r)
		d.mu.Unlock()
		return
	}
	d.mu.Unlock()
	if len(r.Grants) > 0 {
		d.node.send(q.From.Name, encodeLeaseReply(r))
	}
}

// act carries out one duty, if the lease still runs at this very time.
func (d *leasedTasks) act(duty lease.Task) {
	d.mu.Lock()
	name := d.names[duty]
	now := d.node.now()
	number, ok := d.holder.Holds(now, duty)
	d.mu.Unlock()
	if !ok || name == "" {
		return
	}
	d.executions.Add(1)
	d.work.Run(name, number, func(found []byte) {
		if found != nil && len(found) <= maxResultBytes {
			d.take([]taskResult{{duty, number, d.node.now(), found}}, true)
		}
	})
}

// take takes results, of which those of leases that others have followed are passed over. Own ones go to the others.
func (d *leasedTasks) take(results []taskResult, own bool) {
	var news []TaskResult
	now := d.node.now()
	d.mu.Lock()
	for _, r := range results {
		name, ok := d.names[r.task]
		if !ok {
			continue // a duty that is not known here, or no more
		}
		if !d.fence.Accept(now, r.task, r.token) {
			d.late.Add(1)
			continue
		}
		d.heard[r.task] = now
		if own {
			d.out[r.task] = r
		}
		news = append(news, TaskResult{name, r.data, max(now-r.at, 0)})
	}
	d.mu.Unlock()
	if len(news) > 0 {
		d.work.HandleResults(news)
	}
}

// packet is what is to be sent to a member.
type packet struct {
	to   string
	data []byte
}

// flush makes packets of the results that wait, within the budget of bytes; the caller holds the lock.
func (d *leasedTasks) flush(now time.Duration) (out []packet) {
	// In a large fleet results wait longer, so that the packets of a second stay bounded.
	every := max(flushEvery, time.Duration(len(d.members))*2*time.Millisecond)
	if now-d.flushed < every || len(d.out) == 0 {
		return nil
	}
	d.budget = min(d.budget+resultBytes*(now-d.flushed).Seconds(), resultBytes)
	d.flushed = now
	waiting := slices.SortedFunc(maps.Values(d.out), func(a, b taskResult) int { return int(a.at - b.at) })
	clear(d.out)
	var messages [][]byte
	for len(waiting) > 0 {
		var m []byte
		m, waiting = encodeTaskResults(now, waiting)
		messages = append(messages, m)
	}
	for _, m := range messages {
		cost := float64(len(m) * max(len(d.members)-1, 0))
		if cost > d.budget {
			continue // the next results are newer
		}
		d.budget -= cost
		d.bytes.Add(int64(cost))
		for _, to := range d.members {
			if to != d.node.self.Name {
				out = append(out, packet{to, m})
			}
		}
	}
	return out
}

// status is what operators are shown.
func (d *leasedTasks) status() TasksStatus {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.node.now()
	s := TasksStatus{Self: d.node.self.Name, Voters: d.node.cfg.Voters, Recovering: d.voter != nil && d.voter.Recovering(now),
		Executions: d.executions.Load(), LateResults: d.late.Load(), Bytes: d.bytes.Load()}
	held := map[lease.Task]lease.Lease{}
	for _, h := range d.holder.Leases(now) {
		held[h.Task] = h
	}
	for _, name := range d.list {
		duty := lease.TaskOf(name)
		h, ok := held[duty]
		one := TaskStatus{Task: name, Owner: d.assigned.Owner[duty], Standby: d.assigned.Standby[duty], Held: ok, LastResultS: (now - d.heard[duty]).Seconds()}
		if ok {
			one.Token, one.HeldForS, one.RemainingS = h.Token, (now - h.Since).Seconds(), (h.Until - now).Seconds()
		}
		s.Tasks = append(s.Tasks, one)
	}
	if l := d.holder.LastExpired(); l != nil {
		s.LastExpired = fmt.Sprintf("%s, lease %d, %.1f s ago: %s", d.names[l.Task], l.Token, (now - l.At).Seconds(), l.Reason)
	}
	return s
}
