// Package permit is the one place that says whether something may be done now: a request taken, an attempt made, its first byte
// written, a client's connection closed, an answer given. It is pure: whoever is about to act gathers the facts at that moment, asks,
// and goes by the Reason. What must never be asked at all, since something before should have prevented it, is a violation, and is
// counted by an Audit.
package permit

import (
	"time"

	"rampspread/decide"
)

// Reason says why something may not be done; Allowed: it may.
type Reason uint8

// The reasons.
const (
	Allowed       Reason = iota
	ClientGone           // the client has closed its connection
	Answered             // the request has its final answer
	DeadlineOver         // no time is left
	ServerLeaving        // the server is draining, gone or not listed
	Withdrawn            // the attempt was withdrawn before it began
	CopyOut              // another attempt of the request is out
	MayHaveRun           // it may have run, and must not run again there
	WindowOver           // the servers that drop repeats of it do not any more
	Ending               // the process may be killed before it could answer
	Drained              // the operator has sent clients away for so long that nothing new is taken
	GaveWay              // the connection has been closed in favor of another
	Unanswered           // a request of the connection has no answer yet
	Arriving             // a request is coming on the connection, or has come and is not looked at yet
	Unread               // bytes wait on the connection
	reasons
)

var reasonNames = [reasons]string{"allowed", "client_gone", "answered", "deadline_over", "server_leaving", "withdrawn", "copy_out",
	"may_have_run", "window_over", "ending", "drained", "gave_way", "unanswered", "arriving", "unread"}

// String is the reason as logs and counters name it.
func (r Reason) String() string {
	if r >= reasons {
		return "unknown"
	}
	return reasonNames[r]
}

// HeldUp is how long a process may be held up between reading its clock and writing: what ends at a set time is over that much sooner.
const HeldUp = 150 * time.Millisecond

// Take holds the facts as a request has come whole.
type Take struct {
	ClientGone bool
	GaveWay    bool
	Ending     bool // it came so late after SIGTERM that it might be unanswered at the process's end
	Drained    bool // it came too late after the begin of an operator's drain
}

// Check tells whether the request may be taken.
func (t Take) Check() Reason {
	switch {
	case t.GaveWay:
		return GaveWay
	case t.ClientGone:
		return ClientGone
	case t.Ending:
		return Ending
	case t.Drained:
		return Drained
	}
	return Allowed
}

// Send holds the facts as an attempt is to be made.
type Send struct {
	Answered   bool
	ClientGone bool
	Leaving    bool          // the server is draining, gone or not listed
	Left       time.Duration // of the request's time
	CopyOut    bool          // another attempt of it has not ended
	Runs       bool          // an attempt at this server carries the request out, as reads do not
	MayHaveRun bool          // an earlier attempt may have carried it out
	Effect     decide.Idempotency
	Alike      bool          // with Keyed: the server drops repeats of what may have run
	Window     time.Duration // with Keyed: for so long yet
}

// Check tells whether the attempt may be made.
func (s Send) Check() Reason {
	repeat := s.Runs && s.MayHaveRun && s.Effect != decide.Idempotent
	switch {
	case s.Answered:
		return Answered
	case s.ClientGone:
		return ClientGone
	case s.Leaving:
		return ServerLeaving
	case s.Left <= 0:
		return DeadlineOver
	case s.CopyOut:
		return CopyOut
	case repeat && (s.Effect == decide.NonIdempotent || !s.Alike):
		return MayHaveRun
	case repeat && s.Window <= HeldUp:
		return WindowOver
	}
	return Allowed
}

// Begin holds the facts as an attempt's first byte is to be written. The connection for it may have come long after the Send.
type Begin struct {
	Withdrawn  bool
	ClientGone bool
	Left       time.Duration // of the attempt's time
	Repeat     bool          // Window binds
	Window     time.Duration // for which the server drops repeats of what may have run
}

// Check tells whether the byte may be written.
func (b Begin) Check() Reason {
	switch {
	case b.Withdrawn:
		return Withdrawn
	case b.ClientGone:
		return ClientGone
	case b.Left <= 0:
		return DeadlineOver
	case b.Repeat && b.Window <= HeldUp:
		return WindowOver
	}
	return Allowed
}

// Cause is why this side wants to close a client's connection.
type Cause uint8

// The causes.
const (
	ForRoom    Cause = iota // others need its place
	ForDrain                // the operator sends clients away
	AtShutdown              // the process ends
)

// Close holds the facts as a client's connection is to be closed by this side.
type Close struct {
	Cause    Cause
	Open     bool          // a request on it is being answered
	Waits    bool          // all that has been read was looked at, and makes no whole request
	Half     bool          // a part of a request has been read, or none ever came
	Silent   time.Duration // since its last byte
	Patience time.Duration // for which half a request is waited for
	Unread   bool          // bytes wait to be read
}

// Check tells whether the connection may be closed.
func (c Close) Check() Reason {
	switch {
	case c.Open:
		return Unanswered
	case !c.Waits:
		return Arriving
	case c.Half && (c.Cause == AtShutdown || c.Silent < c.Patience):
		return Arriving // at the end a time limit of its own ends it, with an answer
	case c.Unread && c.Cause != AtShutdown:
		return Unread // at the end what was not read is not taken: the client sends it anew
	}
	return Allowed
}

// Answer holds the facts as a final answer is to be given.
type Answer struct {
	Answered bool
}

// Check tells whether the answer may be given.
func (a Answer) Check() Reason {
	if a.Answered {
		return Answered
	}
	return Allowed
}
