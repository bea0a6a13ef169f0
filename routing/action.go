package routing

import "time"

// Action is an instruction or a notification to the router's host. The host carries out the actions of an event in
// order.
type Action interface{ action() }

// The actions.
type (
	// Send makes the next attempt of a request. A Timeout of 0 means that the attempt may last until the request's
	// deadline.
	Send struct {
		Request  RequestID
		Endpoint EndpointID
		Timeout  time.Duration
	}
	// PollLoad asks a replica for its load; LoadPolled reports the result.
	PollLoad struct{ Endpoint EndpointID }
	// Release releases each prefill result and slot that is reserved for the request and that no attempt is waiting
	// for.
	Release struct {
		Request RequestID
		Reason  ReleaseReason
	}
	// Reject is a final answer which promises the client that a retry is harmless.
	Reject struct {
		Request    RequestID
		RetryAfter time.Duration
		Reason     Reason
	}
	// Fail is a final answer which does not promise that a retry is harmless.
	Fail struct {
		Request RequestID
		Reason  Reason
	}
	// Cancel aborts one attempt; its AttemptEnded follows.
	Cancel struct {
		Request RequestID
		Attempt int
	}
	// SetTimer requests a TimerFired event with the ID Timer after the time After.
	SetTimer struct {
		After time.Duration
		Timer TimerID
	}
	// PrefillObserved reports the estimate and the outcome of a prefill attempt. The host need not act on it. The
	// router emits it only if Config.ObservePrefills is set.
	PrefillObserved struct {
		Request      RequestID
		Endpoint     EndpointID
		Outcome      Outcome
		Elapsed      time.Duration // time since the attempt was sent
		CachedTokens int           // prompt tokens found in the replica's prefix cache
		Estimate     PrefillEstimate
	}
)

// PrefillEstimate is a router's estimate for a prefill attempt at the time of sending it.
type PrefillEstimate struct {
	Session            Key
	SharedPrefix       Key
	PromptTokens       int
	SharedPrefixTokens int
	CachedTokens       int        // prompt tokens expected in the replica's prefix cache
	QueueDelayMS       float64    // wait before the prefill begins
	PrefillMS          float64    // duration of the prefill itself
	AttemptsAhead      int        // unfinished attempts of this router at the replica
	Load               LoadReport // report that the estimate used; all values are negative if it used none
}

func (Send) action()            {}
func (PollLoad) action()        {}
func (Release) action()         {}
func (Reject) action()          {}
func (Fail) action()            {}
func (Cancel) action()          {}
func (SetTimer) action()        {}
func (PrefillObserved) action() {}

// Reason is why a request was rejected or failed, as it appears in logs and counters.
type Reason string

// The values of Reason.
const (
	AttemptsExhausted    Reason = "attempts_exhausted"
	DeadlineExceeded     Reason = "deadline_exceeded"
	RetryBudgetExhausted Reason = "retry_budget_exhausted" // the retry budget shared by all routers is used up
	NoPrefillReplica     Reason = "no_prefill_replica"
	NoDecodeReplica      Reason = "no_decode_replica"
	OverLatencyBudget    Reason = "over_latency_budget" // the first token is estimated to arrive too late
	MayHaveRun           Reason = "may_have_run"        // an attempt may have run the request, which must not run twice
	UnknownClass         Reason = "unknown_class"
)

// ReleaseReason is why reservations are released, as it appears in logs.
type ReleaseReason string

// The values of ReleaseReason.
const (
	AfterAnswer        ReleaseReason = "after_answer" // the request was rejected or failed
	ClientDisconnected ReleaseReason = "client_disconnected"
	LateOutcome        ReleaseReason = "late_outcome" // an attempt ended after the answer or the disconnect
	BeforePrefillRetry ReleaseReason = "before_prefill_retry"
	ReservationExpired ReleaseReason = "reservation_expired"
)
