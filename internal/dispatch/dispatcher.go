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
	mailboxCapacity = 4096
	loadPollTimeout = 200 * time.Millisecond // for a server's load; the module does not wait for so long
	// A refused client is told when to come back even where the module has no estimate of it: one that is
	// told nothing may be back at once.
	defaultRetryAfter = 200 * time.Millisecond
	// At the deadline the module has this long to answer by itself.
	deadlineGrace = 8 * time.Millisecond
	// A read that ends well just as its connection is given up leaves a state behind that the first
	// release may have overtaken; the second comes when the read has surely noticed.
	secondReleaseDelay = 120 * time.Millisecond
)

// Dispatcher is the one owner of a Router.
type Dispatcher struct {
	router          *routing.Router
	config          routing.Config // in force
	upstream        Upstream
	machine         system.System
	violations      *precondition.ViolationCounter
	pendingReleases atomic.Int64 // releases that are to be made once more
	startedAt       time.Time
	epochOffset     time.Duration
	mailbox         chan func()
	stopped         chan struct{}
	lastRequestID   routing.RequestID
	requests        map[routing.RequestID]*request
	endpoints       map[routing.EndpointID]*endpointRecord
	endpointsByName map[string]*endpointRecord // the same by name
	actionBuffer    []routing.Action
	pendingEvents   []routing.Event // events that follow from carrying out actions
	pendingForget   []*request      // to be looked at by forget once nothing is pending
	abandoned       bool            // nothing is taken any more
	counters        Counters
	accepted        atomic.Int64 // the same as the counters'
}

type endpointRecord struct {
	Target
	state        routing.EndpointState
	zone, cell   int
	prefillOnly  bool // it reads prompts only: an attempt there has no effect
	lastResponse time.Duration
	started      startTime
}

type request struct {
	Request
	id            routing.RequestID
	clientContext context.Context
	answer        chan Answer // nil once answered
	left          bool        // the client has left, and what was sent goes on to its end
	execution     possibleExecution
	streamStarted bool
	reason        string // it was refused, or failed
	lostAttempt   bool   // an attempt was lost sight of: what it left may show only later
	deadline      time.Duration
	deadlineTimer *time.Timer // runs to the deadline
	attempts      []*attempt
}

// New returns a Core that Run must drive.
func New(cfg routing.Config, seed uint64, servers Upstream, machine system.System, audit *precondition.ViolationCounter) (*Dispatcher, error) {
	router, err := routing.New(cfg, seed)
	if err != nil {
		return nil, fmt.Errorf("router: %w", err)
	}
	return &Dispatcher{
		router: router, config: cfg, upstream: servers, machine: machine, violations: audit,
		startedAt: time.Now(), epochOffset: time.Duration(machine.Wall().UnixNano()),
		mailbox: make(chan func(), mailboxCapacity), stopped: make(chan struct{}),
		requests: map[routing.RequestID]*request{}, endpoints: map[routing.EndpointID]*endpointRecord{},
		endpointsByName: map[string]*endpointRecord{},
	}, nil
}

// Run owns the Router until the context ends.
func (c *Dispatcher) Run(ctx context.Context) {
	defer close(c.stopped)
	for {
		select {
		case f := <-c.mailbox:
			f()
		case <-ctx.Done():
			return
		}
	}
}

// post hands work to the owner; it waits while the queue is full, and reports false once Run has ended.
func (c *Dispatcher) post(f func()) bool {
	select {
	case c.mailbox <- f:
		return true
	case <-c.stopped:
		return false
	}
}

// tryPost hands work to the owner if its queue has room, and reports false if it has none: it never waits.
func (c *Dispatcher) tryPost(f func()) bool {
	select {
	case c.mailbox <- f:
		return true
	default:
		return false
	}
}

// now is the time by the clock that only advances; at the start it was that since 1970.
func (c *Dispatcher) now() time.Duration { return c.epochOffset + time.Since(c.startedAt) }

// clockTime is a time of this process's, by the same clock.
func (c *Dispatcher) clockTime(t time.Time) time.Duration { return c.epochOffset + t.Sub(c.startedAt) }

