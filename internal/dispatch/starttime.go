package dispatch

import "time"

// startTime is when an endpoint's process was started.
type startTime struct {
	reported time.Time     // as the endpoint list has it
	at       time.Duration // by the Router's clock
}

// maxClockSkew is how far ahead of this machine's wall clock a reported start may lie without the wall clock having
// been stepped back.
const maxClockSkew = time.Second

// startTime converts an endpoint's reported start to the Router's clock; 0 means long ago. A start that is reported
// again has the same converted time: only the first report is compared with the clocks, since the wall clock may be
// stepped while the endpoint is in its slow start.
func (d *Dispatcher) startTime(record *endpointRecord, reported time.Time) time.Duration {
	if reported.IsZero() {
		record.started = startTime{}
		return 0
	}
	if !record.started.reported.Equal(reported) {
		record.started = startTime{reported: reported, at: d.now() - d.endpointAge(reported)}
	}
	return record.started.at
}

// endpointAge is the time since a reported start, by the more careful (lower) reading of two clocks: the wall clock,
// and the Router's clock, which has counted real time since this process's start. They differ once the wall clock has
// been stepped. A start that lies ahead of the wall clock was reported by the clock as it was before a step back, so
// that only the Router's clock counts. The age is never negative.
func (d *Dispatcher) endpointAge(reported time.Time) time.Duration {
	byWallClock := d.system.Wall().Sub(reported)
	byRouterClock := d.now() - time.Duration(reported.UnixNano())
	if byWallClock < -maxClockSkew {
		return max(byRouterClock, 0)
	}
	return max(min(byWallClock, byRouterClock), 0)
}
