package dispatch

import "time"

// startTime is the time at which an endpoint's process was started.
type startTime struct {
	reported time.Time     // time given in the endpoint list
	at       time.Duration // same time on the Router's clock
}

// maxClockSkew is the largest time by which a reported start may lie ahead of this machine's wall clock because of
// clock skew between machines. A start further ahead is taken to mean that the wall clock was stepped back.
const maxClockSkew = time.Second

// startTime converts an endpoint's reported start to the Router's clock. It returns 0 for a zero time, which means that
// the endpoint started long ago. The conversion is made once per start: if the same start is reported again, the result
// is the same, since the wall clock may be stepped while the endpoint is in its slow start.
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

// endpointAge returns the time since a reported start, or 0 if the start is in the future. It is the lower of two ages,
// one by the wall clock and one by the Router's clock, which advances monotonically since the start of this process.
// The two differ if the wall clock has been stepped; the lower one errs towards a longer slow start. A start that lies
// more than maxClockSkew ahead of the wall clock was measured before the clock was stepped back, so only the Router's
// clock is used for it.
func (d *Dispatcher) endpointAge(reported time.Time) time.Duration {
	byWallClock := d.system.Wall().Sub(reported)
	byRouterClock := d.now() - time.Duration(reported.UnixNano())
	if byWallClock < -maxClockSkew {
		return max(byRouterClock, 0)
	}
	return max(min(byWallClock, byRouterClock), 0)
}
