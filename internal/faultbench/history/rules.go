package history

import (
	"fmt"
	"math"
	"time"
)

// Rules holds the limits against which the checker verifies a history; they come from the platform's settings. A class
// is listed in at most one of NonIdempotent and Deduplicated.
type Rules struct {
	AnswerSlack      time.Duration            // time after a client's deadline within which a response is still in time
	DrainWithin      time.Duration            // maximum time from a drain notice to the first byte of the last new request
	ReleaseAfter     time.Duration            // maximum time from the end of the last attempt to the release of a state
	OverloadMultiple float64                  // multiple of its current capacity that a replica in slow start can take
	OverloadWindow   time.Duration            // length of any time window to which OverloadMultiple applies
	InitialCapacity  float64                  // fraction of its full capacity that a replica starts with
	LongestDeadline  time.Duration            // longest deadline of any class
	NonIdempotent    []string                 // classes that must not be executed twice
	Deduplicated     map[string]Deduplication // classes whose repeats some replicas drop, by class name
	// Slack is added to each time limit, because the processes share the machine with the bench.
	Slack time.Duration
	// RandomArrivals allows a replica in slow start the random excess over its budget that the operators' figures
	// grant. If it is unset, the excess is one request.
	RandomArrivals bool
}

// Deduplication defines to which replicas, and for how long, a request of a class may be sent again.
type Deduplication struct {
	Window      time.Duration          // time after the send of the first attempt that may have run
	SameDomain  func(a, b string) bool // reports whether two replicas drop each other's repeats
	AllReplicas bool                   // all replicas drop each other's repeats, so that a refusal is safe
}

// Violation reports one broken rule.
type Violation struct {
	Rule    string        `json:"rule"`
	At      time.Duration `json:"at"` // time on the run's clock
	Request string        `json:"request,omitempty"`
	Replica string        `json:"replica,omitempty"`
	Text    string        `json:"text"`
}

// String formats the violation as one line.
func (v Violation) String() string {
	at := v.At.Round(time.Millisecond)
	return fmt.Sprintf("rule=%s at=%v request=%s replica=%s %s", v.Rule, at, v.Request, v.Replica, v.Text)
}

// Names of the rules that Check verifies. They are part of the stored form.
const (
	RuleSingleResponse     = "one_answer"
	RuleSingleExecution    = "no_second_run"
	RuleOrderlyDrain       = "drains"
	RuleSlowStart          = "cold"
	RuleReservationRelease = "pinned"
)

// Names of the stricter rules, which CheckStrict verifies. They are part of the stored form.
const (
	RuleNoAttemptAfterClose = "after_close"
	RuleAnnouncedTimeout    = "told_time"
	RuleNoParallelAttempts  = "second_copy"
	RuleNoDroppedRequest    = "drops_read"
	RuleEventDelay          = "held_back"
	RulePartialRequest      = "bad_client"
	RuleDrainEnds           = "drain_lasts"
)

// CapacityFraction returns the fraction of its full capacity that a replica has at a time after its ReplicaStarted
// event.
func (r Rules) CapacityFraction(start Event, at time.Duration) float64 {
	if at >= start.Until {
		return 1
	}
	return r.InitialCapacity + (1-r.InitialCapacity)*float64(at-start.At)/float64(start.Until-start.At)
}

// smallBudget is the budget, in requests, below which random arrivals are allowed a larger excess.
const smallBudget = 30

// allowedExcess returns how many requests a replica in slow start may get beyond its budget of n requests.
func (r Rules) allowedExcess(n float64) float64 {
	switch {
	case !r.RandomArrivals:
		return 1
	case n < smallBudget:
		return 3*math.Sqrt(n) + 3
	}
	return 2*math.Sqrt(n) + 2
}
