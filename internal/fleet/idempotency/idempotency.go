// Package idempotency decides who may run what must run once in the whole fleet: a key is claimed at a majority of fixed keepers before
// its first byte is sent, and every later claim finds the first. It does no I/O of its own and has no clock: keepers write to
// a Store that they are given.
//
// The invariant: of all claims on a key, at most one ever has a majority. A keeper says yes to one claim on a key, writes that
// down before it says so, and says no to every other until the key has expired. Two majorities share a keeper, which would
// have had to say yes twice.
//
//   - A keeper that lost what it wrote says nothing until all that it may have said yes to has expired.
//   - A claimer that did not get its majority never sends, and takes its claim back (Withdraw). A claim that was taken back is
//     never said yes to again, though the packets come in another order.
//   - A key expires once the keeper has counted so much time of its own life since; a clock that jumps changes
//     nothing, and while a keeper is down its keys do not age.
//
// What it does not promise: with a majority of keepers gone, or without memory, nothing can be claimed. A claimer that died
// leaves its key as one that may have run, whether it did or not.
package idempotency

import (
	"crypto/sha256"
	"errors"
	"time"
)

// Key is the keyed hash of what a client calls its filing.
type Key [16]byte

// Digest is the hash of what is asked for under a key.
type Digest [sha256.Size]byte

// Attempt is one claim of one life of a member; another claim on the same key is another try.
type Attempt struct {
	Name        string
	Incarnation uint64
	Seq         uint64
}

// State is where a key stands at a keeper.
type State uint8

// The states of a key.
const (
	InFlight   State = iota + 1 // claimed; its try may be out
	MayHaveRun                  // its try ended, or should have, and what it did is not known
	Answered                    // its answer is known
)

var stateNames = [...]string{InFlight: "out", MayHaveRun: "may have run", Answered: "answered"}

// String is the state's name as operators see it.
func (s State) String() string {
	if s < InFlight || s > Answered {
		return "unknown"
	}
	return stateNames[s]
}

// Record is what a keeper keeps of a key.
type Record struct {
	Attempt         Attempt
	Digest          Digest
	State           State
	WrittenAt       time.Duration // of the keeper's life
	AttemptDeadline time.Duration // by then its try has ended
	Answer          []byte
}

// Store keeps a keeper's records over its lives. Its methods return only once what they write will be found again.
type Store interface {
	// Get returns a key's record; false: there is none.
	Get(Key) (Record, bool, error)
	Put(Key, Record) error
	Delete(Key) error
	// Expire deletes the records that were written before, at most so many, and returns how many are left.
	Expire(before time.Duration, most int) (left int, err error)
}

// Limits are the same at all members.
type Limits struct {
	Retention      time.Duration // for which a key is remembered
	Entries        int           // keys that a keeper keeps
	MaxAnswerBytes int           // bytes of an answer that is kept
}

// Vote is a keeper's word on a claim.
type Vote uint8

// The verdicts.
const (
	VoteGranted    Vote = iota + 1 // this try has the keeper
	VoteInFlight                   // another try's, which may be out
	VoteMayHaveRun                 // another try's, which may have run
	VoteAnswered                   // another try's, with its answer
	VoteKeyReused                  // the key stands for something else
	VoteStoreFull                  // there is no room for another key
	cannotTell                     // it has no memory, or cannot write: no word is sent
)

// Replica keeps claims. It is not safe for use by several goroutines at once.
type Replica struct {
	limits Limits
	store  Store
	mute   time.Duration // of its life: it says nothing before
	left   int           // keys in the store, at the last look
	swept  time.Duration
	gone   map[Attempt]time.Duration // tries that were taken back
}

const (
	sweepEvery = time.Second
	sweepMost  = 200
	// A try that was taken back is remembered for so long: longer than a packet is under way.
	goneFor = time.Minute
)

// ErrAnswerTooLong says that an answer is too long to be kept.
var ErrAnswerTooLong = errors.New("claim: the answer is too long")

// NewReplica returns a keeper. Remembers says that the store holds all that earlier lives of it wrote, or that there was none;
// else it waits until all that they may have said yes to has expired. now is of the keeper's life, which goes on from
// what the store knows of.
func NewReplica(limits Limits, store Store, remembers bool, now time.Duration) *Replica {
	k := &Replica{limits: limits, store: store, gone: map[Attempt]time.Duration{}}
	if !remembers {
		k.mute = now + limits.Retention
	}
	return k
}

// Recovering tells whether it still waits, and for how long.
func (k *Replica) Recovering(now time.Duration) (left time.Duration, mute bool) {
	return max(k.mute-now, 0), now < k.mute
}

// sweep forgets what has expired.
func (k *Replica) sweep(now time.Duration) error {
	if k.swept > 0 && now-k.swept < sweepEvery {
		return nil
	}
	left, err := k.store.Expire(now-k.limits.Retention, sweepMost)
	if err != nil {
		return err
	}
	k.left, k.swept = left, now
	for t, at := range k.gone {
		if now-at > goneFor {
			delete(k.gone, t)
		}
	}
	return nil
}

