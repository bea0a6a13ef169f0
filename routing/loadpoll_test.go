package routing

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// A router with few samples per replica polls the two prefill replicas with the lowest ranks and sends to the one with
// the shorter queue. It sends nothing before both have answered or the poll has timed out, and nothing to a replica
// that does not answer.
func TestLoadPollBeforePrefill(t *testing.T) {
	newPolledHarness := func() (*harness, []EndpointID) {
		h := newHarness(t, func(c *Config) { c.CanPollLoad = true })
		var polled []EndpointID
		for _, a := range h.arrive(1, 0) {
			switch a := a.(type) {
			case PollLoad:
				polled = append(polled, a.Endpoint)
			case SetTimer:
				if a.After != pollTimeout || a.Timer != 1 {
					t.Errorf("got timer %+v, want the poll timeout of request 1", a)
				}
			default:
				t.Errorf("before any answer: %+v", a)
			}
		}
		if len(polled) != pollCandidateCount {
			t.Fatalf("polled %v", polled)
		}
		return h, polled
	}
	for first := range pollCandidateCount {
		h, polled := newPolledHarness()
		if acts := h.handle(ms, LoadPolled{polled[first], &LoadReport{QueuedRequests: 0}}); len(acts) != 0 {
			t.Errorf("after one answer: %+v", acts)
		}
		if s := h.sentTo(h.handle(ms, LoadPolled{polled[1-first], &LoadReport{QueuedRequests: 20, SlotUtilization: 1}})); s != polled[first] {
			t.Errorf("went to %d, not to %d, which has no queue", s, polled[first])
		}
		if s := h.sentTo(h.arrive(2, 0)); s != polled[first] {
			t.Errorf("the next went to %d, want the report to be used for a while", s)
		}
	}
	h, polled := newPolledHarness()
	h.handle(ms, LoadPolled{polled[0], nil})
	if s := h.sentTo(h.handle(pollTimeout, TimerFired{1})); s == polled[0] {
		t.Errorf("went to %d, which did not answer", s)
	}
	if acts := h.handle(ms, LoadPolled{polled[1], &LoadReport{}}); len(acts) != 0 {
		t.Errorf("a late answer caused actions: %+v", acts)
	}
	h, polled = newPolledHarness()
	for _, id := range polled {
		h.handle(0, LoadPolled{id, &LoadReport{QueuedRequests: 500}})
	}
	if h.r.requests[1] != nil {
		t.Error("admitted although both replicas have reported long queues")
	}
}

// TestBusyReplicasAreFollowedByTheNextRanks checks that while all polled replicas have queues, the replicas with the
// next ranks are polled, each replica once, for maxPollRounds rounds. The request goes to the first replica that is
// idle. A timer of an earlier round does not end a later one.
func TestBusyReplicasAreFollowedByTheNextRanks(t *testing.T) {
	newPolledHarness := func() (*harness, []EndpointID) {
		h := newHarness(t, func(c *Config) { c.CanPollLoad = true })
		for id := range EndpointID(10) {
			h.handle(0, EndpointUpdate{Endpoints: []Endpoint{{ID: 20 + id, Kind: 0, State: Ready}}})
		}
		return h, polledEndpoints(h.arrive(1, 0))
	}
	busy := &LoadReport{QueuedRequests: 9}
	h, polled := newPolledHarness()
	seen := slices.Clone(polled)
	for round := 2; round <= maxPollRounds; round++ {
		h.handle(ms, LoadPolled{polled[0], busy})
		polled = polledEndpoints(h.handle(pollTimeout/2, LoadPolled{polled[1], busy}))
		if len(polled) != pollCandidateCount {
			t.Fatalf("round %d polled %v", round, polled)
		}
		if acts := h.handle(pollTimeout/2, TimerFired{1}); len(acts) != 0 {
			t.Fatalf("round %d, the timer of the round before: %+v", round, acts)
		}
		seen = append(seen, polled...)
	}
	h.handle(ms, LoadPolled{polled[0], busy})
	if to := h.sentTo(h.handle(ms, LoadPolled{polled[1], &LoadReport{}})); to != polled[1] {
		t.Errorf("went to %d, not to %d, which is idle", to, polled[1])
	}
	slices.Sort(seen)
	if want := maxPollRounds * pollCandidateCount; len(slices.Compact(seen)) != want {
		t.Errorf("polled %v, want %d different replicas", seen, want)
	}

	h, polled = newPolledHarness()
	h.handle(ms, LoadPolled{polled[0], busy})
	if to := h.sentTo(h.handle(ms, LoadPolled{polled[1], &LoadReport{}})); to != polled[1] {
		t.Errorf("went to %d, not to %d, which was idle in the first round", to, polled[1])
	}
}

