package routing

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// The driver feeds a Router legal events drawn from a seed and checks the five rules on its actions.
// It is no model of servers: outcomes and delays are drawn, whatever was sent.

// fallAfter is the window over which the cold-start rule is counted.
const fallAfter = 3 * time.Second

type due struct {
	at  time.Duration
	seq int
	do  func()
}

type agenda []due

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].seq < a[j].seq
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(due)) }
func (a *agenda) Pop() any {
	x := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return x
}

// watched is what the checks know of one request.
type watched struct {
	RequestArrived
	deadline  time.Duration
	out       int // attempts out,
	arrived   int // those of them that have reached a running server,
	waiting   int // and a writer among them, which waits for the state
	attempts  int
	answered  bool
	finished  bool
	ran       bool
	ranAt     time.Duration
	ranOn     EndpointID
	held      bool
	free      time.Duration // end of the last attempt that arrived
	streaming bool
}

type driver struct {
	t       testing.TB
	rng     *rand.Rand
	cfg     Config
	r       *Router
	now     time.Duration
	agenda  agenda
	seq     int
	reqs    map[RequestID]*watched
	servers map[EndpointID]*Endpoint
	sick    map[EndpointID]bool
	cold    map[EndpointID][]time.Duration // sends while cold
	sends   int
	spoil   func(Action) []Action // tampers with actions, to show that the checks can fail
	broken  []string
	nextID  RequestID
	counts  map[Outcome]int
	most    [2]int // most servers ready in a list since the router's start, by kind
}

