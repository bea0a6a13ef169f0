package routing

import "testing"

// TestSilentReplicaCountsAsBusy checks that a replica which does not answer a load poll in time is estimated to have
// requests ahead, and that its estimated wait follows the time which its prefill then takes. Once the replica answers,
// its report counts instead.
func TestSilentReplicaCountsAsBusy(t *testing.T) {
	h := newHarness(t, func(cfg *Config) { cfg.CanPollLoad = true })
	h.arrive(1, 0)
	silent := h.r.byID[1]
	if h.r.pollUnanswered(silent) {
		t.Error("the poll counts as unanswered before its timeout")
	}
	acts := h.handle(pollTimeout, TimerFired{1})
	if !h.r.pollUnanswered(silent) || !containsAction[Send](acts) {
		t.Fatalf("after the timeout of the poll: %+v", acts)
	}
	req := h.r.requests[1]
	queueDelayMS, _ := h.r.prefillEstimate(silent, 0, req)
	if want := unansweredPollRequests * h.r.delayPerQueuedRequestMS(); queueDelayMS < want {
		t.Errorf("queue delay %.0f ms, want at least %.0f", queueDelayMS, want)
	}
	h.handle(0, AttemptEnded{Request: 1, Endpoint: h.sentTo(acts), Outcome: PrefillDone, Elapsed: 3000 * ms})
	if learned, _ := h.r.prefillEstimate(silent, 0, req); learned <= queueDelayMS {
		t.Errorf("queue delay %.0f ms after a wait of 3 s, %.0f before", learned, queueDelayMS)
	}
	h.handle(0, LoadPolled{1, &LoadReport{}})
	if queueDelayMS, _ = h.r.prefillEstimate(silent, 0, req); h.r.pollUnanswered(silent) || queueDelayMS > 0 {
		t.Errorf("queue delay %.0f ms after an answer without a queue", queueDelayMS)
	}
}

// TestQueuedRequestsCostWhatPrefillsCost checks that a router that has seen no queue takes the mean cost of its own
// prefills as the queue delay per request ahead.
func TestQueuedRequestsCostWhatPrefillsCost(t *testing.T) {
	h := newHarness(t, nil)
	if got := h.r.delayPerQueuedRequestMS(); got != initialDelayPerQueuedRequestMS {
		t.Errorf("%.0f ms without a sample", got)
	}
	for id := range RequestID(20) {
		h.completePrefill(id+1, 0)
		h.r.prefillCost.add(h.now, 400)
	}
	if got := h.r.delayPerQueuedRequestMS(); got < 150 || got > 400 {
		t.Errorf("%.0f ms, want between the prefills' costs and the added ones of 400 ms", got)
	}
}

// TestCellWithoutDecodeReplicasAddsNoWait checks that a cell without decode replicas adds no wait while decode replicas
// elsewhere, where its requests decode, are not full.
func TestCellWithoutDecodeReplicasAddsNoWait(t *testing.T) {
	h := newHarness(t, nil)
	h.handle(0, EndpointUpdate{Endpoints: []Endpoint{{ID: 3, Kind: 0, State: Ready, Cell: 7}}})
	h.r.sumCapacity(0)
	if wait := h.r.cellDecodeWaitMS(h.r.byID[3].cell); wait != 0 {
		t.Errorf("wait of %.0f ms", wait)
	}
	for _, id := range []EndpointID{11, 12, 13} {
		h.r.byID[id].fullUntil = h.now + 400*ms
	}
	h.r.sumCapacity(0)
	if wait := h.r.cellDecodeWaitMS(h.r.byID[3].cell); wait != 400 {
		t.Errorf("wait of %.0f ms while all decode replicas are full for 400 ms", wait)
	}
}