// Dispatch takes a request and returns its one final answer. If the client's context ends first, the answer is
// Left, or one that was on its way.
func (c *Dispatcher) Dispatch(client context.Context, req Request) Answer {
	answer := make(chan Answer, 1)
	q := &request{Request: req, clientContext: client, answer: answer}
	if !c.post(func() { c.acceptRequest(q) }) {
		return Answer{Kind: Failed}
	}
	select {
	case a := <-answer:
		return a
	case <-client.Done():
		c.post(func() { c.clientDisconnected(q) })
	case <-c.stopped:
		return Answer{Kind: Failed}
	}
	select {
	case a := <-answer:
		return a
	case <-c.stopped:
		return Answer{Kind: ClientGone}
	}
}

// UpdateEndpoints applies a list of servers, or changes to it.
func (c *Dispatcher) UpdateEndpoints(full bool, entries []Endpoint) {
	c.post(func() { c.applyEndpointUpdate(full, entries) })
}

func (c *Dispatcher) applyEndpointUpdate(full bool, entries []Endpoint) {
	if full {
		for _, l := range c.endpoints {
			l.state = routing.Gone
		}
	}
	ev := routing.EndpointUpdate{Full: full}
	for _, e := range entries {
		l := c.endpointRecord(e.Name)
		l.Addr, l.state = e.Addr, e.State
		s := routing.Endpoint{ID: l.ID, Zone: e.Zone, Cell: e.Cell, Kind: e.Kind, State: e.State, Weight: e.Weight}
		s.Started = c.startTime(l, e.Started)
		l.zone, l.cell, l.prefillOnly = e.Zone, e.Cell, c.isPrefillKind(e.Kind)
		ev.Endpoints = append(ev.Endpoints, s)
	}
	c.withdrawFromLeavingEndpoints() // before the module hears of the list: what it sends now goes by that
	c.handleEvent(ev)
	c.pruneGoneEndpoints()
}

