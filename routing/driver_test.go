package routing

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// The driver feeds a Router legal events drawn from a seed and checks five rules on its actions: (1) each request gets
// exactly one answer, in time; (2) nothing runs twice that must not; (3) sends go to ready replicas only; (4) replicas
// in slow start are not overloaded; (5) reservations do not outlast their time.
// It is no model of replicas: outcomes and delays are drawn, whatever was sent.

// slowStartWindow is the window in which sends to a replica in slow start are counted.
const slowStartWindow = 3 * time.Second

type scheduledEvent struct {
	at  time.Duration
	seq int
	do  func()
}

type eventQueue []scheduledEvent

func (a eventQueue) Len() int { return len(a) }

func (a eventQueue) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].seq < a[j].seq
}

func (a eventQueue) Swap(i, j int) { a[i], a[j] = a[j], a[i] }

func (a *eventQueue) Push(x any) { *a = append(*a, x.(scheduledEvent)) }

func (a *eventQueue) Pop() any {
	x := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return x
}

// trackedRequest is the driver's view of one request.
type trackedRequest struct {
	RequestArrived
	deadline          time.Duration
	attemptsOut       int // attempts without an outcome,
	attemptsAtReplica int // those of them that have reached a running replica,
	decodesAtReplica  int // and those among them at a decode replica, which use the prefill result
	attempts          int
	answered          bool
	finished          bool
	mayHaveRun        bool
	mayHaveRunAt      time.Duration
	mayHaveRunOn      EndpointID
	reserved          bool
	lastArrivedEnd    time.Duration // end of the last attempt that arrived
	streaming         bool
}

type driver struct {
	t          testing.TB
	rng        *rand.Rand
	cfg        Config
	r          *Router
	now        time.Duration
	agenda     eventQueue
	seq        int
	requests   map[RequestID]*trackedRequest
	replicas   map[EndpointID]*Endpoint
	unhealthy  map[EndpointID]bool
	coldSends  map[EndpointID][]time.Duration // sends in slow start
	sends      int
	intercept  func(Action) []Action // sees, and may replace, each action
	violations []string
	nextID     RequestID
	counts     map[Outcome]int
	maxReady   [2]int // most replicas ready at once since the router's start, by kind
}

func testConfig() Config {
	return Config{
		Classes: []Class{
			{TTFTObjective: time.Second, TTFTObjectivePer1K: 60 * ms, Weight: 1, Idempotency: Idempotent},
			{TTFTObjective: 2 * time.Second, TTFTObjectivePer1K: 100 * ms, Weight: 3, Idempotency: NonIdempotent},
			{TTFTObjective: 2 * time.Second, Weight: 2, Idempotency: IdempotentByKey, DedupScope: DedupScopeCell, DedupWindow: 3 * time.Second},
			{TTFTObjective: 2 * time.Second, Weight: 1, Idempotency: IdempotentByKey, DedupScope: DedupScopeZone, DedupWindow: time.Second},
			{TTFTObjective: 2 * time.Second, Weight: 1, Idempotency: IdempotentByKey, DedupScope: DedupScopeAll, DedupWindow: time.Second},
		},
		TenantQuotas:     []float64{20, 5},
		Kinds:            []Kind{{Role: Prefill}, {Role: Decode}},
		Routers:          3,
		MaxAttempts:      5,
		MaxRetryAfter:    time.Second,
		ReservationTTL:   500 * ms,
		SlowStartInitial: 0.3, SlowStartDuration: 10 * time.Second, OverloadMultiple: 2.5,
		CanCancel: true,
	}
}

func newDriver(t testing.TB, seed uint64) *driver {
	t.Helper()
	d := &driver{
		t: t, rng: rand.New(rand.NewPCG(seed, 1)), cfg: testConfig(), now: time.Hour,
		requests: map[RequestID]*trackedRequest{}, replicas: map[EndpointID]*Endpoint{}, unhealthy: map[EndpointID]bool{},
		coldSends: map[EndpointID][]time.Duration{}, counts: map[Outcome]int{},
	}
	d.restart()
	return d
}

