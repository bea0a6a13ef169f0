// Package lease decides which member may carry out a task: a member acts only under a lease that a majority of the
// configured voters have granted it, and stops, by its own clock, before they may grant the task to another.
//
// The algorithm is that of quorum leases with fencing tokens: Gray and Cheriton, "Leases" (SOSP 1989), with the grants
// of a majority in place of those of one server, as in Paxos leases (Trencseni, Gazso, Reinhardt 2012), and with
// increasing token numbers that receivers check (Chubby's sequencers, OSDI 2006).
//
//   - A voter grants a task to one candidate at a time, for Term from when the claim was received. A holder counts each
//     grant from when it sent the claim, for Term less Margin; it may act while a majority's grants last. Any two
//     majorities share a voter, so two holders could act at once only if that voter had granted both, or if clocks ran
//     apart by more than Margin within a Term.
//   - A voter that starts without memory grants nothing for Term and Margin: by then all that it may have granted has
//     expired.
//   - Each lease has a token, higher than any that a voter of its majority has granted for the task before. Whoever
//     receives results rejects those with a lower token than it has seen (Fence), so that what a holder sent before
//     its lease expired, and that arrives late, does not count as current.
//
// Assign says which member should claim which task. The lease, not the assignment, is what makes acting safe.
//
// The package does no I/O and has no clock; times are those of each process' own monotonic clock. Its types are not
// safe for concurrent use.
package lease

import "time"

// Task is work that one member does for the whole fleet: the hash of its name (TaskOf).
type Task uint64

// Limits are the times of leases, the same at all members.
type Limits struct {
	Term   time.Duration // of a grant
	Margin time.Duration // by which a holder stops earlier; more than clocks run apart within a Term
	Renew  time.Duration // between claims for the same task
}

// Candidate is one incarnation of a member: a later incarnation of the same name is another candidate.
type Candidate struct {
	Name        string
	Incarnation uint64
}

// Claim asks for a task, or for more time with it.
type Claim struct {
	Task  Task
	Token uint64
	// Renew says that the candidate holds the task by a majority's grants as it sends this. So no other has held it
	// since under a higher token, and a voter that had granted a higher one to a candidate without a majority may join
	// in. Otherwise the lease would rest for good on the voters that granted it first, and fall with one of them.
	Renew bool
}

// Request is what a candidate sends to each voter.
type Request struct {
	Seq      uint64 // of this candidate
	From     Candidate
	Claims   []Claim
	Releases []Claim
}

// Grant is a voter's answer to one Claim.
type Grant struct {
	Task         Task
	ClaimedToken uint64
	Token        uint64 // the claimed token if granted, else the highest that the voter has granted
	Granted      bool
	// Remaining is how long the grant to another candidate still lasts.
	Remaining time.Duration
}

// Reply answers a Request. A Reply to another incarnation of the same name is not for this one: the voter counts the
// grants for that incarnation.
type Reply struct {
	Seq    uint64
	To     Candidate
	Voter  string
	Grants []Grant
}

// Lease is a held lease as shown to operators.
type Lease struct {
	Task  Task
	Token uint64
	Since time.Duration
	Until time.Duration // by which it must be renewed
}

// Expired is a lease that ended.
type Expired struct {
	Task   Task
	Token  uint64
	At     time.Duration
	Reason string // for operators
}

// Reasons for which a lease ends, as operators read them.
const (
	reasonReassigned = "given to another"
	reasonNotRenewed = "not renewed by most voters in time"
)
