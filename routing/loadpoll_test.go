package routing

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// A router that hears little of each reader asks the two that a request's keys rank first, and goes to the one with
// the shorter queue; nothing is sent before both have told or the wait is over, and a dead one gets nothing.
func TestLoadPollBeforePrefill(t *testing.T) {
	start := func() (*harness, []EndpointID) {
		b := newHarness(t, func(c *Config) { c.CanPollLoad = true })
		var asked []EndpointID
		for _, a := range b.arrive(1, 0) {
			switch a := a.(type) {
			case PollLoad:
				asked = append(asked, a.Endpoint)
			case SetTimer:
				if a.After != pollTimeout || a.Timer != 1 {
					t.Errorf("wake %+v", a)
				}
			default:
				t.Errorf("before any answer: %+v", a)
			}
		}
		if len(asked) != pollCandidateCount {
			t.Fatalf("asked %v", asked)
		}
		return b, asked
	}
	for first := range pollCandidateCount {
		b, asked := start()
		if acts := b.handle(ms, LoadPolled{asked[first], &LoadReport{QueuedRequests: 0}}); len(acts) != 0 {
			t.Errorf("after one answer: %+v", acts)
		}
		if s := b.sentTo(b.handle(ms, LoadPolled{asked[1-first], &LoadReport{QueuedRequests: 20, SlotUtilization: 1}})); s != asked[first] {
			t.Errorf("went to %d, not to %d, which has no queue", s, asked[first])
		}
		if s := b.sentTo(b.arrive(2, 0)); s != asked[first] {
			t.Errorf("the next went to %d: a report may be used for a while", s)
		}
	}
	b, asked := start()
	b.handle(ms, LoadPolled{asked[0], nil})
	if s := b.sentTo(b.handle(pollTimeout, TimerFired{1})); s == asked[0] {
		t.Errorf("went to %d, which told nothing", s)
	}
	if acts := b.handle(ms, LoadPolled{asked[1], &LoadReport{}}); len(acts) != 0 {
		t.Errorf("a late answer: %+v", acts)
	}
	b, asked = start()
	for _, id := range asked {
		b.handle(0, LoadPolled{id, &LoadReport{QueuedRequests: 500}})
	}
	if b.r.requests[1] != nil {
		t.Error("passed, though both its readers have told of long queues")
	}
}

// Before a state goes on, the writers of its cell are asked: one with requests waiting is passed over, and where all
// have them the state leaves the cell.
func TestLoadPollBeforeDecode(t *testing.T) {
	for full, want := range map[int][]EndpointID{0: {11, 12}, 11: {12}, 12: {11}, 23: {13}} {
		b := newHarness(t, func(c *Config) { c.CanPollLoad = true })
		b.r.rng = rand.New(rand.NewPCG(2, 2)) // with this draw the state is none of those that go to cells with room to spare
		b.arrive(1, 0)
		b.handle(ms, LoadPolled{1, &LoadReport{}})
		s := b.sentTo(b.handle(ms, LoadPolled{2, &LoadReport{}}))
		var acts []Action
		for _, a := range b.handle(ms, AttemptEnded{Request: 1, Endpoint: s, Outcome: PrefillDone, Elapsed: 20 * ms}) {
			if p, ok := a.(PollLoad); ok {
				queue := 0.0
				if full == int(p.Endpoint) || full == 23 {
					queue = 2
				}
				acts = append(acts, b.handle(ms, LoadPolled{p.Endpoint, &LoadReport{Memory: 0.3, QueuedRequests: queue}})...)
			}
		}
		if to := b.sentTo(acts); !slices.Contains(want, to) {
			t.Errorf("full %d: went to %d", full, to)
		}
	}
}

// One that hears enough asks nobody, and neither does one whose settings forbid it.
func TestNoLoadPollWithEnoughSamplesOrByConfig(t *testing.T) {
	b := newHarness(t, nil)
	b.sentTo(b.arrive(1, 0))
	b = newHarness(t, func(c *Config) { c.CanPollLoad = true })
	for id := range RequestID(40) {
		b.handle(ms, AttemptEnded{Request: 99, Endpoint: 1, Outcome: PrefillDone, Elapsed: 10 * ms})
		b.r.estimateError.add(b.r.now, 1)
		if id > 20 {
			b.sentTo(b.arrive(100+id, 0))
		}
	}
}