// restart replaces the router by a new one with the last endpoint list; open requests are dropped.
func (d *driver) restart() {
	r, err := New(d.cfg, d.rng.Uint64())
	if err != nil {
		d.t.Fatal(err)
	}
	d.r, d.agenda, d.requests = r, nil, map[RequestID]*trackedRequest{}
	if len(d.replicas) == 0 {
		for i := range 12 {
			id := EndpointID(100 + 7*i)
			d.replicas[id] = &Endpoint{ID: id, Zone: i / 6, Cell: i / 4, Kind: i % 2, State: Ready, Weight: 1}
		}
	}
	d.maxReady = [2]int{1, 1}
	d.countReady()
	d.handle(EndpointUpdate{Full: true, Endpoints: d.endpointList()})
	d.after(0, d.arrive)
	d.after(time.Second, d.injectFault)
}

func (d *driver) countReady() {
	n := [2]int{}
	for _, s := range d.replicas {
		if s.State == Ready {
			n[s.Kind]++
		}
	}
	for i := range n {
		d.maxReady[i] = max(d.maxReady[i], n[i])
	}
}

func (d *driver) endpointList() []Endpoint {
	var out []Endpoint
	for _, s := range d.replicas {
		out = append(out, *s)
	}
	slices.SortFunc(out, func(a, b Endpoint) int { return int(a.ID) - int(b.ID) })
	return out
}

func (d *driver) after(dt time.Duration, do func()) {
	d.seq++
	heap.Push(&d.agenda, scheduledEvent{d.now + dt, d.seq, do})
}

func (d *driver) run(until time.Duration) {
	for len(d.agenda) > 0 && d.agenda[0].at < until {
		x := heap.Pop(&d.agenda).(scheduledEvent)
		d.now = x.at
		x.do()
		d.checkReservations()
	}
}

func (d *driver) violation(format string, args ...any) {
	d.violations = append(d.violations, fmt.Sprintf(format, args...))
}

func (d *driver) arrive() {
	d.after(time.Duration(d.rng.ExpFloat64()*40)*ms, d.arrive)
	d.nextID++
	remaining := time.Duration(500+d.rng.IntN(6000)) * ms
	a := RequestArrived{
		Request: d.nextID, Class: d.rng.IntN(len(d.cfg.Classes)), Tenant: d.rng.IntN(2),
		Session: Key(d.rng.IntN(50)), SharedPrefix: Key(1000 + d.rng.IntN(5)), PromptTokens: 100 + d.rng.IntN(4000),
		MaxOutputTokens: 200, RemainingTime: remaining,
	}
	a.SharedPrefixTokens = a.PromptTokens / 2
	q := &trackedRequest{RequestArrived: a, deadline: d.now + remaining}
	d.requests[a.Request] = q
	d.handle(a)
	id := a.Request
	if d.rng.IntN(10) == 0 {
		d.after(time.Duration(d.rng.IntN(1500))*ms, func() {
			if q := d.requests[id]; q != nil && !q.answered && !q.finished {
				q.finished = true
				d.handle(ClientGone{id})
			}
		})
	}
	d.after(remaining+8*ms, func() {
		if q := d.requests[id]; q != nil && !q.answered && !q.finished && !q.streaming {
			d.violation("rule 1: request %d has no answer in time", id)
			q.finished = true
		}
	})
}

// injectFault draws a change of a replica and of the endpoint list.
func (d *driver) injectFault() {
	d.after(time.Duration(300+d.rng.IntN(1500))*ms, d.injectFault)
	endpoints := d.endpointList()
	s := d.replicas[endpoints[d.rng.IntN(len(endpoints))].ID]
	switch d.rng.IntN(6) {
	case 0:
		s.State = Draining
	case 1:
		s.State = Gone
	case 2:
		s.State, s.Started = Ready, d.now
		d.coldSends[s.ID] = nil
	case 3, 4:
		s.State = Ready
	case 5:
		d.unhealthy[s.ID] = !d.unhealthy[s.ID]
	}
	d.countReady()
	if d.rng.IntN(3) == 0 {
		present := slices.DeleteFunc(d.endpointList(), func(s Endpoint) bool { return s.State == Gone })
		d.handle(EndpointUpdate{Full: true, Endpoints: present})
	} else {
		d.handle(EndpointUpdate{Endpoints: []Endpoint{*s}})
	}
}

