// Package dispatch runs one Router for real traffic. One goroutine owns the Router,
// the table of open requests and the list of servers; fronts, servers and
// discovery reach it through its queue only. It knows no wire: fronts call Do,
// and servers are reached through the interface Servers.
package dispatch

import (
	"cmp"
	"context"
	"fmt"
	"hash/fnv"
	"io"
	"log/slog"
	"sync/atomic"
	"time"

	"rampspread/internal/precondition"
	"rampspread/internal/system"
	"rampspread/routing"
)

const (
	queueSize = 4096
	probeWait = 200 * time.Millisecond // for a server's load; the module does not wait for so long
	// A refused client is told when to come back even where the module has no estimate of it: one that is
	// told nothing may be back at once.
	comeBack = 200 * time.Millisecond
	// At the deadline the module has this long to answer by itself.
	lastWord = 8 * time.Millisecond
	// A read that ends well just as its connection is given up leaves a state behind that the first
	// release may have overtaken; the second comes when the read has surely noticed.
	releaseAgain = 120 * time.Millisecond
)

// Dispatcher is the one owner of a Router.
type Dispatcher struct {
	router    *routing.Router
	config    routing.Config // in force
	servers   Upstream
	machine   system.System
	audit     *precondition.ViolationCounter
	releasing atomic.Int64 // releases that are to be made once more
	start     time.Time
	base      time.Duration
	queue     chan func()
	done      chan struct{}
	lastID    routing.RequestID
	requests  map[routing.RequestID]*request
	list      map[routing.EndpointID]*listed
	names     map[string]*listed // the same by name
	actions   []routing.Action
	pending   []routing.Event // events that follow from carrying out actions
	stale     []*request      // to be looked at by forget once nothing is pending
	ending    bool            // nothing is taken any more
	counters  Counters
	taken     atomic.Int64 // the same as the counters'
}

type listed struct {
	Target
	state      routing.EndpointState
	zone, cell int
	reads      bool // it reads prompts only: an attempt there has no effect
	heard      time.Duration
	start      start
}

type request struct {
	Request
	id       routing.RequestID
	client   context.Context
	answer   chan Answer // nil once answered
	left     bool        // the client has left, and what was sent goes on to its end
	ran      effect
	streamed bool
	why      string // it was refused, or failed
	loose    bool   // an attempt was lost sight of: what it left may show only later
	deadline time.Duration
	timer    *time.Timer // runs to the deadline
	attempts []*attempt
}

// New returns a Core that Run must drive.
func New(cfg routing.Config, seed uint64, servers Upstream, machine system.System, audit *precondition.ViolationCounter) (*Dispatcher, error) {
	router, err := routing.New(cfg, seed)
	if err != nil {
		return nil, fmt.Errorf("router: %w", err)
	}
	return &Dispatcher{
		router: router, config: cfg, servers: servers, machine: machine, audit: audit,
		start: time.Now(), base: time.Duration(machine.Wall().UnixNano()),
		queue: make(chan func(), queueSize), done: make(chan struct{}),
		requests: map[routing.RequestID]*request{}, list: map[routing.EndpointID]*listed{},
		names: map[string]*listed{},
	}, nil
}

// Run owns the Router until the context ends.
func (c *Dispatcher) Run(ctx context.Context) {
	defer close(c.done)
	for {
		select {
		case f := <-c.queue:
			f()
		case <-ctx.Done():
			return
		}
	}
}

// post hands work to the owner; it waits while the queue is full, and reports false once Run has ended.
func (c *Dispatcher) post(f func()) bool {
	select {
	case c.queue <- f:
		return true
	case <-c.done:
		return false
	}
}

// offer hands work to the owner if its queue has room, and reports false if it has none: it never waits.
func (c *Dispatcher) offer(f func()) bool {
	select {
	case c.queue <- f:
		return true
	default:
		return false
	}
}

// now is the time by the clock that only advances; at the start it was that since 1970.
func (c *Dispatcher) now() time.Duration { return c.base + time.Since(c.start) }

// at is a time of this process's, by the same clock.
func (c *Dispatcher) at(t time.Time) time.Duration { return c.base + t.Sub(c.start) }

