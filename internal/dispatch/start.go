package dispatch

import "time"

// startTime is when a server was started: as the list tells it, and by the core's clock.
type startTime struct {
	reported time.Time
	at       time.Duration
}

// maxClockSkew is how far ahead of this machine's wall clock a start may be told without the clock having been stepped.
const maxClockSkew = time.Second

// startTime is when a server was started, by the core's clock; 0: long ago. The same start told again is the same time: only its first
// telling is compared with the clocks, since the wall clock may be stepped while the server warms up.
func (c *Dispatcher) startTime(l *endpointRecord, told time.Time) time.Duration {
	if told.IsZero() {
		l.started = startTime{}
		return 0
	}
	if !l.started.reported.Equal(told) {
		l.started = startTime{reported: told, at: c.now() - c.endpointAge(told)}
	}
	return l.started.at
}

// endpointAge is how long ago a server was started, by the more careful of two clocks: the wall clock, and the core's own, which has counted
// real time since this process's start. They differ once the wall clock has been stepped. A start that lies ahead of the wall clock
// was told by the clock as it was before a step back.
func (c *Dispatcher) endpointAge(told time.Time) time.Duration {
	byWall := c.machine.Wall().Sub(told)
	byOwn := c.now() - time.Duration(told.UnixNano())
	if byWall < -maxClockSkew {
		return max(byOwn, 0)
	}
	return max(min(byWall, byOwn), 0)
}
