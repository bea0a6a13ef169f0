// Package idempotency decides which attempt may execute an idempotent request that must run at most once in the whole
// fleet. An attempt claims the request's key at a majority of a fixed set of replicas before the first byte of the
// request is sent, and every later claim finds the first one. The protocol is quorum voting (Gifford, "Weighted Voting
// for Replicated Data", 1979) with one vote per replica, applied to write-once records.
//
// The package does no I/O and reads no clock: replicas write to a Store that they are given, and callers pass the time
// in. Its types are not safe for concurrent use: only one goroutine at a time may use a Replica or a Round.
//
// The invariant is that of all claims on a key, at most one ever gets a majority. A replica grants one claim on a key,
// stores the grant before it replies, and rejects every other claim until the key has expired. Any two majorities share
// a replica, which would have to grant both claims.
//
//   - A replica that lost stored records is recovering: it does not vote until every claim that it may have granted has
//     expired.
//   - A claimant that did not get a majority never sends its request, and withdraws its claim. A withdrawn claim is not
//     granted again, even if packets arrive in another order.
//   - A key expires once the lifetime of the replica, which is the time that it has run over all restarts, has advanced
//     by the retention. Steps of the wall clock have no effect, and keys do not age while the replica is down.
//
// Limitations: while a majority of the replicas is down or recovering, no key can be claimed. If a claimant dies, its
// key counts as one whose request may have run, whether it ran or not.
package idempotency

import (
	"crypto/sha256"
	"errors"
	"time"
)

// Key is the keyed hash of an idempotency key that a client sent.
type Key [16]byte

// Digest is the hash of the request body that a key was used with.
type Digest [sha256.Size]byte

// Attempt identifies one claim by one incarnation of a member. Another claim on the same key is another attempt.
type Attempt struct {
	Member      string // name of the claiming member
	Incarnation uint64 // incarnation of the claiming member
	Seq         uint64 // sequence number, unique within the incarnation
}

// State is the state of a key at a replica. A key without a record is free.
//
//	free       -> InFlight    Claim
//	InFlight   -> free        Withdraw
//	InFlight   -> MayHaveRun  RecordResult without an answer, or the attempt's deadline
//	InFlight   -> Answered    RecordResult with an answer
//	MayHaveRun -> Answered    RecordResult with an answer
//	any state  -> free        the retention ends
type State uint8

// The states of a key.
const (
	InFlight   State = iota + 1 // claimed; the attempt may be executing
	MayHaveRun                  // the attempt has ended or passed its deadline, and may have run
	Answered                    // the attempt has run, and its answer is stored
)

// stateNames holds the names of the states as shown to operators.
var stateNames = [...]string{InFlight: "out", MayHaveRun: "may have run", Answered: "answered"}

// String returns the name of the state as shown to operators.
func (s State) String() string {
	if s < InFlight || s > Answered {
		return "unknown"
	}
	return stateNames[s]
}

// Record is what a replica stores for a key. Its times are lifetimes of the replica, which count the time that the
// replica has run over all restarts.
type Record struct {
	Attempt         Attempt
	Digest          Digest
	State           State
	WrittenAt       time.Duration // lifetime at which the key was claimed
	AttemptDeadline time.Duration // lifetime by which the attempt has ended
	Answer          []byte        // answer to the request, set only in state Answered
}

// Store keeps a replica's records across restarts. Its methods return only after their changes are durable.
type Store interface {
	// Get returns the record of a key, and whether the key has one.
	Get(Key) (Record, bool, error)
	// Put writes the record of a key.
	Put(Key, Record) error
	// Delete removes the record of a key.
	Delete(Key) error
	// Expire deletes at most limit records that were written at or before the given time, and returns how many remain.
	Expire(before time.Duration, limit int) (remaining int, err error)
}

// Limits bounds what a replica stores. All members must have the same limits.
type Limits struct {
	Retention      time.Duration // time for which a key is stored
	Entries        int           // maximum number of keys that a replica stores
	MaxAnswerBytes int           // maximum size of a stored answer
}

// ErrAnswerTooLong reports an answer of more than Limits.MaxAnswerBytes.
var ErrAnswerTooLong = errors.New("idempotency: the answer is too long")

// Vote is a replica's reply to a claim.
type Vote uint8

// The votes. Members send each other their values, which must not change.
const (
	VoteGranted    Vote = iota + 1 // the replica grants the claim
	VoteInFlight                   // another attempt holds the key and may be executing, or the claim is withdrawn
	VoteMayHaveRun                 // another attempt holds the key and may have run
	VoteAnswered                   // another attempt has run, and its answer comes with the vote
	VoteKeyReused                  // the key was used with another request body
	VoteStoreFull                  // the replica cannot store another key
	noVote                         // the replica is recovering or its store fails, so it does not reply
)
