package routing

import "time"

// Event is an input of a Router, which Router.Handle processes.
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
		Full      bool // Endpoints is the full list; otherwise it contains only the changed entries
		Endpoints []Endpoint
	}
	// RequestArrived is a client's request. The router gives it exactly one final answer.
	RequestArrived struct {
		Request            RequestID
		Class              int // index into Config.Classes
		Tenant             int // index into Config.TenantQuotas; out of range if no quota applies
		Session            Key
		SharedPrefix       Key // prefix that the prompt shares with other requests' prompts
		PromptTokens       int
		SharedPrefixTokens int
		MaxOutputTokens    int
		RemainingTime      time.Duration // time until the client's deadline
	}
	// FirstToken reports that the response stream of a decode attempt has begun. The attempt continues.
	FirstToken struct {
		Request  RequestID
		Attempt  int // number of the attempt, counted from 0
		Endpoint EndpointID
		Elapsed  time.Duration // time since the attempt was sent
	}
	// AttemptEnded reports the outcome of an attempt. Each attempt ends with exactly one AttemptEnded.
	AttemptEnded struct {
		Request       RequestID
		Attempt       int // number of the attempt, counted from 0
		Endpoint      EndpointID
		Outcome       Outcome
		Elapsed       time.Duration // time since the attempt was sent
		CachedTokens  int           // prompt tokens that the replica found in its prefix cache
		StreamStarted bool          // the response had begun, so a decode attempt has consumed the prefill result
		Final         bool          // the request already has its final answer
		Load          *LoadReport   // load report in the response; nil if there was none
	}
	// LoadPolled reports the result of a PollLoad. Load is nil if no answer came in time or the replica is unhealthy.
	LoadPolled struct {
		Endpoint EndpointID
		Load     *LoadReport
	}
	// PeerLoadReport is another router's observation of a replica's load, made Age ago. Load is nil if the replica did
	// not report its load in time.
	PeerLoadReport struct {
		Endpoint EndpointID
		Load     *LoadReport
		Age      time.Duration
	}
	// QuotaShare assigns this router a fraction of the limits that all routers share (Budgets and tenants' quotas). It
	// is valid for the time ValidFor; after that Budgets.Fraction applies until the next QuotaShare. The host must
	// ensure that the fractions of all routers add up to at most 1.
	QuotaShare struct {
		Fraction float64
		ValidFor time.Duration
	}
	// SubsetAssigned assigns the replicas that the router uses while enough of them are healthy. An empty list assigns
	// all replicas. A replica that is not yet on the endpoint list becomes part of the subset once it is listed.
	SubsetAssigned struct{ Endpoints []EndpointID }
	// ClientGone reports that the client has disconnected or that the request was ended from outside the router.
	ClientGone struct{ Request RequestID }
	// TimerFired reports that a timer is due.
	TimerFired struct{ ID TimerID }
	// SnapshotReceived carries another router's learned state. The router ignores a snapshot that is older than
	// snapshotMaxAge. It restores each mean and latency model that rests on more samples than its own, and each failure
	// level and prefix entry that is more recent than its own. It restores the state of a replica only if the replica
	// has not been restarted since.
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
	Cell    int // group of replicas with fast transfer between them, such as a rack
	Kind    int // index into Config.Kinds
	State   EndpointState
	Weight  float64       // capacity relative to replicas of the same role; 1 if not positive
	Started time.Duration // time of the latest start; 0 if long ago
}

// EndpointState is a replica's state on the endpoint list.
type EndpointState uint8

// The values of EndpointState.
const (
	Gone EndpointState = iota
	Ready
	Draining
)

// Outcome is how an attempt ended.
type Outcome uint8

// The outcomes. NeverRan reports which of them prove that the attempt did not execute the request.
const (
	Served Outcome = iota
	ErrorResponse
	QueueFull
	PrefillResultMissing // the replica could not fetch the prefill result
	TimedOut
	ConnectFailed
	ConnectionReset
	Cancelled
	NotSent
	PrefillDone
)

// NeverRan reports whether the outcome proves that the attempt did not execute the request. A prefill does not execute
// it.
func (o Outcome) NeverRan() bool {
	return o == QueueFull || o == PrefillResultMissing || o == ConnectFailed || o == NotSent || o == PrefillDone
}

// reachedReplica reports whether the outcome proves that the attempt reached a running replica, that is, that the
// replica responded.
func (o Outcome) reachedReplica() bool {
	switch o {
	case Served, ErrorResponse, QueueFull, PrefillResultMissing, PrefillDone:
		return true
	}
	return false
}

// LoadReport is a replica's report of its load. A negative value means that the replica did not report it.
type LoadReport struct {
	Memory           float64 // fraction of memory in use
	QueuedKiloTokens float64 // thousands of prompt tokens waiting to be prefilled or fetched
	QueuedRequests   float64 // number of waiting requests
	SlotUtilization  float64 // fraction of slots in use
}

// sanitized returns a copy of the report in which every implausible value is marked as absent. It returns nil for nil.
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

// plausibleOrAbsent returns a value of a load report, or -1 (absent) if the value is negative, NaN or too large.
func plausibleOrAbsent(value float64) float64 {
	if value >= 0 && value < maxPlausible {
		return value
	}
	return -1
}
