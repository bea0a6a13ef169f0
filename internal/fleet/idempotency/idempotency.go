// Package idempotency decides which attempt may execute an idempotent request that must run at most once in the whole fleet.
// An attempt claims the request's key at a majority of a fixed set of replicas before its first byte is sent, and every
// later claim finds the first one. It is quorum voting (Gifford, "Weighted Voting for Replicated Data", 1979) with one vote
// per replica, applied to write-once records.
//
// The package does no I/O and has no clock: replicas write to a Store that they are given, and callers pass the time in.
// Nothing in it is safe for concurrent use; each Replica and each Round belongs to one goroutine at a time.
//
// The invariant: of all claims on a key, at most one ever has a majority. A replica grants one claim on a key, writes that
// down before it answers, and rejects every other claim until the key has expired. Two majorities share a replica, which
// would have had to grant twice.
//
//   - A replica that lost what it wrote is recovering: it does not vote until everything that it may have granted has
//     expired.
//   - A claimant that did not get its majority never sends, and withdraws its claim. A withdrawn claim is never granted
//     again, even if the packets arrive in another order.
//   - A key expires once the replica has counted its retention in time of its own life. A clock that jumps changes
//     nothing, and while a replica is down its keys do not age.
//
// What the package does not promise: while a majority of the replicas is down or recovering, nothing can be claimed. A
// claimant that died leaves its key as one that may have run, whether it did or not.
package idempotency

import (
	"crypto/sha256"
	"errors"
	"time"
)

// Key is the keyed hash of the idempotency key that a client sent.
type Key [16]byte

// Digest is the hash of the request body that a key was used with.
type Digest [sha256.Size]byte

// Attempt identifies one claim by one incarnation of a member. Another claim on the same key is another attempt.
type Attempt struct {
	Member      string // of the claiming member
	Incarnation uint64 // of that member
	Seq         uint64 // unique within the incarnation
}

// State is the state of a key at a replica. A key without a record is free.
//
//	free       -> InFlight    Claim
//	InFlight   -> free        Withdraw
//	InFlight   -> MayHaveRun  Settle without an answer, or the attempt's deadline
//	InFlight   -> Answered    Settle with an answer
//	MayHaveRun -> Answered    Settle with an answer
//	any state  -> free        the retention ends
type State uint8

// The states of a key.
const (
	InFlight   State = iota + 1 // claimed; its attempt may be executing
	MayHaveRun                  // its attempt ended, or its deadline has passed, and the effect is unknown
	Answered                    // its answer is known
)

// stateNames are shown to operators.
var stateNames = [...]string{InFlight: "out", MayHaveRun: "may have run", Answered: "answered"}

// String returns the state's name as operators see it.
func (s State) String() string {
	if s < InFlight || s > Answered {
		return "unknown"
	}
	return stateNames[s]
}

// Record is what a replica stores for a key. Its durations count the time that the replica has lived, over all its
// restarts.
type Record struct {
	Attempt         Attempt
	Digest          Digest
	State           State
	WrittenAt       time.Duration // when the key was claimed
	AttemptDeadline time.Duration // by then the attempt has ended
	Answer          []byte        // set in state Answered
}

// Store holds a replica's records across restarts. Its methods return only once what they write is durable.
type Store interface {
	// Get returns the record of a key; false means that there is none.
	Get(Key) (Record, bool, error)
	// Put writes the record of a key.
	Put(Key, Record) error
	// Delete removes the record of a key.
	Delete(Key) error
	// Expire deletes at most limit records that were written at or before the given time, and returns how many remain.
	Expire(before time.Duration, limit int) (remaining int, err error)
}

// Limits bound what a replica stores. They must be the same at all members.
type Limits struct {
	Retention      time.Duration // how long a key is remembered
	Entries        int           // keys that a replica stores at most
	MaxAnswerBytes int           // size of the longest answer that is stored
}

// ErrAnswerTooLong reports an answer of more than Limits.MaxAnswerBytes.
var ErrAnswerTooLong = errors.New("idempotency: the answer is too long")

// Vote is a replica's reply to a claim.
type Vote uint8

// The votes. Their values travel between members.
const (
	VoteGranted    Vote = iota + 1 // the attempt has this replica
	VoteInFlight                   // another attempt holds the key and may be executing
	VoteMayHaveRun                 // another attempt holds the key and may have run
	VoteAnswered                   // another attempt has run, and its answer comes with the vote
	VoteKeyReused                  // the key was used with another request body
	VoteStoreFull                  // the replica cannot store another key
	noVote                         // the replica is recovering or cannot write; it sends nothing
)
