package routing

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// The test guards against overloading a replica in slow start. The replica starts during a burst of 1.5 times the
// traffic of 20, 30 or 300 routers, some of which see several times the mean traffic. In any window, all routers
// together may send it at most the allowed number N plus 2 sqrt(N) + 2 for random variation. The replica is a prefill
// replica, or a prefill replica to which a new prefix of a quarter of all requests hashes (a larger share than the
// operators' documentation states), or a decode replica, or a decode replica whose cell gets all requests because the
// prefill replicas of other cells do not respond.
func TestSlowStartUnderBurstFromManyRouters(t *testing.T) {
	for _, c := range []struct {
		name           string
		routers        int
		hotShare       float64
		decode         bool
		otherCellsFail bool
	}{
		{"prefill", 20, 0, false, false},
		{"prefill", 30, 0, false, false},
		{"prefill", 300, 0, false, false},
		{"prefill, new prefix of a quarter", 20, 0.25, false, false},
		{"prefill, new prefix of a quarter", 30, 0.25, false, false},
		{"prefill, new prefix of a quarter", 300, 0.25, false, false},
		{"decode", 20, 0, true, false},
		{"decode", 30, 0, true, false},
		{"decode", 300, 0, true, false},
		{"decode in the only cell", 20, 0, true, true},
		{"decode in the only cell", 30, 0, true, true},
		{"decode in the only cell", 300, 0, true, true},
	} {
		for seed := range uint64(6) {
			worst, sent := overloadUnderBurst(t, c.routers, c.hotShare, c.decode, c.otherCellsFail, seed)
			if worst > 1 || sent == 0 {
				t.Errorf("%s, %d routers, seed %d: %d sends, at worst %.2f of what is allowed", c.name, c.routers, seed, sent, worst)
			}
		}
	}
	// The check detects an overload: routers that are each configured as one of three send too much.
	if worst, _ := overloadUnderBurst(t, -300, 0.25, false, false, 1); worst <= 1 {
		t.Errorf("300 routers, each configured as one of three: at worst %.2f of what is allowed", worst)
	}
}

