// Package bootstrap decides from which members a process that has just started requests what they have learnt, when it
// does, and how many requests a member serves.
//
// The algorithm is a bounded state transfer on start, as an anti-entropy exchange by pull (Demers et al., PODC 1987).
// The times of the requests are drawn at random, so that a start of the whole fleet does not overload the few members
// that have state; each of these serves a number bounded by a token bucket; and a process that has received a transfer
// serves others in its turn, so that donors multiply.
//
// The package does no I/O and has no clock. Its types are not safe for concurrent use.
package bootstrap

import "time"

// Limits bound what a start costs the other members.
type Limits struct {
	// SpreadPerMember, times the size of the fleet, is the span from which the time of the first request is drawn: a
	// start of the whole fleet at once makes about one request in that time in all.
	SpreadPerMember time.Duration
	MaxSpread       time.Duration // the longest such span
	ResponseTimeout time.Duration // until the next request, to another member
	// RetryInterval is after how long a member that refused, or had nothing to transfer, may be requested from again.
	RetryInterval time.Duration
	Transfers     int           // received by a process
	MaxRequests   int           // sent by a process
	Window        time.Duration // after the start; later the process has learnt more itself
	// TransfersPerSecond and Burst are the rate and the size of a donor's token bucket.
	TransfersPerSecond float64
	Burst              float64
}

// DefaultLimits are the limits that members use.
var DefaultLimits = Limits{
	SpreadPerMember:    10 * time.Millisecond,
	MaxSpread:          2 * time.Second,
	ResponseTimeout:    500 * time.Millisecond,
	RetryInterval:      time.Second,
	Transfers:          2,
	MaxRequests:        20,
	Window:             8 * time.Second,
	TransfersPerSecond: 6,
	Burst:              4,
}

// Peer is another member that may be requested from.
type Peer struct {
	Name     string
	Older    bool // it started well before this process
	SameZone bool // it is in this process' zone, and so knows the same replicas best
}
