// Package precondition is the one place that says whether an action may be taken now: a request accepted, an attempt
// made, its first byte written, a client's connection closed, a final answer given. Each action has a struct of facts,
// whose Check evaluates a fixed list of guards; the first that does not hold is the Reason. Whoever is about to act
// gathers the facts at that moment, calls Check, and acts only if the Reason is Allowed.
//
// An action that should never have been attempted, since an earlier stage should have prevented it, is a violation of
// an invariant, and is counted by a [ViolationCounter].
//
// The facts and checks are pure values without I/O, clock or state; a ViolationCounter is safe for concurrent use.
package precondition

import (
	"time"

	"rampspread/routing"
)

// Reason says why an action may not be taken. Allowed, the zero value, says that it may.
type Reason uint8

// The reasons. Their names reach clients and are part of the counters' names.
const (
	Allowed            Reason = iota
	ClientDisconnected        // the client has closed its connection
	AlreadyAnswered           // the request has its final answer
	DeadlineExceeded          // no time remains
	EndpointLeaving           // the endpoint is draining, gone or not listed
	Withdrawn                 // the attempt was withdrawn before its first byte
	AttemptInFlight           // another attempt of the request has not ended
	MayHaveRun                // the request may have been executed, and must not be again at this endpoint
	DedupWindowExpired        // the endpoints no longer discard repeats of what may have been executed
	ShuttingDown              // the process may be killed before it could answer
	Draining                  // the operator began to drain so long ago that new requests are not accepted any more
	Evicted                   // the connection was closed in favor of another
	RequestUnanswered         // a request of the connection has no answer yet
	RequestArriving           // a request is being received on the connection, or was received and is not parsed yet
	UnreadBytes               // bytes have arrived on the connection that were not read
	reasonCount
)

var reasonNames = [reasonCount]string{
	Allowed:            "allowed",
	ClientDisconnected: "client_gone",
	AlreadyAnswered:    "answered",
	DeadlineExceeded:   "deadline_over",
	EndpointLeaving:    "server_leaving",
	Withdrawn:          "withdrawn",
	AttemptInFlight:    "copy_out",
	MayHaveRun:         "may_have_run",
	DedupWindowExpired: "window_over",
	ShuttingDown:       "ending",
	Draining:           "drained",
	Evicted:            "gave_way",
	RequestUnanswered:  "unanswered",
	RequestArriving:    "arriving",
	UnreadBytes:        "unread",
}

// String is the reason's name in answers to clients, logs and counters; "unknown" for a value that is no reason.
func (r Reason) String() string {
	if r >= reasonCount {
		return "unknown"
	}
	return reasonNames[r]
}

// MaxStall is how long a process may stall between reading its clock and writing. A dedup window is therefore treated
// as over that much earlier.
const MaxStall = 150 * time.Millisecond

// Accept holds the facts when a request has been received completely.
type Accept struct {
	ClientGone   bool
	Evicted      bool // its connection was closed in favor of another
	ShuttingDown bool // it came so late after SIGTERM that it might be unanswered at the process's end
	Draining     bool // it came too late after the operator began to drain
}

// Check reports whether the request may be accepted.
func (r Accept) Check() Reason {
	switch {
	case r.Evicted:
		return Evicted
	case r.ClientGone:
		return ClientDisconnected
	case r.ShuttingDown:
		return ShuttingDown
	case r.Draining:
		return Draining
	}
	return Allowed
}

// Attempt holds the facts when an attempt of a request is to be made.
type Attempt struct {
	Answered        bool
	ClientGone      bool
	EndpointLeaving bool          // the endpoint is draining, gone or not listed
	RemainingTime   time.Duration // until the request's deadline or the attempt's timeout
	AttemptInFlight bool          // another attempt of the request has not ended
	Executes        bool          // an attempt at this endpoint executes the request, as a prefill does not
	MayHaveRun      bool          // an earlier attempt may have executed the request
	Idempotency     routing.Idempotency
	InDedupScope    bool          // for IdempotentByKey: the endpoint discards repeats of what may have run,
	DedupWindow     time.Duration // and for how long yet
}

// Check reports whether the attempt may be made.
func (a Attempt) Check() Reason {
	repeat := a.Executes && a.MayHaveRun && a.Idempotency != routing.Idempotent
	switch {
	case a.Answered:
		return AlreadyAnswered
	case a.ClientGone:
		return ClientDisconnected
	case a.EndpointLeaving:
		return EndpointLeaving
	case a.RemainingTime <= 0:
		return DeadlineExceeded
	case a.AttemptInFlight:
		return AttemptInFlight
	case repeat && (a.Idempotency == routing.NonIdempotent || !a.InDedupScope):
		return MayHaveRun
	case repeat && a.DedupWindow <= MaxStall:
		return DedupWindowExpired
	}
	return Allowed
}

// FirstByte holds the facts when an attempt's first byte is to be written. Its connection may have been established
// long after the attempt was allowed.
type FirstByte struct {
	Withdrawn     bool
	ClientGone    bool
	RemainingTime time.Duration // until the attempt's timeout
	MayHaveRun    bool          // an earlier attempt may have run, so that DedupWindow counts
	DedupWindow   time.Duration // for how long yet the endpoint discards repeats of what may have run
}

// Check reports whether the byte may be written.
func (b FirstByte) Check() Reason {
	switch {
	case b.Withdrawn:
		return Withdrawn
	case b.ClientGone:
		return ClientDisconnected
	case b.RemainingTime <= 0:
		return DeadlineExceeded
	case b.MayHaveRun && b.DedupWindow <= MaxStall:
		return DedupWindowExpired
	}
	return Allowed
}

// Cause is why the dispatcher's side is to close a client's connection.
type Cause uint8

// The causes.
const (
	ForCapacity Cause = iota // another connection needs its capacity
	ForDrain                 // the operator drains the process
	AtShutdown               // the process shuts down
)

// CloseConnection holds the facts when the dispatcher's side is to close a client's connection.
type CloseConnection struct {
	Cause                 Cause
	RequestInProgress     bool          // a request on it is being answered
	AwaitingBytes         bool          // all that was read has been parsed, and makes no complete request
	PartialRequest        bool          // a part of a request has been read, or none has ever come
	Idle                  time.Duration // since its last byte
	PartialRequestTimeout time.Duration // how long the rest of a request is awaited
	UnreadBytes           bool          // bytes have arrived that were not read
}

// Check reports whether the connection may be closed.
func (c CloseConnection) Check() Reason {
	switch {
	case c.RequestInProgress:
		return RequestUnanswered
	case !c.AwaitingBytes:
		return RequestArriving
	case c.PartialRequest && (c.Cause == AtShutdown || c.Idle < c.PartialRequestTimeout):
		return RequestArriving // at shutdown a time limit of its own ends the request, with an answer
	case c.UnreadBytes && c.Cause != AtShutdown:
		return UnreadBytes // at shutdown what was not read is not accepted: the client sends it again
	}
	return Allowed
}

// FinalAnswer holds the facts when a request's final answer is to be given.
type FinalAnswer struct {
	Answered bool // the request has one already
}

// Check reports whether the answer may be given.
func (a FinalAnswer) Check() Reason {
	if a.Answered {
		return AlreadyAnswered
	}
	return Allowed
}
