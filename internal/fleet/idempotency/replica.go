package idempotency

import (
	"errors"
	"time"
)

const (
	// expireInterval is the minimum time between two deletions of expired records.
	expireInterval = time.Second
	// expireBatch is the maximum number of expired records that one deletion removes. Claims wait while it runs, so a
	// larger batch delays them more.
	expireBatch = 200
	// withdrawnTTL is how long a withdrawn attempt is remembered, so that its claim is not granted if it arrives
	// after the withdrawal. It is longer than a packet can be in transit.
	withdrawnTTL = time.Minute
)

// errRecovering reports a claim at a replica that lost its records and may not vote yet.
var errRecovering = errors.New("idempotency: the replica is recovering from the loss of its records")

// Replica votes on claims and stores the granted ones. It is not safe for concurrent use.
type Replica struct {
	limits          Limits
	store           Store
	recoveringUntil time.Duration             // lifetime before which the replica does not vote
	storedKeys      int                       // number of stored keys at the last expiry, adjusted since
	lastExpiry      time.Duration             // lifetime at the last deletion of expired records
	withdrawn       map[Attempt]time.Duration // withdrawn attempts, with the lifetime at their withdrawal
}

// NewReplica returns a replica whose store holds every unexpired record that the replica has written, or that runs for
// the first time.
func NewReplica(limits Limits, store Store) *Replica {
	return &Replica{limits: limits, store: store, withdrawn: map[Attempt]time.Duration{}}
}

// NewRecoveringReplica returns a replica whose store lost records. It does not vote until one retention after now, when
// every claim that it may have granted before has expired. now is a lifetime of the replica, which continues from the
// lifetime that the store recorded.
func NewRecoveringReplica(limits Limits, store Store, now time.Duration) *Replica {
	r := NewReplica(limits, store)
	r.recoveringUntil = now + limits.Retention
	return r
}

// Recovering reports whether the replica is recovering, and for how much longer it does not vote.
func (r *Replica) Recovering(now time.Duration) (remaining time.Duration, recovering bool) {
	return max(r.recoveringUntil-now, 0), now < r.recoveringUntil
}

// expire deletes records that are older than the retention and forgets attempts that were withdrawn more than
// withdrawnTTL ago, at most once per expireInterval.
func (r *Replica) expire(now time.Duration) error {
	if r.lastExpiry > 0 && now-r.lastExpiry < expireInterval {
		return nil
	}
	remaining, err := r.store.Expire(now-r.limits.Retention, expireBatch)
	if err != nil {
		return err
	}
	r.storedKeys, r.lastExpiry = remaining, now
	for attempt, at := range r.withdrawn {
		if now-at > withdrawnTTL {
			delete(r.withdrawn, attempt)
		}
	}
	return nil
}

// Claim votes on an attempt's claim on a key. maxDuration is the longest time from now that the attempt can last. The
// answer is set only for VoteAnswered. After an error no vote may be sent to the claimant, since it is unknown whether
// the record was written.
func (r *Replica) Claim(now time.Duration, key Key, digest Digest, attempt Attempt, maxDuration time.Duration) (
	vote Vote, answer []byte, err error,
) {
	if _, recovering := r.Recovering(now); recovering {
		return noVote, nil, errRecovering
	}
	if err := r.expire(now); err != nil {
		return noVote, nil, err
	}
	record, found, err := r.store.Get(key)
	if err != nil {
		return noVote, nil, err
	}
	if found && now-record.WrittenAt >= r.limits.Retention {
		found = false // the record has expired, but is not deleted yet
	}
	_, withdrawn := r.withdrawn[attempt]
	switch {
	case found && record.Attempt == attempt:
		return VoteGranted, nil, nil // the claim was received again
	case found && record.Digest != digest:
		return VoteKeyReused, nil, nil
	case found && record.State == Answered:
		return VoteAnswered, record.Answer, nil
	case found && (record.State == MayHaveRun || now >= record.AttemptDeadline):
		return VoteMayHaveRun, nil, nil
	case found || withdrawn:
		return VoteInFlight, nil, nil
	case r.storedKeys >= r.limits.Entries:
		return VoteStoreFull, nil, nil
	}
	record = Record{Attempt: attempt, Digest: digest, State: InFlight, WrittenAt: now, AttemptDeadline: now + maxDuration}
	if err := r.store.Put(key, record); err != nil {
		return noVote, nil, err
	}
	r.storedKeys++
	return VoteGranted, nil, nil
}

// RecordResult records how an attempt ended: with the given answer or, if it is nil, with an unknown result, in which
// case the request may have run. It changes nothing if the attempt does not hold the key, or if an answer is already
// stored. The error is ErrAnswerTooLong or an error of the store.
func (r *Replica) RecordResult(key Key, attempt Attempt, answer []byte) error {
	if len(answer) > r.limits.MaxAnswerBytes {
		return ErrAnswerTooLong
	}
	record, found, err := r.store.Get(key)
	if err != nil || !found || record.Attempt != attempt || record.State == Answered {
		return err
	}
	record.State, record.Answer = MayHaveRun, nil
	if answer != nil {
		record.State, record.Answer = Answered, answer
	}
	return r.store.Put(key, record)
}

// Withdraw cancels the claim of an attempt that has not run and never will. A claim of the attempt that is still in
// transit will not be granted.
func (r *Replica) Withdraw(now time.Duration, key Key, attempt Attempt) error {
	r.withdrawn[attempt] = now
	record, found, err := r.store.Get(key)
	if err != nil || !found || record.Attempt != attempt || record.State != InFlight {
		return err
	}
	r.storedKeys = max(r.storedKeys-1, 0)
	return r.store.Delete(key)
}
