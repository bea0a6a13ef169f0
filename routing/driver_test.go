package routing

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// The driver feeds a Router valid events drawn from a seed and checks five rules on its actions: (1) each request gets
// exactly one answer, in time; (2) a request that must not run twice does not; (3) requests are sent to ready replicas
// only; (4) replicas in slow start are not overloaded; (5) reservations do not outlast their TTL. The driver does not
// model replicas: it draws outcomes and delays independently of what was sent.

// slowStartWindow is the window in which sends to a replica in slow start are counted.
const slowStartWindow = 3 * time.Second

// scheduledEvent is a function to call at a time; seq orders events of the same time.
type scheduledEvent struct {
	at  time.Duration
	seq int
	do  func()
}

// eventQueue is a heap of scheduled events, earliest first.
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

// trackedRequest is what the driver has recorded of one request.
type trackedRequest struct {
	RequestArrived
	deadline          time.Duration
	attemptsInFlight  int // attempts without an outcome
	attemptsAtReplica int // attempts without an outcome that have reached a running replica
	decodesAtReplica  int // of attemptsAtReplica, those at a decode replica, which use the prefill result
	attempts          int // number of attempts made so far
	answered          bool
	finished          bool // no answer is due: the client has disconnected, or the stream or the time has ended
	mayHaveRun        bool
	mayHaveRunAt      time.Duration
	mayHaveRunOn      EndpointID
	reserved          bool          // something may be reserved for the request
	lastReachedEnd    time.Duration // end of the last attempt that had reached a replica
	streaming         bool
}

// driver is a random test run of one Router, which checks each action.
type driver struct {
	t              testing.TB
	rng            *rand.Rand
	cfg            Config
	r              *Router
	now            time.Duration
	queue          eventQueue
	seq            int
	requests       map[RequestID]*trackedRequest
	replicas       map[EndpointID]*Endpoint
	unhealthy      map[EndpointID]bool
	slowStartSends map[EndpointID][]time.Duration // times of sends to a replica in slow start
	sends          int
	intercept      func(Action) []Action // receives each action and returns the actions to check in its place
	violations     []string
	nextID         RequestID
	outcomeCounts  map[Outcome]int
	maxReady       [2]int // largest number of replicas ready at once since the router's start, by kind
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
		slowStartSends: map[EndpointID][]time.Duration{}, outcomeCounts: map[Outcome]int{},
	}
	d.restart()
	return d
}

// restart replaces the router by a new one with the last endpoint list. It drops the open requests.
func (d *driver) restart() {
	r, err := New(d.cfg, d.rng.Uint64())
	if err != nil {
		d.t.Fatal(err)
	}
	d.r, d.queue, d.requests = r, nil, map[RequestID]*trackedRequest{}
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
	for _, endpoint := range d.replicas {
		if endpoint.State == Ready {
			n[endpoint.Kind]++
		}
	}
	for i := range n {
		d.maxReady[i] = max(d.maxReady[i], n[i])
	}
}

func (d *driver) endpointList() []Endpoint {
	var out []Endpoint
	for _, endpoint := range d.replicas {
		out = append(out, *endpoint)
	}
	slices.SortFunc(out, func(a, b Endpoint) int { return int(a.ID) - int(b.ID) })
	return out
}

func (d *driver) after(dt time.Duration, do func()) {
	d.seq++
	heap.Push(&d.queue, scheduledEvent{d.now + dt, d.seq, do})
}

func (d *driver) run(until time.Duration) {
	for len(d.queue) > 0 && d.queue[0].at < until {
		next := heap.Pop(&d.queue).(scheduledEvent)
		d.now = next.at
		next.do()
		d.checkReservations()
	}
}

func (d *driver) recordViolation(format string, args ...any) {
	d.violations = append(d.violations, fmt.Sprintf(format, args...))
}

func (d *driver) arrive() {
	d.after(time.Duration(d.rng.ExpFloat64()*40)*ms, d.arrive)
	d.nextID++
	remaining := time.Duration(500+d.rng.IntN(6000)) * ms
	arrival := RequestArrived{
		Request: d.nextID, Class: d.rng.IntN(len(d.cfg.Classes)), Tenant: d.rng.IntN(2),
		Session: Key(d.rng.IntN(50)), SharedPrefix: Key(1000 + d.rng.IntN(5)), PromptTokens: 100 + d.rng.IntN(4000),
		MaxOutputTokens: 200, RemainingTime: remaining,
	}
	arrival.SharedPrefixTokens = arrival.PromptTokens / 2
	req := &trackedRequest{RequestArrived: arrival, deadline: d.now + remaining}
	d.requests[arrival.Request] = req
	d.handle(arrival)
	id := arrival.Request
	if d.rng.IntN(10) == 0 {
		d.after(time.Duration(d.rng.IntN(1500))*ms, func() {
			if req := d.requests[id]; req != nil && !req.answered && !req.finished {
				req.finished = true
				d.handle(ClientGone{id})
			}
		})
	}
	d.after(remaining+8*ms, func() {
		if req := d.requests[id]; req != nil && !req.answered && !req.finished && !req.streaming {
			d.recordViolation("rule 1: request %d has no answer in time", id)
			req.finished = true
		}
	})
}

