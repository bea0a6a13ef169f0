package chatapi

import (
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"time"

	"rampspread/internal/fleet/idempotency"
	"rampspread/internal/state/inflight"
)

// MaxStoredAnswerBytes is the largest answer, in bytes, that is given to the IdempotencyStore.
const MaxStoredAnswerBytes = 60 << 10

// maxStreamAfterDeadline is how long an answer's stream may go on after its deadline, before the store takes the
// attempt as ended.
const maxStreamAfterDeadline = time.Minute

var errNoChoices = errors.New("no choices")

// IdempotencyStore decides which request may run for a key, over all dispatchers and over this one's restarts. Its
// methods may be called from any goroutine; only Claim waits, for less than a second.
type IdempotencyStore interface {
	// Claim requests to run the first attempt of a key, which takes at most maxDuration. If the vote is VoteAnswered,
	// the bytes are the stored answer.
	Claim(key string, body []byte, maxDuration time.Duration) (idempotency.Outcome, idempotency.Vote, []byte, idempotency.Attempt)
	// Settle records how an attempt ended; a nil answer: it may have run, and its answer is not known.
	Settle(key string, attempt idempotency.Attempt, answer []byte)
	// Withdraw records that an attempt never ran.
	Withdraw(key string, attempt idempotency.Attempt)
}

// claimShared claims a key that is new to this process's table from the peer processes and then from the store. Unless
// it is granted, the table records what they know of the key, or forgets it.
func (h *Handler) claimShared(x *exchange, key string) claim {
	switch h.peers.Acquire(inflight.IdempotencyKey, key) {
	case inflight.HeldByOther:
		return h.releaseClaim(key, claimInProgress)
	case inflight.MayHaveRun:
		return h.settleClaim(key, nil)
	case inflight.Unknown:
		return h.releaseClaim(key, claimUnavailable)
	}
	if h.store == nil {
		return claim{result: claimGranted}
	}
	maxDuration := time.Until(x.dispatchRequest.Deadline) + maxStreamAfterDeadline
	outcome, vote, stored, attempt := h.store.Claim(key, x.dispatchRequest.Call.Body, maxDuration)
	if outcome == idempotency.Granted {
		return claim{result: claimGranted, attempt: attempt}
	}
	h.peers.Release(inflight.IdempotencyKey, key)
	if outcome != idempotency.Rejected {
		return h.releaseClaim(key, claimUnavailable)
	}
	switch vote {
	case idempotency.VoteAnswered:
		completion, err := decodeStoredAnswer(stored)
		if err != nil {
			slog.Warn("stored_answer_invalid", "id", x.dispatchRequest.Call.ID, "err", err)
		}
		return h.settleClaim(key, completion)
	case idempotency.VoteMayHaveRun:
		return h.settleClaim(key, nil)
	case idempotency.VoteInFlight:
		return h.releaseClaim(key, claimInProgress)
	case idempotency.VoteKeyReused:
		return h.releaseClaim(key, claimKeyReused)
	}
	return h.releaseClaim(key, claimUnavailable)
}

// releaseClaim makes the table forget a key that was not granted.
func (h *Handler) releaseClaim(key string, result claimResult) claim {
	h.keys.release(key)
	return claim{result: result}
}

// settleClaim makes the table record that the first attempt of a key has ended elsewhere; the completion is nil if its
// answer is not known.
func (h *Handler) settleClaim(key string, completion *chatCompletion) claim {
	h.keys.settle(key, completion)
	if completion == nil {
		return claim{result: claimMayHaveRun}
	}
	return claim{result: claimAnswered, completion: completion}
}

// recordResult records in the table, with the peers and in the store how a first attempt ended.
func (h *Handler) recordResult(key string, attempt idempotency.Attempt, result runResult) {
	if !result.mayHaveRun {
		h.keys.release(key)
		h.peers.Release(inflight.IdempotencyKey, key)
		if h.store != nil {
			h.store.Withdraw(key, attempt)
		}
		return
	}
	h.keys.settle(key, result.completion)
	h.peers.MarkMayHaveRun(key)
	if h.store != nil {
		h.store.Settle(key, attempt, encodeStoredAnswer(result.completion))
	}
}

// encodeStoredAnswer returns what the store is given for an answer; nil if the answer is not known or is too large.
func encodeStoredAnswer(completion *chatCompletion) []byte {
	if completion == nil {
		return nil
	}
	encoded, err := json.Marshal(completion)
	if err != nil {
		slog.Warn("encode_failed", "err", err)
		return nil
	}
	if len(encoded) > MaxStoredAnswerBytes {
		return nil
	}
	return encoded
}

// decodeStoredAnswer returns a stored answer; it may have been written by another version of the program.
func decodeStoredAnswer(stored []byte) (*chatCompletion, error) {
	completion := new(chatCompletion)
	if err := json.Unmarshal(stored, completion); err != nil {
		return nil, fmt.Errorf("decode stored answer: %w", err)
	}
	if len(completion.Choices) == 0 {
		return nil, errNoChoices
	}
	return completion, nil
}
