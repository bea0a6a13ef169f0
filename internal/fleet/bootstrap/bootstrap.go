// Package bootstrap decides from which members a newly started process requests learned state and when, and limits how
// many requests a member serves.
//
// The algorithm is a bounded state transfer on start, a pull form of anti-entropy (Demers et al., PODC 1987). Request
// times are drawn at random, so that a simultaneous start of the whole fleet does not overload the few members that
// have state. A token bucket bounds the number of transfers that each donor serves. A process that has received a
// transfer serves requests itself, so the number of donors grows.
//
// The package does no I/O and reads no clock. Its types are not safe for concurrent use.
package bootstrap

import "time"

// Limits bounds the load that a starting process puts on the other members.
type Limits struct {
	// SpreadPerMember, multiplied by the size of the fleet, is the range from which the delay of the first request is
	// drawn. If the whole fleet starts at once, it sends about one request per SpreadPerMember in total.
	SpreadPerMember time.Duration
	MaxSpread       time.Duration // upper bound of that range
	ResponseTimeout time.Duration // wait for a response before the next request, which goes to another member
	// RetryInterval is the time after which a member that refused, or had nothing to transfer, may receive another
	// request.
	RetryInterval time.Duration
	MaxTransfers  int // number of received transfers after which a process sends no more requests
	MaxRequests   int // number of requests that a process sends at most
	// Window is the time after the start in which requests are sent. By its end the process has itself learned more
	// than a transfer would add.
	Window time.Duration
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
	MaxTransfers:       2,
	MaxRequests:        20,
	Window:             8 * time.Second,
	TransfersPerSecond: 6,
	Burst:              4,
}

// Peer is another member to which a request may be sent.
type Peer struct {
	Name     string
	Older    bool // whether the member started well before this process
	SameZone bool // whether the member is in this process's zone, so that its state covers the same replicas best
}