// Claim answers a claim; ends is how long from now the try lasts at the most. With an error nothing may be said to the claimer:
// what was written is not known.
func (k *Replica) Claim(now time.Duration, key Key, digest Digest, try Attempt, ends time.Duration) (Vote, []byte, error) {
	if _, mute := k.Recovering(now); mute {
		return cannotTell, nil, errMute
	}
	if err := k.sweep(now); err != nil {
		return cannotTell, nil, err
	}
	r, ok, err := k.store.Get(key)
	if err != nil {
		return cannotTell, nil, err
	}
	if ok && now-r.WrittenAt >= k.limits.Retention {
		ok = false // it has expired, and is not swept yet
	}
	_, taken := k.gone[try]
	switch {
	case ok && r.Attempt == try:
		return VoteGranted, nil, nil // its packet came twice
	case ok && r.Digest != digest:
		return VoteKeyReused, nil, nil
	case ok && r.State == Answered:
		return VoteAnswered, r.Answer, nil
	case ok && (r.State == MayHaveRun || now >= r.AttemptDeadline):
		return VoteMayHaveRun, nil, nil
	case ok || taken:
		return VoteInFlight, nil, nil
	case k.left >= k.limits.Entries:
		return VoteStoreFull, nil, nil
	}
	if err := k.store.Put(key, Record{Attempt: try, Digest: digest, State: InFlight, WrittenAt: now, AttemptDeadline: now + ends}); err != nil {
		return cannotTell, nil, err
	}
	k.left++
	return VoteGranted, nil, nil
}

var errMute = errors.New("claim: the keeper has no memory of what it said")

// Settle notes how a try ended: with its answer, or nil for one that may have run. Of another try's key nothing changes.
func (k *Replica) Settle(now time.Duration, key Key, try Attempt, answer []byte) error {
	if len(answer) > k.limits.MaxAnswerBytes {
		return ErrAnswerTooLong
	}
	r, ok, err := k.store.Get(key)
	if err != nil || !ok || r.Attempt != try || r.State == Answered {
		return err
	}
	r.State, r.Answer = MayHaveRun, nil
	if answer != nil {
		r.State, r.Answer = Answered, answer
	}
	return k.store.Put(key, r)
}

// Withdraw takes a claim back: its try never ran and never will. A claim of it that is still under way gets no yes.
func (k *Replica) Withdraw(now time.Duration, key Key, try Attempt) error {
	k.gone[try] = now
	r, ok, err := k.store.Get(key)
	if err != nil || !ok || r.Attempt != try || r.State != InFlight {
		return err
	}
	k.left = max(k.left-1, 0)
	return k.store.Delete(key)
}

// Round is one claim at the side of who makes it. It is not safe for use by several goroutines at once.
type Round struct {
	keepers int
	words   map[string]Vote
	answer  []byte
}

// NewRound begins a claim at so many keepers.
func NewRound(keepers int) *Round { return &Round{keepers: keepers, words: map[string]Vote{}} }

// Outcome is what a round has come to.
type Outcome uint8

// The outcomes of a round.
const (
	Pending  Outcome = iota // not settled yet
	Granted                 // the try may run, and no other ever will
	Rejected                // another has it, or the key stands for something else: Why
	NoQuorum                // no majority can come any more, and nobody else's try is known
)

// AddVote takes a keeper's word; a second one of the same keeper changes nothing.
func (r *Round) AddVote(keeper string, v Vote, answer []byte) {
	if _, ok := r.words[keeper]; ok || v < VoteGranted || v > VoteStoreFull {
		return
	}
	r.words[keeper] = v
	if v == VoteAnswered {
		r.answer = answer
	}
}

// HasVote tells whether a keeper's word was taken.
func (r *Round) HasVote(keeper string) bool { return r.words[keeper] != 0 }

// Outcome is what the words so far come to; why is the word that tells most where it is Refused. Once the round is over, at its
// deadline, what is still open is hopeless.
func (r *Round) Outcome(over bool) (o Outcome, why Vote, answer []byte) {
	count := map[Vote]int{}
	for _, v := range r.words {
		count[v]++
	}
	most := r.keepers/2 + 1
	if count[VoteGranted] >= most {
		return Granted, 0, nil
	}
	if !over && count[VoteGranted]+r.keepers-len(r.words) >= most {
		return Pending, 0, nil
	}
	// Any one keeper's word of another try is enough not to run: it may have its majority elsewhere.
	for _, v := range []Vote{VoteAnswered, VoteKeyReused, VoteMayHaveRun, VoteInFlight} {
		if count[v] > 0 {
			return Rejected, v, r.answer
		}
	}
	return NoQuorum, 0, nil
}
