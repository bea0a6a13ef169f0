// Package decide makes every decision of a router that pairs prompt readers
// (prefill) with answer writers (decode). A Router is a pure state machine:
// it is fed events with the time they happened and returns actions. It has no
// clock, goroutine or I/O of its own, and routers share nothing.
package decide

import (
	"errors"
	"time"
)

// Identifiers are opaque; they carry no meaning beyond equality and order.
type (
	// RequestID identifies an open request.
	RequestID uint64
	// ServerID identifies a replica.
	ServerID uint32
	// Key identifies a session or a shared prompt prefix; 0 means none.
	Key uint64
	// TimerID identifies a timer that the router asked for.
	TimerID uint64
)

// Effect says what repeating a request of a class may do.
type Effect uint8

// The effects of a class.
const (
	Safe   Effect = iota // may be repeated and refused at will
	Keyed                // repeats are discarded inside a group and window
	Unsafe               // must never run twice
)

// Group names the servers that discard repeats of a keyed request together.
type Group uint8

// The groups of a keyed class.
const (
	GroupAll Group = iota
	GroupZone
	GroupCell
)

// Role is what a kind of server does.
type Role uint8

// The roles of a kind.
const (
	Reader Role = iota
	Writer
	Mixed
)

// Class describes one class of requests.
type Class struct {
	Aim      time.Duration // first token wanted within this
	AimPer1K time.Duration // added to Aim for each 1,000 prompt tokens
	Worth    float64
	Effect   Effect
	Group    Group
	Window   time.Duration // keyed: repeats are remembered this long
}

// Kind describes one kind of server.
type Kind struct {
	Role Role
}

// Config is what a Router is told when it starts.
type Config struct {
	Classes       []Class
	TenantQuotas  []float64 // requests a second within each tenant's share, over all routers
	Kinds         []Kind
	Zone          int
	Routers       int
	MaxAttempts   int
	MaxRetryAfter time.Duration // 0: clients take no advice
	ReleaseWithin time.Duration // held state or place is used or let go within this
	ColdFrom      float64       // share of capacity a server starts with
	ColdFor       time.Duration // warm no later than this
	FallMultiple  float64       // a cold server falls past this multiple of its capacity
	MayProbe      bool          // servers tell their load when asked
	MayCancel     bool          // Cancel is allowed
	LocalRead     bool          // writers may read prompts themselves
	Budgets       Budgets
}

// Budgets limit what all routers do together, of which each has its part (Share). A limit of 0 is none.
type Budgets struct {
	Part    float64 // this router's without a word of the others; 0: an even one of Routers
	Probes  float64 // of one server in a second, that routers ask for themselves
	Repeats float64 // steps taken again after a failure, for each request that was sent,
	Spare   float64 // and so many in a second besides
}

// Validate reports the first setting that no Router can work with.
func (cfg Config) Validate() error {
	if len(cfg.Classes) == 0 || cfg.Routers < 1 || cfg.MaxAttempts < 1 {
		return errors.New("config: needs a class, a router and an attempt")
	}
	for _, c := range cfg.Classes {
		if min(c.Aim, c.AimPer1K, c.Window) < 0 || c.Effect > Unsafe || c.Group > GroupCell {
			return errors.New("config: class out of range")
		}
	}
	for _, k := range cfg.Kinds {
		if k.Role > Mixed {
			return errors.New("config: kind out of range")
		}
	}
	if min(cfg.ReleaseWithin, cfg.ColdFor, cfg.MaxRetryAfter) < 0 {
		return errors.New("config: negative time")
	}
	if b := cfg.Budgets; !(min(b.Part, b.Probes, b.Repeats, b.Spare) >= 0 && b.Part <= 1) {
		return errors.New("config: budgets out of range")
	}
	return nil
}

// ServerState is the roster's view of a server.
type ServerState uint8

// The states of a server.
const (
	Gone ServerState = iota
	Ready
	Draining
)

// Server is one roster entry.
type Server struct {
	ID      ServerID
	Zone    int
	Cell    int
	Kind    int
	State   ServerState
	Weight  float64
	Started time.Duration // time of the latest start; 0 is long past
}

// Outcome is how an attempt ended.
type Outcome uint8

// The outcomes. NeverRan tells which of them prove that nothing ran.
const (
	Served Outcome = iota
	Errored
	Full
	NoState
	TimedOut
	ConnectFailed
	Reset
	Cancelled
	Moot
	ReadDone
)

// NeverRan reports whether the outcome proves that the attempt had no effect.
func (o Outcome) NeverRan() bool {
	return o == Full || o == NoState || o == ConnectFailed || o == Moot || o == ReadDone
}

