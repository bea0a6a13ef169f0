package routing

import (
	"testing"
)

// A replica is ejected after timeouts, and is readmitted after a while.
func TestOutlierIsEjectedAndReadmitted(t *testing.T) {
	h := newHarness(t, nil)
	replica := h.r.byID[1]
	h.r.recordFailure(replica, 0, transportFailureWeight)
	h.r.recordFailure(replica, 0, transportFailureWeight)
	for i := range RequestID(5) {
		if got := h.sentTo(h.arrive(i+1, 0)); got != 2 {
			t.Fatalf("an ejected replica got request %d", i+1)
		}
		h.handle(20*ms, AttemptEnded{Request: i + 1, Endpoint: 2, Outcome: PrefillDone, Elapsed: 20 * ms, Final: true})
	}
	h.handle(healthTimeConstant, TimerFired{})
	if !h.r.healthy(replica, 1) {
		t.Error("the replica was not readmitted")
	}
	for range 4 {
		h.r.recordSuccess(replica, 0)
	}
	if replica.health[0].current(h.now) >= ejectionThreshold/2 {
		t.Error("successes do not lower the failure level")
	}
	// If all replicas are unhealthy, health is ignored; otherwise nothing could be sent.
	for _, replica := range h.r.replicas {
		replica.health[0].update(h.now, 1, 1)
	}
	if !containsAction[Send](h.arrive(9, 0)) {
		t.Error("nothing was sent where all replicas are unhealthy")
	}
}

// If the other decode replicas are overloaded, an ejected replica that may be probed still counts in the estimate.
// Otherwise every request would be rejected and the replica would never be readmitted.
func TestEjectedReplicaIsProbedWhenOthersAreOverloaded(t *testing.T) {
	h := newHarness(t, nil)
	for _, id := range []EndpointID{11, 12, 13} {
		s := h.r.byID[id]
		s.firstTokenDelay.add(h.now, 1e5)
	}
	if containsAction[Send](h.arrive(1, 0)) {
		t.Fatal("the decode replicas are not overloaded")
	}
	h.r.byID[12].health[0].update(h.now, 1, ejectionThreshold*0.9)
	h.r.byID[12].firstTokenDelay = decayedMean{timeConstant: decodeWaitTimeConstant}
	s := h.sentTo(h.arrive(2, 0))
	if decodeReplica := h.sentTo(h.handle(20*ms, AttemptEnded{Request: 2, Endpoint: s, Outcome: PrefillDone})); decodeReplica != 12 {
		t.Errorf("the probe went to %d", decodeReplica)
	}
}

// A replica that fails one class stays available to the others. For a class that must not be retried, only time
// readmits it.
func TestFailuresOfOneClassEjectForThatClassOnly(t *testing.T) {
	h := newHarness(t, nil)
	replica := h.r.byID[11]
	for range 2 {
		h.r.recordClassFailure(replica, 1, transportFailureWeight)
	}
	if h.r.healthy(replica, 1) || !h.r.healthy(replica, 0) {
		t.Error("want the replica ejected for the class that fails there, and for no other")
	}
	h.handle(3*healthTimeConstant, TimerFired{})
	if !h.r.healthy(replica, 1) {
		t.Error("the replica was not readmitted")
	}
}

// A prefill replica that responds to others is alive: a timeout behind its queue does not eject it, but a timeout at a
// silent replica does.
func TestTimeoutEjectsOnlySilentPrefillReplica(t *testing.T) {
	for _, responds := range []bool{true, false} {
		h := newHarness(t, nil)
		replica := h.r.byID[h.sentTo(h.arrive(1, 0))]
		if responds {
			h.handle(400*ms, TimerFired{})
			h.r.recordSuccess(replica, 0)
		}
		h.handle(100*ms, AttemptEnded{Request: 1, Endpoint: replica.ID, Outcome: TimedOut, Elapsed: 500 * ms})
		if h.r.healthy(replica, 0) != responds {
			t.Errorf("responds %t: healthy %t", responds, !responds)
		}
	}
}

// One broken connection at a replica that responds to others does not eject it; a second one in a row does.
func TestSingleResetKeepsLiveReplicaHealthy(t *testing.T) {
	h := newHarness(t, nil)
	_, decodeReplica := h.completePrefill(1, 0)
	replica := h.r.byID[decodeReplica]
	h.r.recordSuccess(replica, 0)
	h.handle(20*ms, AttemptEnded{Request: 1, Attempt: 1, Endpoint: decodeReplica, Outcome: ConnectionReset})
	replica.pending = []pendingAttempt{{request: 9}} // with a pending attempt the replica may not be probed
	if !h.r.healthy(replica, 0) {
		t.Error("the replica was ejected after one reset")
	}
	h.r.recordOutcome(replica, &request{}, AttemptEnded{Outcome: ConnectionReset}, decoding)
	if h.r.healthy(replica, 0) {
		t.Error("the replica was not ejected after two resets")
	}
}
