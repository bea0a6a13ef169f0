package routing

import (
	"testing"
	"time"
)

// What another router heard of loads stands for asking, fades, and goes behind what was told here; that it heard nothing
// is weaker than own experience, and makes nobody count as alive.
func TestHeardFromAnother(t *testing.T) {
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
