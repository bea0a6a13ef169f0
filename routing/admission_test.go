package routing

import (
	"testing"
	"time"
)

func TestOverloadRejectsBeforePrefill(t *testing.T) {
	h := newHarness(t, nil)
	for _, replica := range h.r.replicas {
		for i := range 200 {
			replica.pending = append(replica.pending, pendingAttempt{request: RequestID(1000 + i), sentAt: h.now, expectedBy: h.now + time.Minute})
		}
	}
	acts := h.arrive(1, 0)
	if !containsAction[Reject](acts) || containsAction[Send](acts) {
		t.Errorf("got %+v, want a rejection before any prefill", acts)
	}
	if acts[0].(Reject).RetryAfter <= 0 {
		t.Error("no Retry-After")
	}
}

// If the prefill alone exceeds the budget, only the queue delay is checked.
func TestLongPrefillIsJudgedByQueueDelayAlone(t *testing.T) {
	h := newHarness(t, nil)
	h.r.prefillModel.prior = [3]float64{10, 900, 7}
	if !containsAction[Send](h.arrive(1, 0)) {
		t.Error("a long prefill without a queue was rejected")
	}
}

// Among many routers, a router's fraction of a tenant's quota is less than a request per second. The first requests
// must still be within it, and rejected requests must not count against it.
func TestTenantQuotaAmongManyRouters(t *testing.T) {
	h := newHarness(t, func(c *Config) { c.Routers = 200 })
	if h.r.overQuota(1) {
		t.Error("a tenant's first request counts as beyond its quota")
	}
	before := h.r.tenantBuckets[1].Tokens()
	for range 20 {
		h.r.commonQueueDelay.add(h.now, 9000)
	}
	for id := range RequestID(50) {
		if !containsAction[Reject](h.handle(ms, RequestArrived{Request: id + 1, Tenant: 1, PromptTokens: 500, RemainingTime: 4 * time.Second})) {
			t.Fatal("the request was not rejected")
		}
	}
	if got := h.r.tenantBuckets[1].Tokens(); got < before {
		t.Errorf("after rejections %.2f tokens remain, before them %.2f", got, before)
	}
	h.handle(time.Minute, TimerFired{})
	admitted := 0
	for id := RequestID(100); !h.r.overQuota(1); id++ {
		arrival := RequestArrived{Request: id, Tenant: 1, PromptTokens: 500, RemainingTime: 4 * time.Second}
		h.handle(10*ms, AttemptEnded{Request: id, Endpoint: h.sentTo(h.handle(ms, arrival)), Outcome: PrefillDone, Elapsed: 10 * ms, Final: true})
		if admitted++; admitted > 20 {
			t.Fatal("the tenant never exceeds its quota")
		}
	}
}
