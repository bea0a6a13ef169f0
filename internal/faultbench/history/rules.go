package history

import (
	"fmt"
	"math"
	"time"
)

// Rules are the figures that the checker holds a history to; they come from the platform's settings. A class is
// in NonIdempotent, in Deduplicated or in neither, not in both.
type Rules struct {
	AnswerSlack      time.Duration            // beyond a client's deadline
	DrainWithin      time.Duration            // from when a drain was sent to the last new request's first byte
	ReleaseAfter     time.Duration            // from the end of the last attempt to the release of a state
	OverloadMultiple float64                  // a cold replica bears so many times its present capacity,
	OverloadWindow   time.Duration            // over any such span
	InitialCapacity  float64                  // the fraction of its capacity that a replica starts with
	LongestDeadline  time.Duration            // of any class
	NonIdempotent    []string                 // classes that must not run twice
	Deduplicated     map[string]Deduplication // classes whose repeats some replicas drop, by name
	// Slack is added to each time limit: the processes share the machine with the bench.
	Slack time.Duration
	// RandomArrivals lets a cold replica get as much more than its budget as chance gives, by the operators' figures.
	// Without it, one request more.
	RandomArrivals bool
}

// Deduplication says where a class may run again.
type Deduplication struct {
	Window      time.Duration          // from the send of the first attempt that may have run
	SameDomain  func(a, b string) bool // the replicas drop each other's repeats
	AllReplicas bool                   // all do: then a refusal is harmless
}

// Violation is one broken rule.
type Violation struct {
	Rule    string        `json:"rule"`
	At      time.Duration `json:"at"` // on the run's clock
	Request string        `json:"request,omitempty"`
	Replica string        `json:"replica,omitempty"`
	Text    string        `json:"text"`
}

// String is the violation in one line.
func (v Violation) String() string {
	at := v.At.Round(time.Millisecond)
	return fmt.Sprintf("rule=%s at=%v request=%s replica=%s %s", v.Rule, at, v.Request, v.Replica, v.Text)
}

// The names of the rules that Check judges by. They are a stored form.
const (
	RuleSingleResponse     = "one_answer"
	RuleSingleExecution    = "no_second_run"
	RuleOrderlyDrain       = "drains"
	RuleSlowStart          = "cold"
	RuleReservationRelease = "pinned"
)

// The names of the stricter rules, which CheckStrict judges by. They are a stored form.
const (
	RuleNoAttemptAfterClose = "after_close"
	RuleAnnouncedTimeout    = "told_time"
	RuleNoParallelAttempts  = "second_copy"
	RuleNoDroppedRequest    = "drops_read"
	RuleEventDelay          = "held_back"
	RulePartialRequest      = "bad_client"
	RuleDrainEnds           = "drain_lasts"
)

// CapacityFraction is the fraction of its warm capacity that a replica has at a time, after its ReplicaStarted event.
func (r Rules) CapacityFraction(start Event, at time.Duration) float64 {
	if at >= start.Until {
		return 1
	}
	return r.InitialCapacity + (1-r.InitialCapacity)*float64(at-start.At)/float64(start.Until-start.At)
}

// smallBudget is the budget, in requests, under which random arrivals are allowed a wider excess.
const smallBudget = 30

// allowedExcess is how many requests more than its budget of n a cold replica may get.
func (r Rules) allowedExcess(n float64) float64 {
	switch {
	case !r.RandomArrivals:
		return 1
	case n < smallBudget:
		return 3*math.Sqrt(n) + 3
	}
	return 2*math.Sqrt(n) + 2
}
