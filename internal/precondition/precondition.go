// Package precondition is the one place that says whether something may be done now: a request taken, an attempt made, its first byte
// written, a client's connection closed, an answer given. It is pure: whoever is about to act gathers the facts at that moment, asks,
// and goes by the Reason. What must never be asked at all, since something before should have prevented it, is a violation, and is
// counted by an Audit.
package precondition

import (
	"time"

	"rampspread/routing"
)

// Reason says why something may not be done; Allowed: it may.
type Reason uint8

// The reasonCount.
const (
	Allowed            Reason = iota
	ClientDisconnected        // the client has closed its connection
	AlreadyAnswered           // the request has its final answer
	DeadlineExceeded          // no time is left
	EndpointLeaving           // the server is draining, gone or not listed
	Withdrawn                 // the attempt was withdrawn before it began
	AttemptInFlight           // another attempt of the request is out
	MayHaveRun                // it may have run, and must not run again there
	DedupWindowExpired        // the servers that drop repeats of it do not any more
	ShuttingDown              // the process may be killed before it could answer
	Draining                  // the operator has sent clients away for so long that nothing new is taken
	Evicted                   // the connection has been closed in favor of another
	RequestUnanswered         // a request of the connection has no answer yet
	RequestArriving           // a request is coming on the connection, or has come and is not looked at yet
	UnreadBytes               // bytes wait on the connection
	reasonCount
)

var reasonNames = [reasonCount]string{"allowed", "client_gone", "answered", "deadline_over", "server_leaving", "withdrawn", "copy_out",
	"may_have_run", "window_over", "ending", "drained", "gave_way", "unanswered", "arriving", "unread"}

// String is the reason as logs and counters name it.
func (r Reason) String() string {
	if r >= reasonCount {
		return "unknown"
	}
	return reasonNames[r]
}

// MaxStall is how long a process may be held up between reading its clock and writing: what ends at a set time is over that much sooner.
const MaxStall = 150 * time.Millisecond

// Accept holds the facts as a request has come whole.
type Accept struct {
	ClientGone   bool
	Evicted      bool
	ShuttingDown bool // it came so late after SIGTERM that it might be unanswered at the process's end
	Draining     bool // it came too late after the begin of an operator's drain
}

// Check tells whether the request may be taken.
func (t Accept) Check() Reason {
	switch {
	case t.Evicted:
		return Evicted
	case t.ClientGone:
		return ClientDisconnected
	case t.ShuttingDown:
		return ShuttingDown
	case t.Draining:
		return Draining
	}
	return Allowed
}

// Attempt holds the facts as an attempt is to be made.
type Attempt struct {
	Answered        bool
	ClientGone      bool
	EndpointLeaving bool          // the server is draining, gone or not listed
	TimeLeft        time.Duration // of the request's time
	AttemptInFlight bool          // another attempt of it has not ended
	Executes        bool          // an attempt at this server carries the request out, as reads do not
	MayHaveRun      bool          // an earlier attempt may have carried it out
	Idempotency     routing.Idempotency
	InDedupScope    bool          // with Keyed: the server drops repeats of what may have run
	DedupWindow     time.Duration // with Keyed: for so long yet
}

// Check tells whether the attempt may be made.
func (s Attempt) Check() Reason {
	repeat := s.Executes && s.MayHaveRun && s.Idempotency != routing.Idempotent
	switch {
	case s.Answered:
		return AlreadyAnswered
	case s.ClientGone:
		return ClientDisconnected
	case s.EndpointLeaving:
		return EndpointLeaving
	case s.TimeLeft <= 0:
		return DeadlineExceeded
	case s.AttemptInFlight:
		return AttemptInFlight
	case repeat && (s.Idempotency == routing.NonIdempotent || !s.InDedupScope):
		return MayHaveRun
	case repeat && s.DedupWindow <= MaxStall:
		return DedupWindowExpired
	}
	return Allowed
}

// FirstByte holds the facts as an attempt's first byte is to be written. The connection for it may have come long after the Send.
type FirstByte struct {
	Withdrawn   bool
	ClientGone  bool
	TimeLeft    time.Duration // of the attempt's time
	Retry       bool          // Window binds
	DedupWindow time.Duration // for which the server drops repeats of what may have run
}

// Check tells whether the byte may be written.
func (b FirstByte) Check() Reason {
	switch {
	case b.Withdrawn:
		return Withdrawn
	case b.ClientGone:
		return ClientDisconnected
	case b.TimeLeft <= 0:
		return DeadlineExceeded
	case b.Retry && b.DedupWindow <= MaxStall:
		return DedupWindowExpired
	}
	return Allowed
}

// Cause is why this side wants to close a client's connection.
type Cause uint8

// The causes.
const (
	ForCapacity Cause = iota // others need its place
	ForDrain                 // the operator sends clients away
	AtShutdown               // the process ends
)

// CloseConnection holds the facts as a client's connection is to be closed by this side.
type CloseConnection struct {
	Cause                 Cause
	RequestOpen           bool          // a request on it is being answered
	AwaitingBytes         bool          // all that has been read was looked at, and makes no whole request
	PartialRequest        bool          // a part of a request has been read, or none ever came
	Idle                  time.Duration // since its last byte
	PartialRequestTimeout time.Duration // for which half a request is waited for
	UnreadBytes           bool          // bytes wait to be read
}

// Check tells whether the connection may be closed.
func (c CloseConnection) Check() Reason {
	switch {
	case c.RequestOpen:
		return RequestUnanswered
	case !c.AwaitingBytes:
		return RequestArriving
	case c.PartialRequest && (c.Cause == AtShutdown || c.Idle < c.PartialRequestTimeout):
		return RequestArriving // at the end a time limit of its own ends it, with an answer
	case c.UnreadBytes && c.Cause != AtShutdown:
		return UnreadBytes // at the end what was not read is not taken: the client sends it anew
	}
	return Allowed
}

// FinalAnswer holds the facts as a final answer is to be given.
type FinalAnswer struct {
	Answered bool
}

// Check tells whether the answer may be given.
func (a FinalAnswer) Check() Reason {
	if a.Answered {
		return AlreadyAnswered
	}
	return Allowed
}