// injectFault draws a change of a replica's state or health and sends the router an update of the endpoint list.
func (d *driver) injectFault() {
	d.after(time.Duration(300+d.rng.IntN(1500))*ms, d.injectFault)
	endpoints := d.endpointList()
	endpoint := d.replicas[endpoints[d.rng.IntN(len(endpoints))].ID]
	switch d.rng.IntN(6) {
	case 0:
		endpoint.State = Draining
	case 1:
		endpoint.State = Gone
	case 2:
		endpoint.State, endpoint.Started = Ready, d.now
		d.slowStartSends[endpoint.ID] = nil
	case 3, 4:
		endpoint.State = Ready
	case 5:
		d.unhealthy[endpoint.ID] = !d.unhealthy[endpoint.ID]
	}
	d.countReady()
	if d.rng.IntN(3) == 0 {
		present := slices.DeleteFunc(d.endpointList(), func(endpoint Endpoint) bool { return endpoint.State == Gone })
		d.handle(EndpointUpdate{Full: true, Endpoints: present})
	} else {
		d.handle(EndpointUpdate{Endpoints: []Endpoint{*endpoint}})
	}
}

func (d *driver) handle(ev Event) {
	for _, a := range d.r.Handle(d.now, ev, nil) {
		acts := []Action{a}
		if d.intercept != nil {
			acts = d.intercept(a)
		}
		for _, a := range acts {
			d.checkAction(a)
		}
	}
}

func (d *driver) checkAction(a Action) {
	switch a := a.(type) {
	case Send:
		d.checkSend(a)
	case Release:
		if req := d.requests[a.Request]; req != nil && req.decodesAtReplica == 0 {
			req.reserved = false // a release does not affect what an attempt is waiting for
		}
	case Reject:
		if req := d.requests[a.Request]; req != nil && req.mayHaveRun &&
			(d.cfg.Classes[req.Class].Idempotency == NonIdempotent || d.cfg.Classes[req.Class].DedupScope != DedupScopeAll) {
			d.recordViolation("rule 2: request %d was rejected after it may have run", a.Request)
		}
		d.recordAnswer(a.Request)
	case Fail:
		d.recordAnswer(a.Request)
	case SetTimer:
		d.after(a.After, func() { d.handle(TimerFired{a.Timer}) })
	}
}

func (d *driver) recordAnswer(id RequestID) {
	req := d.requests[id]
	if req == nil || req.answered || req.finished || req.attemptsInFlight > 0 {
		d.recordViolation("rule 1: request %d was answered twice, after its end or with an attempt in flight", id)
		return
	}
	req.answered = true
}

func (d *driver) checkSend(a Send) {
	d.sends++
	req, endpoint := d.requests[a.Request], d.replicas[a.Endpoint]
	if req == nil || req.answered || req.finished {
		d.recordViolation("rule 1: request %d was sent after its end", a.Request)
		return
	}
	if endpoint == nil || endpoint.State != Ready {
		d.recordViolation("rule 3: request %d went to a replica that is not ready", a.Request)
	}
	if req.attemptsInFlight > 0 {
		d.recordViolation("rule 2: request %d has two attempts in flight", a.Request)
	}
	if req.mayHaveRun && d.cfg.Kinds[endpoint.Kind].Role != Prefill {
		d.checkRetry(req, endpoint)
	}
	if endpoint.Started > 0 && d.now-endpoint.Started < d.cfg.SlowStartDuration {
		d.checkSlowStart(endpoint)
	}
	req.attemptsInFlight++
	attempt := req.attempts
	req.attempts++
	if req.attempts > d.cfg.MaxAttempts {
		d.recordViolation("request %d has more attempts than allowed", a.Request)
	}
	d.scheduleOutcome(req, endpoint, attempt, a.Timeout)
}

func (d *driver) checkRetry(req *trackedRequest, endpoint *Endpoint) {
	class, ranOn := d.cfg.Classes[req.Class], d.replicas[req.mayHaveRunOn]
	switch {
	case class.Idempotency == Idempotent:
	case class.Idempotency == NonIdempotent:
		d.recordViolation("rule 2: non-idempotent request %d was retried after it may have run", req.Request)
	case d.now > req.mayHaveRunAt+class.DedupWindow:
		d.recordViolation("rule 2: request %d was retried after its deduplication window", req.Request)
	case class.DedupScope == DedupScopeCell && endpoint.Cell != ranOn.Cell, class.DedupScope == DedupScopeZone && endpoint.Zone != ranOn.Zone:
		d.recordViolation("rule 2: request %d was retried outside its deduplication scope", req.Request)
	}
}

