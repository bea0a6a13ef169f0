package idempotency

// rejections lists the votes that report another attempt or another request body, the most informative vote first.
var rejections = [...]Vote{VoteAnswered, VoteKeyReused, VoteMayHaveRun, VoteInFlight}

// Round counts the votes on one claim at the claimant. It is not safe for concurrent use.
type Round struct {
	replicas int
	votes    map[string]Vote // by name of the replica
	answer   []byte          // answer that came with a VoteAnswered
}

// NewRound returns a round that is decided by the votes of the given number of replicas.
func NewRound(replicas int) *Round { return &Round{replicas: replicas, votes: map[string]Vote{}} }

// Outcome is the result of a round.
type Outcome uint8

// The outcomes of a round.
const (
	Pending  Outcome = iota // the round is not decided yet
	Granted                 // the attempt may run, and no other attempt will be granted until the key expires
	Rejected                // another attempt holds the key, or the key was used with another body; the vote says which
	NoQuorum                // a majority cannot be reached, and no replica reported another attempt
)

// AddVote counts a replica's vote. It ignores further votes of the same replica, and unknown votes.
func (r *Round) AddVote(replica string, vote Vote, answer []byte) {
	if r.HasVote(replica) || vote < VoteGranted || vote > VoteStoreFull {
		return
	}
	r.votes[replica] = vote
	if vote == VoteAnswered {
		r.answer = answer
	}
}

// HasVote reports whether a vote of the replica was counted.
func (r *Round) HasVote(replica string) bool { return r.votes[replica] != 0 }

// Outcome returns the result of the votes so far, which is Pending while a majority is still possible but not reached.
// For Rejected it also returns the most informative vote, and the answer that came with a VoteAnswered.
func (r *Round) Outcome() (Outcome, Vote, []byte) {
	granted, missing := r.count(VoteGranted), r.replicas-len(r.votes)
	if granted < r.majority() && granted+missing >= r.majority() {
		return Pending, 0, nil
	}
	return r.FinalOutcome()
}

// FinalOutcome returns the result at the round's deadline, as Outcome does, but counts missing votes as not granted, so
// the result is never Pending.
func (r *Round) FinalOutcome() (Outcome, Vote, []byte) {
	if r.count(VoteGranted) >= r.majority() {
		return Granted, 0, nil
	}
	// A single rejection is enough to prevent the attempt from running: the other attempt may have a majority at other
	// replicas.
	for _, vote := range rejections {
		if r.count(vote) > 0 {
			return Rejected, vote, r.answer
		}
	}
	return NoQuorum, 0, nil
}

func (r *Round) majority() int { return r.replicas/2 + 1 }

func (r *Round) count(vote Vote) (n int) {
	for _, v := range r.votes {
		if v == vote {
			n++
		}
	}
	return n
}