func (d *driver) handle(ev Event) {
	for _, a := range d.r.Handle(d.now, ev, nil) {
		acts := []Action{a}
		if d.intercept != nil {
			acts = d.intercept(a)
		}
		for _, a := range acts {
			d.check(a)
		}
	}
}

func (d *driver) check(a Action) {
	switch a := a.(type) {
	case Send:
		d.checkSend(a)
	case Release:
		if q := d.requests[a.Request]; q != nil && q.decodesAtReplica == 0 {
			q.reserved = false // a release does not take what an attempt waits for
		}
	case Reject:
		if q := d.requests[a.Request]; q != nil && q.mayHaveRun &&
			(d.cfg.Classes[q.Class].Idempotency == NonIdempotent || d.cfg.Classes[q.Class].DedupScope != DedupScopeAll) {
			d.violation("rule 2: request %d was rejected after it may have run", a.Request)
		}
		d.answer(a.Request)
	case Fail:
		d.answer(a.Request)
	case SetTimer:
		d.after(a.After, func() { d.handle(TimerFired{a.Timer}) })
	}
}

func (d *driver) answer(id RequestID) {
	q := d.requests[id]
	if q == nil || q.answered || q.finished || q.attemptsOut > 0 {
		d.violation("rule 1: request %d was answered twice, after its end or with an attempt out", id)
		return
	}
	q.answered = true
}

func (d *driver) checkSend(a Send) {
	d.sends++
	q, s := d.requests[a.Request], d.replicas[a.Endpoint]
	if q == nil || q.answered || q.finished {
		d.violation("rule 1: request %d was sent after its end", a.Request)
		return
	}
	if s == nil || s.State != Ready {
		d.violation("rule 3: request %d went to a replica that is not ready", a.Request)
	}
	if q.attemptsOut > 0 {
		d.violation("rule 2: request %d has two attempts out", a.Request)
	}
	if q.mayHaveRun && d.cfg.Kinds[s.Kind].Role != Prefill {
		d.checkRetry(q, s)
	}
	if s.Started > 0 && d.now-s.Started < d.cfg.SlowStartDuration {
		d.checkSlowStart(s)
	}
	q.attemptsOut++
	attempt := q.attempts
	q.attempts++
	if q.attempts > d.cfg.MaxAttempts {
		d.violation("request %d has more attempts than allowed", a.Request)
	}
	d.schedule(q, s, attempt, a.Timeout)
}

func (d *driver) checkRetry(q *trackedRequest, s *Endpoint) {
	c, ranOn := d.cfg.Classes[q.Class], d.replicas[q.mayHaveRunOn]
	switch {
	case c.Idempotency == Idempotent:
	case c.Idempotency == NonIdempotent:
		d.violation("rule 2: non-idempotent request %d was sent again after it may have run", q.Request)
	case d.now > q.mayHaveRunAt+c.DedupWindow:
		d.violation("rule 2: request %d was sent again after its deduplication window", q.Request)
	case c.DedupScope == DedupScopeCell && s.Cell != ranOn.Cell, c.DedupScope == DedupScopeZone && s.Zone != ranOn.Zone:
		d.violation("rule 2: request %d was sent again outside its deduplication scope", q.Request)
	}
}

