package routing

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// simulatedRequest is a request of simulateTraffic.
type simulatedRequest struct {
	class, prompt int
	session       Key
	at            time.Duration
	admitted      bool
}

// simulateTraffic simulates two minutes of several routers in front of prefill replicas that process one request after
// the other, at a time per uncached token. load is relative to the capacity of the replicas.
func simulateTraffic(t *testing.T, routers int, load float64, seed uint64) []simulatedRequest {
	t.Helper()
	const prefillReplicas, perToken = 8, 50 * time.Microsecond // 20,000 tokens per second
	cfg := testConfig()
	cfg.Routers, cfg.TenantQuotas = routers, nil
	cfg.Classes = []Class{
		{TTFTObjective: 1100 * ms, TTFTObjectivePer1K: 40 * ms, Weight: 1, Idempotency: Idempotent},
		{TTFTObjective: 2800 * ms, TTFTObjectivePer1K: 40 * ms, Weight: 2, Idempotency: NonIdempotent},
	}
	rng := rand.New(rand.NewPCG(seed, 3))
	now := time.Hour
	var endpoints []Endpoint
	for i := range 2 * prefillReplicas {
		endpoints = append(endpoints, Endpoint{ID: EndpointID(10 + i), Cell: i / 4, Kind: i % 2, State: Ready, Weight: 1})
	}
	var fleet []*Router
	for i := range routers {
		r, err := New(cfg, seed<<8|uint64(i))
		if err != nil {
			t.Fatal(err)
		}
		r.Handle(now, EndpointUpdate{Full: true, Endpoints: endpoints}, nil)
		fleet = append(fleet, r)
	}
	var agenda eventQueue
	after := func(dt time.Duration, do func()) { heap.Push(&agenda, scheduledEvent{now + dt, len(agenda), do}) }
	freeAt := map[EndpointID]time.Duration{}
	cached := map[EndpointID]map[Key]int{}
	var out []simulatedRequest
	var handle func(r *Router, n int, ev Event)
	handle = func(r *Router, n int, ev Event) {
		q := &out[n]
		for _, a := range r.Handle(now, ev, nil) {
			switch a := a.(type) {
			case SetTimer:
				after(a.After, func() { handle(r, n, TimerFired{a.Timer}) })
			case Send:
				if endpoints[a.Endpoint-10].Kind == 1 {
					q.admitted = true
					after(30*ms, func() {
						handle(r, n, AttemptEnded{Request: RequestID(n), Attempt: 1, Endpoint: a.Endpoint, Outcome: Served, Elapsed: 30 * ms, Final: true})
					})
					continue
				}
				if cached[a.Endpoint] == nil {
					cached[a.Endpoint] = map[Key]int{}
				}
				cachedTokens := min(cached[a.Endpoint][q.session], q.prompt)
				freeAt[a.Endpoint] = max(freeAt[a.Endpoint], now) + 7*ms + time.Duration(q.prompt-cachedTokens)*perToken
				cached[a.Endpoint][q.session] = q.prompt
				sent := now
				after(freeAt[a.Endpoint]-now, func() {
					handle(r, n, AttemptEnded{Request: RequestID(n), Endpoint: a.Endpoint, Outcome: PrefillDone, CachedTokens: cachedTokens, Elapsed: now - sent})
				})
			}
		}
	}
	mean := 3000 * 0.7 * perToken.Seconds() // mean time of a prefill, cached tokens deducted
	requestsOfSession := map[Key]int{}
	var arrive func()
	arrive = func() {
		after(time.Duration(rng.ExpFloat64()*mean/(load*prefillReplicas)*float64(time.Second)), arrive)
		q := simulatedRequest{session: Key(1 + rng.IntN(400)), at: now - time.Hour}
		q.class = int(q.session % 2)
		requestsOfSession[q.session]++
		q.prompt = min(600+int(rng.ExpFloat64()*2400)+100*requestsOfSession[q.session], 30000)
		out = append(out, q)
		n := len(out) - 1
		handle(fleet[rng.IntN(routers)], n, RequestArrived{
			Request: RequestID(n), Class: q.class, Tenant: -1, Session: q.session, PromptTokens: q.prompt,
			RemainingTime: 6 * time.Second,
		})
	}
	arrive()
	for end := now + 2*time.Minute; agenda[0].at < end; {
		x := heap.Pop(&agenda).(scheduledEvent)
		now = x.at
		x.do()
	}
	return out
}

func admittedFraction(of []simulatedRequest) float64 {
	n := 0
	for _, q := range of {
		if q.admitted {
			n++
		}
	}
	return float64(n) / float64(max(len(of), 1))
}

// At a low load the tenth of a class's requests with the longest prompts, and the next fifth, are admitted at least two
// thirds as often as the class's average, no session of several requests is rejected throughout, and no class and no
// third of the time has a low rate of admission.
func TestLowLoadAdmitsAllGroupsOfRequestsAlike(t *testing.T) {
	for _, routers := range []int{4, 30} {
		for seed := range uint64(3) {
			all := simulateTraffic(t, routers, 0.5, seed)
			if len(all) < 2000 {
				t.Fatalf("only %d requests", len(all))
			}
			for class := range 2 {
				var of []simulatedRequest
				for _, q := range all {
					if q.class == class {
						of = append(of, q)
					}
				}
				total := admittedFraction(of)
				slices.SortFunc(of, func(a, b simulatedRequest) int { return b.prompt - a.prompt })
				tenth, fifth := admittedFraction(of[:len(of)/10]), admittedFraction(of[len(of)/10:len(of)*3/10])
				if total < 0.9 || tenth < total*2/3 || fifth < total*2/3 {
					t.Errorf("%d routers, seed %d, class %d: admitted %.2f, of the longest tenth %.2f, of the next fifth %.2f", routers, seed, class, total, tenth, fifth)
				}
			}
			sessions := map[Key][]simulatedRequest{}
			var thirds [3][]simulatedRequest
			for _, q := range all {
				sessions[q.session] = append(sessions[q.session], q)
				third := min(int(q.at*3/(2*time.Minute)), 2)
				thirds[third] = append(thirds[third], q)
			}
			for key, of := range sessions {
				if len(of) > 2 && admittedFraction(of) == 0 {
					t.Errorf("%d routers, seed %d: all %d requests of session %d were rejected", routers, seed, len(of), key)
				}
			}
			for i, of := range thirds {
				if admittedFraction(of) < 0.9 {
					t.Errorf("%d routers, seed %d: third %d: admitted %.2f", routers, seed, i, admittedFraction(of))
				}
			}
		}
	}
	// The check can fail: at 1.5 times the capacity the rest is rejected.
	if overloaded := admittedFraction(simulateTraffic(t, 4, 1.5, 1)); overloaded > 0.9 {
		t.Errorf("at an overload %.2f are admitted", overloaded)
	}
}
