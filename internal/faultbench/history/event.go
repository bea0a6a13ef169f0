package history

import (
	"net/http"
	"time"
)

// Event is one observation of a simulated client, replica or discovery server, or one fault that the bench injected
// into a process. The kind determines which fields are set. Times are relative to the start of the run; the other
// durations are lengths of time. The JSON keys are part of the stored form.
type Event struct {
	At               time.Duration `json:"at"`
	Kind             Kind          `json:"kind"`
	Request          string        `json:"request,omitempty"` // request ID; each retry has a new one
	Group            string        `json:"group,omitempty"`   // ID of the first request, shared by its retries
	Class            string        `json:"class,omitempty"`   // request class; ProcessDown, ConnectionLingers: the reason
	Dispatcher       int           `json:"dispatcher"`        // index of the dispatcher, or -1 if there is none
	Replica          string        `json:"replica,omitempty"`
	Status           int           `json:"status,omitempty"`  // HTTP status code
	Complete         bool          `json:"whole,omitempty"`   // the response is complete, or rejection starts
	Weight           float64       `json:"weight,omitempty"`  // work of an attempt, capacity a second, or fencing token
	Until            time.Duration `json:"until,omitempty"`   // deadline, or end of a period; 0 means no end
	SentAt           time.Duration `json:"sent,omitempty"`    // AttemptArrived: arrival of the first byte; 0 means At
	LastByteAt       time.Duration `json:"last,omitempty"`    // AttemptArrived: arrival of the last byte; 0 means At
	LinkHealthy      bool          `json:"sound,omitempty"`   // the link had no fault during the relevant time
	Version          uint64        `json:"version,omitempty"` // version of the endpoint list that discovery sent
	AnnouncedTimeout time.Duration `json:"told,omitempty"`    // AttemptArrived: remaining time in the request header
	Elapsed          time.Duration `json:"lasted,omitempty"`  // time since the client sent or stopped, or since the drain
	MaxEventDelay    time.Duration `json:"lag,omitempty"`     // ResponseReceived: longest delay of a stream event
}

// firstByteAt returns when the first byte of an attempt arrived at the replica's machine. The sender is not charged
// with the time for which a fault held the attempt back after that.
func (e Event) firstByteAt() time.Duration {
	if e.SentAt > 0 {
		return e.SentAt
	}
	return e.At
}

// refused reports whether a response is a refusal, which tells the client that a retry is safe. The rule: "A 429 or 503
// answer is a refusal, whoever worded it."
func (e Event) refused() bool {
	return e.Status == http.StatusTooManyRequests || e.Status == http.StatusServiceUnavailable
}

// Kind is the type of an event. Its text is part of the stored form.
type Kind string

// Kinds of events that clients observe.
const (
	// RequestSent means that the last byte of a request was sent to a dispatcher. Until is the client's deadline.
	RequestSent Kind = "asked"
	// ResponseReceived means that a dispatcher's response with Status has ended or broken off. Complete is set if its
	// body was read to the end without an error.
	ResponseReceived Kind = "answered"
	// FirstEventReceived means that the first event of a stream was received.
	FirstEventReceived Kind = "first"
	// ExtraBytesReceived means that bytes followed a final response.
	ExtraBytesReceived Kind = "extra"
	// ForeignDataReceived means that a response contained data that no replica generated for the request, that a stream
	// ended without its end mark, or that a replica received a request that it does not know or whose body differs from
	// the client's.
	ForeignDataReceived Kind = "foreign"
	// ClientClosed means that the client itself closed its connection, or its sending half.
	ClientClosed Kind = "closed"
	// PartialRequestEnded means that a client that stopped in the middle of a request got an error or the close of its
	// connection, after Elapsed.
	PartialRequestEnded Kind = "waited"
	// ConnectionDropped means that a reused connection broke without a response, and that the client resends the
	// request.
	ConnectionDropped Kind = "dropped"
	// ClientGaveUp means that the client stopped waiting, or that its connection broke without a response.
	ClientGaveUp Kind = "quit"
	// ConnectionLingers means that a connection was still open at Elapsed after an operator's drain, although it should
	// have ended.
	ConnectionLingers Kind = "held_open"
)

// Kinds of events that replicas observe.
const (
	// AttemptArrived means that an attempt at a request arrived. Weight is its work.
	AttemptArrived Kind = "came"
	// ExecutionStarted means that a decode replica started to execute an attempt.
	ExecutionStarted Kind = "began"
	// AttemptEnded means that an attempt that had arrived has ended.
	AttemptEnded Kind = "ended"
	// StateReserved means that a prefill replica holds the computed state of a request.
	StateReserved Kind = "held"
	// StateReleased means that a reserved state was fetched, released or lost.
	StateReleased Kind = "freed"
	// ReplicaOverloaded means that a replica in slow start failed because it was sent more than its budget.
	ReplicaOverloaded Kind = "fell"
	// ReplicaStarted means that a replica started and is in slow start until Until. Weight is its full capacity per
	// second.
	ReplicaStarted Kind = "cold"
	// LoadPolled means that a dispatcher polled a replica's load.
	LoadPolled Kind = "probe"
)

// Kinds of events that discovery and other observers record, and of injected faults.
const (
	// DiscoveryRequested means that a dispatcher requested the endpoint list, or a watch on it.
	DiscoveryRequested Kind = "called"
	// EndpointWithdrawn means that a dispatcher was sent a list in which a replica is draining or gone, or counts as
	// informed of that without having received the list.
	EndpointWithdrawn Kind = "told"
	// EndpointReady means that a dispatcher was sent a list in which a replica is ready, or that the replica became
	// ready on the list, even if the dispatcher was not sent it yet.
	EndpointReady Kind = "listed"
	// MembershipView means that Dispatcher reports the member named by Replica in the state named by Request.
	MembershipView Kind = "view"
	// AdmissionChanged means that the health endpoint of Dispatcher starts (Complete is set) or stops rejecting new
	// clients.
	AdmissionChanged Kind = "shut"
	// StaleListServed means that Dispatcher is sent an old endpoint list, or old settings if Class says so, from At to
	// Until.
	StaleListServed Kind = "old"
	// ProcessDown means that a dispatcher's process is down from At to Until, or permanently if Until is 0. Missing
	// actions of the dispatcher during this time are no violations. Class is the reason.
	ProcessDown Kind = "down"
)

// Values of Class in ProcessDown events: the reasons why a process was down.
const (
	DownKilled = "killed" // SIGKILL
	DownEnded  = "ended"  // the process exited, after SIGTERM or because of its own failure
	DownPaused = "paused" // SIGSTOP
)