// checkSlowStart holds the sends to a replica in slow start to this router's even share of what the overload rule
// allows, by the rate of arrivals.
func (d *driver) checkSlowStart(s *Endpoint) {
	sends := append(d.coldSends[s.ID], d.now)
	sends = slices.DeleteFunc(sends, func(at time.Duration) bool { return at < d.now-slowStartWindow })
	d.coldSends[s.ID] = sends
	age := float64(d.now-s.Started) / float64(d.cfg.SlowStartDuration)
	ramp := d.cfg.SlowStartInitial + (1-d.cfg.SlowStartInitial)*age
	// Arrivals per second for each replica of the role, by the most that were ever on this router's endpoint list: it
	// cannot know of others.
	evenRate := 25.0 / float64(d.maxReady[s.Kind])
	allowed := d.cfg.OverloadMultiple*ramp*evenRate*slowStartWindow.Seconds() + 2
	if float64(len(sends)) > allowed {
		d.violation("rule 4: replica %d of kind %d in slow start got %d sends, allowed %.1f", s.ID, s.Kind, len(sends), allowed)
	}
}

// schedule draws how an attempt ends.
func (d *driver) schedule(q *trackedRequest, s *Endpoint, attempt int, timeout time.Duration) {
	remaining := q.deadline - d.now
	if timeout <= 0 || timeout > remaining {
		timeout = remaining
	}
	elapsed := time.Duration(5+d.rng.IntN(300)) * ms
	role := d.cfg.Kinds[s.Kind].Role
	outcomes := []Outcome{Errored, QueueFull, StateMissing, TimedOut, ConnectFailed, ConnectionReset, NotSent}
	drawn := PrefillDone
	if role != Prefill {
		drawn = Served
	}
	if d.rng.IntN(5) == 0 || d.unhealthy[s.ID] {
		drawn = outcomes[d.rng.IntN(len(outcomes))]
	}
	if drawn == TimedOut || elapsed > timeout {
		drawn, elapsed = TimedOut, timeout
	}
	arrives := drawn.reachedReplica() || drawn == ConnectionReset || drawn == TimedOut && d.rng.IntN(2) == 0
	arrivesAtDecode := arrives && role != Prefill
	if arrives {
		q.attemptsAtReplica++
	}
	if arrivesAtDecode {
		q.decodesAtReplica++
	}
	end := func(o Outcome, final bool) {
		e := AttemptEnded{Request: q.Request, Attempt: attempt, Endpoint: s.ID, Outcome: o, Elapsed: elapsed, CachedTokens: q.PromptTokens / 3}
		if d.rng.IntN(3) == 0 {
			e.Load = &LoadReport{Memory: d.rng.Float64(), QueuedKiloTokens: -1}
		}
		q.attemptsOut--
		d.counts[o]++
		q.finished = q.finished || final
		e.Final = q.finished || q.answered
		mayHaveCompleted := role == Prefill && arrives && (o == TimedOut || o == ConnectionReset) // it may have completed all the same
		q.reserved = q.reserved && o != Served || o == PrefillDone || mayHaveCompleted
		if arrivesAtDecode {
			q.decodesAtReplica--
		}
		if arrives {
			q.attemptsAtReplica--
			q.lastArrivedEnd = d.now
		}
		if role != Prefill && !o.NeverRan() && !q.mayHaveRun {
			q.mayHaveRun, q.mayHaveRunAt, q.mayHaveRunOn = true, d.now-elapsed, s.ID
		}
		d.handle(e)
	}
	if drawn != Served {
		d.after(elapsed, func() { end(drawn, false) })
		return
	}
	d.after(elapsed, func() {
		if q.finished {
			end(Cancelled, false)
			return
		}
		q.streaming = true
		d.handle(FirstToken{Request: q.Request, Attempt: attempt, Endpoint: s.ID, Elapsed: elapsed})
		d.after(time.Second, func() {
			o := Served
			if d.rng.IntN(10) == 0 {
				o = ConnectionReset // a stream that breaks is final too
			}
			end(o, true)
		})
	})
}

func (d *driver) checkReservations() {
	for id, q := range d.requests {
		if q.attemptsAtReplica == 0 && q.reserved && d.now > q.lastArrivedEnd+d.cfg.ReservationTTL+8*ms {
			d.violation("rule 5: the reservation of request %d has outlasted its time", id)
			q.reserved = false
		}
		if q.attemptsOut == 0 && !q.reserved && (q.answered || q.finished) && d.now > q.deadline+time.Second {
			delete(d.requests, id)
		}
	}
}
