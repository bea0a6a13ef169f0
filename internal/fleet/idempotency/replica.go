package idempotency

import (
	"errors"
	"time"
)

const (
	// expireInterval is the time between two deletions of expired records.
	expireInterval = time.Second
	// expireBatch is how many expired records one deletion removes at most. More makes claims wait longer for it.
	expireBatch = 200
	// withdrawnTTL is how long a withdrawn attempt is remembered: longer than a packet can be under way.
	withdrawnTTL = time.Minute
)

// errRecovering reports a claim at a replica that lost its records and may not vote yet.
var errRecovering = errors.New("idempotency: the replica is recovering from the loss of its records")

// Replica votes on claims and stores the granted ones. It is not safe for concurrent use.
type Replica struct {
	limits         Limits
	store          Store
	recoveringTill time.Duration // in time that it has lived; it does not vote before
	storedKeys     int           // as counted by the last expiry, and adjusted since
	lastExpiry     time.Duration
	withdrawn      map[Attempt]time.Duration // when each was withdrawn
}

// NewReplica returns a replica whose store holds everything that its earlier lives wrote, or that had no earlier life.
func NewReplica(limits Limits, store Store) *Replica {
	return &Replica{limits: limits, store: store, withdrawn: map[Attempt]time.Duration{}}
}

// NewRecoveringReplica returns a replica whose store lost records. It does not vote until everything that it may have
// granted before has expired, one retention after now. now is in time of the replica's life, which continues from what the
// store knows of it.
func NewRecoveringReplica(limits Limits, store Store, now time.Duration) *Replica {
	r := NewReplica(limits, store)
	r.recoveringTill = now + limits.Retention
	return r
}

// Recovering reports whether the replica does not vote yet, and for how much longer.
func (r *Replica) Recovering(now time.Duration) (remaining time.Duration, recovering bool) {
	return max(r.recoveringTill-now, 0), now < r.recoveringTill
}

// expire forgets records and withdrawn attempts that are older than their retention.
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

// Claim votes on an attempt's claim of a key. maxDuration is how long from now the attempt can last. The answer is set for
// VoteAnswered. After an error nothing may be sent to the claimant, since it is unknown what was written.
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
		found = false // it has expired and is not deleted yet
	}
	_, withdrawn := r.withdrawn[attempt]
	switch {
	case found && record.Attempt == attempt:
		return VoteGranted, nil, nil // its packet came twice
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

// Settle records how an attempt ended: with its answer, or nil if it may have run. It changes nothing if another attempt
// holds the key, or if the answer is known already. The error is ErrAnswerTooLong or one of the store's.
func (r *Replica) Settle(key Key, attempt Attempt, answer []byte) error {
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

// Withdraw takes back the claim of an attempt that never ran and never will. A claim of it that is still under way is not
// granted.
func (r *Replica) Withdraw(now time.Duration, key Key, attempt Attempt) error {
	r.withdrawn[attempt] = now
	record, found, err := r.store.Get(key)
	if err != nil || !found || record.Attempt != attempt || record.State != InFlight {
		return err
	}
	r.storedKeys = max(r.storedKeys-1, 0)
	return r.store.Delete(key)
}
