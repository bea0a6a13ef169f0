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

// simulateTraffic simulates two minutes of traffic through several routers to prefill replicas that process one request
// after the other, at a fixed time per uncached token. load is relative to the capacity of the replicas.
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
	var queue eventQueue
	after := func(dt time.Duration, do func()) { heap.Push(&queue, scheduledEvent{now + dt, len(queue), do}) }
	freeAt := map[EndpointID]time.Duration{}
	cached := map[EndpointID]map[Key]int{}
	var out []simulatedRequest
	var handle func(r *Router, index int, ev Event)
	handle = func(r *Router, index int, ev Event) {
		req := &out[index]
		for _, a := range r.Handle(now, ev, nil) {
			switch a := a.(type) {
			case SetTimer:
				after(a.After, func() { handle(r, index, TimerFired{a.Timer}) })
			case Send:
				if endpoints[a.Endpoint-10].Kind == 1 {
					req.admitted = true
					after(30*ms, func() {
						handle(r, index, AttemptEnded{Request: RequestID(index), Attempt: 1, Endpoint: a.Endpoint, Outcome: Served, Elapsed: 30 * ms, Final: true})
					})
					continue
				}
				if cached[a.Endpoint] == nil {
					cached[a.Endpoint] = map[Key]int{}
				}
				cachedTokens := min(cached[a.Endpoint][req.session], req.prompt)
				freeAt[a.Endpoint] = max(freeAt[a.Endpoint], now) + 7*ms + time.Duration(req.prompt-cachedTokens)*perToken
				cached[a.Endpoint][req.session] = req.prompt
				sent := now
				after(freeAt[a.Endpoint]-now, func() {
					handle(r, index, AttemptEnded{Request: RequestID(index), Endpoint: a.Endpoint, Outcome: PrefillDone, CachedTokens: cachedTokens, Elapsed: now - sent})
				})
			}
		}
	}
	meanPrefillSeconds := 3000 * 0.7 * perToken.Seconds() // mean duration of a prefill without the cached tokens
	requestsOfSession := map[Key]int{}
	var arrive func()
	arrive = func() {
		after(time.Duration(rng.ExpFloat64()*meanPrefillSeconds/(load*prefillReplicas)*float64(time.Second)), arrive)
		req := simulatedRequest{session: Key(1 + rng.IntN(400)), at: now - time.Hour}
		req.class = int(req.session % 2)
		requestsOfSession[req.session]++
		req.prompt = min(600+int(rng.ExpFloat64()*2400)+100*requestsOfSession[req.session], 30000)
		out = append(out, req)
		index := len(out) - 1
		handle(fleet[rng.IntN(routers)], index, RequestArrived{
			Request: RequestID(index), Class: req.class, Tenant: -1, Session: req.session, PromptTokens: req.prompt,
			RemainingTime: 6 * time.Second,
		})
	}
	arrive()
	for end := now + 2*time.Minute; queue[0].at < end; {
		next := heap.Pop(&queue).(scheduledEvent)
		now = next.at
		next.do()
	}
	return out
}

func admittedFraction(requests []simulatedRequest) float64 {
	n := 0
	for _, q := range requests {
		if q.admitted {
			n++
		}
	}
	return float64(n) / float64(max(len(requests), 1))
}

// The test guards against rejecting some groups of requests at a low load. The tenth of a class's requests with the
// longest prompts, and the next fifth, must be admitted at least two thirds as often as the class's average. No session
// of several requests may be rejected throughout, and no class and no third of the time may have a low admission rate.
func TestLowLoadAdmitsAllGroupsOfRequestsAlike(t *testing.T) {
	for _, routers := range []int{4, 30} {
		for seed := range uint64(3) {
			requests := simulateTraffic(t, routers, 0.5, seed)
			if len(requests) < 2000 {
				t.Fatalf("only %d requests", len(requests))
			}
			for class := range 2 {
				var group []simulatedRequest
				for _, q := range requests {
					if q.class == class {
						group = append(group, q)
					}
				}
				total := admittedFraction(group)
				slices.SortFunc(group, func(a, b simulatedRequest) int { return b.prompt - a.prompt })
				tenth, fifth := admittedFraction(group[:len(group)/10]), admittedFraction(group[len(group)/10:len(group)*3/10])
				if total < 0.9 || tenth < total*2/3 || fifth < total*2/3 {
					t.Errorf("%d routers, seed %d, class %d: admitted %.2f, of the longest tenth %.2f, of the next fifth %.2f", routers, seed, class, total, tenth, fifth)
				}
			}
			sessions := map[Key][]simulatedRequest{}
			var thirds [3][]simulatedRequest
			for _, q := range requests {
				sessions[q.session] = append(sessions[q.session], q)
				third := min(int(q.at*3/(2*time.Minute)), 2)
				thirds[third] = append(thirds[third], q)
			}
			for key, group := range sessions {
				if len(group) > 2 && admittedFraction(group) == 0 {
					t.Errorf("%d routers, seed %d: all %d requests of session %d were rejected", routers, seed, len(group), key)
				}
			}
			for i, group := range thirds {
				if admittedFraction(group) < 0.9 {
					t.Errorf("%d routers, seed %d: third %d: admitted %.2f", routers, seed, i, admittedFraction(group))
				}
			}
		}
	}
	// The check detects an overload: at 1.5 times the capacity, the excess is rejected.
	if overloaded := admittedFraction(simulateTraffic(t, 4, 1.5, 1)); overloaded > 0.9 {
		t.Errorf("at 1.5 times the capacity, %.2f of the requests are admitted", overloaded)
	}
}
