package routing

import (
	"testing"
	"time"
)

func TestOverloadRejectsBeforePrefill(t *testing.T) {
	b := newHarness(t, nil)
	for _, s := range b.r.replicas {
		for i := range 200 {
			s.pending = append(s.pending, pendingAttempt{request: RequestID(1000 + i), sentAt: b.now, expectedBy: b.now + time.Minute})
		}
	}
	acts := b.arrive(1, 0)
	if !containsAction[Reject](acts) || containsAction[Send](acts) {
		t.Errorf("got %+v, want a rejection before any prefill", acts)
	}
	if acts[0].(Reject).RetryAfter <= 0 {
		t.Error("no Retry-After")
	}
}

// A prefill that alone exceeds the budget is judged by its queue delay.
func TestLongPrefillIsJudgedByQueueDelayAlone(t *testing.T) {
	b := newHarness(t, nil)
	b.r.prefillModel.prior = [3]float64{10, 900, 7}
	if !containsAction[Send](b.arrive(1, 0)) {
		t.Error("a long prefill without a queue was rejected")
	}
}

// Among many routers a router's part of a tenant's quota is less than a request per second: the first requests are within
// it, and rejected ones spend nothing of it.
func TestTenantQuotaAmongManyRouters(t *testing.T) {
	b := newHarness(t, func(c *Config) { c.Routers = 200 })
	if b.r.overQuota(1) {
		t.Error("a tenant's first request counts as beyond its quota")
	}
	before := b.r.tenantBuckets[1].Tokens()
	for range 20 {
		b.r.commonQueueDelay.add(b.now, 9000)
	}
	for id := range RequestID(50) {
		if !containsAction[Reject](b.handle(ms, RequestArrived{Request: id + 1, Tenant: 1, PromptTokens: 500, TimeLeft: 4 * time.Second})) {
			t.Fatal("not rejected")
		}
	}
	if got := b.r.tenantBuckets[1].Tokens(); got < before {
		t.Errorf("after rejections %.2f tokens remain, before them %.2f", got, before)
	}
	b.handle(time.Minute, TimerFired{})
	n := 0
	for id := RequestID(100); !b.r.overQuota(1); id++ {
		a := RequestArrived{Request: id, Tenant: 1, PromptTokens: 500, TimeLeft: 4 * time.Second}
		b.handle(10*ms, AttemptEnded{Request: id, Endpoint: b.sentTo(b.handle(ms, a)), Outcome: PrefillDone, Elapsed: 10 * ms, Final: true})
		if n++; n > 20 {
			t.Fatal("never beyond its quota")
		}
	}
}
