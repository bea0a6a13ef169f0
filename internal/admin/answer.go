// Package admin implements the operators' line protocol, which has an address of its own. Each connection carries one
// line with the name of a call and gets one line back, which starts with SUCCESS or FAILURE, before it is closed.
// Server answers calls, and Request makes one.
//
// A Server owns its listeners and connections. Each connection has its own goroutine, so handlers run concurrently.
package admin

// Outcome is the first word of an answer on the wire.
type Outcome string

// These are the possible outcomes.
const (
	Success Outcome = "SUCCESS"
	Failure Outcome = "FAILURE"
)

// Answer is the answer to a call. Text follows the outcome on the line and must not contain a newline.
type Answer struct {
	Outcome Outcome
	Text    string
}

// OK returns the answer to a call that was carried out.
func OK(text string) Answer { return Answer{Success, text} }

// Fail returns the answer to a call that was not carried out, with the reason.
func Fail(reason string) Answer { return Answer{Failure, reason} }

// Handler carries out one operator's call. It must not block: it may read and set atomics of the process, but must not
// wait for the dispatcher's goroutine.
type Handler func() Answer
