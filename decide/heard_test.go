package decide

import (
	"testing"
	"time"
)

// What another router heard of loads stands for asking, fades, and goes behind what was told here; that it heard nothing
// is weaker than own experience, and makes nobody count as alive.
func TestHeardFromAnother(t *testing.T) {
	start := func() *bench { return newBench(t, func(c *Config) { c.MayProbe = true }) }
	tell := func(b *bench, age time.Duration, queue1, queue2 float64) {
		b.do(0, Heard{Server: 1, Load: &Load{Queue: queue1}, Age: age})
		b.do(0, Heard{Server: 2, Load: &Load{Queue: queue2}, Age: age})
	}
	for _, short := range []ServerID{1, 2} {
		b := start()
		tell(b, 100*ms, 20*float64(short-1), 20*float64(2-short))
		if acts := b.arrive(1, 0); has[Probe](acts) || b.sent(acts) != short {
			t.Errorf("with loads heard 0.1 s ago: %+v, want a send to %d", acts, short)
		}
	}
	b := start()
	tell(b, heardFor+ms, 0, 20)
	if acts := b.arrive(1, 0); !has[Probe](acts) {
		t.Errorf("with loads of too long ago: %+v", acts)
	}
	b = start()
	tell(b, 0, 0, 0)
	if acts := b.do(heardFor, Timer{}); len(acts) != 0 {
		t.Errorf("%+v", acts)
	}
	if acts := b.arrive(1, 0); !has[Probe](acts) {
		t.Errorf("heard once and long ago: %+v", acts)
	}

	b = start()
	b.do(0, Probed{1, &Load{Queue: 7}})
	b.do(100*ms, Heard{Server: 1, Load: &Load{Queue: 1}, Age: 400 * ms})
	if s := b.r.byID[1]; s.load != 7 {
		t.Errorf("another's older word of %v took the place of what was told here", s.load)
	}
	b.do(200*ms, Heard{Server: 1, Load: &Load{Queue: 1}, Age: 50 * ms})
	if s := b.r.byID[1]; s.load != 1 {
		t.Errorf("another's newer word was passed over: %v", s.load)
	}

	b = start()
	for range 50 { // it sees enough itself: which reader is slow is more than how many wait there
		b.r.scatter.add(b.now, 0)
	}
	tell(b, 0, 0, 20)
	if b.r.evidence() < thin || b.r.told(b.r.byID[1]) {
		t.Errorf("with evidence of %v another's load was taken", b.r.evidence())
	}

	b = start()
	s := b.r.byID[2]
	alive, health := s.heard, s.health[0].now(b.now)
	b.do(0, Heard{Server: 2, Load: nil, Age: 100 * ms})
	worse := s.health[0].now(b.now)
	b.do(0, Probed{1, nil})
	if own := b.r.byID[1].health[0].now(b.now); worse <= health || worse >= own || s.heard != alive {
		t.Errorf("health %v, %v by another's word, %v by own experience; heard %v after %v", health, worse, own, s.heard, alive)
	}
	b.do(0, Heard{Server: 2, Load: &Load{}, Age: 0})
	if s.heard != alive {
		t.Error("another's word made a server count as heard here")
	}
	s.heard = b.now
	before := s.health[0].now(b.now)
	b.do(0, Heard{Server: 2, Load: nil, Age: 100 * ms})
	if s.health[0].now(b.now) != before {
		t.Error("silent by another's word, though it answered here since")
	}
	b.do(0, Heard{Server: 99, Load: &Load{}})
	b.do(0, Heard{Server: 1, Load: &Load{}, Age: -1})
}
