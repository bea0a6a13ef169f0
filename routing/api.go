// Package routing makes every decision of a router that pairs prompt readers
// (prefill) with answer writers (decode). A Router is a pure state machine:
// it is fed events with the time they happened and returns actions. It has no
// clock, goroutine or I/O of its own, and routers share nothing.
package routing

import (
	"errors"
	"time"
)

// Identifiers are opaque; they carry no meaning beyond equality and order.
type (
	// RequestID identifies an open request.
	RequestID uint64
	// EndpointID identifies a replica.
	EndpointID uint32
	// Key identifies a session or a shared prompt prefix; 0 means none.
	Key uint64
	// TimerID identifies a timer that the router asked for.
	TimerID uint64
)

// Idempotency says what repeating a request of a class may do.
type Idempotency uint8

// The effects of a class.
const (
	Idempotent      Idempotency = iota // may be repeated and refused at will
	IdempotentByKey                    // repeats are discarded inside a group and window
	NonIdempotent                      // must never run twice
)

// DedupScope names the servers that discard repeats of a keyed request together.
type DedupScope uint8

// The groups of a keyed class.
const (
	ScopeAll DedupScope = iota
	ScopeZone
	ScopeCell
)

// Role is what a kind of server does.
type Role uint8

// The roles of a kind.
const (
	Prefill Role = iota
	Decode
	Combined
)

// Class describes one class of requests.
type Class struct {
	TTFTObjective      time.Duration // first token wanted within this
	TTFTObjectivePer1K time.Duration // added to Aim for each 1,000 prompt tokens
	Weight             float64
	Idempotency        Idempotency
	DedupScope         DedupScope
	DedupWindow        time.Duration // keyed: repeats are remembered this long
}

// Kind describes one kind of server.
type Kind struct {
	Role Role
}

// Config is what a Router is told when it starts.
type Config struct {
	Classes           []Class
	TenantQuotas      []float64 // requests a second within each tenant's share, over all routers
	Kinds             []Kind
	Zone              int
	Routers           int
	MaxAttempts       int
	MaxRetryAfter     time.Duration // 0: clients take no advice
	ReservationTTL    time.Duration // held state or place is used or let go within this
	SlowStartInitial  float64       // share of capacity a server starts with
	SlowStartDuration time.Duration // warm no later than this
	OverloadMultiple  float64       // a cold server falls past this multiple of its capacity
	CanPollLoad       bool          // servers tell their load when asked
	CanCancel         bool          // Cancel is allowed
	DecodeCanPrefill  bool          // writers may read prompts themselves
	Budgets           Budgets
}

// Budgets limit what all routers do together, of which each has its part (Share). A limit of 0 is none.
type Budgets struct {
	Fraction          float64 // this router's without a word of the others; 0: an even one of Routers
	PollsPerReplica   float64 // of one server in a second, that routers ask for themselves
	RetriesPerRequest float64 // steps taken again after a failure, for each request that was sent,
	RetriesPerSecond  float64 // and so many in a second besides
}

// Validate reports the first setting that no Router can work with.
func (cfg Config) Validate() error {
	if len(cfg.Classes) == 0 || cfg.Routers < 1 || cfg.MaxAttempts < 1 {
		return errors.New("config: needs a class, a router and an attempt")
	}
	for _, c := range cfg.Classes {
		if min(c.TTFTObjective, c.TTFTObjectivePer1K, c.DedupWindow) < 0 || c.Idempotency > NonIdempotent || c.DedupScope > ScopeCell {
			return errors.New("config: class out of range")
		}
	}
	for _, k := range cfg.Kinds {
		if k.Role > Combined {
			return errors.New("config: kind out of range")
		}
	}
	if min(cfg.ReservationTTL, cfg.SlowStartDuration, cfg.MaxRetryAfter) < 0 {
		return errors.New("config: negative time")
	}
	if b := cfg.Budgets; !(min(b.Fraction, b.PollsPerReplica, b.RetriesPerRequest, b.RetriesPerSecond) >= 0 && b.Fraction <= 1) {
		return errors.New("config: budgets out of range")
	}
	return nil
}

// EndpointState is the roster's view of a server.
type EndpointState uint8

// The states of a server.
const (
	Gone EndpointState = iota
	Ready
	Draining
)

// Endpoint is one roster entry.
type Endpoint struct {
	ID      EndpointID
	Zone    int
	Cell    int
	Kind    int
	State   EndpointState
	Weight  float64
	Started time.Duration // time of the latest start; 0 is long past
}

// Outcome is how an attempt ended.
type Outcome uint8

// The outcomes. NeverRan tells which of them prove that nothing ran.
const (
	Served Outcome = iota
	Errored
	QueueFull
	StateMissing
	TimedOut
	ConnectFailed
	ConnectionReset
	Cancelled
	NotSent
	PrefillDone
)

// NeverRan reports whether the outcome proves that the attempt had no effect.
func (o Outcome) NeverRan() bool {
	return o == QueueFull || o == StateMissing || o == ConnectFailed || o == NotSent || o == PrefillDone
}

