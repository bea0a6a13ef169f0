package routing

import (
	"math"
	"math/rand/v2"
	"reflect"
	"slices"
	"strconv"
	"testing"
	"time"
)

// harness drives one Router by hand: readers 1 and 2, writers 11 and 12 in cell 0 and 13 in cell 1.
type harness struct {
	*testing.T
	r    *Router
	now  time.Duration
	last []Action // of the event before
}

func newHarness(t *testing.T, change func(*Config)) *harness {
	t.Helper()
	cfg := testConfig()
	if change != nil {
		change(&cfg)
	}
	r, err := New(cfg, 1)
	if err != nil {
		t.Fatal(err)
	}
	b := &harness{T: t, r: r, now: time.Hour}
	b.handle(0, EndpointUpdate{Full: true, Endpoints: []Endpoint{
		{ID: 1, Kind: 0, State: Ready}, {ID: 2, Kind: 0, State: Ready},
		{ID: 11, Kind: 1, State: Ready}, {ID: 12, Kind: 1, State: Ready},
		{ID: 13, Kind: 1, State: Ready, Cell: 1, Zone: 1}}})
	return b
}

func (b *harness) handle(dt time.Duration, ev Event) []Action {
	b.now += dt
	b.last = b.r.Handle(b.now, ev, nil)
	return b.last
}

func (b *harness) arrive(id RequestID, class int) []Action {
	return b.handle(ms, RequestArrived{Request: id, Class: class, Tenant: -1, Session: Key(id), PromptTokens: 1000, TimeLeft: 4 * time.Second})
}

// sentTo returns the server of the only Send.
func (b *harness) sentTo(acts []Action) EndpointID {
	b.Helper()
	for _, a := range acts {
		if s, ok := a.(Send); ok {
			return s.Endpoint
		}
	}
	b.Fatalf("no send in %+v", acts)
	return 0
}

func containsAction[A Action](acts []Action) bool {
	for _, a := range acts {
		if _, ok := a.(A); ok {
			return true
		}
	}
	return false
}

// completePrefill takes a request to the end of its read and returns the writer.
func (b *harness) completePrefill(id RequestID, class int) (reader, writer EndpointID) {
	b.Helper()
	reader = b.sentTo(b.arrive(id, class))
	writer = b.sentTo(b.handle(20*ms, AttemptEnded{Request: id, Endpoint: reader, Outcome: PrefillDone, Elapsed: 20 * ms}))
	return reader, writer
}

func TestOrdinaryPath(t *testing.T) {
	b := newHarness(t, nil)
	_, w := b.completePrefill(1, 0)
	if w == 13 {
		t.Error("a writer outside the reader's cell was chosen though its own has room")
	}
	b.handle(20*ms, FirstToken{Request: 1, Attempt: 1, Endpoint: w, Elapsed: 20 * ms})
	_, other := b.completePrefill(2, 0)
	if other == w || other == 13 {
		t.Errorf("second went to %d, want the other writer of the cell than %d", other, w)
	}
	b.handle(ms, AttemptEnded{Request: 1, Attempt: 1, Endpoint: w, Outcome: Served, Final: true})
	if b.r.requests[1] != nil || b.r.byID[w].streams != 0 {
		t.Error("a served request left something behind")
	}
}

func TestRefusesBeforeReading(t *testing.T) {
	b := newHarness(t, nil)
	for _, s := range b.r.replicas {
		for i := range 200 {
			s.pending = append(s.pending, pendingAttempt{request: RequestID(1000 + i), sentAt: b.now, expectedBy: b.now + time.Minute})
		}
	}
	acts := b.arrive(1, 0)
	if !containsAction[Reject](acts) || containsAction[Send](acts) {
		t.Errorf("got %+v, want a refusal before any read", acts)
	}
	if acts[0].(Reject).RetryAfter <= 0 {
		t.Error("no advice when to return")
	}
}

// A read that alone is over the budget is judged by its queue wait.
func TestLongReadPasses(t *testing.T) {
	b := newHarness(t, nil)
	b.r.prefillModel.prior = [3]float64{10, 900, 7}
	if !containsAction[Send](b.arrive(1, 0)) {
		t.Error("a long read with no queue was refused")
	}
}

func TestKeptPrefixDraws(t *testing.T) {
	b := newHarness(t, nil)
	b.r.recordPrefix(77, 2, 900)
	a := RequestArrived{Request: 1, Tenant: -1, Session: 77, PromptTokens: 1000, TimeLeft: 4 * time.Second}
	if got := b.sentTo(b.handle(ms, a)); got != 2 {
		t.Errorf("went to %d, want the reader that keeps the session", got)
	}
	b.handle(ms, EndpointUpdate{Endpoints: []Endpoint{{ID: 2, State: Ready, Started: b.now}}})
	if n := b.r.expectedCachedTokens(b.r.byID[2], &request{RequestArrived: a}, notPrefixReplicaRank); n != 0 {
		t.Errorf("%d tokens are promised by a reader that started anew", n)
	}
}

func TestUnsafeNeverTwice(t *testing.T) {
	for o := Served + 1; o < PrefillDone; o++ {
		b := newHarness(t, nil)
		_, w := b.completePrefill(1, 1)
		acts := b.handle(50*ms, AttemptEnded{Request: 1, Attempt: 1, Endpoint: w, Outcome: o})
		if o.NeverRan() != (containsAction[Send](acts) || containsAction[SetTimer](acts)) || !o.NeverRan() != containsAction[Fail](acts) || containsAction[Reject](acts) {
			t.Errorf("outcome %d: got %+v", o, acts)
		}
	}
}

