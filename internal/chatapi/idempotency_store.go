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

// MaxStoredAnswerBytes is the maximum size of an answer that is passed to the IdempotencyStore.
const MaxStoredAnswerBytes = 60 << 10

// maxStreamAfterDeadline is how long an answer's stream may continue after the request's deadline before the store
// treats the attempt as ended.
const maxStreamAfterDeadline = time.Minute

var errNoChoices = errors.New("stored answer has no choices")

// IdempotencyStore decides which attempt may run for a key, across all dispatchers and across restarts of this one. Its
// methods may be called from any goroutine. Only Claim blocks, for less than a second.
type IdempotencyStore interface {
	// Claim requests permission to run the first attempt of a key; the attempt takes at most maxDuration. If the vote
	// is VoteAnswered, the returned bytes are the stored answer.
	Claim(key string, body []byte, maxDuration time.Duration) (idempotency.Outcome, idempotency.Vote, []byte, idempotency.Attempt)
	// RecordResult records that an attempt ended, with its answer, or with nil if it may have run and its answer is
	// not known.
	RecordResult(key string, attempt idempotency.Attempt, answer []byte)
	// Withdraw records that an attempt never ran, which releases the key.
	Withdraw(key string, attempt idempotency.Attempt)
}

// claimFromPeersAndStore claims a key that is new to this process's table from the peer processes and then from the
// store. If the claim is not granted, it records in the table how the key's first attempt ended elsewhere, or removes
// the key from the table if that is not known.
func (h *Handler) claimFromPeersAndStore(x *exchange, key string) claim {
	switch h.peerTable.Acquire(inflight.IdempotencyKey, key) {
	case inflight.HeldByOther:
		return h.releaseClaim(key, claimInProgress)
	case inflight.MayHaveRun:
		return h.recordEndedElsewhere(key, nil)
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
	h.peerTable.Release(inflight.IdempotencyKey, key)
	if outcome != idempotency.Rejected {
		return h.releaseClaim(key, claimUnavailable)
	}
	switch vote {
	case idempotency.VoteAnswered:
		completion, err := decodeStoredAnswer(stored)
		if err != nil {
			slog.Warn("stored_answer_invalid", "id", x.dispatchRequest.Call.ID, "err", err)
		}
		return h.recordEndedElsewhere(key, completion)
	case idempotency.VoteMayHaveRun:
		return h.recordEndedElsewhere(key, nil)
	case idempotency.VoteInFlight:
		return h.releaseClaim(key, claimInProgress)
	case idempotency.VoteKeyReused:
		return h.releaseClaim(key, claimKeyReused)
	}
	return h.releaseClaim(key, claimUnavailable)
}

// releaseClaim removes a key that was not granted from the table, and returns the claim with the given result.
func (h *Handler) releaseClaim(key string, result claimResult) claim {
	h.keys.release(key)
	return claim{result: result}
}

// recordEndedElsewhere records in the table that the first attempt of a key has ended elsewhere. It returns a claim
// with the result claimAnswered, or claimMayHaveRun if the completion is nil because the attempt's answer is not known.
func (h *Handler) recordEndedElsewhere(key string, completion *chatCompletion) claim {
	h.keys.finish(key, completion)
	if completion == nil {
		return claim{result: claimMayHaveRun}
	}
	return claim{result: claimAnswered, completion: completion}
}

// recordResult records the result of a first attempt in the table, with the peer processes and in the store.
func (h *Handler) recordResult(key string, attempt idempotency.Attempt, result runResult) {
	if !result.mayHaveRun {
		h.keys.release(key)
		h.peerTable.Release(inflight.IdempotencyKey, key)
		if h.store != nil {
			h.store.Withdraw(key, attempt)
		}
		return
	}
	h.keys.finish(key, result.completion)
	h.peerTable.MarkMayHaveRun(inflight.IdempotencyKey, key)
	if h.store != nil {
		h.store.RecordResult(key, attempt, encodeStoredAnswer(result.completion))
	}
}

// encodeStoredAnswer returns the form in which the store keeps an answer, or nil if the answer is not known, cannot be
// encoded or is too large.
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

// decodeStoredAnswer decodes a stored answer, which another version of the program may have written.
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
