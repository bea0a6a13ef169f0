package routing

import (
	"math"
	"testing"
	"time"
)

// A new router restores the prefixes, models and failure levels of another router's snapshot. It ignores a snapshot
// that is too old or from the future, state of an earlier start of a replica, and implausible values.
func TestOnlyRecentPlausibleStateIsRestoredFromSnapshot(t *testing.T) {
	newServedHarness := func() *harness {
		h := newHarness(t, nil)
		for id := RequestID(1); id < 60; id++ {
			s := h.sentTo(h.handle(10*ms, RequestArrived{Request: id, Tenant: -1, Session: Key(id), PromptTokens: 2000, RemainingTime: 4 * time.Second}))
			elapsed := 200 * ms // longer than the prior estimate
			decodeReplica := h.sentTo(h.handle(elapsed, AttemptEnded{Request: id, Endpoint: s, Outcome: PrefillDone, Elapsed: elapsed}))
			h.handle(5*ms, FirstToken{Request: id, Attempt: 1, Endpoint: decodeReplica, Elapsed: 5 * ms})
			h.handle(5*ms, AttemptEnded{Request: id, Attempt: 1, Endpoint: decodeReplica, Outcome: Served, Final: true})
		}
		h.r.recordFailure(h.r.byID[11], 0, 1)
		return h
	}
	old := newServedHarness()
	snapshot := old.r.Snapshot(old.now, 1000)
	if len(snapshot.Prefixes) != 59 || len(snapshot.Endpoints) != 5 {
		t.Fatalf("%d prefixes and %d replicas in the snapshot", len(snapshot.Prefixes), len(snapshot.Endpoints))
	}
	if few := old.r.Snapshot(old.now, 10); len(few.Prefixes) != 10 || few.Prefixes[0].Key != 59 {
		t.Errorf("of ten prefixes the first is %+v", few.Prefixes[0])
	}
	newRestoredHarness := func(change func(*Snapshot)) *harness {
		h := newHarness(t, nil)
		h.now = old.now + 100*ms
		h.handle(0, EndpointUpdate{Full: true, Endpoints: []Endpoint{
			{ID: 1, State: Ready}, {ID: 2, State: Ready}, {ID: 11, Kind: 1, State: Ready}, {ID: 12, Kind: 1, State: Ready},
		}})
		changed := snapshot
		if change != nil {
			change(&changed)
		}
		h.handle(0, SnapshotReceived{changed})
		return h
	}
	h := newRestoredHarness(nil)
	got, want := h.r.prefillModel.coefficients, old.r.prefillModel.coefficients
	if math.Abs(got[0]-want[0]) > 0.1*want[0]+1 || h.r.estimateError.count(h.now) < 10 {
		t.Errorf("coefficients %v, the other router's are %v; %.1f samples", got, want, h.r.estimateError.count(h.now))
	}
	req := &request{RequestArrived: RequestArrived{Session: 59, PromptTokens: 2000}}
	cachedTokens := 0
	for _, s := range h.r.replicas {
		cachedTokens = max(cachedTokens, h.r.expectedCachedTokens(s, req, notPrefixReplicaRank))
	}
	if cachedTokens < 500 {
		t.Errorf("%d tokens of a prefix that the other router sent are expected in a cache", cachedTokens)
	}
	if h.r.healthy(h.r.byID[11], 0) {
		t.Error("a replica that the other router ejected is healthy")
	}
	for what, change := range map[string]func(*Snapshot){
		"too old":         func(changed *Snapshot) { changed.TakenAt -= snapshotMaxAge + time.Second },
		"from the future": func(changed *Snapshot) { changed.TakenAt += time.Hour },
	} {
		if h := newRestoredHarness(change); len(h.r.prefixTable) > 0 || h.r.estimateError.count(h.now) > 0 {
			t.Errorf("%s: %d prefixes", what, len(h.r.prefixTable))
		}
	}
	implausible := newRestoredHarness(func(changed *Snapshot) {
		changed.Endpoints = append([]EndpointStats(nil), changed.Endpoints...)
		for i := range changed.Endpoints {
			changed.Endpoints[i].Started += time.Minute // state of another start of the replica
		}
		changed.PrefillModel.Moments[1], changed.CommonQueueDelay.Sum, changed.EstimateError.Count = math.NaN(), math.Inf(1), -1
	})
	if len(implausible.r.prefixTable) > 0 || !implausible.r.healthy(implausible.r.byID[11], 0) || implausible.r.prefillModel.coefficients[0] != initialPrefillBaseMS || implausible.r.commonQueueDelay.count(implausible.now) > 0 {
		t.Errorf("%d prefixes, coefficients %v", len(implausible.r.prefixTable), implausible.r.prefillModel.coefficients)
	}
	// A router's own samples take precedence.
	own := newServedHarness()
	before := own.r.estimateError
	own.handle(0, SnapshotReceived{Snapshot{TakenAt: own.now, EstimateError: DecayedMean{1e6, 1, own.now}}})
	if own.r.estimateError != before {
		t.Error("one sample of another router replaced many of the router's own")
	}
}
