// Package deployment describes the service that the fault-injection bench imitates: request classes, zones, kinds of
// replica, limits and how endpoints and load reports are sent. It draws other deployments and a run's requests from
// seeds; the same seed draws the same values. They don't change during a run and are safe for concurrent use.
package deployment

import (
	"time"
)

// Effects of a class, as the dispatchers' settings name them.
const (
	Retryable    = "retryable" // idempotent
	Deduplicated = "dedup"     // idempotent for DedupWindow, in which replicas drop repeats
	Fragile      = "fragile"   // not idempotent
)

// Values of DedupScope, which names the replicas that drop each other's repeats.
const (
	allReplicas = "all"
	sameZone    = "zone"
	sameCell    = "cell"
)

// Class is a request class as the bench's clients send it.
type Class struct {
	Name          string
	SessionShare  float64 // fraction of the sessions
	Weight        float64 // value of a request relative to its work
	Effect        string
	Repeatable    bool // clients retry it after any failure
	TTFTObjective time.Duration
	Deadline      time.Duration
	TokenInterval time.Duration // objective for the time between tokens
	PromptTokens  int           // mean number for a request
	OutputTokens  int           // mean number for a request
	Turns         int           // mean number in a session
	// DedupScope and DedupWindow are set for a Deduplicated class. Replicas in the scope drop each other's repeats for
	// the duration of the window.
	DedupScope  string
	DedupWindow time.Duration
}

// defaultClasses are the classes of the default deployment.
var defaultClasses = []*Class{
	{Name: "question", SessionShare: 0.8, Weight: 1, Effect: Retryable, Repeatable: true,
		TTFTObjective: 1100 * time.Millisecond, Deadline: 4800 * time.Millisecond, TokenInterval: 65 * time.Millisecond,
		PromptTokens: 2600, OutputTokens: 60, Turns: 3},
	{Name: "filing", SessionShare: 0.2, Weight: 2, Effect: Fragile,
		TTFTObjective: 2800 * time.Millisecond, Deadline: 14 * time.Second, TokenInterval: 85 * time.Millisecond,
		PromptTokens: 4200, OutputTokens: 40, Turns: 5},
}
