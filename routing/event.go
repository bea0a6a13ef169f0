package routing

import "time"

// Event is something that happened and that a Router has to know of. Router.Handle takes it.
type Event interface{ event() }

// Identifiers are opaque: they carry no meaning beyond equality and order.
type (
	// RequestID identifies an open request.
	RequestID uint64
	// EndpointID identifies a replica.
	EndpointID uint32
	// Key identifies a session or a shared prompt prefix; 0 means none.
	Key uint64
	// TimerID identifies a timer that the router set.
	TimerID uint64
)

// The events.
type (
	// EndpointUpdate changes the endpoint list.
	EndpointUpdate struct {
		Full      bool // Endpoints replaces the list; otherwise it changes single entries
		Endpoints []Endpoint
	}
	// RequestArrived is a client's request. The router gives it exactly one final answer.
	RequestArrived struct {
		Request            RequestID
		Class              int // index into Config.Classes
		Tenant             int // index into Config.TenantQuotas; any other value: no quota
		Session            Key
		SharedPrefix       Key // the prefix that the prompt shares with those of other requests
		PromptTokens       int
		SharedPrefixTokens int
		MaxOutputTokens    int
		RemainingTime      time.Duration // until the client's deadline
	}
	// FirstToken says that the response stream of a decode attempt has begun; the attempt goes on.
	FirstToken struct {
		Request  RequestID
		Attempt  int // counts from 0
		Endpoint EndpointID
		Elapsed  time.Duration // since the attempt was sent
	}
	// AttemptEnded is the one outcome of an attempt.
	AttemptEnded struct {
		Request       RequestID
		Attempt       int // counts from 0
		Endpoint      EndpointID
		Outcome       Outcome
		Elapsed       time.Duration // since the attempt was sent
		CachedTokens  int           // prompt tokens that the replica found in its prefix cache
		StreamStarted bool          // the response had begun, so that a decode attempt has used up the prefill result
		Final         bool          // the request has its final answer already
		Load          *LoadReport
	}
	// LoadPolled is the answer to a PollLoad. Load is nil if none came in time or the replica is unhealthy.
	LoadPolled struct {
		Endpoint EndpointID
		Load     *LoadReport
	}
	// PeerLoadReport is what another router learned of a replica Age ago: its load, or nil if the replica reported
	// none in time.
	PeerLoadReport struct {
		Endpoint EndpointID
		Load     *LoadReport
		Age      time.Duration
	}
	// QuotaShare is this router's fraction of what all routers may do together (Budgets, tenants' quotas), for the time
	// ValidFor. When it has expired and no other has come, Budgets.Fraction applies again. The host sees to it that
	// the fractions of all routers add up to at most 1.
	QuotaShare struct {
		Fraction float64
		ValidFor time.Duration
	}
	// SubsetAssigned names the replicas that the router uses as long as enough of them are healthy; none: all.
	// Replicas that are not on the endpoint list count from the time when they are.
	SubsetAssigned struct{ Endpoints []EndpointID }
	// ClientGone says that the client has disconnected or that the request was ended from outside.
	ClientGone struct{ Request RequestID }
	// TimerFired says that a timer is due.
	TimerFired struct{ ID TimerID }
	// SnapshotReceived is another router's learned state. The router takes each part of it that is younger than
	// snapshotMaxAge, rests on more samples than its own and, for a replica, is of the same start of that replica.
	SnapshotReceived struct{ Snapshot Snapshot }
)

func (EndpointUpdate) event()   {}
func (RequestArrived) event()   {}
func (FirstToken) event()       {}
func (AttemptEnded) event()     {}
func (LoadPolled) event()       {}
func (PeerLoadReport) event()   {}
func (QuotaShare) event()       {}
func (SubsetAssigned) event()   {}
func (ClientGone) event()       {}
func (TimerFired) event()       {}
func (SnapshotReceived) event() {}

// Endpoint is one entry of the endpoint list.
type Endpoint struct {
	ID      EndpointID
	Zone    int
	Cell    int
	Kind    int // index into Config.Kinds
	State   EndpointState
	Weight  float64       // capacity relative to replicas of the same role; not positive: 1
	Started time.Duration // time of the latest start; 0: long ago
}

// EndpointState is the state of a replica by the endpoint list.
type EndpointState uint8

// The values of EndpointState.
const (
	Gone EndpointState = iota
	Ready
	Draining
)

// Outcome is how an attempt ended.
type Outcome uint8

// The outcomes. NeverRan reports which of them prove that nothing ran.
const (
	Served Outcome = iota
	Errored
	QueueFull
	StateMissing // the replica could not get the prefill result
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

// reachedReplica reports whether the outcome proves that the attempt reached a running replica: there was a response.
func (o Outcome) reachedReplica() bool {
	switch o {
	case Served, Errored, QueueFull, StateMissing, PrefillDone:
		return true
	}
	return false
}

// LoadReport is a replica's report of its load. A negative value is absent.
type LoadReport struct {
	Memory           float64 // fraction of memory in use
	QueuedKiloTokens float64 // thousands of prompt tokens waiting to be prefilled or fetched
	QueuedRequests   float64 // requests waiting
	SlotUtilization  float64 // fraction of slots in use
}

// sanitized returns the report with each value that no replica can have as an absent one; nil stays nil.
func (l *LoadReport) sanitized() *LoadReport {
	if l == nil {
		return nil
	}
	return &LoadReport{
		Memory:           plausibleOrAbsent(l.Memory),
		QueuedKiloTokens: plausibleOrAbsent(l.QueuedKiloTokens),
		QueuedRequests:   plausibleOrAbsent(l.QueuedRequests),
		SlotUtilization:  plausibleOrAbsent(l.SlotUtilization),
	}
}

// plausibleOrAbsent returns a value of a load report, or -1 for one that is negative, NaN or too large.
func plausibleOrAbsent(value float64) float64 {
	if value >= 0 && value < maxPlausible {
		return value
	}
	return -1
}