func TestFullKeepsStateNoStateReadsAgain(t *testing.T) {
	b := newHarness(t, nil)
	_, w := b.completePrefill(1, 1)
	next := b.sentTo(b.handle(ms, AttemptEnded{Request: 1, Attempt: 1, Endpoint: w, Outcome: QueueFull}))
	if next == w || next < 11 {
		t.Errorf("after full went to %d, want another writer", next)
	}
	if again := b.sentTo(b.handle(ms, AttemptEnded{Request: 1, Attempt: 2, Endpoint: next, Outcome: StateMissing})); again > 2 {
		t.Errorf("with no state went to %d, want a reader", again)
	}
}

func TestClientGone(t *testing.T) {
	b := newHarness(t, nil)
	s := b.sentTo(b.arrive(1, 0))
	if !containsAction[Cancel](b.handle(ms, ClientGone{1})) {
		t.Error("the read was not cancelled")
	}
	acts := b.handle(ms, AttemptEnded{Request: 1, Endpoint: s, Outcome: PrefillDone, Final: true})
	if !reflect.DeepEqual(acts, []Action{Release{1, LateOutcome}}) || len(b.r.requests) != 0 {
		t.Errorf("got %+v, want only the state released", acts)
	}
	for _, ev := range []Event{TimerFired{1}, ClientGone{1}, AttemptEnded{Request: 1, Endpoint: s}, FirstToken{Request: 1},
		AttemptEnded{Request: 8, Endpoint: 99}} {
		if acts := b.handle(-time.Second, ev); len(acts) != 0 {
			t.Errorf("%T of a finished request or unknown server: %+v", ev, acts)
		}
	}
}

// A time-out trimmed to the deadline is answered at once.
func TestDeadline(t *testing.T) {
	b := newHarness(t, nil)
	_, w := b.completePrefill(1, 1)
	acts := b.handle(4*time.Second, AttemptEnded{Request: 1, Attempt: 1, Endpoint: w, Outcome: TimedOut})
	if !containsAction[Fail](acts) || !containsAction[Release](acts) {
		t.Errorf("got %+v", acts)
	}
}

// A drain between read and write, and no writer at all: the state is given back within the limit.
func TestNoWriterLeft(t *testing.T) {
	b := newHarness(t, nil)
	s := b.sentTo(b.arrive(1, 1))
	b.handle(ms, EndpointUpdate{Endpoints: []Endpoint{{ID: 11, Kind: 1, State: Draining}, {ID: 12, Kind: 1, State: Gone},
		{ID: 13, Kind: 1, State: Draining}}})
	acts := b.handle(20*ms, AttemptEnded{Request: 1, Endpoint: s, Outcome: PrefillDone, Elapsed: 20 * ms})
	for start := b.now; !containsAction[Release](acts); acts = b.handle(selectionRetryInterval, TimerFired{1}) {
		if !containsAction[SetTimer](acts) || containsAction[Send](acts) || b.now > start+b.r.cfg.ReservationTTL {
			t.Fatalf("after %v: %+v", b.now-start, acts)
		}
	}
	if !containsAction[Reject](acts) {
		t.Errorf("got %+v, want a refusal: nothing has run", acts)
	}
}

// Twenty or thirty routers, some of which see several times the mean of the traffic, are under a burst of half as much again as a cold
// server comes: what all send it stays within the budget of N and what chance may add, 2 x root of N + 2, in any window of the rule. The
// server is a reader, also one that is home to a new text for which a quarter of all requests ask, more than the pages name, or a writer,
// also one whose cell sends all states since the other cells' readers do not answer.
func TestFleetOnOneCold(t *testing.T) {
	for _, c := range []struct {
		name    string
		routers int
		hot     float64
		writer  bool
		cut     bool
	}{
		{"reader", 20, 0, false, false}, {"reader", 30, 0, false, false}, {"reader", 300, 0, false, false},
		{"home of a quarter", 20, 0.25, false, false}, {"home of a quarter", 30, 0.25, false, false}, {"home of a quarter", 300, 0.25, false, false},
		{"writer", 20, 0, true, false}, {"writer", 30, 0, true, false}, {"writer", 300, 0, true, false},
		{"writer of the only cell", 20, 0, true, true}, {"writer of the only cell", 30, 0, true, true}, {"writer of the only cell", 300, 0, true, true},
	} {
		for seed := range uint64(6) {
			worst, sent := worstColdLoadUnderBurst(t, c.routers, c.hot, c.writer, c.cut, seed)
			if worst > 1 || sent == 0 {
				t.Errorf("%s, %d routers, seed %d: %d sends, at worst %.2f of what is allowed", c.name, c.routers, seed, sent, worst)
			}
		}
	}
	// The check can fail: routers that take themselves for one of three send too much.
	if worst, _ := worstColdLoadUnderBurst(t, -300, 0.25, false, false, 1); worst <= 1 {
		t.Errorf("three hundred routers that know of three pass as %.2f of what is allowed", worst)
	}
}

