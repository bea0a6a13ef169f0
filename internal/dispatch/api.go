// The contract between the core, the fronts that ask it and the servers that it sends to.

package dispatch

import (
	"io"
	"time"

	"rampspread/routing"
)

// Call is what goes on to the servers for one request, unchanged.
type Call struct {
	ID          string
	Method      string
	Target      string
	ContentType string // of the body
	Body        []byte
}

// Request is what a front has taken from a client.
type Request struct {
	Call               Call
	Class              int
	Tenant             int
	Session            routing.Key
	SharedPrefix       routing.Key
	PromptTokens       int
	SharedPrefixTokens int
	MaxOutputTokens    int
	Deadline           time.Time // the final answer has left by then
	// ClientGone asks the client's connection whether the client has closed it, which its context may tell a moment later; nil: the context
	// is all there is to ask. It does not wait.
	ClientGone func() bool
	// RunToCompletion lets what has been sent go on to its end though the client has left; no further attempt begins.
	RunToCompletion bool
}

// AnswerKind is how a request was answered.
type AnswerKind uint8

// The kinds of a final answer.
const (
	Failed     AnswerKind = iota // no promise
	Rejected                     // a retry is harmless
	Served                       // Stream holds the answer
	ClientGone                   // the client went away first, and nothing may have run
)

var kindNames = [...]string{Failed: "failed", Rejected: "refused", Served: "served", ClientGone: "left"}

// String is the kind as logs name it.
func (k AnswerKind) String() string { return kindNames[k] }

// Answer is the one final answer to a request.
type Answer struct {
	Kind       AnswerKind
	RetryAfter time.Duration
	Stream     Stream
}

// Stream is a server's answer from its first event on. Read returns io.EOF only
// after the whole answer; whoever holds the stream closes it.
type Stream interface {
	io.ReadCloser
}

// Target is a server as the core was told of it.
type Target struct {
	ID   routing.EndpointID
	Name string
	Addr string
}

// Attempt is one call that is out at a server.
type Attempt interface {
	// Abort stops waiting. The attempt's end is reported once its connection is closed.
	Abort()
	// Withdraw ends an attempt of which no byte has been written, as one that could not connect; of one that is
	// being written it stops only what would be written anew. It does not wait.
	Withdraw()
}

// AttemptResult is how an attempt ended.
type AttemptResult struct {
	Outcome       routing.Outcome
	CachedTokens  int
	StreamStarted bool // the answer had begun, and then it broke
	Load          *routing.LoadReport
}

// AttemptObserver takes an attempt's news; its methods may be called from any goroutine.
type AttemptObserver interface {
	// FirstToken asks for the client: the stream goes to it, or false is returned and the attempt is to be given up.
	FirstToken(Stream) bool
	// Ended is called once, when nothing is left of the attempt on its connection.
	Ended(AttemptResult)
}

// AttemptSpec is one attempt to be made.
type AttemptSpec struct {
	Call    Call
	Target  Target
	Timeout time.Duration // for all of it
	// ClientGone asks whether the client has gone; nil: nobody can tell. It does not wait.
	ClientGone func() bool
	// Window is for how long the servers drop repeats of what may have run already, where Retry says that it may have.
	Retry       bool
	DedupWindow time.Duration
}

// Upstream sends calls. None of its methods blocks.
type Upstream interface {
	Send(order AttemptSpec, ev AttemptObserver) Attempt
	// PollLoad asks a server for its load and calls back once, from any goroutine; nil: it told none in time.
	PollLoad(to Target, limit time.Duration, told func(*routing.LoadReport))
	// Release lets go of what is held for the call's request, through the first of the targets that answers.
	Release(call Call, through []Target)
}

// Endpoint is one entry of the list of servers.
type Endpoint struct {
	Name    string
	Addr    string
	Zone    int
	Kind    int
	Cell    int
	State   routing.EndpointState
	Weight  float64
	Started time.Time // zero: long ago
}

// ApplyUpdate brings a list by name up to date with what discovery told: the whole of it, or changes.
func ApplyUpdate(list map[string]Endpoint, full bool, entries []Endpoint) {
	if full {
		clear(list)
	}
	for _, e := range entries {
		if list[e.Name] = e; e.State == routing.Gone {
			delete(list, e.Name)
		}
	}
}
