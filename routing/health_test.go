package routing

import (
	"testing"
)

// A silent server is left alone after time-outs, and finds its way back.
func TestOutlierIsEjectedAndReadmitted(t *testing.T) {
	b := newHarness(t, nil)
	s := b.r.byID[1]
	b.r.recordFailure(s, 0, transportFailureWeight)
	b.r.recordFailure(s, 0, transportFailureWeight)
	for i := range RequestID(5) {
		if got := b.sentTo(b.arrive(i+1, 0)); got != 2 {
			t.Fatalf("an ejected reader got request %d", i+1)
		}
		b.handle(20*ms, AttemptEnded{Request: i + 1, Endpoint: 2, Outcome: PrefillDone, Elapsed: 20 * ms, Final: true})
	}
	b.handle(healthTimeConstant, TimerFired{})
	if !b.r.healthy(s, 1) {
		t.Error("no way back")
	}
	for range 4 {
		b.r.recordSuccess(s, 0)
	}
	if s.health[0].current(b.now) >= ejectionThreshold/2 {
		t.Error("successes do not heal")
	}
	// All bad: health is ignored rather than starving all.
	for _, s := range b.r.replicas {
		s.health[0].update(b.now, 1, 1)
	}
	if !containsAction[Send](b.arrive(9, 0)) {
		t.Error("nothing was sent though only bad servers are left")
	}
}

// With the other writers jammed, an ejected one that is due for a trial keeps the door open: its
// absence from the estimate would have everything refused and nothing lead it back.
func TestEjectedReplicaIsProbedWhenOthersAreOverloaded(t *testing.T) {
	b := newHarness(t, nil)
	for _, id := range []EndpointID{11, 12, 13} {
		s := b.r.byID[id]
		s.firstTokenDelay.add(b.now, 1e5)
	}
	if containsAction[Send](b.arrive(1, 0)) {
		t.Fatal("the writers are not jammed")
	}
	b.r.byID[12].health[0].update(b.now, 1, ejectionThreshold*0.9)
	b.r.byID[12].firstTokenDelay = decayedMean{timeConstant: decodeWaitTimeConstant}
	s := b.sentTo(b.arrive(2, 0))
	if w := b.sentTo(b.handle(20*ms, AttemptEnded{Request: 2, Endpoint: s, Outcome: PrefillDone})); w != 12 {
		t.Errorf("the trial went to %d", w)
	}
}

// A server that fails one class is left to the others, and comes back by itself for a class that may
// not be tried again.
func TestFailuresOfOneClassEjectForThatClassOnly(t *testing.T) {
	b := newHarness(t, nil)
	s := b.r.byID[11]
	for range 2 {
		b.r.recordClassFailure(s, 1, transportFailureWeight)
	}
	if b.r.healthy(s, 1) || !b.r.healthy(s, 0) {
		t.Error("want the server left alone by the class that fails there, and by no other")
	}
	b.handle(3*healthTimeConstant, TimerFired{})
	if !b.r.healthy(s, 1) {
		t.Error("no way back")
	}
}

// A reader that answers others is alive: a time-out behind its queue does not leave it out, one that hears
// nothing at all does.
func TestTimeoutEjectsOnlySilentPrefillReplica(t *testing.T) {
	for _, answers := range []bool{true, false} {
		b := newHarness(t, nil)
		s := b.r.byID[b.sentTo(b.arrive(1, 0))]
		if answers {
			b.handle(400*ms, TimerFired{})
			b.r.recordSuccess(s, 0)
		}
		b.handle(100*ms, AttemptEnded{Request: 1, Endpoint: s.ID, Outcome: TimedOut, Elapsed: 500 * ms})
		if b.r.healthy(s, 0) != answers {
			t.Errorf("answers %t: usable %t", answers, !answers)
		}
	}
}

// One broken connection at a server that answers others leaves it in; a second one in a row does not.
func TestSingleResetKeepsLiveReplicaHealthy(t *testing.T) {
	b := newHarness(t, nil)
	_, w := b.completePrefill(1, 0)
	s := b.r.byID[w]
	b.r.recordSuccess(s, 0)
	b.handle(20*ms, AttemptEnded{Request: 1, Attempt: 1, Endpoint: w, Outcome: ConnectionReset})
	s.pending = []pendingAttempt{{request: 9}} // no trial is due
	if !b.r.healthy(s, 0) {
		t.Error("left out after one break")
	}
	b.r.recordOutcome(s, &request{}, AttemptEnded{Outcome: ConnectionReset}, decoding)
	if b.r.healthy(s, 0) {
		t.Error("left in after two")
	}
}
