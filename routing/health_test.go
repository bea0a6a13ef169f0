package routing

import (
	"testing"
)

// A replica is ejected after timeouts, and is readmitted after a while.
func TestOutlierIsEjectedAndReadmitted(t *testing.T) {
	b := newHarness(t, nil)
	s := b.r.byID[1]
	b.r.recordFailure(s, 0, transportFailureWeight)
	b.r.recordFailure(s, 0, transportFailureWeight)
	for i := range RequestID(5) {
		if got := b.sentTo(b.arrive(i+1, 0)); got != 2 {
			t.Fatalf("an ejected replica got request %d", i+1)
		}
		b.handle(20*ms, AttemptEnded{Request: i + 1, Endpoint: 2, Outcome: PrefillDone, Elapsed: 20 * ms, Final: true})
	}
	b.handle(healthTimeConstant, TimerFired{})
	if !b.r.healthy(s, 1) {
		t.Error("not readmitted")
	}
	for range 4 {
		b.r.recordSuccess(s, 0)
	}
	if s.health[0].current(b.now) >= ejectionThreshold/2 {
		t.Error("successes do not lower the failure level")
	}
	// With all replicas unhealthy, health is ignored; otherwise nothing could be sent.
	for _, s := range b.r.replicas {
		s.health[0].update(b.now, 1, 1)
	}
	if !containsAction[Send](b.arrive(9, 0)) {
		t.Error("nothing was sent where all replicas are unhealthy")
	}
}

// With the other decode replicas overloaded, an ejected one that may be probed still counts in the estimate: without it
// everything would be rejected and nothing would readmit it.
func TestEjectedReplicaIsProbedWhenOthersAreOverloaded(t *testing.T) {
	b := newHarness(t, nil)
	for _, id := range []EndpointID{11, 12, 13} {
		s := b.r.byID[id]
		s.firstTokenDelay.add(b.now, 1e5)
	}
	if containsAction[Send](b.arrive(1, 0)) {
		t.Fatal("the decode replicas are not overloaded")
	}
	b.r.byID[12].health[0].update(b.now, 1, ejectionThreshold*0.9)
	b.r.byID[12].firstTokenDelay = decayedMean{timeConstant: decodeWaitTimeConstant}
	s := b.sentTo(b.arrive(2, 0))
	if w := b.sentTo(b.handle(20*ms, AttemptEnded{Request: 2, Endpoint: s, Outcome: PrefillDone})); w != 12 {
		t.Errorf("the probe went to %d", w)
	}
}

// A replica that fails one class stays available to the others, and is readmitted by time alone for a class that must
// not be retried.
func TestFailuresOfOneClassEjectForThatClassOnly(t *testing.T) {
	b := newHarness(t, nil)
	s := b.r.byID[11]
	for range 2 {
		b.r.recordClassFailure(s, 1, transportFailureWeight)
	}
	if b.r.healthy(s, 1) || !b.r.healthy(s, 0) {
		t.Error("want the replica ejected for the class that fails there, and for no other")
	}
	b.handle(3*healthTimeConstant, TimerFired{})
	if !b.r.healthy(s, 1) {
		t.Error("not readmitted")
	}
}

// A prefill replica that responds to others is alive: a timeout behind its queue does not eject it, a timeout at one
// that is silent does.
func TestTimeoutEjectsOnlySilentPrefillReplica(t *testing.T) {
	for _, responds := range []bool{true, false} {
		b := newHarness(t, nil)
		s := b.r.byID[b.sentTo(b.arrive(1, 0))]
		if responds {
			b.handle(400*ms, TimerFired{})
			b.r.recordSuccess(s, 0)
		}
		b.handle(100*ms, AttemptEnded{Request: 1, Endpoint: s.ID, Outcome: TimedOut, Elapsed: 500 * ms})
		if b.r.healthy(s, 0) != responds {
			t.Errorf("responds %t: healthy %t", responds, !responds)
		}
	}
}

// One broken connection at a replica that responds to others does not eject it; a second one in a row does.
func TestSingleResetKeepsLiveReplicaHealthy(t *testing.T) {
	b := newHarness(t, nil)
	_, decodeReplica := b.completePrefill(1, 0)
	s := b.r.byID[decodeReplica]
	b.r.recordSuccess(s, 0)
	b.handle(20*ms, AttemptEnded{Request: 1, Attempt: 1, Endpoint: decodeReplica, Outcome: ConnectionReset})
	s.pending = []pendingAttempt{{request: 9}} // it may not be probed
	if !b.r.healthy(s, 0) {
		t.Error("ejected after one reset")
	}
	b.r.recordOutcome(s, &request{}, AttemptEnded{Outcome: ConnectionReset}, decoding)
	if b.r.healthy(s, 0) {
		t.Error("not ejected after two")
	}
}
