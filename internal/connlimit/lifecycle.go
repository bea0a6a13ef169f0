package connlimit

import "sync/atomic"

// Lifecycle is the state of the process's shutdown and of an operator's drain, which the limiters of a process share.
// Its fields may be used from any goroutine.
type Lifecycle struct {
	// Stopping is set on SIGTERM: from then on each answer is the last on its connection. GET /healthz still answers
	// 200, since a replacement process may share this one's address, and the load balancer in front of them cannot tell
	// the two apart.
	Stopping atomic.Bool
	// Closing is set some time after Stopping: connections are closed when they become idle, even if unread bytes are
	// waiting, since the process may be killed before it could answer the request that the bytes belong to.
	Closing atomic.Bool
	// RejectNew is set when the process may be killed before it could answer a new request: requests that have been
	// received completely only after that are rejected.
	RejectNew atomic.Bool
	// Drain is the state of the operator's drain: while it is active, GET /healthz answers 503, and connections are
	// closed as soon as they are idle.
	Drain Drain
}