// Dispatch takes a request and returns its one final answer. If the client's context ends first, the answer is
// Left, or one that was on its way.
func (c *Dispatcher) Dispatch(client context.Context, req Request) Answer {
	answer := make(chan Answer, 1)
	q := &request{Request: req, client: client, answer: answer}
	if !c.post(func() { c.take(q) }) {
		return Answer{Kind: Failed}
	}
	select {
	case a := <-answer:
		return a
	case <-client.Done():
		c.post(func() { c.left(q) })
	case <-c.done:
		return Answer{Kind: Failed}
	}
	select {
	case a := <-answer:
		return a
	case <-c.done:
		return Answer{Kind: ClientGone}
	}
}

// UpdateEndpoints applies a list of servers, or changes to it.
func (c *Dispatcher) UpdateEndpoints(full bool, entries []Endpoint) {
	c.post(func() { c.updateEndpoints(full, entries) })
}

func (c *Dispatcher) updateEndpoints(full bool, entries []Endpoint) {
	if full {
		for _, l := range c.list {
			l.state = routing.Gone
		}
	}
	ev := routing.EndpointUpdate{Full: full}
	for _, e := range entries {
		l := c.lookup(e.Name)
		l.Addr, l.state = e.Addr, e.State
		s := routing.Endpoint{ID: l.ID, Zone: e.Zone, Cell: e.Cell, Kind: e.Kind, State: e.State, Weight: e.Weight}
		s.Started = c.startOf(l, e.Started)
		l.zone, l.cell, l.reads = e.Zone, e.Cell, c.reads(e.Kind)
		ev.Endpoints = append(ev.Endpoints, s)
	}
	c.withdraw() // before the module hears of the list: what it sends now goes by that
	c.handle(ev)
	c.prune()
}

// withdraw keeps attempts that are waiting for a connection from being sent to servers that are leaving: a send
// counts from its first byte, and that may come long after the decision.
func (c *Dispatcher) withdraw() {
	for _, q := range c.requests {
		for _, a := range q.attempts {
			if !a.ended && !a.first && a.to.state != routing.Ready {
				a.call.Withdraw()
			}
		}
	}
}

// PeerLoad is what another dispatcher found out about a server, Age ago; a nil Load: it told none in time.
type PeerLoad struct {
	Name string
	Load *routing.LoadReport
	Age  time.Duration
}

// ApplyPeerLoads takes what others found out. It never waits: while the queue is full the news is dropped, since it would be old
// by the time there is room, and false is returned.
func (c *Dispatcher) ApplyPeerLoads(news []PeerLoad) bool {
	came := time.Now()
	return c.offer(func() {
		for _, n := range news {
			if l := c.names[n.Name]; l != nil {
				c.counters.PeerLoadReports++
				c.handle(routing.PeerLoadReport{Endpoint: l.ID, Load: n.Load, Age: n.Age + time.Since(came)})
			}
		}
	})
}

// Accepted is how many requests it has taken, from any goroutine.
func (c *Dispatcher) Accepted() int64 { return c.taken.Load() }

// SetQuotaShare acts by a part of what all dispatchers may do until left has passed, and calls applied, from the owner, once it
// does. It never waits: false is returned while the queue is full.
func (c *Dispatcher) SetQuotaShare(part float64, left time.Duration, applied func()) bool {
	came := time.Now()
	return c.offer(func() {
		c.handle(routing.QuotaShare{Fraction: part, Duration: left - time.Since(came)})
		applied()
	})
}

// SetSubset keeps the module to the servers of these names while enough of them are well; none: to all. It never waits: false is
// returned while the queue is full.
func (c *Dispatcher) SetSubset(names []string) bool {
	return c.offer(func() {
		var ids []routing.EndpointID
		for _, name := range names {
			if l := c.names[name]; l != nil {
				ids = append(ids, l.ID)
			}
		}
		c.handle(routing.SubsetAssigned{Endpoints: ids})
	})
}

// Snapshot is what the module has learnt, with so many texts at the most; false: the context or the core ended first.
func (c *Dispatcher) Snapshot(ctx context.Context, texts int) (routing.Snapshot, bool) {
	got := make(chan routing.Snapshot, 1)
	if !c.post(func() { got <- c.router.Snapshot(c.now(), texts) }) {
		return routing.Snapshot{}, false
	}
	select {
	case b := <-got:
		return b, true
	case <-ctx.Done():
	case <-c.done:
	}
	return routing.Snapshot{}, false
}

