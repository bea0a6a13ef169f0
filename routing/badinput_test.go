package routing

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestBadInputPoisonsNothing checks that requests and outcomes with any token counts, and load reports with any values,
// leave each estimate finite and not negative and each coefficient within its bounds.
func TestBadInputPoisonsNothing(t *testing.T) {
	tokens := rapid.SampledFrom([]int{math.MinInt32, -1, 0, 1, 900, 60_000, 4_000_000_000, math.MaxInt32})
	value := rapid.SampledFrom([]float64{math.NaN(), math.Inf(1), math.Inf(-1), -1, 0, 0.5, 1e300})
	rapid.Check(t, func(t *rapid.T) {
		cfg := testConfig()
		cfg.CanPollLoad = rapid.Bool().Draw(t, "polls")
		r, err := New(cfg, 1)
		if err != nil {
			t.Fatal(err)
		}
		now := time.Hour
		handle := func(event Event) []Action {
			now += 50 * ms
			return r.Handle(now, event, nil)
		}
		handle(EndpointUpdate{Full: true, Endpoints: mixedEndpoints(9)})
		for id := range RequestID(20) {
			handle(RequestArrived{
				Request: id + 1, Class: rapid.IntRange(-1, 9).Draw(t, "class"), Tenant: -1,
				Session: Key(id), SharedPrefix: Key(id % 3), RemainingTime: time.Second,
				PromptTokens: tokens.Draw(t, "prompt"), SharedPrefixTokens: tokens.Draw(t, "prefix"),
			})
			load := &LoadReport{
				Memory: value.Draw(t, "memory"), QueuedKiloTokens: value.Draw(t, "backlog"),
				QueuedRequests: value.Draw(t, "queue"), SlotUtilization: value.Draw(t, "slots"),
			}
			for _, replica := range r.replicas {
				handle(LoadPolled{replica.ID, load})
			}
			handle(TimerFired{TimerID(id + 1)})
			req := r.requests[id+1]
			if req == nil {
				continue
			}
			for _, replica := range r.replicas {
				queueDelayMS, prefillMS := r.prefillEstimate(replica, r.expectedCachedTokens(replica, req, 0), req)
				if !(queueDelayMS >= 0 && prefillMS >= 0) || math.IsInf(queueDelayMS+prefillMS, 0) {
					t.Fatalf("estimates %v and %v ms after %+v", queueDelayMS, prefillMS, load)
				}
			}
			handle(AttemptEnded{
				Request: id + 1, Attempt: req.attempts - 1, Endpoint: req.endpoint, Outcome: PrefillDone,
				Elapsed: 30 * ms, CachedTokens: tokens.Draw(t, "cached"), Load: load,
			})
		}
		for i, coefficient := range r.prefillModel.coefficients {
			if !(coefficient >= 0 && coefficient <= r.prefillModel.maxCoefficients[i]) {
				t.Fatalf("coefficient %d is %v", i, coefficient)
			}
		}
	})
}

// TestOverstatedPromptLengthIsNoSample checks that clients which claim far longer prompts than they send do not lower
// the learned cost of a token.
func TestOverstatedPromptLengthIsNoSample(t *testing.T) {
	h := newHarness(t, nil)
	sample := func(promptTokens int, elapsed time.Duration) {
		req := &request{RequestArrived: RequestArrived{PromptTokens: promptTokens}}
		h.r.recordPrefill(h.r.byID[1], req, AttemptEnded{Outcome: PrefillDone, Elapsed: elapsed})
	}
	for range 20 {
		h.handle(100*ms, TimerFired{})
		sample(5000, 430*ms)
	}
	before := h.r.prefillModel.coefficients[kiloTokensInput]
	for range 10 {
		h.handle(100*ms, TimerFired{})
		sample(1_000_000_000, 100*ms)
	}
	if after := h.r.prefillModel.coefficients[kiloTokensInput]; before < 60 || after < before-20 {
		t.Errorf("%.1f ms for 1,000 tokens, %.1f before", after, before)
	}
}

// TestPrefixTableIsBounded checks that the prefix table stays bounded and keeps the latest prefix, however many
// prefixes clients name.
func TestPrefixTableIsBounded(t *testing.T) {
	h := newHarness(t, nil)
	const prefixes = maxPrefixEntries + maxPrefixEntries/2
	for i := range prefixes {
		h.now += 10 * time.Microsecond
		h.r.now = h.now
		h.r.countArrival(&request{RequestArrived: RequestArrived{SharedPrefix: Key(i + 1)}})
		h.r.sweepPrefixTable()
		if len(h.r.prefixTable) > maxPrefixEntries+1 {
			t.Fatalf("%d entries after %d prefixes", len(h.r.prefixTable), i+1)
		}
	}
	if h.r.prefixTable[prefixes] == nil || len(h.r.prefixTable) < maxPrefixEntries/8 {
		t.Errorf("%d entries, the latest: %v", len(h.r.prefixTable), h.r.prefixTable[prefixes])
	}
}
