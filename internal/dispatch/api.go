package dispatch

import (
	"io"
	"time"

	"rampspread/routing"
)

// Upstream sends calls to endpoints. Its methods must not block, since the dispatcher's owner (the goroutine of
// Dispatcher.Run) calls them.
type Upstream interface {
	// Send starts one attempt and reports its events to the observer.
	Send(spec AttemptSpec, observer AttemptObserver) Attempt
	// PollLoad polls an endpoint for its load and calls onReport once, from any goroutine but the owner. The report is
	// nil if the endpoint sent none within the timeout.
	PollLoad(endpoint EndpointAddress, timeout time.Duration, onReport func(*routing.LoadReport))
	// Release releases the reservations of the call's request. It sends the release to the targets until one answers.
	Release(call UpstreamCall, targets []EndpointAddress)
}

// Attempt is one call in flight at an endpoint.
type Attempt interface {
	// Abort cancels the call and does not wait. The attempt's end is reported when its connection is closed.
	Abort()
	// Withdraw ends the attempt if no byte of it has been written; the attempt then ends as one that could not connect.
	// If writing has begun, Withdraw only prevents the attempt from being written again on another connection. It does
	// not wait.
	Withdraw()
}

// AttemptObserver receives the events of one attempt. Its methods may be called from any goroutine but the
// dispatcher's owner, since they may wait for the owner: FirstToken always does, Ended only while the mailbox is full.
type AttemptObserver interface {
	// FirstToken offers the attempt's stream as the request's final answer. If it returns true, the stream goes to the
	// client; otherwise the caller must abort the attempt.
	FirstToken(Stream) bool
	// Ended is called once, when the connection carries nothing more of the attempt. No call of FirstToken follows.
	Ended(AttemptResult)
}

// AttemptSpec describes an attempt to send.
type AttemptSpec struct {
	Call    UpstreamCall
	Target  EndpointAddress
	Timeout time.Duration // limit for the whole attempt
	// ClientGone reports whether the client has disconnected. It does not wait. It is nil if this cannot be checked.
	ClientGone func() bool
	// MayHaveRun says that an earlier attempt may have executed the request and that the endpoint discards duplicates.
	MayHaveRun bool
	// DedupWindow is how long from now the endpoint still discards duplicates. It has no meaning without MayHaveRun.
	DedupWindow time.Duration
}

// AttemptResult describes how an attempt ended.
type AttemptResult struct {
	Outcome       routing.Outcome
	CachedTokens  int                 // number of prompt tokens found in the endpoint's prefix cache
	StreamStarted bool                // whether the stream had begun before it broke
	Load          *routing.LoadReport // load report in the response, or nil if there was none
}

// EndpointAddress is the address of a listed endpoint.
type EndpointAddress struct {
	ID   routing.EndpointID
	Name string
	Addr string // host:port
}

// UpstreamCall is the part of a request that is forwarded unchanged to the endpoints.
type UpstreamCall struct {
	ID          string // ID of the request, also in logs
	Method      string
	Target      string // the HTTP request target
	ContentType string // content type of Body
	Body        []byte
}

// Request is a request that a frontend has received from a client.
type Request struct {
	Call               UpstreamCall
	Class              int // index into the configuration's classes
	Tenant             int // index into the configuration's tenant quotas
	Session            routing.Key
	SharedPrefix       routing.Key
	PromptTokens       int
	SharedPrefixTokens int
	MaxOutputTokens    int
	Deadline           time.Time // time by which the final answer is due
	// ClientGone reports whether the client has closed its connection. It checks the connection itself, since the
	// client's context may be cancelled a moment later. It does not wait. If it is nil, only the context is checked.
	ClientGone func() bool
	// RunToCompletion lets a sent attempt that may execute the request continue to its end after the client has
	// disconnected. No further attempt is started then.
	RunToCompletion bool
	// Done is called once, when nothing of the request is in flight any more and nothing of it will be sent. mayHaveRun
	// says whether an endpoint may have executed it. That may be long after the answer, and never if the dispatcher
	// stops before. Done must not wait. It may be nil.
	Done func(mayHaveRun bool)
}

// AnswerKind is the kind of a final answer.
type AnswerKind uint8

// The values of AnswerKind.
const (
	Failed   AnswerKind = iota // the request may have been executed
	Rejected                   // a retry by the client is harmless
	Served                     // Answer.Stream holds the answer
	// ClientDisconnected means that the client disconnected before the answer. For a RunToCompletion request it also
	// means that the request was not executed; if it may have been executed, the answer is Failed.
	ClientDisconnected
)

var answerKindNames = [...]string{Failed: "failed", Rejected: "rejected", Served: "served", ClientDisconnected: "client_gone"}

// String returns the name of the kind in logs.
func (k AnswerKind) String() string { return answerKindNames[k] }

// Answer is the final answer to a request. Each request has exactly one.
type Answer struct {
	Kind       AnswerKind
	RetryAfter time.Duration // positive for Rejected, otherwise unused
	Stream     Stream        // set only for Served
}

// Stream is an endpoint's answer, starting with its first event. Read returns io.EOF only after the whole answer. The
// receiver of the stream must close it.
type Stream interface {
	io.ReadCloser
}

// Endpoint is one entry of the endpoint list.
type Endpoint struct {
	Name    string // unique name of the endpoint
	Addr    string // host:port
	Zone    int
	Kind    int // index into the configuration's kinds
	Cell    int // group of endpoints with fast transfer between them, such as a rack
	State   routing.EndpointState
	Weight  float64   // capacity relative to endpoints of the same role
	Started time.Time // start time of the process; the zero time means long ago
}

// ApplyUpdate applies an update from service discovery to an endpoint list, which is keyed by name. If full is true,
// entries replace the list; otherwise they are changes to it. Entries in state Gone are removed.
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