// polledEndpoints returns the replicas that the actions poll.
func polledEndpoints(acts []Action) []EndpointID {
	var polled []EndpointID
	for _, act := range acts {
		if poll, ok := act.(PollLoad); ok {
			polled = append(polled, poll.Endpoint)
		}
	}
	return polled
}

// Before a decode attempt the decode replicas of the cell are polled. A replica with queued requests is not used; if
// all have queued requests, the request leaves the cell. full is the ID of the replica with queued requests; 0 means
// none and 23 both.
func TestLoadPollBeforeDecode(t *testing.T) {
	for full, want := range map[int][]EndpointID{0: {11, 12}, 11: {12}, 12: {11}, 23: {13}} {
		h := newHarness(t, func(c *Config) { c.CanPollLoad = true })
		h.r.rng = rand.New(rand.NewPCG(2, 2)) // with this seed the request does not spill to another cell
		h.arrive(1, 0)
		h.handle(ms, LoadPolled{1, &LoadReport{}})
		s := h.sentTo(h.handle(ms, LoadPolled{2, &LoadReport{}}))
		var acts []Action
		for _, a := range h.handle(ms, AttemptEnded{Request: 1, Endpoint: s, Outcome: PrefillDone, Elapsed: 20 * ms}) {
			if p, ok := a.(PollLoad); ok {
				queue := 0.0
				if full == int(p.Endpoint) || full == 23 {
					queue = 2
				}
				acts = append(acts, h.handle(ms, LoadPolled{p.Endpoint, &LoadReport{Memory: 0.3, QueuedRequests: queue}})...)
			}
		}
		if to := h.sentTo(acts); !slices.Contains(want, to) {
			t.Errorf("full %d: went to %d", full, to)
		}
	}
}

// A router with enough samples per replica does not poll, and neither does a router whose configuration forbids it.
func TestNoLoadPollWithEnoughSamplesOrByConfig(t *testing.T) {
	h := newHarness(t, nil)
	h.sentTo(h.arrive(1, 0))
	h = newHarness(t, func(c *Config) { c.CanPollLoad = true })
	for id := range RequestID(40) {
		h.handle(ms, AttemptEnded{Request: 99, Endpoint: 1, Outcome: PrefillDone, Elapsed: 10 * ms})
		h.r.estimateError.add(h.r.now, 1)
		if id > 20 {
			h.sentTo(h.arrive(100+id, 0))
		}
	}
}