func testConfig() Config {
	return Config{
		Classes: []Class{
			{TTFTObjective: time.Second, TTFTObjectivePer1K: 60 * ms, Weight: 1, Idempotency: Idempotent},
			{TTFTObjective: 2 * time.Second, TTFTObjectivePer1K: 100 * ms, Weight: 3, Idempotency: NonIdempotent},
			{TTFTObjective: 2 * time.Second, Weight: 2, Idempotency: IdempotentByKey, DedupScope: ScopeCell, DedupWindow: 3 * time.Second},
			{TTFTObjective: 2 * time.Second, Weight: 1, Idempotency: IdempotentByKey, DedupScope: ScopeZone, DedupWindow: time.Second},
			{TTFTObjective: 2 * time.Second, Weight: 1, Idempotency: IdempotentByKey, DedupScope: ScopeAll, DedupWindow: time.Second},
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
	d := &driver{
		t: t, rng: rand.New(rand.NewPCG(seed, 1)), cfg: testConfig(), now: time.Hour,
		reqs: map[RequestID]*watched{}, servers: map[EndpointID]*Endpoint{}, sick: map[EndpointID]bool{},
		cold: map[EndpointID][]time.Duration{}, counts: map[Outcome]int{},
	}
	d.boot()
	return d
}

// boot starts the router anew with the last list; what it held is void.
func (d *driver) boot() {
	r, err := New(d.cfg, d.rng.Uint64())
	if err != nil {
		d.t.Fatal(err)
	}
	d.r, d.agenda, d.reqs = r, nil, map[RequestID]*watched{}
	if len(d.servers) == 0 {
		for i := range 12 {
			id := EndpointID(100 + 7*i)
			d.servers[id] = &Endpoint{ID: id, Zone: i / 6, Cell: i / 4, Kind: i % 2, State: Ready, Weight: 1}
		}
	}
	d.most = [2]int{1, 1}
	d.countReady()
	d.handle(EndpointUpdate{Full: true, Endpoints: d.list()})
	d.after(0, d.arrive)
	d.after(time.Second, d.trouble)
}

func (d *driver) countReady() {
	n := [2]int{}
	for _, s := range d.servers {
		if s.State == Ready {
			n[s.Kind]++
		}
	}
	for i := range n {
		d.most[i] = max(d.most[i], n[i])
	}
}

func (d *driver) list() []Endpoint {
	var out []Endpoint
	for _, s := range d.servers {
		out = append(out, *s)
	}
	slices.SortFunc(out, func(a, b Endpoint) int { return int(a.ID) - int(b.ID) })
	return out
}

func (d *driver) after(dt time.Duration, do func()) {
	d.seq++
	heap.Push(&d.agenda, due{d.now + dt, d.seq, do})
}

func (d *driver) run(until time.Duration) {
	for len(d.agenda) > 0 && d.agenda[0].at < until {
		x := heap.Pop(&d.agenda).(due)
		d.now = x.at
		x.do()
		d.checkHeld()
	}
}

func (d *driver) breaks(format string, args ...any) {
	d.broken = append(d.broken, fmt.Sprintf(format, args...))
}

func (d *driver) arrive() {
	d.after(time.Duration(d.rng.ExpFloat64()*40)*ms, d.arrive)
	d.nextID++
	left := time.Duration(500+d.rng.IntN(6000)) * ms
	a := RequestArrived{
		Request: d.nextID, Class: d.rng.IntN(len(d.cfg.Classes)), Tenant: d.rng.IntN(2),
		Session: Key(d.rng.IntN(50)), SharedPrefix: Key(1000 + d.rng.IntN(5)), PromptTokens: 100 + d.rng.IntN(4000),
		MaxOutputTokens: 200, TimeLeft: left,
	}
	a.SharedPrefixTokens = a.PromptTokens / 2
	q := &watched{RequestArrived: a, deadline: d.now + left}
	d.reqs[a.Request] = q
	d.handle(a)
	id := a.Request
	if d.rng.IntN(10) == 0 {
		d.after(time.Duration(d.rng.IntN(1500))*ms, func() {
			if q := d.reqs[id]; q != nil && !q.answered && !q.finished {
				q.finished = true
				d.handle(ClientGone{id})
			}
		})
	}
	d.after(left+8*ms, func() {
		if q := d.reqs[id]; q != nil && !q.answered && !q.finished && !q.streaming {
			d.breaks("rule 1: request %d has no answer in time", id)
			q.finished = true
		}
	})
}

// trouble draws what befalls servers and the list.
func (d *driver) trouble() {
	d.after(time.Duration(300+d.rng.IntN(1500))*ms, d.trouble)
	list := d.list()
	s := d.servers[list[d.rng.IntN(len(list))].ID]
	switch d.rng.IntN(6) {
	case 0:
		s.State = Draining
	case 1:
		s.State = Gone
	case 2:
		s.State, s.Started = Ready, d.now
		d.cold[s.ID] = nil
	case 3, 4:
		s.State = Ready
	case 5:
		d.sick[s.ID] = !d.sick[s.ID]
	}
	d.countReady()
	if d.rng.IntN(3) == 0 {
		d.handle(EndpointUpdate{Full: true, Endpoints: slices.DeleteFunc(d.list(), func(s Endpoint) bool { return s.State == Gone })})
	} else {
		d.handle(EndpointUpdate{Endpoints: []Endpoint{*s}})
	}
}

func (d *driver) handle(ev Event) {
	for _, a := range d.r.Handle(d.now, ev, nil) {
		acts := []Action{a}
		if d.spoil != nil {
			acts = d.spoil(a)
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
		if q := d.reqs[a.Request]; q != nil && q.waiting == 0 {
			q.held = false // what an attempt waits for stays
		}
	case Reject:
		if q := d.reqs[a.Request]; q != nil && q.ran &&
			(d.cfg.Classes[q.Class].Idempotency == NonIdempotent || d.cfg.Classes[q.Class].DedupScope != ScopeAll) {
			d.breaks("rule 2: request %d was refused after it may have run", a.Request)
		}
		d.answer(a.Request)
	case Fail:
		d.answer(a.Request)
	case SetTimer:
		d.after(a.After, func() { d.handle(TimerFired{a.Timer}) })
	}
}

func (d *driver) answer(id RequestID) {
	q := d.reqs[id]
	if q == nil || q.answered || q.finished || q.out > 0 {
		d.breaks("rule 1: request %d was answered twice, after its end or with an attempt out", id)
		return
	}
	q.answered = true
}

func (d *driver) checkSend(a Send) {
	d.sends++
	q, s := d.reqs[a.Request], d.servers[a.Endpoint]
	if q == nil || q.answered || q.finished {
		d.breaks("rule 1: request %d was sent after its end", a.Request)
		return
	}
	if s == nil || s.State != Ready {
		d.breaks("rule 3: request %d went to a server that is not ready", a.Request)
	}
	if q.out > 0 {
		d.breaks("rule 2: request %d has two attempts out", a.Request)
	}
	if q.ran && d.cfg.Kinds[s.Kind].Role != Prefill {
		d.checkRepeat(q, s)
	}
	if s.Started > 0 && d.now-s.Started < d.cfg.SlowStartDuration {
		d.checkCold(s)
	}
	q.out++
	attempt := q.attempts
	q.attempts++
	if q.attempts > d.cfg.MaxAttempts {
		d.breaks("request %d has more attempts than allowed", a.Request)
	}
	d.schedule(q, s, attempt, a.Timeout)
}

func (d *driver) checkRepeat(q *watched, s *Endpoint) {
	c, on := d.cfg.Classes[q.Class], d.servers[q.ranOn]
	switch {
	case c.Idempotency == Idempotent:
	case c.Idempotency == NonIdempotent:
		d.breaks("rule 2: unsafe request %d was sent again after it may have run", q.Request)
	case d.now > q.ranAt+c.DedupWindow:
		d.breaks("rule 2: keyed request %d was sent again past its window", q.Request)
	case c.DedupScope == ScopeCell && s.Cell != on.Cell, c.DedupScope == ScopeZone && s.Zone != on.Zone:
		d.breaks("rule 2: keyed request %d was sent again outside its group", q.Request)
	}
}

// checkCold holds a cold server's sends to this router's even part of what the rule allows, by the
// rate of all sends so far.
func (d *driver) checkCold(s *Endpoint) {
	list := append(d.cold[s.ID], d.now)
	list = slices.DeleteFunc(list, func(at time.Duration) bool { return at < d.now-fallAfter })
	d.cold[s.ID] = list
	age := float64(d.now-s.Started) / float64(d.cfg.SlowStartDuration)
	warmth := d.cfg.SlowStartInitial + (1-d.cfg.SlowStartInitial)*age
	// Arrivals a second for each server of the role, by the most that this router was ever told of: of
	// servers that its lists never named it can know nothing.
	normal := 25.0 / float64(d.most[s.Kind])
	allowed := d.cfg.OverloadMultiple*warmth*normal*fallAfter.Seconds() + 2
	if float64(len(list)) > allowed {
		d.breaks("rule 4: cold server %d of kind %d got %d sends of %.1f", s.ID, s.Kind, len(list), allowed)
	}
}

// schedule draws how an attempt ends.
func (d *driver) schedule(q *watched, s *Endpoint, attempt int, timeout time.Duration) {
	left := q.deadline - d.now
	if timeout <= 0 || timeout > left {
		timeout = left
	}
	took := time.Duration(5+d.rng.IntN(300)) * ms
	role := d.cfg.Kinds[s.Kind].Role
	outcomes := []Outcome{Errored, QueueFull, StateMissing, TimedOut, ConnectFailed, ConnectionReset, NotSent}
	o := PrefillDone
	if role != Prefill {
		o = Served
	}
	if d.rng.IntN(5) == 0 || d.sick[s.ID] {
		o = outcomes[d.rng.IntN(len(outcomes))]
	}
	if o == TimedOut || took > timeout {
		o, took = TimedOut, timeout
	}
	arrives := o.reachedReplica() || o == ConnectionReset || o == TimedOut && d.rng.IntN(2) == 0
	waits := arrives && role != Prefill
	if arrives {
		q.arrived++
	}
	if waits {
		q.waiting++
	}
	end := func(o Outcome, final bool) {
		e := AttemptEnded{Request: q.Request, Attempt: attempt, Endpoint: s.ID, Outcome: o, Elapsed: took, CachedTokens: q.PromptTokens / 3}
		if d.rng.IntN(3) == 0 {
			e.Load = &LoadReport{Memory: d.rng.Float64(), QueuedKiloTokens: -1}
		}
		q.out--
		d.counts[o]++
		q.finished = q.finished || final
		e.Final = q.finished || q.answered
		lost := role == Prefill && arrives && (o == TimedOut || o == ConnectionReset) // it may have ended well all the same
		q.held = q.held && o != Served || o == PrefillDone || lost
		if waits {
			q.waiting--
		}
		if arrives {
			q.arrived--
			q.free = d.now
		}
		if role != Prefill && !o.NeverRan() && !q.ran {
			q.ran, q.ranAt, q.ranOn = true, d.now-took, s.ID
		}
		d.handle(e)
	}
	if o != Served {
		d.after(took, func() { end(o, false) })
		return
	}
	d.after(took, func() {
		if q.finished {
			end(Cancelled, false)
			return
		}
		q.streaming = true
		d.handle(FirstToken{Request: q.Request, Attempt: attempt, Endpoint: s.ID, Elapsed: took})
		d.after(time.Second, func() {
			o := Served
			if d.rng.IntN(10) == 0 {
				o = ConnectionReset // a stream that breaks is finished too
			}
			end(o, true)
		})
	})
}

func (d *driver) checkHeld() {
	for id, q := range d.reqs {
		if q.arrived == 0 && q.held && d.now > q.free+d.cfg.ReservationTTL+8*ms {
			d.breaks("rule 5: request %d is left pinned", id)
			q.held = false
		}
		if q.out == 0 && !q.held && (q.answered || q.finished) && d.now > q.deadline+time.Second {
			delete(d.reqs, id)
		}
	}
}

func TestRulesOverLongRuns(t *testing.T) {
	// On 20 and 46 cold writers got more than their part while the part of all states that their cell's readers send was reckoned by
	// the readers' weights, since those of other cells did not answer.
	for _, seed := range []uint64{0, 1, 2, 3, 4, 5, 6, 7, 20, 46} {
		d := newDriver(t, seed)
		for d.now < time.Hour+10*time.Minute {
			d.run(d.now + time.Minute)
			if seed%2 == 1 {
				d.boot() // the router is killed and comes back with its last list
			}
		}
		if len(d.broken) > 0 {
			t.Errorf("seed %d: %d breaks, first: %s", seed, len(d.broken), d.broken[0])
		}
		if d.sends < 5000 {
			t.Errorf("seed %d: only %d sends", seed, d.sends)
		}
		for o := Served; o <= PrefillDone; o++ {
			if d.counts[o] == 0 {
				t.Errorf("seed %d: outcome %d never came", seed, o)
			}
		}
		if n := len(d.r.requests); n > 1000 {
			t.Errorf("seed %d: %d requests are still kept", seed, n)
		}
		if n := len(d.r.prefixCache); n > 60 {
			t.Errorf("seed %d: %d keys are kept", seed, n)
		}
	}
}

// The checks can fail: each way of spoiling the actions is caught as the rule that it breaks.
func TestChecksCatchBrokenRules(t *testing.T) {
	for rule, spoil := range map[string]func(d *driver) func(Action) []Action{
		"rule 1": func(*driver) func(Action) []Action {
			return func(a Action) []Action {
				if _, ok := a.(Reject); ok {
					return nil
				}
				return []Action{a}
			}
		},
		"rule 2": func(*driver) func(Action) []Action {
			return func(a Action) []Action {
				if f, ok := a.(Fail); ok {
					return []Action{Reject{Request: f.Request}}
				}
				return []Action{a}
			}
		},
		"rule 3": func(d *driver) func(Action) []Action {
			return func(a Action) []Action {
				if s, ok := a.(Send); ok {
					for _, x := range d.list() {
						if x.State != Ready && x.Kind == d.servers[s.Endpoint].Kind {
							s.Endpoint = x.ID
						}
					}
					return []Action{s}
				}
				return []Action{a}
			}
		},
		"rule 4": func(d *driver) func(Action) []Action {
			return func(a Action) []Action {
				if s, ok := a.(Send); ok {
					for _, x := range d.list() {
						if x.State == Ready && x.Kind == d.servers[s.Endpoint].Kind && x.Started > d.now-2*time.Second {
							s.Endpoint = x.ID // herd to the coldest
						}
					}
					return []Action{s}
				}
				return []Action{a}
			}
		},
		"rule 5": func(*driver) func(Action) []Action {
			return func(a Action) []Action {
				if _, ok := a.(Release); ok {
					return nil
				}
				return []Action{a}
			}
		},
	} {
		d := newDriver(t, 3)
		d.spoil = spoil(d)
		d.run(d.now + 10*time.Minute)
		if !slices.ContainsFunc(d.broken, func(s string) bool { return s[:6] == rule }) {
			t.Errorf("a broken %s was not caught (%d breaks)", rule, len(d.broken))
		}
	}
}

// A module that takes a send for out before it has arrived is caught too.
func TestChecksCatchSendsThatDoNotArrive(t *testing.T) {
	d := newDriver(t, 3)
	d.spoil = func(a Action) []Action {
		if release, ok := a.(Release); ok && release.Reason == ReservationExpired {
			return nil
		}
		return []Action{a}
	}
	d.run(d.now + 10*time.Minute)
	if !slices.ContainsFunc(d.broken, func(s string) bool { return s[:6] == "rule 5" }) {
		t.Errorf("not caught (%d breaks)", len(d.broken))
	}
}

// The same seed and events give the same actions.
func TestDeterministic(t *testing.T) {
	trace := func() string {
		d := newDriver(t, 5)
		var out []byte
		d.spoil = func(a Action) []Action {
			out = fmt.Appendf(out, "%d %T %v\n", d.now, a, a)
			return []Action{a}
		}
		d.run(d.now + time.Minute)
		return string(out)
	}
	if a, b := trace(), trace(); a != b || len(a) < 1000 {
		t.Error("two runs differ")
	}
}
