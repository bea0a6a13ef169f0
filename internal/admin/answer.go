// Package admin is the operators' line protocol on an address of its own: each connection carries one line, the name of
// a call, and gets one line back, which starts with SUCCESS or FAILURE, before it is closed. Server answers calls,
// Request makes one.
//
// A Server owns its listeners and connections; each connection has a goroutine, and so handlers run concurrently.
package admin

// Outcome is the first word of an answer, as it is written to the wire.
type Outcome string

// The outcomes.
const (
	Success Outcome = "SUCCESS"
	Failure Outcome = "FAILURE"
)

// Answer is the answer to a call. Its text, which must have no newline, follows the outcome on the line.
type Answer struct {
	Outcome Outcome
	Text    string
}

// OK is the answer of a call that was carried out.
func OK(text string) Answer { return Answer{Success, text} }

// Fail is the answer of a call that was not carried out; the text says why.
func Fail(reason string) Answer { return Answer{Failure, reason} }

// Handler carries out one operator's call. It must not block: it reads and sets the process's atomics, and never waits
// for the dispatcher's goroutine.
type Handler func() Answer