// withdrawFromLeavingEndpoints keeps attempts that are waiting for a connection from being sent to servers that are leaving: a send
// counts from its first byte, and that may come long after the decision.
func (c *Dispatcher) withdrawFromLeavingEndpoints() {
	for _, q := range c.requests {
		for _, a := range q.attempts {
			if !a.ended && !a.first && a.endpoint.state != routing.Ready {
				a.upstreamAttempt.Withdraw()
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
	return c.tryPost(func() {
		for _, n := range news {
			if l := c.endpointsByName[n.Name]; l != nil {
				c.counters.PeerLoadReports++
				c.handleEvent(routing.PeerLoadReport{Endpoint: l.ID, Load: n.Load, Age: n.Age + time.Since(came)})
			}
		}
	})
}

// Accepted is how many requests it has taken, from any goroutine.
func (c *Dispatcher) Accepted() int64 { return c.accepted.Load() }

// SetQuotaShare acts by a part of what all dispatchers may do until left has passed, and calls applied, from the owner, once it
// does. It never waits: false is returned while the queue is full.
func (c *Dispatcher) SetQuotaShare(part float64, left time.Duration, applied func()) bool {
	came := time.Now()
	return c.tryPost(func() {
		c.handleEvent(routing.QuotaShare{Fraction: part, Duration: left - time.Since(came)})
		applied()
	})
}

// SetSubset keeps the module to the servers of these names while enough of them are well; none: to all. It never waits: false is
// returned while the queue is full.
func (c *Dispatcher) SetSubset(names []string) bool {
	return c.tryPost(func() {
		var ids []routing.EndpointID
		for _, name := range names {
			if l := c.endpointsByName[name]; l != nil {
				ids = append(ids, l.ID)
			}
		}
		c.handleEvent(routing.SubsetAssigned{Endpoints: ids})
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
	case <-c.stopped:
	}
	return routing.Snapshot{}, false
}

// Restore gives the module what another process has learnt.
func (c *Dispatcher) Restore(b routing.Snapshot) {
	c.post(func() { c.handleEvent(routing.SnapshotReceived{Snapshot: b}) })
}

// RestoreFromPeer is Learn for what a process of another machine has just told: its clock's now is taken for this one's.
func (c *Dispatcher) RestoreFromPeer(b routing.Snapshot) {
	c.post(func() {
		b.Shift(c.now() - b.TakenAt)
		c.handleEvent(routing.SnapshotReceived{Snapshot: b})
	})
}

// endpointRecord gives a name the same number at every dispatcher, since the module draws by it.
func (c *Dispatcher) endpointRecord(name string) *endpointRecord {
	if l := c.endpointsByName[name]; l != nil {
		return l
	}
	h := fnv.New32a()
	io.WriteString(h, name)
	id := routing.EndpointID(h.Sum32())
	for c.endpoints[id] != nil {
		id++
	}
	l := &endpointRecord{Target: Target{ID: id, Name: name}}
	c.endpoints[id], c.endpointsByName[name] = l, l
	return l
}

// pruneGoneEndpoints forgets servers that are gone. Each replacement has a name of its own, so the list would grow for as
// long as the program runs; attempts that are still out hold what they need.
func (c *Dispatcher) pruneGoneEndpoints() {
	for id, l := range c.endpoints {
		if l.state == routing.Gone {
			delete(c.endpoints, id)
			delete(c.endpointsByName, l.Name)
		}
	}
}

func (c *Dispatcher) acceptRequest(q *request) {
	now := c.now()
	c.lastRequestID++
	q.id, q.deadline = c.lastRequestID, c.clockTime(q.Deadline)
	c.requests[q.id] = q
	c.counters.Accepted++
	c.accepted.Add(1)
	// The guard behind the module: whatever happens, the client is answered by its deadline.
	q.deadlineTimer = time.AfterFunc(q.deadline-now, func() { c.post(func() { c.deadlineReached(q) }) })
	if c.abandoned {
		c.abandon(q)
		return
	}
	if q.clientGone() {
		c.clientDisconnected(q)
		return
	}
	c.handleEvent(routing.RequestArrived{
		Request: q.id, Class: q.Class, Tenant: q.Tenant, Session: q.Session, SharedPrefix: q.SharedPrefix,
		PromptTokens: q.PromptTokens, SharedPrefixTokens: q.SharedPrefixTokens, MaxOutputTokens: q.MaxOutputTokens, TimeLeft: q.deadline - now,
	})
}

// deadlineReached ends what is still out at the deadline, and answers if the module then does not.
func (c *Dispatcher) deadlineReached(q *request) {
	for _, a := range q.attempts {
		c.abort(a, routing.TimedOut)
	}
	if q.answer == nil {
		return
	}
	time.AfterFunc(deadlineGrace, func() { c.post(func() { c.failAfterDeadline(q) }) })
}

// failAfterDeadline answers a request that nothing else has answered.
func (c *Dispatcher) failAfterDeadline(q *request) {
	if q.answer == nil {
		return
	}
	c.counters.DeadlineForced++
	c.terminate(q, Answer{Kind: Failed})
}

// terminate answers a request over the module's head, which then ends what is out for it, where that may be cancelled.
// An attempt that still waits for its connection must not begin in any case: nobody waits for its answer.
func (c *Dispatcher) terminate(q *request, a Answer) {
	c.reply(q, a)
	c.handleEvent(routing.ClientGone{Request: q.id})
	c.withdrawPendingAttempts(q)
	c.forget(q)
}

// withdrawPendingAttempts keeps the attempts of a request that wait for their connection from beginning.
func (c *Dispatcher) withdrawPendingAttempts(q *request) {
	for _, a := range q.attempts {
		if !a.ended && !a.first {
			a.upstreamAttempt.Withdraw()
		}
	}
}

// abort gives an attempt up. It counts as out until its connection is closed: what is sent elsewhere
// before that would be a second copy.
func (c *Dispatcher) abort(a *attempt, as routing.Outcome) {
	if a.ended || a.first || a.aborted {
		return
	}
	a.aborted, a.abortOutcome = true, as
	a.upstreamAttempt.Abort()
}

// clientDisconnected ends a request whose client has clientDisconnected. Where what was sent is to go on to its end, it does while an attempt is out that may run.
func (c *Dispatcher) clientDisconnected(q *request) {
	if q.answer == nil || q.left {
		return
	}
	c.counters.ClientGone++
	if q.RunToCompletion && q.hasExecutingAttempt() {
		q.left = true
		c.withdrawPendingAttempts(q)
		return
	}
	c.answerDisconnected(q)
}

// answerDisconnected gives the answer that is owed for a request whose client has left: whether anything may have run.
func (c *Dispatcher) answerDisconnected(q *request) {
	kind := ClientGone
	if q.RunToCompletion && (q.execution.mayHaveRun || q.hasExecutingAttempt()) {
		kind = Failed
	}
	c.terminate(q, Answer{Kind: kind})
}

// AbandonPending answers all that is unanswered, lets go of what is held for it, and refuses what comes from now on: the process is about
// to be killed, and what it leaves held another one cannot let go.
func (c *Dispatcher) AbandonPending() {
	c.post(func() {
		c.abandoned = true
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
		c.terminate(q, Answer{Kind: Rejected, RetryAfter: defaultRetryAfter})
		return
	}
	c.counters.Failed++
	c.terminate(q, Answer{Kind: Failed})
}

// reply gives the one final answer; the channel has room for it.
func (c *Dispatcher) reply(q *request, a Answer) {
	if why := (precondition.FinalAnswer{Answered: q.answer == nil}).Check(); why != precondition.Allowed {
		c.violations.Record(precondition.OperationAnswer, why, q.Call.ID)
		return
	}
	if a.Kind != Served {
		slog.Info("unserved", "id", q.Call.ID, "kind", a.Kind, "why", q.reason, "left", q.deadline-c.now(), "attempts", len(q.attempts))
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
	if len(c.pendingEvents) > 0 {
		c.pendingForget = append(c.pendingForget, q)
		return
	}
	if q.hasAttemptInFlight() {
		return
	}
	delete(c.requests, q.id)
	q.deadlineTimer.Stop() // it would keep the request and its body until a deadline that may be an hour away
}

// handleEvent gives the module an event and carries out what it answers, with all that follows at once.
func (c *Dispatcher) handleEvent(ev routing.Event) {
	c.pendingEvents = append(c.pendingEvents, ev)
	if len(c.pendingEvents) > 1 {
		return // the loop below is running further up
	}
	for len(c.pendingEvents) > 0 {
		c.actionBuffer = c.router.Handle(c.now(), c.pendingEvents[0], c.actionBuffer[:0])
		for _, a := range c.actionBuffer {
			c.executeAction(a)
		}
		c.pendingEvents = c.pendingEvents[1:]
	}
	c.pendingEvents = nil
	for _, q := range c.pendingForget {
		c.forget(q)
	}
	c.pendingForget = c.pendingForget[:0]
}

func (c *Dispatcher) executeAction(action routing.Action) {
	switch a := action.(type) {
	case routing.Send:
		c.sendAttempt(a)
	case routing.PollLoad:
		c.pollLoad(a.Endpoint)
	case routing.Release:
		c.releaseReservation(a.Request, a.Reason)
	case routing.Reject:
		if q := c.requests[a.Request]; q != nil && q.answer != nil {
			c.counters.Rejected++
			q.reason = string(a.Reason)
			c.reply(q, Answer{Kind: Rejected, RetryAfter: cmp.Or(a.RetryAfter, defaultRetryAfter)})
			c.forget(q)
		}
	case routing.Fail:
		if q := c.requests[a.Request]; q != nil && q.answer != nil {
			c.counters.Failed++
			q.reason = string(a.Reason)
			c.reply(q, Answer{Kind: Failed})
			c.forget(q)
		}
	case routing.Cancel:
		if q := c.requests[a.Request]; q != nil && a.Attempt < len(q.attempts) {
			c.abort(q.attempts[a.Attempt], routing.Cancelled)
		}
	case routing.SetTimer:
		time.AfterFunc(a.After, func() { c.post(func() { c.handleEvent(routing.TimerFired{ID: a.Timer}) }) })
	default:
		slog.Warn("unknown_action", "type", fmt.Sprintf("%T", a))
	}
}

func (c *Dispatcher) pollLoad(id routing.EndpointID) {
	told := func(l *routing.LoadReport) {
		c.post(func() { c.handleEvent(routing.LoadPolled{Endpoint: id, Load: l}) })
	}
	to := c.endpoints[id]
	if to == nil {
		go told(nil)
		return
	}
	c.counters.LoadPolls++
	c.upstream.PollLoad(to.Target, loadPollTimeout, told)
}