// worstColdLoadUnderBurst returns the most sends in any window to a server that comes cold against what is allowed, and their number. Fewer than no
// routers: as many, each told that there are three.
func worstColdLoadUnderBurst(t *testing.T, routers int, hot float64, writer, cut bool, seed uint64) (worst float64, total int) {
	const rate = 40.0 // requests a second, before the burst
	cfg := testConfig()
	if cfg.Routers = routers; routers < 0 {
		routers, cfg.Routers = -routers, 3
	}
	now := time.Hour
	rng := rand.New(rand.NewPCG(seed, 5))
	var list []Endpoint
	for i := range 16 { // four cells of two readers and two writers
		list = append(list, Endpoint{ID: EndpointID(10 + i), Cell: i / 4, Kind: i % 2, State: Ready, Weight: 1})
	}
	var all []*Router
	var turns []int // routers by their traffic
	for i := range routers {
		r, err := New(cfg, seed<<16|uint64(i))
		if err != nil {
			t.Fatal(err)
		}
		r.Handle(now, EndpointUpdate{Full: true, Endpoints: list}, nil)
		all = append(all, r)
		for range 1 + 5*(i%5/4) { // each fifth sees six times as much as the others
			turns = append(turns, i)
		}
	}
	cold := &list[0]
	if writer {
		cold = &list[1]
	}
	home := Key(1000)
	for i := 0; i < 16; i++ {
		if list[i].Kind == 0 && list[i].ID != cold.ID && exponentialDraw(home, list[i].ID) < exponentialDraw(home, cold.ID)/(slowStartWeightFactor*cfg.SlowStartInitial) {
			home, i = home+1, -1
		}
	}
	var sent []time.Duration
	handle := func(r *Router, q *RequestArrived) {
		events := []Event{*q}
		for at := 0; at < len(events); at++ {
			for _, a := range r.Handle(now, events[at], nil) {
				s, ok := a.(Send)
				if !ok {
					continue
				}
				if s.Endpoint == cold.ID && cold.Started > 0 {
					sent, total = append(sent, now), total+1
				}
				o, in := PrefillDone, list[s.Endpoint-10]
				if in.Kind == 1 {
					o = Served
				} else if cut && in.Cell > 0 && cold.Started > 0 {
					o = ConnectFailed
				}
				events = append(events, AttemptEnded{Request: q.Request, Attempt: at, Endpoint: s.Endpoint, Outcome: o, Elapsed: 40 * ms, Final: o == Served})
			}
		}
	}
	begin := now + 20*time.Second // by then the routers know the traffic
	for id := RequestID(1); now < begin+cfg.SlowStartDuration; id++ {
		gap := rng.ExpFloat64() / rate
		if now > begin {
			gap /= 1.5
		}
		now += time.Duration(gap * float64(time.Second))
		if now >= begin && cold.Started == 0 {
			cold.Started = now
			for _, r := range all {
				r.Handle(now, EndpointUpdate{Full: true, Endpoints: list}, nil)
			}
		}
		shared := Key(100 + rng.IntN(16)) // texts that all know
		if cold.Started > 0 && rng.Float64() < hot {
			shared = home
		}
		handle(all[turns[rng.IntN(len(turns))]], &RequestArrived{Request: id, Tenant: -1, Session: Key(rng.Uint64() | 1), SharedPrefix: shared, SharedPrefixTokens: 15, PromptTokens: 20,
			TimeLeft: 4 * time.Second})
		for len(sent) > 0 && sent[0] < now-slowStartWindow {
			sent = sent[1:]
		}
		if cold.Started > 0 {
			warmth := cfg.SlowStartInitial + (1-cfg.SlowStartInitial)*float64(now-cold.Started)/float64(cfg.SlowStartDuration)
			n := cfg.OverloadMultiple * warmth * rate / 8 * slowStartWindow.Seconds() // the even share of a warm server is the least that it can surely do
			worst = max(worst, float64(len(sent))/(n+2*math.Sqrt(n)+2))
		}
	}
	return worst, total
}

// A router that comes back with only its last list keeps to a cold server's part at once.
func TestColdServer(t *testing.T) {
	b := newHarness(t, func(c *Config) { c.SlowStartDuration = 10 * time.Second })
	b.handle(0, EndpointUpdate{Endpoints: []Endpoint{{ID: 2, Kind: 0, State: Ready, Started: b.now}}})
	n := map[EndpointID]int{}
	for i := range RequestID(100) {
		s := b.sentTo(b.arrive(i+1, 0))
		n[s]++
		b.handle(20*ms, AttemptEnded{Request: i + 1, Endpoint: s, Outcome: PrefillDone, Elapsed: 20 * ms, Final: true})
	}
	if n[2] > 30 || n[1] < 70 {
		t.Errorf("sends %v: the cold reader got more than its part", n)
	}
}

// A silent server is left alone after time-outs, and finds its way back.
func TestEjection(t *testing.T) {
	b := newHarness(t, nil)
	s := b.r.byID[1]
	b.r.recordFailure(s, 0, transportFailureWeight)
	b.r.recordFailure(s, 0, transportFailureWeight)
	for i := range RequestID(5) {
		if got := b.sentTo(b.arrive(i+1, 0)); got != 2 {
			t.Fatalf("an ejected reader got request %d", i+1)
		}
		b.handle(20*ms, AttemptEnded{Request: i + 1, Endpoint: 2, Outcome: PrefillDone, Elapsed: 20 * ms, Final: true})
	}
	b.handle(healthTimeConstant, TimerFired{})
	if !b.r.healthy(s, 1) {
		t.Error("no way back")
	}
	for range 4 {
		b.r.recordSuccess(s, 0)
	}
	if s.health[0].current(b.now) >= ejectionThreshold/2 {
		t.Error("successes do not heal")
	}
	// All bad: health is ignored rather than starving all.
	for _, s := range b.r.replicas {
		s.health[0].update(b.now, 1, 1)
	}
	if !containsAction[Send](b.arrive(9, 0)) {
		t.Error("nothing was sent though only bad servers are left")
	}
}

