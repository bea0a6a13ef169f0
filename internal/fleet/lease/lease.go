// Package lease decides which member may carry out a task: a member acts only under a lease that a majority of the
// configured voters have granted to it, and stops, by its own clock, before they may grant the task to another member.
//
// The algorithm is quorum leases with fencing tokens: Gray and Cheriton, "Leases" (SOSP 1989), with grants from a
// majority of voters instead of a single server, as in Paxos leases (Trencseni, Gazso, Reinhardt 2012), and with
// increasing token numbers that receivers check (Chubby's sequencers, OSDI 2006).
//
//   - A voter grants a task to one candidate at a time, for Term from the receipt of the claim. A holder counts each
//     grant for Term minus Margin from the sending of the claim, and may act while grants from a majority are valid.
//     Any two majorities share a voter, so two holders could act at once only if that voter had granted the task to
//     both, or if clocks drifted apart by more than Margin within a Term.
//   - A voter that starts without its earlier state grants nothing for Term plus Margin. By then every grant that it
//     may have given before has expired.
//   - Each lease has a token that is higher than any token that a voter of its majority has granted for the task
//     before. A receiver of results rejects a result whose token is lower than one that it has already seen (see
//     Fence). So a result that a holder sent before its lease expired, and that arrives late, does not count as
//     current.
//
// Assign decides which member should claim which task. Safety comes from the lease, not from the assignment.
//
// The package does no I/O and has no clock; all times come from the process's own monotonic clock. Its types are not
// safe for concurrent use.
package lease

import "time"

// Task identifies work that one member does for the whole fleet. It is the hash of the name of the task (see TaskOf).
type Task uint64

// Limits holds the durations of the lease protocol. All members use the same values.
type Limits struct {
	Term   time.Duration // duration of a grant
	Margin time.Duration // how much earlier than the voter a holder stops; must exceed the clock drift within a Term
	Renew  time.Duration // interval between claims for the same task
}

// Candidate identifies one incarnation of a member. A later incarnation of the same name is a different candidate.
type Candidate struct {
	Name        string
	Incarnation uint64
}

// Claim requests a lease on a task, or the renewal of a lease.
type Claim struct {
	Task  Task
	Token uint64
	// Renew reports that the candidate holds the task, with grants from a majority, when it sends the claim. So no
	// other candidate can have held the task under a higher token meanwhile, and a voter that granted a higher token to
	// a candidate without a majority may grant this claim too. Otherwise only the voters that granted the lease first
	// could ever renew it, and the lease could end when one of them fails.
	Renew bool
}

// Request is the message that a candidate sends to each voter.
type Request struct {
	Seq      uint64 // sequence number among the requests of this candidate
	From     Candidate
	Claims   []Claim
	Releases []Claim
}

// Grant is a voter's answer to one Claim.
type Grant struct {
	Task         Task
	ClaimedToken uint64
	Token        uint64 // the claimed token if granted, else the highest token recorded for the task
	Granted      bool
	// Remaining is how much longer an earlier grant for the task lasts, if the claim was refused. It is 0 if the claim
	// was granted, or if the earlier grant has ended.
	Remaining time.Duration
}

// Reply answers a Request. A candidate ignores a Reply to another incarnation of the same name, because the voter
// recorded the grants for that incarnation.
type Reply struct {
	Seq    uint64
	To     Candidate
	Voter  string
	Grants []Grant
}

// Lease describes a held lease for operators.
type Lease struct {
	Task  Task
	Token uint64
	Since time.Duration // time at which the lease was won
	Until time.Duration // time by which the lease must be renewed
}

// Expired describes a lease that has ended.
type Expired struct {
	Task   Task
	Token  uint64
	At     time.Duration // time at which the lease ended
	Reason string        // shown to operators
}

// Reasons for the end of a lease, as shown to operators.
const (
	reasonReassigned = "given to another"
	reasonNotRenewed = "not renewed by most voters in time"
)
