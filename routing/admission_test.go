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
		t.Errorf("got %+v, want a refusal before any read", acts)
	}
	if acts[0].(Reject).RetryAfter <= 0 {
		t.Error("no advice when to return")
	}
}

// A read that alone is over the budget is judged by its queue wait.
func TestLongPrefillIsJudgedByQueueDelayAlone(t *testing.T) {
	b := newHarness(t, nil)
	b.r.prefillModel.prior = [3]float64{10, 900, 7}
	if !containsAction[Send](b.arrive(1, 0)) {
		t.Error("a long read with no queue was refused")
	}
}

// Among many routers a tenant's part is a fraction of a request a second: its first requests are within
// the share, and refused ones spend nothing of it.
func TestTenantQuotaAmongManyRouters(t *testing.T) {
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