// overloadUnderBurst counts the sends to a replica in slow start. It returns the worst window's count divided by the
// allowed count, and the total count. If routers is negative, there are -routers routers, each configured as one of
// three.
func overloadUnderBurst(t *testing.T, routers int, hotShare float64, decode, otherCellsFail bool, seed uint64) (worst float64, total int) {
	t.Helper()
	const rate = 40.0 // requests per second before the burst
	cfg := testConfig()
	if cfg.Routers = routers; routers < 0 {
		routers, cfg.Routers = -routers, 3
	}
	now := time.Hour
	rng := rand.New(rand.NewPCG(seed, 5))
	var endpoints []Endpoint
	for i := range 16 { // four cells of two prefill and two decode replicas
		endpoints = append(endpoints, Endpoint{ID: EndpointID(10 + i), Cell: i / 4, Kind: i % 2, State: Ready, Weight: 1})
	}
	var allRouters []*Router
	var routersByTraffic []int // indices of routers; each occurs in proportion to its traffic
	for i := range routers {
		r, err := New(cfg, seed<<16|uint64(i))
		if err != nil {
			t.Fatal(err)
		}
		r.Handle(now, EndpointUpdate{Full: true, Endpoints: endpoints}, nil)
		allRouters = append(allRouters, r)
		for range 1 + 5*(i%5/4) { // every fifth router sees six times as much traffic as the others
			routersByTraffic = append(routersByTraffic, i)
		}
	}
	started := &endpoints[0]
	if decode {
		started = &endpoints[1]
	}
	hotPrefix := Key(1000)
	for i := 0; i < 16; i++ {
		if endpoints[i].Kind == 0 && endpoints[i].ID != started.ID && exponentialDraw(hotPrefix, endpoints[i].ID) < exponentialDraw(hotPrefix, started.ID)/(slowStartWeightFactor*cfg.SlowStartInitial) {
			hotPrefix, i = hotPrefix+1, -1
		}
	}
	var sent []time.Duration
	handle := func(r *Router, arrival *RequestArrived) {
		events := []Event{*arrival}
		for attempt := 0; attempt < len(events); attempt++ {
			for _, a := range r.Handle(now, events[attempt], nil) {
				s, ok := a.(Send)
				if !ok {
					continue
				}
				if s.Endpoint == started.ID && started.Started > 0 {
					sent, total = append(sent, now), total+1
				}
				outcome, endpoint := PrefillDone, endpoints[s.Endpoint-10]
				if endpoint.Kind == 1 {
					outcome = Served
				} else if otherCellsFail && endpoint.Cell > 0 && started.Started > 0 {
					outcome = ConnectFailed
				}
				events = append(events, AttemptEnded{Request: arrival.Request, Attempt: attempt, Endpoint: s.Endpoint, Outcome: outcome, Elapsed: 40 * ms, Final: outcome == Served})
			}
		}
	}
	burstStart := now + 20*time.Second // by then the routers have seen enough traffic
	for id := RequestID(1); now < burstStart+cfg.SlowStartDuration; id++ {
		gap := rng.ExpFloat64() / rate
		if now > burstStart {
			gap /= 1.5
		}
		now += time.Duration(gap * float64(time.Second))
		if now >= burstStart && started.Started == 0 {
			started.Started = now
			for _, r := range allRouters {
				r.Handle(now, EndpointUpdate{Full: true, Endpoints: endpoints}, nil)
			}
		}
		shared := Key(100 + rng.IntN(16)) // prefixes that all routers have seen
		if started.Started > 0 && rng.Float64() < hotShare {
			shared = hotPrefix
		}
		handle(allRouters[routersByTraffic[rng.IntN(len(routersByTraffic))]], &RequestArrived{Request: id, Tenant: -1, Session: Key(rng.Uint64() | 1), SharedPrefix: shared, SharedPrefixTokens: 15, PromptTokens: 20,
			RemainingTime: 4 * time.Second})
		for len(sent) > 0 && sent[0] < now-slowStartWindow {
			sent = sent[1:]
		}
		if started.Started > 0 {
			ramp := cfg.SlowStartInitial + (1-cfg.SlowStartInitial)*float64(now-started.Started)/float64(cfg.SlowStartDuration)
			allowed := cfg.OverloadMultiple * ramp * rate / 8 * slowStartWindow.Seconds() // a replica can take at least the even share
			worst = max(worst, float64(len(sent))/(allowed+2*math.Sqrt(allowed)+2))
		}
	}
	return worst, total
}

// A new router that has only an endpoint list limits the sends to a replica in slow start at once.
func TestSlowStartLimitsNewPrefillReplica(t *testing.T) {
	h := newHarness(t, func(c *Config) { c.SlowStartDuration = 10 * time.Second })
	h.handle(0, EndpointUpdate{Endpoints: []Endpoint{{ID: 2, Kind: 0, State: Ready, Started: h.now}}})
	n := map[EndpointID]int{}
	for i := range RequestID(100) {
		s := h.sentTo(h.arrive(i+1, 0))
		n[s]++
		h.handle(20*ms, AttemptEnded{Request: i + 1, Endpoint: s, Outcome: PrefillDone, Elapsed: 20 * ms, Final: true})
	}
	if n[2] > 30 || n[1] < 70 {
		t.Errorf("sends %v: the replica in slow start got more than its share", n)
	}
}

// Without an OverloadMultiple there is no slow start.
func TestNoSlowStartWithoutOverloadMultiple(t *testing.T) {
	h := newHarness(t, func(c *Config) { c.OverloadMultiple = 0 })
	h.handle(0, EndpointUpdate{Endpoints: []Endpoint{{ID: 1, State: Gone}, {ID: 2, State: Ready, Started: h.now}}})
	if s := h.sentTo(h.arrive(1, 0)); s != 2 {
		t.Errorf("the request went to replica %d, want replica 2", s)
	}
}