// Load is a server's report; a negative value is absent.
type Load struct {
	Memory  float64 // share of memory held
	Waiting float64 // thousands of prompt tokens waiting to be read or fetched
	Queue   float64 // requests waiting
	Busy    float64 // share of slots in use
}

// Event is something that happened to a Router.
type Event interface{ event() }

// The events.
type (
	// Roster changes the list of servers; Full replaces it.
	Roster struct {
		Full    bool
		Servers []Server
	}
	// Arrival is a client's request; it is owed one final answer.
	Arrival struct {
		Request      RequestID
		Class        int
		Tenant       int
		Session      Key
		Shared       Key // the prompt's shared beginning
		Prompt       int // tokens
		SharedTokens int
		MaxOutput    int
		TimeLeft     time.Duration
	}
	// Started says that the answer's stream has begun; its attempt runs on.
	Started struct {
		Request RequestID
		Attempt int
		Server  ServerID
		After   time.Duration
	}
	// Ended is the one outcome of an attempt. Final: the request is finished.
	Ended struct {
		Request RequestID
		Attempt int
		Server  ServerID
		Outcome Outcome
		After   time.Duration
		Kept    int  // prompt tokens found kept
		Begun   bool // its answer had begun, so that a writer's attempt has used up the state
		Final   bool
		Load    *Load
	}
	// Probed answers a Probe; Load is nil where none came in time or the server is not well.
	Probed struct {
		Server ServerID
		Load   *Load
	}
	// Heard is what another router found out about a server, Age ago: its Load, or nil where it told none in time.
	Heard struct {
		Server ServerID
		Load   *Load
		Age    time.Duration
	}
	// Share is this router's part of what all routers may do together (Budgets, tenants' quotas), for a time. From then on
	// it is that of Budgets, unless another Share has come. Its host keeps the sum over all routers to 1.
	Share struct {
		Part float64
		For  time.Duration
	}
	// Subset names the servers that the router keeps to while enough of them are well; none: all. Those that are not on
	// the roster count once they come.
	Subset struct{ Servers []ServerID }
	// ClientGone ends a request from outside.
	ClientGone struct{ Request RequestID }
	// Timer is due.
	Timer struct{ ID TimerID }
)

func (Roster) event()     {}
func (Arrival) event()    {}
func (Started) event()    {}
func (Ended) event()      {}
func (Probed) event()     {}
func (Heard) event()      {}
func (Share) event()      {}
func (Subset) event()     {}
func (ClientGone) event() {}
func (Timer) event()      {}

// Why says what a request was refused or failed for, in logs and counters.
type Why string

// The reasons.
const (
	NoAttempt    Why = "no_attempt_left"
	NoTime       Why = "no_time_left"
	NoRepeat     Why = "repeats_used_up" // of what all routers may send again
	NoReader     Why = "no_reader"
	NoWriter     Why = "no_writer"
	OverBudget   Why = "over_budget" // it would be late
	MayHaveRun   Why = "may_have_run"
	UnknownClass Why = "unknown_class"
)

// ReleaseReason says why a state is let go, in logs.
type ReleaseReason string

// The reasons.
const (
	Settled     ReleaseReason = "answered"
	ClientLeft  ReleaseReason = "client_left"
	LateOutcome ReleaseReason = "ended_after_the_answer"
	ReadAgain   ReleaseReason = "read_again"
	NoWord      ReleaseReason = "no_word_of_the_attempt"
)

// Action is something for the router's host to carry out, in order.
type Action interface{ action() }

// The actions.
type (
	// Send makes the next attempt; Timeout 0 waits until the client quits.
	Send struct {
		Request RequestID
		Server  ServerID
		Timeout time.Duration
	}
	// Probe asks a server for its load.
	Probe struct{ Server ServerID }
	// Release lets go of every state and place that is held for the request and that no attempt waits for.
	Release struct {
		Request RequestID
		Why     ReleaseReason
	}
	// Refuse is a final answer that promises that a retry is harmless.
	Refuse struct {
		Request    RequestID
		RetryAfter time.Duration
		Why        Why
	}
	// Fail is a final answer without a promise.
	Fail struct {
		Request RequestID
		Why     Why
	}
	// Cancel stops waiting for one attempt.
	Cancel struct {
		Request RequestID
		Attempt int
	}
	// Wake asks for a Timer event.
	Wake struct {
		After time.Duration
		ID    TimerID
	}
)

func (Send) action()    {}
func (Probe) action()   {}
func (Release) action() {}
func (Refuse) action()  {}
func (Fail) action()    {}
func (Cancel) action()  {}
func (Wake) action()    {}
