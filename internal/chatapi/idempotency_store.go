package chatapi

import (
	"encoding/json"
	"log/slog"
	"time"

	"rampspread/internal/fleet/idempotency"
	"rampspread/internal/state/inflight"
)

// IdempotencyStore says who may run a filing, over all dispatchers and over this one's restarts. Its methods may be called from any goroutine;
// only Claim waits, for less than a second.
type IdempotencyStore interface {
	// Claim asks whether the first try of a key may run; ends is how long it lasts at the most.
	Claim(key string, body []byte, ends time.Duration) (idempotency.Outcome, idempotency.Vote, []byte, idempotency.Attempt)
	// Settle notes how a try ended; nil: it may have run, and its answer is not known.
	Settle(key string, try idempotency.Attempt, answer []byte)
	// Withdraw notes that a try never ran.
	Withdraw(key string, try idempotency.Attempt)
}

// streamMost is how long beyond its deadline an answer's stream goes on at the most, for the ledger to take a try as ended.
const streamMost = time.Minute

// UseIdempotencyStore makes filings go by a ledger besides this process's own table; before the front serves.
func (f *Handler) UseIdempotencyStore(l IdempotencyStore) { f.ledger = l }

// UsePeerTable shares what filings were taken with other processes of this name on this machine; before the front serves.
func (f *Handler) UsePeerTable(t *inflight.Table) { f.beside = t }

// granted asks the other processes of this name, and the ledger, about a key that is new to this process's table. Where it is not
// fresh, the table learns what they know, or forgets the key.
func (f *Handler) granted(j *job, key string) (verdict, *completion, idempotency.Attempt) {
	switch f.beside.Acquire(inflight.IdempotencyKey, key) {
	case inflight.HeldByOther:
		f.filings.release(key)
		return inProgress, nil, idempotency.Attempt{}
	case inflight.MayHaveRun:
		f.filings.settle(key, nil)
		return mayHaveRun, nil, idempotency.Attempt{}
	case inflight.Unknown:
		f.filings.release(key)
		return unreachable, nil, idempotency.Attempt{}
	}
	if f.ledger == nil {
		return fresh, nil, idempotency.Attempt{}
	}
	out, why, answer, try := f.ledger.Claim(key, j.req.Call.Body, time.Until(j.req.Deadline)+streamMost)
	v := unreachable
	switch {
	case out == idempotency.Granted:
		return fresh, nil, try
	}
	f.beside.Release(inflight.IdempotencyKey, key)
	switch {
	case out == idempotency.Rejected && why == idempotency.VoteAnswered:
		known := new(completion)
		if err := json.Unmarshal(answer, known); err == nil && len(known.Choices) > 0 {
			f.filings.settle(key, known)
			return answered, known, try
		}
		slog.Warn("ledger_answer", "id", j.req.Call.ID)
		f.filings.settle(key, nil)
		return mayHaveRun, nil, try
	case out == idempotency.Rejected && why == idempotency.VoteMayHaveRun:
		f.filings.settle(key, nil)
		return mayHaveRun, nil, try
	case out == idempotency.Rejected && why == idempotency.VoteInFlight:
		v = inProgress
	case out == idempotency.Rejected && why == idempotency.VoteKeyReused:
		v = otherBody
	}
	f.filings.release(key)
	return v, nil, try
}

// note tells the table and the ledger how a first try ended.
func (f *Handler) note(key string, try idempotency.Attempt, answer *completion, ran bool) {
	if !ran {
		f.filings.release(key)
		f.beside.Release(inflight.IdempotencyKey, key)
		if f.ledger != nil {
			f.ledger.Withdraw(key, try)
		}
		return
	}
	f.filings.settle(key, answer)
	f.beside.MarkMayHaveRun(key)
	if f.ledger == nil {
		return
	}
	var text []byte
	if answer != nil {
		var err error
		if text, err = json.Marshal(answer); err != nil {
			slog.Warn("encode_failed", "err", err)
			text = nil
		}
	}
	if len(text) > MaxStoredAnswer {
		text = nil
	}
	f.ledger.Settle(key, try, text)
}

// MaxStoredAnswer is the most bytes of an answer that the ledger is given.
const MaxStoredAnswer = 60 << 10