// With the other writers jammed, an ejected one that is due for a trial keeps the door open: its
// absence from the estimate would have everything refused and nothing lead it back.
func TestTrialAmongJammed(t *testing.T) {
	b := newHarness(t, nil)
	for _, id := range []EndpointID{11, 12, 13} {
		s := b.r.byID[id]
		s.firstTokenDelay.add(b.now, 1e5)
	}
	if containsAction[Send](b.arrive(1, 0)) {
		t.Fatal("the writers are not jammed")
	}
	b.r.byID[12].health[0].update(b.now, 1, ejectionThreshold*0.9)
	b.r.byID[12].firstTokenDelay = decayedMean{timeConstant: decodeWaitTimeConstant}
	s := b.sentTo(b.arrive(2, 0))
	if w := b.sentTo(b.handle(20*ms, AttemptEnded{Request: 2, Endpoint: s, Outcome: PrefillDone})); w != 12 {
		t.Errorf("the trial went to %d", w)
	}
}

// The refit follows reads, keeps its bounds, and is unharmed by outliers or inputs that do not vary.
func TestFit(t *testing.T) {
	b := newHarness(t, nil)
	f := &b.r.prefillModel
	for i := range 300 {
		b.handle(20*ms, TimerFired{})
		k, ahead := float64(i%7)/2, float64(i%4)
		f.add(b.now, [3]float64{1, k, ahead}, 12+50*k+20*ahead)
	}
	for i, want := range []float64{12, 50, 20} {
		if math.Abs(f.coefficients[i]-want) > 0.1*want {
			t.Errorf("coefficient %d is %.1f, want about %.1f", i, f.coefficients[i], want)
		}
	}
	id, s := RequestID(1000), b.r.byID[1]
	b.r.recordPrefill(s, &request{RequestArrived: RequestArrived{Request: id, PromptTokens: 1000}}, AttemptEnded{Outcome: PrefillDone, Elapsed: time.Hour})
	if y := f.predict([3]float64{1, 1, 0}); y > 150 {
		t.Errorf("one outlier moved the estimate to %.0f ms", y)
	}
	for range 1000 {
		b.handle(20*ms, TimerFired{})
		f.add(b.now, [3]float64{1, 2, 0}, 80)
	}
	if y := f.predict([3]float64{1, 2, 0}); math.Abs(y-80) > 4 || f.coefficients[2] > 60 {
		t.Errorf("inputs that do not vary: %.1f ms, coefficients %v", y, f.coefficients)
	}
}

func TestBadConfig(t *testing.T) {
	for name, change := range map[string]func(*Config){
		"no classes":   func(c *Config) { c.Classes = nil },
		"no routers":   func(c *Config) { c.Routers = 0 },
		"no attempts":  func(c *Config) { c.MaxAttempts = 0 },
		"effect":       func(c *Config) { c.Classes[0].Idempotency = 9 },
		"negative aim": func(c *Config) { c.Classes[0].TTFTObjective = -1 },
		"role":         func(c *Config) { c.Kinds[0].Role = 9 },
		"release":      func(c *Config) { c.ReservationTTL = -1 },
	} {
		cfg := testConfig()
		change(&cfg)
		if r, err := New(cfg, 1); err == nil || r != nil {
			t.Errorf("%s: no error", name)
		}
	}
}

// A class that the settings do not name gets an answer, not a panic.
func TestUnknownClass(t *testing.T) {
	b := newHarness(t, nil)
	if acts := b.arrive(1, 99); !reflect.DeepEqual(acts, []Action{Fail{1, UnknownClass}}) {
		t.Errorf("got %+v", acts)
	}
}

func BenchmarkArrival(b *testing.B) {
	d := newDriver(b, 1)
	d.run(d.now + time.Minute)
	var out []Action
	id := RequestID(1 << 40)
	for b.Loop() {
		id++
		out = d.r.Handle(d.now, RequestArrived{Request: id, Session: Key(id % 100), PromptTokens: 900, TimeLeft: time.Second}, out[:0])
		d.now += ms
		d.r.Handle(d.now, ClientGone{id}, nil)
		for i := range 12 {
			d.r.Handle(d.now, AttemptEnded{Request: id, Endpoint: EndpointID(100 + 7*i), Outcome: PrefillDone, Final: true}, nil)
		}
	}
}

// Where servers report the tokens that wait, the report is the queue wait.
func TestReportedBacklog(t *testing.T) {
	b := newHarness(t, nil)
	b.handle(ms, AttemptEnded{Request: 99, Endpoint: 1, Load: &LoadReport{Memory: -1, QueuedKiloTokens: 50}})
	for id := range RequestID(5) {
		if s := b.sentTo(b.arrive(id+1, 0)); s != 2 {
			t.Fatalf("went to %d, which reports a long queue", s)
		}
	}
}

// With no limit in the settings a cold server is not held back.
func TestNoColdRule(t *testing.T) {
	b := newHarness(t, func(c *Config) { c.OverloadMultiple = 0 })
	b.handle(0, EndpointUpdate{Endpoints: []Endpoint{{ID: 1, State: Gone}, {ID: 2, State: Ready, Started: b.now}}})
	if s := b.sentTo(b.arrive(1, 0)); s != 2 {
		t.Errorf("went to %d", s)
	}
}

// Two hundred routers that hear of one cold server together send it no more than their part in any
// window of the rule, from the first moment on: each may not count itself alone.
func TestManyRoutersOneColdServer(t *testing.T) {
	if worst, sent := worstColdLoadFromStart(t, false); worst > 1 || sent == 0 {
		t.Errorf("%d sends, at worst %.2f of what is allowed", sent, worst)
	}
	// The check can fail: requests that all have their home at the server are too many.
	if worst, _ := worstColdLoadFromStart(t, true); worst <= 1 {
		t.Errorf("one home for all requests passes as %.2f of what is allowed", worst)
	}
}

