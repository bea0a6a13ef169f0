package connlimit

import "sync/atomic"

// Lifecycle is the state of the process's shutdown and of an operator's drain, which the limiters of a process share.
// Its fields may be used from any goroutine.
type Lifecycle struct {
	// Stopping is set on SIGTERM: each answer is the last on its connection. GET /healthz still answers 200, since a
	// process that replaces this one may share its address, and the load balancer before them cannot tell the two
	// apart.
	Stopping atomic.Bool
	// Closing is set some time later: connections are closed as they become idle, even if unread bytes wait, since the
	// process may be killed before it has answered those.
	Closing atomic.Bool
	// RejectNew is set when a request may no longer be answered before the process is killed: one that comes whole is
	// rejected.
	RejectNew atomic.Bool
	// Drain is the operator's drain: GET /healthz answers 503, and connections are closed as soon as they are idle.
	Drain Drain
}