// Restore gives the module what another process has learnt.
func (c *Dispatcher) Restore(b routing.Snapshot) {
	c.post(func() { c.handle(routing.SnapshotReceived{Snapshot: b}) })
}

// RestoreFromPeer is Learn for what a process of another machine has just told: its clock's now is taken for this one's.
func (c *Dispatcher) RestoreFromPeer(b routing.Snapshot) {
	c.post(func() {
		b.Shift(c.now() - b.TakenAt)
		c.handle(routing.SnapshotReceived{Snapshot: b})
	})
}

// lookup gives a name the same number at every dispatcher, since the module draws by it.
func (c *Dispatcher) lookup(name string) *listed {
	if l := c.names[name]; l != nil {
		return l
	}
	h := fnv.New32a()
	io.WriteString(h, name)
	id := routing.EndpointID(h.Sum32())
	for c.list[id] != nil {
		id++
	}
	l := &listed{Target: Target{ID: id, Name: name}}
	c.list[id], c.names[name] = l, l
	return l
}

// prune forgets servers that are gone. Each replacement has a name of its own, so the list would grow for as
// long as the program runs; attempts that are still out hold what they need.
func (c *Dispatcher) prune() {
	for id, l := range c.list {
		if l.state == routing.Gone {
			delete(c.list, id)
			delete(c.names, l.Name)
		}
	}
}

func (c *Dispatcher) take(q *request) {
	now := c.now()
	c.lastID++
	q.id, q.deadline = c.lastID, c.at(q.Deadline)
	c.requests[q.id] = q
	c.counters.Accepted++
	c.taken.Add(1)
	// The guard behind the module: whatever happens, the client is answered by its deadline.
	q.timer = time.AfterFunc(q.deadline-now, func() { c.post(func() { c.overdue(q) }) })
	if c.ending {
		c.abandon(q)
		return
	}
	if q.gone() {
		c.left(q)
		return
	}
	c.handle(routing.RequestArrived{
		Request: q.id, Class: q.Class, Tenant: q.Tenant, Session: q.Session, SharedPrefix: q.SharedPrefix,
		PromptTokens: q.PromptTokens, SharedPrefixTokens: q.SharedPrefixTokens, MaxOutputTokens: q.MaxOutputTokens, TimeLeft: q.deadline - now,
	})
}

// overdue ends what is still out at the deadline, and answers if the module then does not.
func (c *Dispatcher) overdue(q *request) {
	for _, a := range q.attempts {
		c.abort(a, routing.TimedOut)
	}
	if q.answer == nil {
		return
	}
	time.AfterFunc(lastWord, func() { c.post(func() { c.force(q) }) })
}

// force answers a request that nothing else has answered.
func (c *Dispatcher) force(q *request) {
	if q.answer == nil {
		return
	}
	c.counters.DeadlineForced++
	c.end(q, Answer{Kind: Failed})
}

// end answers a request over the module's head, which then ends what is out for it, where that may be cancelled.
// An attempt that still waits for its connection must not begin in any case: nobody waits for its answer.
func (c *Dispatcher) end(q *request, a Answer) {
	c.reply(q, a)
	c.handle(routing.ClientGone{Request: q.id})
	c.withdrawAll(q)
	c.forget(q)
}

// withdrawAll keeps the attempts of a request that wait for their connection from beginning.
func (c *Dispatcher) withdrawAll(q *request) {
	for _, a := range q.attempts {
		if !a.ended && !a.first {
			a.call.Withdraw()
		}
	}
}

// abort gives an attempt up. It counts as out until its connection is closed: what is sent elsewhere
// before that would be a second copy.
func (c *Dispatcher) abort(a *attempt, as routing.Outcome) {
	if a.ended || a.first || a.aborted {
		return
	}
	a.aborted, a.as = true, as
	a.call.Abort()
}

// left ends a request whose client has left. Where what was sent is to go on to its end, it does while an attempt is out that may run.
func (c *Dispatcher) left(q *request) {
	if q.answer == nil || q.left {
		return
	}
	c.counters.ClientGone++
	if q.RunToCompletion && q.runs() {
		q.left = true
		c.withdrawAll(q)
		return
	}
	c.endLeft(q)
}

