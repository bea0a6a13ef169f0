package routing

import (
	"testing"
	"time"
)

// A router's fraction of a limit is the fraction of its QuotaShare while that is valid, and Budgets.Fraction
// afterwards.
func TestOwnFractionFollowsQuotaShareWhileItIsValid(t *testing.T) {
	h := newHarness(t, func(c *Config) { c.Routers, c.Budgets.Fraction = 4, 0.05 })
	fraction := func() float64 { return h.r.ownFraction(100) }
	if got := fraction(); got != 5 {
		t.Errorf("%v without a QuotaShare, want 5", got)
	}
	h.handle(0, QuotaShare{Fraction: 0.5, ValidFor: time.Second})
	if got := fraction(); got != 50 {
		t.Errorf("%v with a share of a half, want 50", got)
	}
	h.handle(999*ms, TimerFired{})
	if got := fraction(); got != 50 {
		t.Errorf("%v before the share expires, want 50", got)
	}
	h.handle(ms, TimerFired{})
	if got := fraction(); got != 5 {
		t.Errorf("%v after the share has expired, want 5", got)
	}
	h.handle(0, QuotaShare{Fraction: 0.9, ValidFor: -time.Second}) // it has expired before it arrives
	if got := fraction(); got != 5 {
		t.Errorf("%v with a share that had expired, want 5", got)
	}
	equalSplit := newHarness(t, func(c *Config) { c.Routers = 4 })
	if got := equalSplit.r.ownFraction(100); got != 25 {
		t.Errorf("%v without budgets, want 25", got)
	}
}

// Many routers together poll a replica no more often than the poll budget allows, and send further requests without a
// poll.
func TestLoadPollsStayWithinBudgetOverAllRouters(t *testing.T) {
	const routers, span = 100, 80 * time.Second
	polls, sends := map[EndpointID]int{}, 0
	for range routers {
		h := newHarness(t, func(c *Config) { c.CanPollLoad, c.Budgets = true, Budgets{Fraction: 1.0 / routers, PollsPerReplica: 1} })
		id := RequestID(0)
		for end := h.now + span; h.now < end; {
			id++
			acts := h.handle(8*time.Second, RequestArrived{Request: id, Tenant: -1, Session: Key(id), PromptTokens: 1000, RemainingTime: 4 * time.Second})
			for len(acts) > 0 {
				a := acts[0]
				acts = acts[1:]
				switch a := a.(type) {
				case PollLoad:
					polls[a.Endpoint]++
					acts = append(acts, h.handle(0, LoadPolled{a.Endpoint, &LoadReport{}})...)
				case Send:
					sends++
					acts = append(acts, h.handle(20*ms, AttemptEnded{Request: a.Request, Endpoint: a.Endpoint, Outcome: PrefillDone, Elapsed: 20 * ms, Final: true})...)
				}
			}
		}
	}
	for id, n := range polls {
		// The limit is one per second, plus the burst of ten seconds and one per router. Without a limit there would be
		// two polls for each of 1,000 requests.
		if most := int((span + pollBurstSpan).Seconds()) + routers; n > most {
			t.Errorf("replica %d was polled %d times, want at most %d", id, n, most)
		}
	}
	if len(polls) == 0 || sends < routers*8 {
		t.Errorf("%d replicas polled, %d sends", len(polls), sends)
	}
}

// Retries are limited to a fraction of first attempts plus a few; beyond that a request is rejected at once with a
// Retry-After. A part of the burst is reserved for critical requests.
func TestRetriesStayWithinBudgetAndReserveSomeForCritical(t *testing.T) {
	h := newHarness(t, func(c *Config) {
		c.Budgets, c.MaxRetryAfter = Budgets{Fraction: 0.5, RetriesPerRequest: 0.1, RetriesPerSecond: 0.8}, 400*ms // 0.4/s, 3 at once
	})
	retried := map[bool]int{}
	for id := RequestID(1); id <= 20; id++ {
		acts := h.failPrefill(id, 0)
		retried[containsAction[Send](acts)]++
		if containsAction[Send](acts) {
			h.handle(5*ms, AttemptEnded{Request: id, Attempt: 1, Endpoint: h.sentTo(acts), Outcome: PrefillDone, Elapsed: 5 * ms, Final: true})
		} else {
			r, ok := acts[len(acts)-1].(Reject)
			if !ok || r.RetryAfter < 200*ms || r.RetryAfter > 400*ms {
				t.Fatalf("without a retry: %+v", acts)
			}
		}
	}
	if retried[true] < 1 || retried[true] > 4 {
		t.Errorf("%d of 20 were retried", retried[true])
	}
	acts := h.failPrefill(100, 1)
	if !containsAction[Send](acts) {
		t.Error("a critical request is not retried although a part of the budget is reserved for it")
	}
	h.handle(5*ms, AttemptEnded{Request: 100, Attempt: 1, Endpoint: h.sentTo(acts), Outcome: PrefillDone, Elapsed: 5 * ms, Final: true})
	h.handle(time.Minute, TimerFired{}) // meanwhile the prefill replicas' failure levels decay too
	if acts := h.failPrefill(200, 0); !containsAction[Send](acts) {
		t.Errorf("%+v: not retried although the budget has filled", acts)
	}
	unlimited := newHarness(t, nil)
	for id := RequestID(1); id <= 20; id++ {
		if !containsAction[Send](unlimited.failPrefill(id, 0)) {
			t.Fatal("a retry was refused although there is no budget")
		}
	}
}

// A non-idempotent request that may have run fails if no retry remains: a rejection would promise that nothing ran.
func TestNonIdempotentRequestThatMayHaveRunFailsWithoutRetryBudget(t *testing.T) {
	h := newHarness(t, func(c *Config) { c.Budgets = Budgets{Fraction: 1, RetriesPerRequest: 1e-9} })
	for id := RequestID(1); id < 5; id++ {
		h.failPrefill(id, 1)
	}
	_, decodeReplica := h.completePrefill(10, 1)
	if acts := h.handle(ms, AttemptEnded{Request: 10, Attempt: 1, Endpoint: decodeReplica, Outcome: ConnectionReset}); containsAction[Reject](acts) || containsAction[Send](acts) || !containsAction[Fail](acts) {
		t.Errorf("got %+v, want a failure", acts)
	}
}

// Reconfigure keeps the budgets, because they apply to all routers and not to one configuration.
func TestReconfigureKeepsBudgets(t *testing.T) {
	h := newHarness(t, func(c *Config) { c.Budgets = Budgets{Fraction: 0.1, RetriesPerRequest: 0.2} })
	if err := h.r.Reconfigure(h.now, testConfig()); err != nil || h.r.cfg.Budgets.Fraction != 0.1 {
		t.Errorf("budgets after the reconfiguration: %+v, error %v", h.r.cfg.Budgets, err)
	}
}

func TestValidateRejectsBudgetsOutOfRange(t *testing.T) {
	for _, budgets := range []Budgets{{Fraction: 1.5}, {Fraction: -1}, {PollsPerReplica: -1}, {RetriesPerRequest: -1}, {RetriesPerSecond: -1}} {
		cfg := testConfig()
		cfg.Budgets = budgets
		if cfg.Validate() == nil {
			t.Errorf("Validate accepted %+v", budgets)
		}
	}
}
