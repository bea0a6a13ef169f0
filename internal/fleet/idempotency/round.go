package idempotency

// rejections are the votes that tell of another attempt or request, the most informative first.
var rejections = [...]Vote{VoteAnswered, VoteKeyReused, VoteMayHaveRun, VoteInFlight}

// Round counts the votes on one claim at the claimant. It is not safe for concurrent use.
type Round struct {
	replicas int
	votes    map[string]Vote // by replica
	answer   []byte          // that came with VoteAnswered
}

// NewRound returns a round that votes of the given number of replicas decide.
func NewRound(replicas int) *Round { return &Round{replicas: replicas, votes: map[string]Vote{}} }

// Outcome is the result of a round.
type Outcome uint8

// The outcomes of a round.
const (
	Pending  Outcome = iota // not decided yet
	Granted                 // the attempt may run, and no other ever will
	Rejected                // another attempt holds the key, or the key was used with another body: the vote says which
	NoQuorum                // a majority is out of reach, and no other attempt is known
)

// AddVote counts a replica's vote. A second vote of the same replica and an unknown vote change nothing.
func (r *Round) AddVote(replica string, vote Vote, answer []byte) {
	if r.HasVote(replica) || vote < VoteGranted || vote > VoteStoreFull {
		return
	}
	r.votes[replica] = vote
	if vote == VoteAnswered {
		r.answer = answer
	}
}

// HasVote reports whether a replica's vote was counted.
func (r *Round) HasVote(replica string) bool { return r.votes[replica] != 0 }

// Outcome returns the result of the votes so far, Pending while a majority is still possible. For Rejected it also returns
// the most informative vote, and the answer that came with a VoteAnswered.
func (r *Round) Outcome() (Outcome, Vote, []byte) {
	granted, missing := r.count(VoteGranted), r.replicas-len(r.votes)
	if granted < r.majority() && granted+missing >= r.majority() {
		return Pending, 0, nil
	}
	return r.FinalOutcome()
}

// FinalOutcome is Outcome at the round's deadline: votes that are still missing count as not granted, so it is never
// Pending.
func (r *Round) FinalOutcome() (Outcome, Vote, []byte) {
	if r.count(VoteGranted) >= r.majority() {
		return Granted, 0, nil
	}
	// One replica's vote for another attempt is enough not to run: that attempt may have its majority elsewhere.
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