// In any window, from the first moment on, two hundred routers that get the endpoint of one new replica together send
// it no more than is allowed. The test fails if each router assumes that it is the only one.
func TestSlowStartWithManyRoutersFromStart(t *testing.T) {
	if worst, sent := overloadFromStart(t, false); worst > 1 || sent == 0 {
		t.Errorf("%d sends, at worst %.2f of what is allowed", sent, worst)
	}
	// The check detects an overload: requests that all hash to the replica are too many.
	if worst, _ := overloadFromStart(t, true); worst <= 1 {
		t.Errorf("one session for all requests: at worst %.2f of what is allowed", worst)
	}
}

// overloadFromStart counts the sends to a replica in slow start. It returns the worst window's count divided by the
// allowed count, and the total count. With singleSession, all requests belong to one session, which hashes to that
// replica.
func overloadFromStart(t *testing.T, singleSession bool) (worst float64, total int) {
	t.Helper()
	const routers, rate = 200, 200.0 // requests per second at all routers
	cfg := testConfig()
	cfg.Routers = routers
	now := time.Hour
	var endpoints []Endpoint
	for i := range 20 {
		endpoints = append(endpoints, Endpoint{ID: EndpointID(10 + i), Cell: i / 5, State: Ready})
	}
	for i := range 4 {
		endpoints = append(endpoints, Endpoint{ID: EndpointID(1 + i), Kind: 1, Cell: i, State: Ready})
	}
	started := &endpoints[19]
	started.Started = now
	var allRouters []*Router
	for i := range routers {
		r, err := New(cfg, uint64(i))
		if err != nil {
			t.Fatal(err)
		}
		r.Handle(now, EndpointUpdate{Full: true, Endpoints: endpoints}, nil)
		allRouters = append(allRouters, r)
	}
	var sent []time.Duration
	rng := rand.New(rand.NewPCG(1, 2))
	sessionOfStarted := Key(1)
	for i := 0; i < 19; i++ {
		if exponentialDraw(sessionOfStarted, endpoints[i].ID) < exponentialDraw(sessionOfStarted, started.ID)/(slowStartWeightFactor*cfg.SlowStartInitial) {
			sessionOfStarted, i = sessionOfStarted+1, -1
		}
	}
	for id := RequestID(1); id < 2000; id++ {
		session := Key(id)
		if singleSession {
			session = sessionOfStarted
		}
		now += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		r := allRouters[rng.IntN(routers)]
		for _, a := range r.Handle(now, RequestArrived{Request: id, Tenant: -1, Session: session, PromptTokens: 20, RemainingTime: 4 * time.Second}, nil) {
			s, ok := a.(Send)
			if !ok {
				continue
			}
			if s.Endpoint == started.ID {
				sent = append(sent, now)
				total++
			}
			elapsed := 400 * ms // the other replicas are slow, so that all routers prefer the new one
			if s.Endpoint == started.ID {
				elapsed = 40 * ms
			}
			r.Handle(now, AttemptEnded{Request: id, Endpoint: s.Endpoint, Outcome: PrefillDone, Elapsed: elapsed, Final: true}, nil)
		}
		for len(sent) > 0 && sent[0] < now-slowStartWindow {
			sent = sent[1:]
		}
		// A replica at full capacity can take at least the even share.
		ramp := cfg.SlowStartInitial + (1-cfg.SlowStartInitial)*float64(now-started.Started)/float64(cfg.SlowStartDuration)
		allowed := cfg.OverloadMultiple * ramp * rate / 20 * slowStartWindow.Seconds()
		worst = max(worst, float64(len(sent))/allowed)
	}
	return worst, total
}