// What another router heard of loads stands for asking, fades, and goes behind what was told here; that it heard nothing
// is weaker than own experience, and makes nobody count as alive.
func TestPeerLoadReport(t *testing.T) {
	start := func() *harness { return newHarness(t, func(c *Config) { c.CanPollLoad = true }) }
	tell := func(b *harness, age time.Duration, queue1, queue2 float64) {
		b.handle(0, PeerLoadReport{Endpoint: 1, Load: &LoadReport{QueuedRequests: queue1}, Age: age})
		b.handle(0, PeerLoadReport{Endpoint: 2, Load: &LoadReport{QueuedRequests: queue2}, Age: age})
	}
	for _, short := range []EndpointID{1, 2} {
		b := start()
		tell(b, 100*ms, 20*float64(short-1), 20*float64(2-short))
		if acts := b.arrive(1, 0); containsAction[PollLoad](acts) || b.sentTo(acts) != short {
			t.Errorf("with loads heard 0.1 s ago: %+v, want a send to %d", acts, short)
		}
	}
	b := start()
	tell(b, peerLoadMaxAge+ms, 0, 20)
	if acts := b.arrive(1, 0); !containsAction[PollLoad](acts) {
		t.Errorf("with loads of too long ago: %+v", acts)
	}
	b = start()
	tell(b, 0, 0, 0)
	if acts := b.handle(peerLoadMaxAge, TimerFired{}); len(acts) != 0 {
		t.Errorf("%+v", acts)
	}
	if acts := b.arrive(1, 0); !containsAction[PollLoad](acts) {
		t.Errorf("heard once and long ago: %+v", acts)
	}

	b = start()
	b.handle(0, LoadPolled{1, &LoadReport{QueuedRequests: 7}})
	b.handle(100*ms, PeerLoadReport{Endpoint: 1, Load: &LoadReport{QueuedRequests: 1}, Age: 400 * ms})
	if s := b.r.byID[1]; s.reportedQueue != 7 {
		t.Errorf("another's older word of %v took the place of what was told here", s.reportedQueue)
	}
	b.handle(200*ms, PeerLoadReport{Endpoint: 1, Load: &LoadReport{QueuedRequests: 1}, Age: 50 * ms})
	if s := b.r.byID[1]; s.reportedQueue != 1 {
		t.Errorf("another's newer word was passed over: %v", s.reportedQueue)
	}

	b = start()
	for range 50 { // it sees enough itself: which reader is slow is more than how many wait there
		b.r.estimateError.add(b.now, 0)
	}
	tell(b, 0, 0, 20)
	if b.r.samplesPerReplica() < minSamplesPerReplica || b.r.loadKnown(b.r.byID[1]) {
		t.Errorf("with evidence of %v another's load was taken", b.r.samplesPerReplica())
	}

	b = start()
	s := b.r.byID[2]
	alive, health := s.lastResponse, s.health[0].current(b.now)
	b.handle(0, PeerLoadReport{Endpoint: 2, Load: nil, Age: 100 * ms})
	worse := s.health[0].current(b.now)
	b.handle(0, LoadPolled{1, nil})
	if own := b.r.byID[1].health[0].current(b.now); worse <= health || worse >= own || s.lastResponse != alive {
		t.Errorf("health %v, %v by another's word, %v by own experience; heard %v after %v", health, worse, own, s.lastResponse, alive)
	}
	b.handle(0, PeerLoadReport{Endpoint: 2, Load: &LoadReport{}, Age: 0})
	if s.lastResponse != alive {
		t.Error("another's word made a server count as heard here")
	}
	s.lastResponse = b.now
	before := s.health[0].current(b.now)
	b.handle(0, PeerLoadReport{Endpoint: 2, Load: nil, Age: 100 * ms})
	if s.health[0].current(b.now) != before {
		t.Error("silent by another's word, though it answered here since")
	}
	b.handle(0, PeerLoadReport{Endpoint: 99, Load: &LoadReport{}})
	b.handle(0, PeerLoadReport{Endpoint: 1, Load: &LoadReport{}, Age: -1})
}
