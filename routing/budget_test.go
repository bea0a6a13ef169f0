package routing

import (
	"testing"
	"time"
)

// A tenant's quota follows the router's part while that lasts, and falls back to the part for good after it.
func TestOwnFractionFollowsQuotaShareWhileItIsValid(t *testing.T) {
	b := newHarness(t, func(c *Config) { c.Routers, c.Budgets.Fraction = 4, 0.05 })
	part := func() float64 { return b.r.ownFraction(100) }
	if got := part(); got != 5 {
		t.Errorf("%v without a word, want 5", got)
	}
	b.handle(0, QuotaShare{Fraction: 0.5, Duration: time.Second})
	if got := part(); got != 50 {
		t.Errorf("%v of a half, want 50", got)
	}
	b.handle(999*ms, TimerFired{})
	if got := part(); got != 50 {
		t.Errorf("%v before its end, want 50", got)
	}
	b.handle(ms, TimerFired{})
	if got := part(); got != 5 {
		t.Errorf("%v after its end, want 5", got)
	}
	b.handle(0, QuotaShare{Fraction: 0.9, Duration: -time.Second}) // it was old when it came
	if got := part(); got != 5 {
		t.Errorf("%v of one that had ended, want 5", got)
	}
	even := newHarness(t, func(c *Config) { c.Routers = 4 })
	if got := even.r.ownFraction(100); got != 25 {
		t.Errorf("%v without budgets, want 25", got)
	}
}

// Many routers together ask a server no more often than its budget allows, and go on without asking.
func TestLoadPollsStayWithinBudgetOverAllRouters(t *testing.T) {
	const routers, span = 100, 80 * time.Second
	probes, sent := map[EndpointID]int{}, 0
	for range routers {
		b := newHarness(t, func(c *Config) { c.CanPollLoad, c.Budgets = true, Budgets{Fraction: 1.0 / routers, PollsPerReplica: 1} })
		id := RequestID(0)
		for end := b.now + span; b.now < end; {
			id++
			acts := b.handle(8*time.Second, RequestArrived{Request: id, Tenant: -1, Session: Key(id), PromptTokens: 1000, TimeLeft: 4 * time.Second})
			for len(acts) > 0 {
				a := acts[0]
				acts = acts[1:]
				switch a := a.(type) {
				case PollLoad:
					probes[a.Endpoint]++
					acts = append(acts, b.handle(0, LoadPolled{a.Endpoint, &LoadReport{}})...)
				case Send:
					sent++
					acts = append(acts, b.handle(20*ms, AttemptEnded{Request: a.Request, Endpoint: a.Endpoint, Outcome: PrefillDone, Elapsed: 20 * ms, Final: true})...)
				}
			}
		}
	}
	for id, n := range probes {
		// One a second, and at the start ten seconds' and one of each; unlimited it would be two for each of 1,000 requests.
		if most := int((span + pollBurstSpan).Seconds()) + routers; n > most {
			t.Errorf("server %d was asked %d times, at most %d", id, n, most)
		}
	}
	if len(probes) == 0 || sent < routers*8 {
		t.Errorf("%d servers asked, %d sends", len(probes), sent)
	}
}

// Repeats are a part of first tries and a few besides; what is beyond is refused at once with when to come back. Critical
// requests have what others leave.
func TestRetriesStayWithinBudgetAndReserveSomeForCritical(t *testing.T) {
	b := newHarness(t, func(c *Config) {
		c.Budgets, c.MaxRetryAfter = Budgets{Fraction: 0.5, RetriesPerRequest: 0.1, RetriesPerSecond: 0.8}, 400*ms // 0.4 a second, 3 at once
	})
	again := map[bool]int{}
	for id := RequestID(1); id <= 20; id++ {
		acts := b.failPrefill(id, 0)
		again[containsAction[Send](acts)]++
		if containsAction[Send](acts) {
			b.handle(5*ms, AttemptEnded{Request: id, Attempt: 1, Endpoint: b.sentTo(acts), Outcome: PrefillDone, Elapsed: 5 * ms, Final: true})
		} else {
			r, ok := acts[len(acts)-1].(Reject)
			if !ok || r.RetryAfter < 200*ms || r.RetryAfter > 400*ms {
				t.Fatalf("without a repeat: %+v", acts)
			}
		}
	}
	if again[true] < 1 || again[true] > 4 {
		t.Errorf("%d of 20 were tried again", again[true])
	}
	acts := b.failPrefill(100, 1)
	if !containsAction[Send](acts) {
		t.Error("a critical request is not tried again though something was kept for it")
	}
	b.handle(5*ms, AttemptEnded{Request: 100, Attempt: 1, Endpoint: b.sentTo(acts), Outcome: PrefillDone, Elapsed: 5 * ms, Final: true})
	b.handle(time.Minute, TimerFired{}) // the readers' failures are forgotten too
	if acts := b.failPrefill(200, 0); !containsAction[Send](acts) {
		t.Errorf("%+v: not tried again though the budget has filled", acts)
	}
	off := newHarness(t, nil)
	for id := RequestID(1); id <= 20; id++ {
		if !containsAction[Send](off.failPrefill(id, 0)) {
			t.Fatal("limited without a budget")
		}
	}
}

// An unsafe request that may have run is never refused for want of a repeat: that would promise that nothing ran.
func TestNonIdempotentRequestThatMayHaveRunFailsWithoutRetryBudget(t *testing.T) {
	b := newHarness(t, func(c *Config) { c.Budgets = Budgets{Fraction: 1, RetriesPerRequest: 1e-9} })
	for id := RequestID(1); id < 5; id++ {
		b.failPrefill(id, 1)
	}
	_, w := b.completePrefill(10, 1)
	if acts := b.handle(ms, AttemptEnded{Request: 10, Attempt: 1, Endpoint: w, Outcome: ConnectionReset}); containsAction[Reject](acts) || containsAction[Send](acts) || !containsAction[Fail](acts) {
		t.Errorf("%+v", acts)
	}
}

// A retune keeps the budgets: they are the fleet's, not the settings'.
func TestReconfigureKeepsBudgets(t *testing.T) {
	b := newHarness(t, func(c *Config) { c.Budgets = Budgets{Fraction: 0.1, RetriesPerRequest: 0.2} })
	if err := b.r.Reconfigure(b.now, testConfig()); err != nil || b.r.cfg.Budgets.Fraction != 0.1 {
		t.Errorf("%+v, %v", b.r.cfg.Budgets, err)
	}
}

func TestValidateRejectsBudgetsOutOfRange(t *testing.T) {
	for _, bad := range []Budgets{{Fraction: 1.5}, {Fraction: -1}, {PollsPerReplica: -1}, {RetriesPerRequest: -1}, {RetriesPerSecond: -1}} {
		cfg := testConfig()
		cfg.Budgets = bad
		if cfg.Validate() == nil {
			t.Errorf("%+v passes", bad)
		}
	}
}
