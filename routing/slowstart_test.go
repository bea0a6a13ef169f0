package routing

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// Twenty or thirty routers, some of which see several times the mean of the traffic, are under a burst of half as much again as a cold
// server comes: what all send it stays within the budget of N and what chance may add, 2 x root of N + 2, in any window of the rule. The
// server is a reader, also one that is home to a new text for which a quarter of all requests ask, more than the pages name, or a writer,
// also one whose cell sends all states since the other cells' readers do not answer.
func TestSlowStartUnderBurstFromManyRouters(t *testing.T) {
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
func TestSlowStartLimitsNewPrefillReplica(t *testing.T) {
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

// With no limit in the settings a cold server is not held back.
func TestNoSlowStartWithoutOverloadMultiple(t *testing.T) {
	b := newHarness(t, func(c *Config) { c.OverloadMultiple = 0 })
	b.handle(0, EndpointUpdate{Endpoints: []Endpoint{{ID: 1, State: Gone}, {ID: 2, State: Ready, Started: b.now}}})
	if s := b.sentTo(b.arrive(1, 0)); s != 2 {
		t.Errorf("went to %d", s)
	}
}

// Two hundred routers that hear of one cold server together send it no more than their part in any
// window of the rule, from the first moment on: each may not count itself alone.
func TestSlowStartWithManyRoutersFromStart(t *testing.T) {
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
