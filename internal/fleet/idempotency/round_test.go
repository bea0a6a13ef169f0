package idempotency

import (
	"fmt"
	"testing"
)

// The outcome of a round depends on its votes and, at its deadline, on the missing votes, which count as not granted.
func TestVotesDetermineTheOutcomeOfARound(t *testing.T) {
	for _, c := range []struct {
		name     string
		replicas int
		votes    []Vote
		final    bool
		want     Outcome
		wantVote Vote
	}{
		{"the only replica grants", 1, []Vote{VoteGranted}, false, Granted, 0},
		{"one grant of three", 3, []Vote{VoteGranted}, false, Pending, 0},
		{"one grant of three at the deadline", 3, []Vote{VoteGranted}, true, NoQuorum, 0},
		{"a majority grants in spite of a rejection", 3, []Vote{VoteGranted, VoteInFlight, VoteGranted}, false, Granted, 0},
		{"one rejection of three", 3, []Vote{VoteInFlight}, false, Pending, 0},
		{"a rejection and a grant at the deadline", 3, []Vote{VoteInFlight, VoteGranted}, true, Rejected, VoteInFlight},
		{"a stored answer takes precedence over a key in flight", 3, []Vote{VoteInFlight, VoteAnswered}, false, Rejected, VoteAnswered},
		{"two full stores of three", 3, []Vote{VoteStoreFull, VoteStoreFull}, false, NoQuorum, 0},
		{"no votes at the deadline", 3, nil, true, NoQuorum, 0},
		{"a majority of five is possible", 5, []Vote{VoteGranted, VoteGranted, VoteInFlight, VoteKeyReused}, false, Pending, 0},
		{"a majority of five is out of reach", 5, []Vote{VoteGranted, VoteGranted, VoteInFlight, VoteKeyReused, VoteMayHaveRun},
			false, Rejected, VoteKeyReused},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := NewRound(c.replicas)
			for i, v := range c.votes {
				r.AddVote(fmt.Sprint(i), v, nil)
				r.AddVote(fmt.Sprint(i), VoteGranted, nil) // a second vote of the same replica is ignored
			}
			outcome := r.Outcome
			if c.final {
				outcome = r.FinalOutcome
			}
			if got, vote, _ := outcome(); got != c.want || vote != c.wantVote {
				t.Errorf("%v (%v), want %v (%v)", got, vote, c.want, c.wantVote)
			}
		})
	}
}

func TestRoundIgnoresUnknownVotes(t *testing.T) {
	r := NewRound(3)
	for i, v := range []Vote{0, 99} {
		r.AddVote(fmt.Sprint(i), v, nil)
		if r.HasVote(fmt.Sprint(i)) {
			t.Errorf("vote %d was counted", v)
		}
	}
	if got, vote, _ := r.FinalOutcome(); got != NoQuorum || vote != 0 {
		t.Errorf("%v (%v), want NoQuorum", got, vote)
	}
}
