// Package precondition decides, in one place for the whole program, whether an action may be taken now. The actions are
// accepting a request, sending an attempt, writing its first byte, closing a client's connection and giving a final
// answer. Each action has a struct of facts, whose Check method evaluates a fixed list of conditions and returns the
// Reason for the first one that forbids the action. Callers gather the facts immediately before the action, call Check,
// and act only if it returns Allowed.
//
// If an earlier stage should already have prevented the action, that stage has violated a rule. A [ViolationCounter]
// counts these violations.
//
// The checks do no I/O, read no clock and keep no state. A ViolationCounter is safe for concurrent use.
package precondition

import (
	"time"

	"rampspread/routing"
)

// Reason is the reason why an action may not be taken. The zero value, Allowed, means that the action may be taken.
type Reason uint8

// The values of Reason. Their names are sent to clients and are part of counter names.
const (
	Allowed            Reason = iota
	ClientDisconnected        // the client has closed its connection
	AlreadyAnswered           // the request has its final answer
	DeadlineExceeded          // no time remains
	EndpointLeaving           // the endpoint is draining, gone or not listed
	Withdrawn                 // the attempt was withdrawn before its first byte was written
	AttemptInFlight           // another attempt of the request has not ended
	MayHaveRun                // the request may have been executed and must not be executed again at this endpoint
	DedupWindowExpired        // the endpoints no longer discard duplicates of the attempt that may have run
	ShuttingDown              // the process may be killed before it can answer
	Draining                  // the operator's drain began so long ago that new requests are no longer accepted
	Evicted                   // the connection was closed to free capacity for another one
	RequestUnanswered         // a request of the connection has no answer yet
	RequestArriving           // a request on the connection is being received, or is received but not parsed yet
	UnreadBytes               // bytes that arrived on the connection have not been read
	NoCapacity                // as many requests are open as the process may hold
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
	NoCapacity:         "no_room",
}

// String returns the reason's name in answers to clients, logs and counter names, or "unknown" for an invalid value.
func (r Reason) String() string {
	if r >= reasonCount {
		return "unknown"
	}
	return reasonNames[r]
}

// MaxStall is the longest time that a process is assumed to stall between reading its clock and writing. Dedup windows
// are treated as ending earlier by this time.
const MaxStall = 150 * time.Millisecond

// Accept holds the facts for accepting a request that has been received completely.
type Accept struct {
	ClientGone   bool
	Evicted      bool // the request's connection was closed to free capacity for another one
	ShuttingDown bool // the request arrived so long after SIGTERM that the process might end before it can answer
	Draining     bool // the request arrived too long after the operator's drain began
	Full         bool // as many requests are open as the process may hold
}

// Check returns Allowed if the request may be accepted, and otherwise the reason why not.
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
	case r.Full:
		return NoCapacity
	}
	return Allowed
}

// Attempt holds the facts for sending an attempt of a request.
type Attempt struct {
	Answered        bool
	ClientGone      bool
	EndpointLeaving bool          // the endpoint is draining, gone or not listed
	RemainingTime   time.Duration // time until the request's deadline or the attempt's timeout, whichever is earlier
	AttemptInFlight bool          // another attempt of the request has not ended
	Executes        bool          // an attempt at this endpoint executes the request; a prefill does not
	MayHaveRun      bool          // an earlier attempt may have executed the request
	Idempotency     routing.Idempotency
	InDedupScope    bool          // for IdempotentByKey only: the endpoint discards duplicates of the earlier attempt
	DedupWindow     time.Duration // for IdempotentByKey only: how much longer it discards them
}

// Check returns Allowed if the attempt may be sent, and otherwise the reason why not.
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

// FirstByte holds the facts that decide whether the first byte of an attempt may be written. They are checked at that
// moment, since they may have changed since Attempt.Check allowed the attempt: the connection may have taken long to
// establish.
type FirstByte struct {
	Withdrawn     bool
	ClientGone    bool
	RemainingTime time.Duration // time until the attempt's timeout
	MayHaveRun    bool          // an earlier attempt may have executed the request, so that DedupWindow is checked
	DedupWindow   time.Duration // how much longer the endpoint discards duplicates of that attempt
}

// Check returns Allowed if the byte may be written, and otherwise the reason why not.
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

// Cause is the purpose for which the dispatcher's side closes a client's connection.
type Cause uint8

// The values of Cause.
const (
	CauseCapacity Cause = iota // the connection's capacity is needed for another one
	CauseDrain                 // the operator drains the process
	CauseShutdown              // the process is shutting down
)

// CloseConnection holds the facts for closing a client's connection from the dispatcher's side.
type CloseConnection struct {
	Cause                 Cause
	RequestInProgress     bool          // a request of the connection is being answered
	AwaitingBytes         bool          // all bytes read have been parsed and do not form a complete request
	PartialRequest        bool          // part of a request has been read, or no request has ever arrived
	Idle                  time.Duration // time since the last byte
	PartialRequestTimeout time.Duration // limit for the wait for the rest of a request
	UnreadBytes           bool          // bytes that have arrived have not been read
}

// Check returns Allowed if the connection may be closed, and otherwise the reason why not.
func (c CloseConnection) Check() Reason {
	switch {
	case c.RequestInProgress:
		return RequestUnanswered
	case !c.AwaitingBytes:
		return RequestArriving
	case c.PartialRequest && (c.Cause == CauseShutdown || c.Idle < c.PartialRequestTimeout):
		return RequestArriving // at shutdown a separate time limit ends the request with an answer
	case c.UnreadBytes && c.Cause != CauseShutdown:
		return UnreadBytes // at shutdown unread requests are not accepted: the client sends them again
	}
	return Allowed
}

// FinalAnswer holds the facts for giving a request's final answer.
type FinalAnswer struct {
	Answered bool // the request already has a final answer
}

// Check returns Allowed if the answer may be given, and otherwise the reason why not.
func (a FinalAnswer) Check() Reason {
	if a.Answered {
		return AlreadyAnswered
	}
	return Allowed
}