// A peer's load report replaces a poll and expires, and a later report to this router takes precedence. A peer's report
// of a silent replica weighs less than this router's own observation, and no report of a peer makes a replica count as
// alive.
func TestPeerLoadReport(t *testing.T) {
	newPollingHarness := func() *harness { return newHarness(t, func(c *Config) { c.CanPollLoad = true }) }
	report := func(h *harness, age time.Duration, queue1, queue2 float64) {
		h.handle(0, PeerLoadReport{Endpoint: 1, Load: &LoadReport{QueuedRequests: queue1}, Age: age})
		h.handle(0, PeerLoadReport{Endpoint: 2, Load: &LoadReport{QueuedRequests: queue2}, Age: age})
	}
	for _, idle := range []EndpointID{1, 2} {
		h := newPollingHarness()
		report(h, 100*ms, 20*float64(idle-1), 20*float64(2-idle))
		if acts := h.arrive(1, 0); containsAction[PollLoad](acts) || h.sentTo(acts) != idle {
			t.Errorf("with reports of 0.1 s ago: %+v, want a send to %d", acts, idle)
		}
	}
	h := newPollingHarness()
	report(h, peerLoadMaxAge+ms, 0, 20)
	if acts := h.arrive(1, 0); !containsAction[PollLoad](acts) {
		t.Errorf("with expired reports: %+v", acts)
	}
	h = newPollingHarness()
	report(h, 0, 0, 0)
	if acts := h.handle(peerLoadMaxAge, TimerFired{}); len(acts) != 0 {
		t.Errorf("a timer caused actions: %+v", acts)
	}
	if acts := h.arrive(1, 0); !containsAction[PollLoad](acts) {
		t.Errorf("after the reports have expired: %+v", acts)
	}

	h = newPollingHarness()
	h.handle(0, LoadPolled{1, &LoadReport{QueuedRequests: 7}})
	h.handle(100*ms, PeerLoadReport{Endpoint: 1, Load: &LoadReport{QueuedRequests: 1}, Age: 400 * ms})
	if replica := h.r.byID[1]; replica.reportedQueue != 7 {
		t.Errorf("a peer's older report of %v replaced the router's own", replica.reportedQueue)
	}
	h.handle(200*ms, PeerLoadReport{Endpoint: 1, Load: &LoadReport{QueuedRequests: 1}, Age: 50 * ms})
	if replica := h.r.byID[1]; replica.reportedQueue != 1 {
		t.Errorf("a peer's newer report was not used: %v", replica.reportedQueue)
	}

	h = newPollingHarness()
	for range 50 { // with enough own samples the router measures which replica is slow, which a queue does not show
		h.r.estimateError.add(h.now, 0)
	}
	report(h, 0, 0, 20)
	if h.r.samplesPerReplica() < minSamplesPerReplica || h.r.loadKnown(h.r.byID[1]) {
		t.Errorf("with %v samples per replica a peer's report was used", h.r.samplesPerReplica())
	}

	h = newPollingHarness()
	replica := h.r.byID[2]
	responseBefore, health := replica.lastResponse, replica.health[0].current(h.now)
	h.handle(0, PeerLoadReport{Endpoint: 2, Load: nil, Age: 100 * ms})
	levelAfterPeerReport := replica.health[0].current(h.now)
	h.handle(0, LoadPolled{1, nil})
	if levelAfterOwnPoll := h.r.byID[1].health[0].current(h.now); levelAfterPeerReport <= health || levelAfterPeerReport >= levelAfterOwnPoll || replica.lastResponse != responseBefore {
		t.Errorf("failure level %v, %v by a peer's report, %v by an own poll; last response %v after %v", health, levelAfterPeerReport, levelAfterOwnPoll, replica.lastResponse, responseBefore)
	}
	h.handle(0, PeerLoadReport{Endpoint: 2, Load: &LoadReport{}, Age: 0})
	if replica.lastResponse != responseBefore {
		t.Error("a peer's report made a replica count as alive")
	}
	replica.lastResponse = h.now
	before := replica.health[0].current(h.now)
	h.handle(0, PeerLoadReport{Endpoint: 2, Load: nil, Age: 100 * ms})
	if replica.health[0].current(h.now) != before {
		t.Error("a peer's report counted although the replica has responded here since")
	}
	h.handle(0, PeerLoadReport{Endpoint: 99, Load: &LoadReport{}})
	h.handle(0, PeerLoadReport{Endpoint: 1, Load: &LoadReport{}, Age: -1})
}
