package routing

import (
	"math"
	"testing"
	"time"
)

// The latency model fits its samples, and outliers or inputs that do not vary hardly move it.
func TestLatencyModelFitsAndBoundsOutliers(t *testing.T) {
	h := newHarness(t, nil)
	model := &h.r.prefillModel
	for i := range 300 {
		h.handle(20*ms, TimerFired{})
		kiloTokens, ahead := float64(i%7)/2, float64(i%4)
		model.add(h.now, [3]float64{1, kiloTokens, ahead}, 12+50*kiloTokens+20*ahead)
	}
	for i, want := range []float64{12, 50, 20} {
		if math.Abs(model.coefficients[i]-want) > 0.1*want {
			t.Errorf("coefficient %d is %.1f, want about %.1f", i, model.coefficients[i], want)
		}
	}
	id, replica := RequestID(1000), h.r.byID[1]
	h.r.recordPrefill(replica, &request{RequestArrived: RequestArrived{Request: id, PromptTokens: 1000}}, AttemptEnded{Outcome: PrefillDone, Elapsed: time.Hour})
	if predictedMS := model.predict([3]float64{1, 1, 0}); predictedMS > 150 {
		t.Errorf("one outlier moved the estimate to %.0f ms", predictedMS)
	}
	for range 1000 {
		h.handle(20*ms, TimerFired{})
		model.add(h.now, [3]float64{1, 2, 0}, 80)
	}
	if predictedMS := model.predict([3]float64{1, 2, 0}); math.Abs(predictedMS-80) > 4 || model.coefficients[2] > 60 {
		t.Errorf("inputs that do not vary: %.1f ms, coefficients %v", predictedMS, model.coefficients)
	}
}

// If a replica reports its backlog, the backlog replaces the queue delay estimated from this router's own attempts.
func TestReportedBacklogIsTheQueueDelay(t *testing.T) {
	h := newHarness(t, nil)
	h.handle(ms, AttemptEnded{Request: 99, Endpoint: 1, Load: &LoadReport{Memory: -1, QueuedKiloTokens: 50}})
	for id := range RequestID(5) {
		if s := h.sentTo(h.arrive(id+1, 0)); s != 2 {
			t.Fatalf("went to %d, which reports a long queue", s)
		}
	}
}

// A prefill replica with a full queue responds at once but counts as slow.
func TestFullPrefillReplicaIsAvoided(t *testing.T) {
	h := newHarness(t, nil)
	first := h.sentTo(h.arrive(1, 0))
	h.handle(ms, AttemptEnded{Request: 1, Endpoint: first, Outcome: QueueFull, Final: true})
	for id := range RequestID(5) {
		if s := h.sentTo(h.arrive(id+2, 0)); s == first {
			t.Fatalf("request %d went to the replica that is full", id+2)
		}
	}
}

// The delay common to all replicas applies to a replica that this router has not used yet, and decays soon.
func TestCommonQueueDelayAppliesToUnknownReplicaAndDecays(t *testing.T) {
	h := newHarness(t, func(c *Config) { c.Routers = 100 })
	h.handle(0, EndpointUpdate{Full: true, Endpoints: mixedEndpoints(60)})
	unused := h.r.replicas[0]
	req := &request{RequestArrived: RequestArrived{PromptTokens: 1000}}
	h.r.sumCapacity(0)
	before, _ := h.r.prefillEstimate(unused, 0, req)
	for id := range RequestID(6) {
		s := h.r.replicas[3+3*id]
		h.r.recordPrefill(s, req, AttemptEnded{Outcome: PrefillDone, Elapsed: 900 * ms})
	}
	h.r.sumCapacity(0)
	if after, _ := h.r.prefillEstimate(unused, 0, req); after < before+300 {
		t.Errorf("the delay went from %.0f to %.0f ms, want it to follow the others", before, after)
	}
	h.handle(2*modelTimeConstant, TimerFired{})
	h.r.sumCapacity(0)
	if after, _ := h.r.prefillEstimate(unused, 0, req); after > before+80 {
		t.Errorf("the delay is still %.0f ms", after)
	}
}

// Implausible load reports cause neither a panic nor a rejection.
func TestImplausibleLoadReports(t *testing.T) {
	for _, x := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), -7, 1e300} {
		h := newHarness(t, nil)
		for i, s := range h.r.replicas {
			h.handle(ms, AttemptEnded{Request: 99, Endpoint: s.ID, Load: &LoadReport{Memory: x, QueuedKiloTokens: -1}})
			if i > 0 {
				h.handle(ms, AttemptEnded{Request: 99, Endpoint: s.ID, Load: &LoadReport{Memory: x, QueuedKiloTokens: x}})
			}
		}
		h.r.byID[1].reportedBacklog = -1 // one prefill replica without a report
		if s, _ := h.completePrefill(1, 0); s != 1 && s != 2 {
			t.Errorf("load value %v: sent to %d, want a prefill replica", x, s)
		}
	}
}

// The queue delay per request ahead is learned from prefills: a queue that is acceptable at first is too long once
// prefills behind such queues have taken three times as long as estimated.
func TestLearnsDelayPerQueuedRequest(t *testing.T) {
	h := newHarness(t, func(c *Config) { c.CanPollLoad = true })
	admitted := func(id RequestID, prefillTime time.Duration) bool {
		acts := h.arrive(id, 0)
		for i := 0; i < len(acts); i++ {
			switch a := acts[i].(type) {
			case PollLoad:
				acts = append(acts, h.handle(ms, LoadPolled{a.Endpoint, &LoadReport{QueuedRequests: 5}})...)
			case Send:
				h.handle(prefillTime, AttemptEnded{Request: id, Endpoint: a.Endpoint, Outcome: PrefillDone, Elapsed: prefillTime, Final: true})
				return true
			}
		}
		return false
	}
	admittedCount := 0
	for id := range RequestID(20) {
		if admitted(id+1, time.Second) {
			admittedCount++
		}
	}
	if admittedCount == 0 || admittedCount > 10 {
		t.Errorf("%d of 20 requests were admitted", admittedCount)
	}
	h = newHarness(t, func(c *Config) { c.CanPollLoad = true })
	for id := range RequestID(20) {
		if !admitted(id+1, 200*ms) {
			t.Errorf("request %d was rejected although prefills behind the queue are fast", id+1)
		}
	}
}
