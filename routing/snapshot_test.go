package routing

import (
	"math"
	"testing"
	"time"
)

// A router that learns from one that has served takes its texts and its fits, and judges servers as that one does; nothing is taken
// that is old, from the future, of another start of a server, or no sane figure.
func TestSnapshotRestore(t *testing.T) {
	served := func() *harness {
		b := newHarness(t, nil)
		for id := RequestID(1); id < 60; id++ {
			s := b.sentTo(b.handle(10*ms, RequestArrived{Request: id, Tenant: -1, Session: Key(id), PromptTokens: 2000, TimeLeft: 4 * time.Second}))
			took := 200 * ms // reads take longer than the first guess
			w := b.sentTo(b.handle(took, AttemptEnded{Request: id, Endpoint: s, Outcome: PrefillDone, Elapsed: took}))
			b.handle(5*ms, FirstToken{Request: id, Attempt: 1, Endpoint: w, Elapsed: 5 * ms})
			b.handle(5*ms, AttemptEnded{Request: id, Attempt: 1, Endpoint: w, Outcome: Served, Final: true})
		}
		b.r.recordFailure(b.r.byID[11], 0, 1)
		return b
	}
	old := served()
	told := old.r.Snapshot(old.now, 1000)
	if len(told.Prefixes) != 59 || len(told.Endpoints) != 5 {
		t.Fatalf("%d texts and %d servers told", len(told.Prefixes), len(told.Endpoints))
	}
	if few := old.r.Snapshot(old.now, 10); len(few.Prefixes) != 10 || few.Prefixes[0].Key != 59 {
		t.Errorf("of ten texts the first is %+v", few.Prefixes[0])
	}
	fresh := func(change func(*Snapshot)) *harness {
		b := newHarness(t, nil)
		b.now = old.now + 100*ms
		b.handle(0, EndpointUpdate{Full: true, Endpoints: []Endpoint{{ID: 1, State: Ready}, {ID: 2, State: Ready}, {ID: 11, Kind: 1, State: Ready}, {ID: 12, Kind: 1, State: Ready}}})
		c := told
		if change != nil {
			change(&c)
		}
		b.handle(0, SnapshotReceived{c})
		return b
	}
	b := fresh(nil)
	if got, want := b.r.prefillModel.coefficients, old.r.prefillModel.coefficients; math.Abs(got[0]-want[0]) > 0.1*want[0]+1 || b.r.estimateError.count(b.now) < 10 {
		t.Errorf("fit %v, the other's is %v; %.1f samples", got, want, b.r.estimateError.count(b.now))
	}
	q := &request{RequestArrived: RequestArrived{Session: 59, PromptTokens: 2000}}
	kept := 0
	for _, s := range b.r.replicas {
		kept = max(kept, b.r.expectedCachedTokens(s, q, notPrefixReplicaRank))
	}
	if kept < 500 {
		t.Errorf("%d tokens of a text that the other sent are expected to be kept", kept)
	}
	if b.r.healthy(b.r.byID[11], 0) {
		t.Error("a server that the other found dead is usable at once")
	}
	for what, change := range map[string]func(*Snapshot){
		"too old":         func(c *Snapshot) { c.TakenAt -= snapshotMaxAge + time.Second },
		"from the future": func(c *Snapshot) { c.TakenAt += time.Hour },
	} {
		if b := fresh(change); len(b.r.prefixCache) > 0 || b.r.estimateError.count(b.now) > 0 {
			t.Errorf("%s: %d texts", what, len(b.r.prefixCache))
		}
	}
	odd := fresh(func(c *Snapshot) {
		c.Endpoints = append([]EndpointStats(nil), c.Endpoints...)
		for i := range c.Endpoints {
			c.Endpoints[i].Started += time.Minute // another start
		}
		c.Prefill.B[1], c.CommonQueueDelay.Sum, c.EstimateError.Count = math.NaN(), math.Inf(1), -1
	})
	if len(odd.r.prefixCache) > 0 || !odd.r.healthy(odd.r.byID[11], 0) || odd.r.prefillModel.coefficients[0] != initialPrefillBaseMS || odd.r.commonQueueDelay.count(odd.now) > 0 {
		t.Errorf("%d texts, fit %v", len(odd.r.prefixCache), odd.r.prefillModel.coefficients)
	}
	// Own evidence goes first.
	own := served()
	before := own.r.estimateError
	own.handle(0, SnapshotReceived{Snapshot{TakenAt: own.now, EstimateError: DecayedMean{1e6, 1, own.now}}})
	if own.r.estimateError != before {
		t.Error("one sample of another's took the place of many own ones")
	}
}
