package dispatch

import (
	"io"
	"time"

	"rampspread/routing"
)

// Upstream sends calls to endpoints. None of its methods blocks, since the dispatcher's owner calls them.
type Upstream interface {
	// Send makes one attempt and reports on it to the observer.
	Send(spec AttemptSpec, observer AttemptObserver) Attempt
	// PollLoad polls an endpoint's load and calls onReport once, from any goroutine. The report is nil if the endpoint
	// gave none within the limit.
	PollLoad(endpoint EndpointAddress, timeout time.Duration, onReport func(*routing.LoadReport))
	// Release releases what is reserved for the call's request, through the first of the targets that answers.
	Release(call UpstreamCall, targets []EndpointAddress)
}

// Attempt is one call in flight at an endpoint.
type Attempt interface {
	// Abort stops waiting for the call. The attempt's end is reported once its connection is closed.
	Abort()
	// Withdraw ends an attempt of which no byte has been written, as one that could not connect. If the attempt is
	// being written, Withdraw only prevents it from being written again on another connection. It does not wait.
	Withdraw()
}

// AttemptObserver receives the events of one attempt. Its methods may be called from any goroutine but the
// dispatcher's owner: FirstToken waits for the owner, Ended only while the mailbox is full.
type AttemptObserver interface {
	// FirstToken offers the attempt's stream as the request's final answer. If it returns true the stream goes to the
	// client; otherwise the attempt must be given up.
	FirstToken(Stream) bool
	// Ended is called once, when nothing remains of the attempt on its connection. No FirstToken follows it.
	Ended(AttemptResult)
}

// AttemptSpec is one attempt to be made.
type AttemptSpec struct {
	Call    UpstreamCall
	Target  EndpointAddress
	Timeout time.Duration // of the whole attempt
	// ClientGone checks whether the client has disconnected. It does not wait; nil: that cannot be checked.
	ClientGone func() bool
	// MayHaveRun says that the request may have been executed and that the endpoints discard repeats of it. They do so for
	// DedupWindow from now; without MayHaveRun the window has no meaning.
	MayHaveRun  bool
	DedupWindow time.Duration
}

// AttemptResult is how an attempt ended.
type AttemptResult struct {
	Outcome       routing.Outcome
	CachedTokens  int                 // prompt tokens found in the endpoint's prefix cache
	StreamStarted bool                // the answer had begun, and then it broke
	Load          *routing.LoadReport // nil: the answer had none
}

// EndpointAddress is the address of a listed endpoint.
type EndpointAddress struct {
	ID   routing.EndpointID
	Name string
	Addr string // host:port
}

// UpstreamCall is what is forwarded to the endpoints for one request, unchanged.
type UpstreamCall struct {
	ID          string // the request's, also in logs
	Method      string
	Target      string // the HTTP request target
	ContentType string // of the body
	Body        []byte
}

// Request is what a frontend has accepted from a client.
type Request struct {
	Call               UpstreamCall
	Class              int // index into the configuration's classes
	Tenant             int // index into the configuration's tenant quotas
	Session            routing.Key
	SharedPrefix       routing.Key
	PromptTokens       int
	SharedPrefixTokens int
	MaxOutputTokens    int
	Deadline           time.Time // the final answer is given by then
	// ClientGone checks on the connection whether the client has closed it, which the client's context may show a
	// moment later. It does not wait; nil: only the context shows it.
	ClientGone func() bool
	// RunToCompletion lets an attempt that was sent run to its end though the client has disconnected. No further
	// attempt begins then.
	RunToCompletion bool
}

// AnswerKind is how a request was answered.
type AnswerKind uint8

// The kinds of a final answer.
const (
	Failed   AnswerKind = iota // promises nothing: the request may have been executed
	Rejected                   // promises that a retry is harmless
	Served                     // Stream holds the answer
	// ClientDisconnected says that the client disconnected first. For a RunToCompletion request it also says that the request
	// was not executed: one that may have been is Failed.
	ClientDisconnected
)

var kindNames = [...]string{Failed: "failed", Rejected: "rejected", Served: "served", ClientDisconnected: "client_gone"}

// String is the kind's name in logs.
func (k AnswerKind) String() string { return kindNames[k] }

// Answer is the one final answer to a request.
type Answer struct {
	Kind       AnswerKind
	RetryAfter time.Duration // for Rejected; positive
	Stream     Stream        // for Served
}

// Stream is an endpoint's answer from its first event on. Read returns io.EOF only after the whole answer. Whoever
// holds the stream must close it.
type Stream interface {
	io.ReadCloser
}

// Endpoint is one entry of the endpoint list.
type Endpoint struct {
	Name    string // identifies the endpoint
	Addr    string // host:port
	Zone    int
	Kind    int // index into the configuration's kinds
	Cell    int
	State   routing.EndpointState
	Weight  float64
	Started time.Time // of its process; zero: long ago
}

// ApplyUpdate brings an endpoint list, keyed by name, up to date with an update from service discovery: a whole list
// (full), or changes to it. Entries in state Gone are removed.
func ApplyUpdate(list map[string]Endpoint, full bool, entries []Endpoint) { //revive:disable-line:flag-parameter discovery's form
	if full {
		clear(list)
	}
	for _, entry := range entries {
		if list[entry.Name] = entry; entry.State == routing.Gone {
			delete(list, entry.Name)
		}
	}
}