// worstColdLoadFromStart returns the most sends in any window against what is allowed, and their number. With one, all
// requests are of a session whose home the server is.
func worstColdLoadFromStart(t *testing.T, one bool) (worst float64, total int) {
	const routers, rate = 200, 200.0 // all requests a second
	cfg := testConfig()
	cfg.Routers = routers
	now := time.Hour
	var list []Endpoint
	for i := range 20 {
		list = append(list, Endpoint{ID: EndpointID(10 + i), Cell: i / 5, State: Ready})
	}
	for i := range 4 {
		list = append(list, Endpoint{ID: EndpointID(1 + i), Kind: 1, Cell: i, State: Ready})
	}
	cold := &list[19]
	cold.Started = now
	var all []*Router
	for i := range routers {
		r, err := New(cfg, uint64(i))
		if err != nil {
			t.Fatal(err)
		}
		r.Handle(now, EndpointUpdate{Full: true, Endpoints: list}, nil)
		all = append(all, r)
	}
	var sent []time.Duration
	rng := rand.New(rand.NewPCG(1, 2))
	home := Key(1)
	for i := 0; i < 19; i++ {
		if exponentialDraw(home, list[i].ID) < exponentialDraw(home, cold.ID)/(slowStartWeightFactor*cfg.SlowStartInitial) {
			home, i = home+1, -1
		}
	}
	for id := RequestID(1); id < 2000; id++ {
		session := Key(id)
		if one {
			session = home
		}
		now += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		r := all[rng.IntN(routers)]
		for _, a := range r.Handle(now, RequestArrived{Request: id, Tenant: -1, Session: session, PromptTokens: 20, TimeLeft: 4 * time.Second}, nil) {
			s, ok := a.(Send)
			if !ok {
				continue
			}
			if s.Endpoint == cold.ID {
				sent = append(sent, now)
				total++
			}
			after := 400 * ms // the warm ones are slow, so that all would rather use the cold one
			if s.Endpoint == cold.ID {
				after = 40 * ms
			}
			r.Handle(now, AttemptEnded{Request: id, Endpoint: s.Endpoint, Outcome: PrefillDone, Elapsed: after, Final: true}, nil)
		}
		for len(sent) > 0 && sent[0] < now-slowStartWindow {
			sent = sent[1:]
		}
		// The even share of a warm server is the least that it can surely do.
		warmth := cfg.SlowStartInitial + (1-cfg.SlowStartInitial)*float64(now-cold.Started)/float64(cfg.SlowStartDuration)
		allowed := cfg.OverloadMultiple * warmth * rate / 20 * slowStartWindow.Seconds()
		worst = max(worst, float64(len(sent))/allowed)
	}
	return worst, total
}

// The test stands before every read: a request that a full or silent reader gave back is not pushed on
// into a jam.
func TestSecondReadIsJudgedToo(t *testing.T) {
	b := newHarness(t, nil)
	first := b.sentTo(b.arrive(1, 0))
	for range 20 {
		b.r.commonQueueDelay.add(b.now, 5000)
	}
	acts := b.handle(ms, AttemptEnded{Request: 1, Endpoint: first, Outcome: QueueFull})
	if !containsAction[Reject](acts) || containsAction[Send](acts) {
		t.Errorf("got %+v, want a refusal", acts)
	}
}

// A reader that turns a read away counts as slow, though it answers at once.
func TestFullReaderIsAvoided(t *testing.T) {
	b := newHarness(t, nil)
	first := b.sentTo(b.arrive(1, 0))
	b.handle(ms, AttemptEnded{Request: 1, Endpoint: first, Outcome: QueueFull, Final: true})
	for id := range RequestID(5) {
		if s := b.sentTo(b.arrive(id+2, 0)); s == first {
			t.Fatalf("request %d went to the reader that is full", id+2)
		}
	}
}

// Among many routers a tenant's part is a fraction of a request a second: its first requests are within
// the share, and refused ones spend nothing of it.
func TestTenantPartAmongMany(t *testing.T) {
	b := newHarness(t, func(c *Config) { c.Routers = 200 })
	if b.r.overQuota(1) {
		t.Error("a tenant's first request counts as beyond its share")
	}
	left := b.r.tenantBuckets[1].Tokens()
	for range 20 {
		b.r.commonQueueDelay.add(b.now, 9000)
	}
	for id := range RequestID(50) {
		if !containsAction[Reject](b.handle(ms, RequestArrived{Request: id + 1, Tenant: 1, PromptTokens: 500, TimeLeft: 4 * time.Second})) {
			t.Fatal("not refused")
		}
	}
	if got := b.r.tenantBuckets[1].Tokens(); got < left {
		t.Errorf("refusals left %.2f of %.2f", got, left)
	}
	b.handle(time.Minute, TimerFired{})
	n := 0
	for id := RequestID(100); !b.r.overQuota(1); id++ {
		a := RequestArrived{Request: id, Tenant: 1, PromptTokens: 500, TimeLeft: 4 * time.Second}
		b.handle(10*ms, AttemptEnded{Request: id, Endpoint: b.sentTo(b.handle(ms, a)), Outcome: PrefillDone, Elapsed: 10 * ms, Final: true})
		if n++; n > 20 {
			t.Fatal("never beyond its share")
		}
	}
}

// mixedEndpoints lists n servers in cells of five; every third is a reader unless a cell's make-up is given.
func mixedEndpoints(n int) []Endpoint {
	var out []Endpoint
	for i := range n {
		s := Endpoint{ID: EndpointID(10 + i), Kind: 1, Cell: i / 5, Zone: i / 5 % 3, State: Ready, Weight: 1}
		if i%3 == 0 {
			s.Kind = 0
		}
		out = append(out, s)
	}
	return out
}

