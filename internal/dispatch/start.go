package dispatch

import "time"

// start is when a server was started: as the list tells it, and by the core's clock.
type start struct {
	told time.Time
	at   time.Duration
}

// clockSlack is how far ahead of this machine's wall clock a start may be told without the clock having been stepped.
const clockSlack = time.Second

// startOf is when a server was started, by the core's clock; 0: long ago. The same start told again is the same time: only its first
// telling is compared with the clocks, since the wall clock may be stepped while the server warms up.
func (c *Dispatcher) startOf(l *listed, told time.Time) time.Duration {
	if told.IsZero() {
		l.start = start{}
		return 0
	}
	if !l.start.told.Equal(told) {
		l.start = start{told: told, at: c.now() - c.age(told)}
	}
	return l.start.at
}

// age is how long ago a server was started, by the more careful of two clocks: the wall clock, and the core's own, which has counted
// real time since this process's start. They differ once the wall clock has been stepped. A start that lies ahead of the wall clock
// was told by the clock as it was before a step back.
func (c *Dispatcher) age(told time.Time) time.Duration {
	byWall := c.machine.Wall().Sub(told)
	byOwn := c.now() - time.Duration(told.UnixNano())
	if byWall < -clockSlack {
		return max(byOwn, 0)
	}
	return max(min(byWall, byOwn), 0)
}