// checkSlowStart checks that the sends to a replica in slow start stay within this router's even share of what
// OverloadMultiple allows, based on the rate of arrivals.
func (d *driver) checkSlowStart(endpoint *Endpoint) {
	sends := append(d.slowStartSends[endpoint.ID], d.now)
	sends = slices.DeleteFunc(sends, func(at time.Duration) bool { return at < d.now-slowStartWindow })
	d.slowStartSends[endpoint.ID] = sends
	age := float64(d.now-endpoint.Started) / float64(d.cfg.SlowStartDuration)
	ramp := d.cfg.SlowStartInitial + (1-d.cfg.SlowStartInitial)*age
	// evenRate is the rate of arrivals for each replica of the role. It uses the largest number of replicas that were
	// ever on this router's endpoint list, since the router has no information on others.
	evenRate := 25.0 / float64(d.maxReady[endpoint.Kind])
	allowed := d.cfg.OverloadMultiple*ramp*evenRate*slowStartWindow.Seconds() + 2
	if float64(len(sends)) > allowed {
		d.recordViolation("rule 4: replica %d of kind %d in slow start got %d sends, allowed %.1f", endpoint.ID, endpoint.Kind, len(sends), allowed)
	}
}

// scheduleOutcome draws how an attempt ends.
func (d *driver) scheduleOutcome(req *trackedRequest, endpoint *Endpoint, attempt int, timeout time.Duration) {
	remaining := req.deadline - d.now
	if timeout <= 0 || timeout > remaining {
		timeout = remaining
	}
	elapsed := time.Duration(5+d.rng.IntN(300)) * ms
	role := d.cfg.Kinds[endpoint.Kind].Role
	outcomes := []Outcome{ErrorResponse, QueueFull, PrefillResultMissing, TimedOut, ConnectFailed, ConnectionReset, NotSent}
	drawn := PrefillDone
	if role != Prefill {
		drawn = Served
	}
	if d.rng.IntN(5) == 0 || d.unhealthy[endpoint.ID] {
		drawn = outcomes[d.rng.IntN(len(outcomes))]
	}
	if drawn == TimedOut || elapsed > timeout {
		drawn, elapsed = TimedOut, timeout
	}
	reachesReplica := drawn.reachedReplica() || drawn == ConnectionReset || drawn == TimedOut && d.rng.IntN(2) == 0
	reachesDecode := reachesReplica && role != Prefill
	if reachesReplica {
		req.attemptsAtReplica++
	}
	if reachesDecode {
		req.decodesAtReplica++
	}
	end := func(o Outcome, final bool) {
		e := AttemptEnded{Request: req.Request, Attempt: attempt, Endpoint: endpoint.ID, Outcome: o, Elapsed: elapsed, CachedTokens: req.PromptTokens / 3}
		if d.rng.IntN(3) == 0 {
			e.Load = &LoadReport{Memory: d.rng.Float64(), QueuedKiloTokens: -1}
		}
		req.attemptsInFlight--
		d.outcomeCounts[o]++
		req.finished = req.finished || final
		e.Final = req.finished || req.answered
		mayHaveCompleted := role == Prefill && reachesReplica && (o == TimedOut || o == ConnectionReset) // the prefill may have completed anyway
		req.reserved = req.reserved && o != Served || o == PrefillDone || mayHaveCompleted
		if reachesDecode {
			req.decodesAtReplica--
		}
		if reachesReplica {
			req.attemptsAtReplica--
			req.lastReachedEnd = d.now
		}
		if role != Prefill && !o.NeverRan() && !req.mayHaveRun {
			req.mayHaveRun, req.mayHaveRunAt, req.mayHaveRunOn = true, d.now-elapsed, endpoint.ID
		}
		d.handle(e)
	}
	if drawn != Served {
		d.after(elapsed, func() { end(drawn, false) })
		return
	}
	d.after(elapsed, func() {
		if req.finished {
			end(Cancelled, false)
			return
		}
		req.streaming = true
		d.handle(FirstToken{Request: req.Request, Attempt: attempt, Endpoint: endpoint.ID, Elapsed: elapsed})
		d.after(time.Second, func() {
			o := Served
			if d.rng.IntN(10) == 0 {
				o = ConnectionReset // a broken stream is final too
			}
			end(o, true)
		})
	})
}

func (d *driver) checkReservations() {
	for id, req := range d.requests {
		if req.attemptsAtReplica == 0 && req.reserved && d.now > req.lastReachedEnd+d.cfg.ReservationTTL+8*ms {
			d.recordViolation("rule 5: the reservation of request %d has outlasted its TTL", id)
			req.reserved = false
		}
		if req.attemptsInFlight == 0 && !req.reserved && (req.answered || req.finished) && d.now > req.deadline+time.Second {
			delete(d.requests, id)
		}
	}
}