// Routers that share nothing and differ in seed still read a session, and a text that few ask for, at
// the same reader, so that it is found kept.
func TestSharedHomes(t *testing.T) {
	reader := func(seed uint64, id RequestID, session Key) EndpointID {
		cfg := testConfig()
		cfg.Routers = 200
		r, err := New(cfg, seed)
		if err != nil {
			t.Fatal(err)
		}
		r.Handle(time.Hour, EndpointUpdate{Full: true, Endpoints: mixedEndpoints(60)}, nil)
		for _, a := range r.Handle(time.Hour, RequestArrived{Request: id, Tenant: -1, Session: session, SharedPrefix: 7,
			SharedPrefixTokens: 2000, PromptTokens: 2500, TimeLeft: 4 * time.Second}, nil) {
			if s, ok := a.(Send); ok {
				return s.Endpoint
			}
		}
		t.Fatal("no send")
		return 0
	}
	for seed := range uint64(20) {
		if a, b := reader(seed, 1, 5), reader(seed+100, 2, 6); a != b {
			t.Errorf("seeds %d and %d read the same text at %d and %d", seed, seed+100, a, b)
		}
	}
}

// A text that many ask for gets more homes.
func TestPopularTextSpreads(t *testing.T) {
	b := newHarness(t, func(c *Config) { c.Routers = 100 })
	list := mixedEndpoints(60)
	for i := range list {
		list[i].Zone = 0
	}
	b.handle(0, EndpointUpdate{Full: true, Endpoints: list})
	to := map[EndpointID]int{}
	for id := range RequestID(300) {
		a := RequestArrived{Request: id + 1, Tenant: -1, Session: Key(1000 + id), PromptTokens: 2500, TimeLeft: 4 * time.Second}
		if id%2 == 0 {
			a.SharedPrefix, a.SharedPrefixTokens = 7, 2000
		}
		s := b.sentTo(b.handle(300*ms, a))
		if a.SharedPrefix != 0 && id > 100 {
			to[s]++
		}
		b.handle(30*ms, AttemptEnded{Request: id + 1, Endpoint: s, Outcome: PrefillDone, Elapsed: 30 * ms, CachedTokens: 2000, Final: true})
	}
	if len(to) < 8 {
		t.Errorf("half of all requests were read at %d of 20 readers", len(to))
	}
}

// The states that a cell's only writer cannot bear go to cells with writers to spare.
func TestCellWithFewWriters(t *testing.T) {
	b := newHarness(t, nil)
	var list []Endpoint
	for i := range 10 {
		s := Endpoint{ID: EndpointID(10 + i), Cell: i / 5, State: Ready, Weight: 1}
		if i == 4 || i > 5 { // four readers and a writer, a reader and four writers
			s.Kind = 1
		}
		list = append(list, s)
	}
	b.handle(0, EndpointUpdate{Full: true, Endpoints: list})
	n := map[EndpointID]int{}
	for id := range RequestID(500) {
		_, w := b.completePrefill(id+1, 0)
		b.handle(20*ms, FirstToken{Request: id + 1, Attempt: 1, Endpoint: w, Elapsed: 20 * ms})
		b.handle(ms, AttemptEnded{Request: id + 1, Attempt: 1, Endpoint: w, Outcome: Served, Final: true})
		n[w]++
	}
	if n[14] > 175 || n[14] < 50 {
		t.Errorf("the only writer of a cell of readers got %d of 500, an even share is 100", n[14])
	}
}

// What reads take everywhere counts at a reader that this router has not met, and is let go of soon.
func TestCommonWait(t *testing.T) {
	b := newHarness(t, func(c *Config) { c.Routers = 100 })
	b.handle(0, EndpointUpdate{Full: true, Endpoints: mixedEndpoints(60)})
	fresh := b.r.replicas[0]
	q := &request{RequestArrived: RequestArrived{PromptTokens: 1000}}
	b.r.sumCapacity(0)
	before, _ := b.r.prefillEstimate(fresh, 0, q)
	for id := range RequestID(6) {
		s := b.r.replicas[3+3*id]
		b.r.recordPrefill(s, q, AttemptEnded{Outcome: PrefillDone, Elapsed: 900 * ms})
	}
	b.r.sumCapacity(0)
	if after, _ := b.r.prefillEstimate(fresh, 0, q); after < before+300 {
		t.Errorf("the wait went from %.0f to %.0f ms, want it to follow the others", before, after)
	}
	b.handle(2*modelTimeConstant, TimerFired{})
	b.r.sumCapacity(0)
	if after, _ := b.r.prefillEstimate(fresh, 0, q); after > before+80 {
		t.Errorf("the wait is still %.0f ms", after)
	}
}

// A server that fails one class is left to the others, and comes back by itself for a class that may
// not be tried again.
func TestOneClassFails(t *testing.T) {
	b := newHarness(t, nil)
	s := b.r.byID[11]
	for range 2 {
		b.r.recordClassFailure(s, 1, transportFailureWeight)
	}
	if b.r.healthy(s, 1) || !b.r.healthy(s, 0) {
		t.Error("want the server left alone by the class that fails there, and by no other")
	}
	b.handle(3*healthTimeConstant, TimerFired{})
	if !b.r.healthy(s, 1) {
		t.Error("no way back")
	}
}