// endLeft gives the answer that is owed for a request whose client has left: whether anything may have run.
func (c *Dispatcher) endLeft(q *request) {
	kind := ClientGone
	if q.RunToCompletion && (q.ran.mayHave || q.runs()) {
		kind = Failed
	}
	c.end(q, Answer{Kind: kind})
}

// AbandonPending answers all that is unanswered, lets go of what is held for it, and refuses what comes from now on: the process is about
// to be killed, and what it leaves held another one cannot let go.
func (c *Dispatcher) AbandonPending() {
	c.post(func() {
		c.ending = true
		for _, q := range c.requests {
			if q.answer != nil {
				c.abandon(q)
			}
		}
	})
}

// abandon refuses a request that was never sent, and fails any other.
func (c *Dispatcher) abandon(q *request) {
	if len(q.attempts) == 0 {
		c.counters.Rejected++
		c.end(q, Answer{Kind: Rejected, RetryAfter: comeBack})
		return
	}
	c.counters.Failed++
	c.end(q, Answer{Kind: Failed})
}

// reply gives the one final answer; the channel has room for it.
func (c *Dispatcher) reply(q *request, a Answer) {
	if why := (precondition.FinalAnswer{Answered: q.answer == nil}).Check(); why != precondition.Allowed {
		c.audit.Record(precondition.OperationAnswer, why, q.Call.ID)
		return
	}
	if a.Kind != Served {
		slog.Info("unserved", "id", q.Call.ID, "kind", a.Kind, "why", q.why, "left", q.deadline-c.now(), "attempts", len(q.attempts))
	}
	q.answer <- a
	q.answer = nil
}

// forget drops an answered request once none of its attempts is out. It waits until the module has taken
// all that is pending, since a release may still follow from that.
func (c *Dispatcher) forget(q *request) {
	if q.answer != nil {
		return
	}
	if len(c.pending) > 0 {
		c.stale = append(c.stale, q)
		return
	}
	if q.out() {
		return
	}
	delete(c.requests, q.id)
	q.timer.Stop() // it would keep the request and its body until a deadline that may be an hour away
}

// handle gives the module an event and carries out what it answers, with all that follows at once.
func (c *Dispatcher) handle(ev routing.Event) {
	c.pending = append(c.pending, ev)
	if len(c.pending) > 1 {
		return // the loop below is running further up
	}
	for len(c.pending) > 0 {
		c.actions = c.router.Handle(c.now(), c.pending[0], c.actions[:0])
		for _, a := range c.actions {
			c.carryOut(a)
		}
		c.pending = c.pending[1:]
	}
	c.pending = nil
	for _, q := range c.stale {
		c.forget(q)
	}
	c.stale = c.stale[:0]
}

func (c *Dispatcher) carryOut(action routing.Action) {
	switch a := action.(type) {
	case routing.Send:
		c.send(a)
	case routing.PollLoad:
		c.probe(a.Endpoint)
	case routing.Release:
		c.release(a.Request, a.Reason)
	case routing.Reject:
		if q := c.requests[a.Request]; q != nil && q.answer != nil {
			c.counters.Rejected++
			q.why = string(a.Reason)
			c.reply(q, Answer{Kind: Rejected, RetryAfter: cmp.Or(a.RetryAfter, comeBack)})
			c.forget(q)
		}
	case routing.Fail:
		if q := c.requests[a.Request]; q != nil && q.answer != nil {
			c.counters.Failed++
			q.why = string(a.Reason)
			c.reply(q, Answer{Kind: Failed})
			c.forget(q)
		}
	case routing.Cancel:
		if q := c.requests[a.Request]; q != nil && a.Attempt < len(q.attempts) {
			c.abort(q.attempts[a.Attempt], routing.Cancelled)
		}
	case routing.SetTimer:
		time.AfterFunc(a.After, func() { c.post(func() { c.handle(routing.TimerFired{ID: a.Timer}) }) })
	default:
		slog.Warn("unknown_action", "type", fmt.Sprintf("%T", a))
	}
}

func (c *Dispatcher) probe(id routing.EndpointID) {
	told := func(l *routing.LoadReport) {
		c.post(func() { c.handle(routing.LoadPolled{Endpoint: id, Load: l}) })
	}
	to := c.list[id]
	if to == nil {
		go told(nil)
		return
	}
	c.counters.LoadPolls++
	c.servers.PollLoad(to.Target, probeWait, told)
}