// LoadReport is a server's report; a negative value is absent.
type LoadReport struct {
	Memory           float64 // share of memory held
	QueuedKiloTokens float64 // thousands of prompt tokens waiting to be read or fetched
	QueuedRequests   float64 // requests waiting
	SlotUtilization  float64 // share of slots in use
}

// Event is something that happened to a Router.
type Event interface{ event() }

// The events.
type (
	// EndpointUpdate changes the list of servers; Full replaces it.
	EndpointUpdate struct {
		Full      bool
		Endpoints []Endpoint
	}
	// RequestArrived is a client's request; it is owed one final answer.
	RequestArrived struct {
		Request            RequestID
		Class              int
		Tenant             int
		Session            Key
		SharedPrefix       Key // the prompt's shared beginning
		PromptTokens       int // tokens
		SharedPrefixTokens int
		MaxOutputTokens    int
		TimeLeft           time.Duration
	}
	// FirstToken says that the answer's stream has begun; its attempt runs on.
	FirstToken struct {
		Request  RequestID
		Attempt  int
		Endpoint EndpointID
		Elapsed  time.Duration
	}
	// AttemptEnded is the one outcome of an attempt. Final: the request is finished.
	AttemptEnded struct {
		Request       RequestID
		Attempt       int
		Endpoint      EndpointID
		Outcome       Outcome
		Elapsed       time.Duration
		CachedTokens  int  // prompt tokens found kept
		StreamStarted bool // its answer had begun, so that a writer's attempt has used up the state
		Final         bool
		Load          *LoadReport
	}
	// LoadPolled answers a Probe; Load is nil where none came in time or the server is not well.
	LoadPolled struct {
		Endpoint EndpointID
		Load     *LoadReport
	}
	// PeerLoadReport is what another router found out about a server, Age ago: its Load, or nil where it told none in time.
	PeerLoadReport struct {
		Endpoint EndpointID
		Load     *LoadReport
		Age      time.Duration
	}
	// QuotaShare is this router's part of what all routers may do together (Budgets, tenants' quotas), for a time. From then on
	// it is that of Budgets, unless another QuotaShare has come. Its host keeps the sum over all routers to 1.
	QuotaShare struct {
		Fraction float64
		Duration time.Duration
	}
	// SubsetAssigned names the servers that the router keeps to while enough of them are well; none: all. Those that are not on
	// the roster count once they come.
	SubsetAssigned struct{ Endpoints []EndpointID }
	// ClientGone ends a request from outside.
	ClientGone struct{ Request RequestID }
	// TimerFired is due.
	TimerFired struct{ ID TimerID }
)

func (EndpointUpdate) event() {}
func (RequestArrived) event() {}
func (FirstToken) event()     {}
func (AttemptEnded) event()   {}
func (LoadPolled) event()     {}
func (PeerLoadReport) event() {}
func (QuotaShare) event()     {}
func (SubsetAssigned) event() {}
func (ClientGone) event()     {}
func (TimerFired) event()     {}

// Reason says what a request was refused or failed for, in logs and counters.
type Reason string

// The reasons.
const (
	AttemptsExhausted    Reason = "no_attempt_left"
	DeadlineExceeded     Reason = "no_time_left"
	RetryBudgetExhausted Reason = "repeats_used_up" // of what all routers may send again
	NoPrefillReplica     Reason = "no_reader"
	NoDecodeReplica      Reason = "no_writer"
	OverLatencyBudget    Reason = "over_budget" // it would be late
	MayHaveRun           Reason = "may_have_run"
	UnknownClass         Reason = "unknown_class"
)

// ReleaseReason says why a state is let go, in logs.
type ReleaseReason string

// The reasons.
const (
	AfterAnswer        ReleaseReason = "answered"
	ClientDisconnected ReleaseReason = "client_left"
	LateOutcome        ReleaseReason = "ended_after_the_answer"
	BeforePrefillRetry ReleaseReason = "read_again"
	ReservationExpired ReleaseReason = "no_word_of_the_attempt"
)

// Action is something for the router's host to carry out, in order.
type Action interface{ action() }

// The actions.
type (
	// Send makes the next attempt; Timeout 0 waits until the client quits.
	Send struct {
		Request  RequestID
		Endpoint EndpointID
		Timeout  time.Duration
	}
	// PollLoad asks a server for its load.
	PollLoad struct{ Endpoint EndpointID }
	// Release lets go of every state and place that is held for the request and that no attempt waits for.
	Release struct {
		Request RequestID
		Reason  ReleaseReason
	}
	// Reject is a final answer that promises that a retry is harmless.
	Reject struct {
		Request    RequestID
		RetryAfter time.Duration
		Reason     Reason
	}
	// Fail is a final answer without a promise.
	Fail struct {
		Request RequestID
		Reason  Reason
	}
	// Cancel stops waiting for one attempt.
	Cancel struct {
		Request RequestID
		Attempt int
	}
	// SetTimer asks for a Timer event.
	SetTimer struct {
		After time.Duration
		Timer TimerID
	}
)

func (Send) action()     {}
func (PollLoad) action() {}
func (Release) action()  {}
func (Reject) action()   {}
func (Fail) action()     {}
func (Cancel) action()   {}
func (SetTimer) action() {}