// Lists and settings beyond any seen are handled: no panic, and a request gets its answer.
func TestOddFleets(t *testing.T) {
	for name, list := range map[string][]Endpoint{
		"nobody":       nil,
		"writers only": {{ID: 1, Kind: 1, State: Ready}},
		"odd weights":  {{ID: 1, State: Ready, Weight: math.NaN()}, {ID: 2, Kind: 1, State: Ready, Weight: -3}},
		"odd kinds":    {{ID: 1, Kind: 99, State: Ready}, {ID: 2, Kind: -1, State: Ready}},
		"thousands":    mixedEndpoints(3000),
	} {
		b := newHarness(t, func(c *Config) { c.Routers = 5000 })
		b.handle(ms, EndpointUpdate{Full: true, Endpoints: list})
		acts := b.arrive(1, 0)
		for range 200 {
			if !containsAction[SetTimer](acts) {
				break
			}
			acts = b.handle(selectionRetryInterval, TimerFired{1})
		}
		if !containsAction[Reject](acts) && !containsAction[Send](acts) {
			t.Errorf("%s: got %+v", name, acts)
		}
	}
}

func BenchmarkFleet(b *testing.B) {
	for _, n := range []int{20, 100, 400} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			cfg := testConfig()
			cfg.Routers = 200
			r, err := New(cfg, 1)
			if err != nil {
				b.Fatal(err)
			}
			now := time.Hour
			out := r.Handle(now, EndpointUpdate{Full: true, Endpoints: mixedEndpoints(n)}, nil)
			id := RequestID(0)
			for b.Loop() {
				id++
				now += ms
				out = r.Handle(now, RequestArrived{Request: id, Tenant: -1, Session: Key(id % 100), PromptTokens: 900,
					TimeLeft: time.Second}, out[:0])
				reader := out[0].(Send).Endpoint
				out = r.Handle(now, AttemptEnded{Request: id, Endpoint: reader, Outcome: PrefillDone, Elapsed: ms}, out[:0])
				writer := out[0].(Send).Endpoint
				out = r.Handle(now, FirstToken{Request: id, Attempt: 1, Endpoint: writer, Elapsed: ms}, out[:0])
				out = r.Handle(now, AttemptEnded{Request: id, Attempt: 1, Endpoint: writer, Final: true}, out[:0])
			}
		})
	}
}

// Reports that make no sense change no choice into a panic or a refusal.
func TestOddReports(t *testing.T) {
	for _, x := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), -7, 1e300} {
		b := newHarness(t, nil)
		for i, s := range b.r.replicas {
			b.handle(ms, AttemptEnded{Request: 99, Endpoint: s.ID, Load: &LoadReport{Memory: x, QueuedKiloTokens: -1}})
			if i > 0 {
				b.handle(ms, AttemptEnded{Request: 99, Endpoint: s.ID, Load: &LoadReport{Memory: x, QueuedKiloTokens: x}})
			}
		}
		b.r.byID[1].reportedBacklog = -1 // one reader without a report
		if s, _ := b.completePrefill(1, 0); s != 1 && s != 2 {
			t.Errorf("%v: sent to %d", x, s)
		}
	}
}

// A reader that answers others is alive: a time-out behind its queue does not leave it out, one that hears
// nothing at all does.
func TestTimeoutBehindAQueue(t *testing.T) {
	for _, answers := range []bool{true, false} {
		b := newHarness(t, nil)
		s := b.r.byID[b.sentTo(b.arrive(1, 0))]
		if answers {
			b.handle(400*ms, TimerFired{})
			b.r.recordSuccess(s, 0)
		}
		b.handle(100*ms, AttemptEnded{Request: 1, Endpoint: s.ID, Outcome: TimedOut, Elapsed: 500 * ms})
		if b.r.healthy(s, 0) != answers {
			t.Errorf("answers %t: usable %t", answers, !answers)
		}
	}
}

// An answer that broke once it had begun has used up the state: a safe request is read anew at once, while
// its attempts last, and a filing is not sent again.
func TestBrokenAnswerReadsAgain(t *testing.T) {
	b := newHarness(t, nil)
	_, w := b.completePrefill(1, 0)
	acts := b.handle(20*ms, AttemptEnded{Request: 1, Attempt: 1, Endpoint: w, Outcome: ConnectionReset, StreamStarted: true})
	if s := b.sentTo(acts); s > 2 || !containsAction[Release](acts) {
		t.Errorf("sent to %d: %+v", s, acts)
	}
}

// One broken connection at a server that answers others leaves it in; a second one in a row does not.
func TestOneBreakAtALivingServer(t *testing.T) {
	b := newHarness(t, nil)
	_, w := b.completePrefill(1, 0)
	s := b.r.byID[w]
	b.r.recordSuccess(s, 0)
	b.handle(20*ms, AttemptEnded{Request: 1, Attempt: 1, Endpoint: w, Outcome: ConnectionReset})
	s.pending = []pendingAttempt{{request: 9}} // no trial is due
	if !b.r.healthy(s, 0) {
		t.Error("left out after one break")
	}
	b.r.recordOutcome(s, &request{}, AttemptEnded{Outcome: ConnectionReset}, decoding)
	if b.r.healthy(s, 0) {
		t.Error("left in after two")
	}
}

