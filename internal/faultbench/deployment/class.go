// Package deployment describes the service that the fault-injection bench imitates: request classes, zones, kinds of
// replica, limits and how endpoints and load reports are sent. It draws other deployments and a run's requests from
// seeds; the same seed draws the same. Its values don't change during a run and are safe for concurrent use.
package deployment

import (
	"time"
)

// Effects of a class, as the dispatchers' settings name them.
const (
	Retryable    = "retryable" // idempotent
	Deduplicated = "dedup"     // idempotent for some time where replicas drop repeats
	Fragile      = "fragile"   // not idempotent
)

// DedupScope values: which replicas drop each other's repeats.
const (
	allReplicas = "all"
	sameZone    = "zone"
	sameCell    = "cell"
)

// Class is a request class as the bench's clients send it.
type Class struct {
	Name          string
	SessionShare  float64 // of the sessions
	Weight        float64 // value of a request relative to its work
	Effect        string
	Repeatable    bool // clients repeat it after any failure
	TTFTObjective time.Duration
	Deadline      time.Duration
	TokenInterval time.Duration // objective for the time between tokens
	PromptTokens  int           // mean
	OutputTokens  int           // mean
	Turns         int           // mean, of a session
	// DedupScope and DedupWindow say of a Deduplicated class which replicas drop repeats, and for how long.
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
