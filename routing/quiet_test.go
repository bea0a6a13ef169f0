package routing

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// simulatedRequest is one of quietDay's.
type simulatedRequest struct {
	class, prompt int
	session       Key
	at            time.Duration
	admitted      bool
}

// simulateTraffic plays a fleet of routers before readers that take their time for what they have not kept, one request after the other, at a
// part of what they can do, for two minutes. It returns whether each request was passed.
func simulateTraffic(t *testing.T, routers int, load float64, seed uint64) []simulatedRequest {
	t.Helper()
	const readers, perToken = 8, 50 * time.Microsecond // 20,000 tokens a second
	cfg := testConfig()
	cfg.Routers, cfg.TenantQuotas = routers, nil
	cfg.Classes = []Class{{TTFTObjective: 1100 * ms, TTFTObjectivePer1K: 40 * ms, Weight: 1, Idempotency: Idempotent}, {TTFTObjective: 2800 * ms, TTFTObjectivePer1K: 40 * ms, Weight: 2, Idempotency: NonIdempotent}}
	rng := rand.New(rand.NewPCG(seed, 3))
	now := time.Hour
	var list []Endpoint
	for i := range 2 * readers {
		list = append(list, Endpoint{ID: EndpointID(10 + i), Cell: i / 4, Kind: i % 2, State: Ready, Weight: 1})
	}
	var all []*Router
	for i := range routers {
		r, err := New(cfg, seed<<8|uint64(i))
		if err != nil {
			t.Fatal(err)
		}
		r.Handle(now, EndpointUpdate{Full: true, Endpoints: list}, nil)
		all = append(all, r)
	}
	var agenda eventQueue
	after := func(dt time.Duration, do func()) { heap.Push(&agenda, scheduledEvent{now + dt, len(agenda), do}) }
	free := map[EndpointID]time.Duration{}
	kept := map[EndpointID]map[Key]int{}
	var out []simulatedRequest
	var handle func(r *Router, n int, ev Event)
	handle = func(r *Router, n int, ev Event) {
		q := &out[n]
		for _, a := range r.Handle(now, ev, nil) {
			switch a := a.(type) {
			case SetTimer:
				after(a.After, func() { handle(r, n, TimerFired{a.Timer}) })
			case Send:
				if list[a.Endpoint-10].Kind == 1 {
					q.admitted = true
					after(30*ms, func() {
						handle(r, n, AttemptEnded{Request: RequestID(n), Attempt: 1, Endpoint: a.Endpoint, Outcome: Served, Elapsed: 30 * ms, Final: true})
					})
					continue
				}
				if kept[a.Endpoint] == nil {
					kept[a.Endpoint] = map[Key]int{}
				}
				had := min(kept[a.Endpoint][q.session], q.prompt)
				free[a.Endpoint] = max(free[a.Endpoint], now) + 7*ms + time.Duration(q.prompt-had)*perToken
				kept[a.Endpoint][q.session] = q.prompt
				sent := now
				after(free[a.Endpoint]-now, func() {
					handle(r, n, AttemptEnded{Request: RequestID(n), Endpoint: a.Endpoint, Outcome: PrefillDone, CachedTokens: had, Elapsed: now - sent})
				})
			}
		}
	}
	mean := 3000 * 0.7 * perToken.Seconds() // of a read, with what is kept
	turns := map[Key]int{}
	var arrive func()
	arrive = func() {
		after(time.Duration(rng.ExpFloat64()*mean/(load*readers)*float64(time.Second)), arrive)
		q := simulatedRequest{session: Key(1 + rng.IntN(400)), at: now - time.Hour}
		q.class = int(q.session % 2)
		turns[q.session]++
		q.prompt = min(600+int(rng.ExpFloat64()*2400)+100*turns[q.session], 30000)
		out = append(out, q)
		n := len(out) - 1
		handle(all[rng.IntN(routers)], n, RequestArrived{Request: RequestID(n), Class: q.class, Tenant: -1, Session: q.session, PromptTokens: q.prompt, TimeLeft: 6 * time.Second})
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

// On a quiet day the tenth of a class's requests with the longest prompts, and the next fifth, are passed at least two thirds as often as
// its others, no session with several turns is refused throughout, and no third of the day and no class falls off.
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
				whole := admittedFraction(of)
				slices.SortFunc(of, func(a, b simulatedRequest) int { return b.prompt - a.prompt })
				tenth, fifth := admittedFraction(of[:len(of)/10]), admittedFraction(of[len(of)/10:len(of)*3/10])
				if whole < 0.9 || tenth < whole*2/3 || fifth < whole*2/3 {
					t.Errorf("%d routers, seed %d, class %d: passed %.2f, of the longest tenth %.2f, of the next fifth %.2f", routers, seed, class, whole, tenth, fifth)
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
					t.Errorf("%d routers, seed %d: all %d turns of session %d were refused", routers, seed, len(of), key)
				}
			}
			for i, of := range thirds {
				if admittedFraction(of) < 0.9 {
					t.Errorf("%d routers, seed %d: third %d: passed %.2f", routers, seed, i, admittedFraction(of))
				}
			}
		}
	}
	// The check can fail: at half as much again as the readers can do, the rest is refused.
	if whole := admittedFraction(simulateTraffic(t, 4, 1.5, 1)); whole > 0.9 {
		t.Errorf("an overload passes %.2f", whole)
	}
}