// A router that hears little of each reader asks the two that a request's keys rank first, and goes to the one with
// the shorter queue; nothing is sent before both have told or the wait is over, and a dead one gets nothing.
func TestAsksBeforeARead(t *testing.T) {
	start := func() (*harness, []EndpointID) {
		b := newHarness(t, func(c *Config) { c.CanPollLoad = true })
		var asked []EndpointID
		for _, a := range b.arrive(1, 0) {
			switch a := a.(type) {
			case PollLoad:
				asked = append(asked, a.Endpoint)
			case SetTimer:
				if a.After != pollTimeout || a.Timer != 1 {
					t.Errorf("wake %+v", a)
				}
			default:
				t.Errorf("before any answer: %+v", a)
			}
		}
		if len(asked) != pollCandidateCount {
			t.Fatalf("asked %v", asked)
		}
		return b, asked
	}
	for first := range pollCandidateCount {
		b, asked := start()
		if acts := b.handle(ms, LoadPolled{asked[first], &LoadReport{QueuedRequests: 0}}); len(acts) != 0 {
			t.Errorf("after one answer: %+v", acts)
		}
		if s := b.sentTo(b.handle(ms, LoadPolled{asked[1-first], &LoadReport{QueuedRequests: 20, SlotUtilization: 1}})); s != asked[first] {
			t.Errorf("went to %d, not to %d, which has no queue", s, asked[first])
		}
		if s := b.sentTo(b.arrive(2, 0)); s != asked[first] {
			t.Errorf("the next went to %d: a report may be used for a while", s)
		}
	}
	b, asked := start()
	b.handle(ms, LoadPolled{asked[0], nil})
	if s := b.sentTo(b.handle(pollTimeout, TimerFired{1})); s == asked[0] {
		t.Errorf("went to %d, which told nothing", s)
	}
	if acts := b.handle(ms, LoadPolled{asked[1], &LoadReport{}}); len(acts) != 0 {
		t.Errorf("a late answer: %+v", acts)
	}
	b, asked = start()
	for _, id := range asked {
		b.handle(0, LoadPolled{id, &LoadReport{QueuedRequests: 500}})
	}
	if b.r.requests[1] != nil {
		t.Error("passed, though both its readers have told of long queues")
	}
}

// What a request ahead of one takes is learnt from reads: a queue that passed at first is too long once the reads
// behind such queues have taken three times as long as thought.
func TestLearnsWhatARequestAheadTakes(t *testing.T) {
	b := newHarness(t, func(c *Config) { c.CanPollLoad = true })
	passes := func(id RequestID, after time.Duration) bool {
		acts := b.arrive(id, 0)
		for i := 0; i < len(acts); i++ {
			switch a := acts[i].(type) {
			case PollLoad:
				acts = append(acts, b.handle(ms, LoadPolled{a.Endpoint, &LoadReport{QueuedRequests: 5}})...)
			case Send:
				b.handle(after, AttemptEnded{Request: id, Endpoint: a.Endpoint, Outcome: PrefillDone, Elapsed: after, Final: true})
				return true
			}
		}
		return false
	}
	passed := 0
	for id := range RequestID(20) {
		if passes(id+1, time.Second) {
			passed++
		}
	}
	if passed == 0 || passed > 10 {
		t.Errorf("%d of 20 passed", passed)
	}
	b = newHarness(t, func(c *Config) { c.CanPollLoad = true })
	for id := range RequestID(20) {
		if !passes(id+1, 200*ms) {
			t.Errorf("request %d was refused, though the queue is short in time", id+1)
		}
	}
}

// Those who are turned away in a jam must not come back together, nor later than the settings allow.
func TestAdviceToReturnIsSpread(t *testing.T) {
	b := newHarness(t, nil)
	var least, most time.Duration
	for id := range RequestID(200) {
		b.r.requests[id+1] = &request{RequestArrived: RequestArrived{Request: id + 1}}
		b.r.rejectOrFail(b.r.requests[id+1], AttemptsExhausted, 5000)
		refused := b.r.actions[len(b.r.actions)-1].(Reject)
		if id == 0 {
			least = refused.RetryAfter
		}
		least, most = min(least, refused.RetryAfter), max(most, refused.RetryAfter)
	}
	if limit := b.r.cfg.MaxRetryAfter; least < limit/2 || most > limit || most-least < limit*2/5 {
		t.Errorf("between %v and %v", least, most)
	}
}

// Before a state goes on, the writers of its cell are asked: one with requests waiting is passed over, and where all
// have them the state leaves the cell.
func TestAsksBeforeAWrite(t *testing.T) {
	for full, want := range map[int][]EndpointID{0: {11, 12}, 11: {12}, 12: {11}, 23: {13}} {
		b := newHarness(t, func(c *Config) { c.CanPollLoad = true })
		b.r.rng = rand.New(rand.NewPCG(2, 2)) // with this draw the state is none of those that go to cells with room to spare
		b.arrive(1, 0)
		b.handle(ms, LoadPolled{1, &LoadReport{}})
		s := b.sentTo(b.handle(ms, LoadPolled{2, &LoadReport{}}))
		var acts []Action
		for _, a := range b.handle(ms, AttemptEnded{Request: 1, Endpoint: s, Outcome: PrefillDone, Elapsed: 20 * ms}) {
			if p, ok := a.(PollLoad); ok {
				queue := 0.0
				if full == int(p.Endpoint) || full == 23 {
					queue = 2
				}
				acts = append(acts, b.handle(ms, LoadPolled{p.Endpoint, &LoadReport{Memory: 0.3, QueuedRequests: queue}})...)
			}
		}
		if to := b.sentTo(acts); !slices.Contains(want, to) {
			t.Errorf("full %d: went to %d", full, to)
		}
	}
}

// One that hears enough asks nobody, and neither does one whose settings forbid it.
func TestAsksNobody(t *testing.T) {
	b := newHarness(t, nil)
	b.sentTo(b.arrive(1, 0))
	b = newHarness(t, func(c *Config) { c.CanPollLoad = true })
	for id := range RequestID(40) {
		b.handle(ms, AttemptEnded{Request: 99, Endpoint: 1, Outcome: PrefillDone, Elapsed: 10 * ms})
		b.r.estimateError.add(b.r.now, 1)
		if id > 20 {
			b.sentTo(b.arrive(100+id, 0))
		}
	}
}
