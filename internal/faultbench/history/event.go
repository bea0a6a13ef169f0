package history

import (
	"net/http"
	"time"
)

// Event is one thing that a simulated client, replica or discovery server saw, or that the bench did to a process.
// Which fields are set depends on the kind. Times are on the run's clock, since its start; the other durations are
// spans. The keys are a stored form.
type Event struct {
	At               time.Duration `json:"at"`
	Kind             Kind          `json:"kind"`
	Request          string        `json:"request,omitempty"` // its ID, new for each retry
	Group            string        `json:"group,omitempty"`   // the ID of the first request, which its retries share
	Class            string        `json:"class,omitempty"`   // of the request; in ProcessDown and ConnectionLingers: why
	Dispatcher       int           `json:"dispatcher"`        // from 0; -1: none
	Replica          string        `json:"replica,omitempty"`
	Status           int           `json:"status,omitempty"` // of HTTP
	Complete         bool          `json:"whole,omitempty"`
	Weight           float64       `json:"weight,omitempty"` // work of an attempt, or capacity a second
	Until            time.Duration `json:"until,omitempty"`
	SentAt           time.Duration `json:"sent,omitempty"`    // in AttemptArrived: of its first byte; 0: at At
	LastByteAt       time.Duration `json:"last,omitempty"`    // in AttemptArrived: when its last byte arrived; 0: at At
	LinkHealthy      bool          `json:"sound,omitempty"`   // the link had no fault in all the time that matters
	Version          uint64        `json:"version,omitempty"` // of the endpoint list, in what discovery sent
	AnnouncedTimeout time.Duration `json:"told,omitempty"`    // in AttemptArrived: the remaining time that its head announces
	Elapsed          time.Duration `json:"lasted,omitempty"`  // since the request was sent or stopped, or since the drain
	MaxEventDelay    time.Duration `json:"lag,omitempty"`     // in ResponseReceived: the longest that an event was on its way
}

// firstByteAt is when the bytes of an attempt came to the replica's machine: what a fault held back after that is not
// its sender's.
func (e Event) firstByteAt() time.Duration {
	if e.SentAt > 0 {
		return e.SentAt
	}
	return e.At
}

// refused tells whether a response is a refusal, which says that trying again is harmless: "A 429 or 503 answer is a
// refusal, whoever worded it."
func (e Event) refused() bool {
	return e.Status == http.StatusTooManyRequests || e.Status == http.StatusServiceUnavailable
}

// Kind is what an event reports. Its text is a stored form.
type Kind string

// Kinds that clients see.
const (
	// RequestSent: the last byte of a request went to a dispatcher. Until is the client's deadline.
	RequestSent Kind = "asked"
	// ResponseReceived: a dispatcher's response with Status has ended, a stream with its end. Complete: it had all
	// its events.
	ResponseReceived Kind = "answered"
	// FirstEventReceived: the first event of a stream was received.
	FirstEventReceived Kind = "first"
	// ExtraBytesReceived: bytes came behind a final response.
	ExtraBytesReceived Kind = "extra"
	// ForeignResponseReceived: a response had what no replica made for the request.
	ForeignResponseReceived Kind = "foreign"
	// ClientClosed: the client closed its connection, or its half of it, of its own accord.
	ClientClosed Kind = "closed"
	// PartialRequestEnded: a client that stopped in the middle of a request got its error or the connection's close,
	// after Elapsed.
	PartialRequestEnded Kind = "waited"
	// ConnectionDropped: a used connection broke without a response, and the client sends the request once more.
	ConnectionDropped Kind = "dropped"
	// ClientGaveUp: the client stopped waiting, or its connection broke without a response.
	ClientGaveUp Kind = "quit"
	// ConnectionLingers: Elapsed after an operator's drain a connection that should have ended was still open.
	ConnectionLingers Kind = "held_open"
)

// Kinds that replicas see.
const (
	// AttemptArrived: an attempt at a request arrived, with its work as Weight.
	AttemptArrived Kind = "came"
	// ExecutionStarted: an attempt at a decode replica runs.
	ExecutionStarted Kind = "began"
	// AttemptEnded: an attempt that arrived is over.
	AttemptEnded Kind = "ended"
	// StateReserved: a prefill's state waits at its replica.
	StateReserved Kind = "held"
	// StateReleased: that state was fetched, released or lost.
	StateReleased Kind = "freed"
	// ReplicaOverloaded: a replica failed under more than it bears in slow start.
	ReplicaOverloaded Kind = "fell"
	// ReplicaStarted: a replica started. It is warm at Until, with Weight as its capacity a second then.
	ReplicaStarted Kind = "cold"
	// LoadPolled: a dispatcher polled a replica's load.
	LoadPolled Kind = "probe"
)

// Kinds that discovery and the other observers see, and faults.
const (
	// DiscoveryRequested: a dispatcher requested the endpoint list, or a watch on it.
	DiscoveryRequested Kind = "called"
	// EndpointWithdrawn: a dispatcher was sent a list in which a replica drains or is gone.
	EndpointWithdrawn Kind = "told"
	// EndpointReady: a dispatcher was sent a list in which a replica is ready.
	EndpointReady Kind = "listed"
	// MembershipView: Dispatcher shows that it takes the member Replica to be in the state Request.
	MembershipView Kind = "view"
	// AdmissionChanged: the health endpoint of Dispatcher begins (Complete) or ends to reject new clients.
	AdmissionChanged Kind = "shut"
	// StaleListServed: Dispatcher is sent an old endpoint list from At on, until Until.
	StaleListServed Kind = "old"
	// ProcessDown: a fault of a dispatcher's process, which is not to blame for what it does not do until Until (0:
	// for good). Class says why.
	ProcessDown Kind = "down"
)

// The classes of ProcessDown: why a process was down.
const (
	DownKilled = "killed" // by SIGKILL
	DownEnded  = "ended"  // by itself, after SIGTERM or by a fault of its own
	DownPaused = "paused" // by SIGSTOP
)
