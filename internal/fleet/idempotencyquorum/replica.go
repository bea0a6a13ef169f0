package idempotencyquorum

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"rampspread/internal/fleet/idempotency"
	"rampspread/internal/state"
)

const (
	// requestQueueSize is the maximum number of messages that wait for this process's replica; further ones are
	// dropped.
	requestQueueSize = 256
	// lifetimeInterval is the time between two writes of the replica's lifetime to the store.
	lifetimeInterval = 5 * time.Second
	// openRetryInterval is the time between two attempts to open the store.
	openRetryInterval = 300 * time.Millisecond
)

// Run opens the store and serves claims until the context ends, if this process is a replica. Otherwise it returns at
// once.
func (c *Coordinator) Run(ctx context.Context) {
	if c.cfg.Open == nil {
		return
	}
	for !c.openStore() {
		select {
		case <-time.After(openRetryInterval):
		case <-ctx.Done():
			return
		}
	}
	defer func() {
		if err := c.store.Close(); err != nil {
			slog.Warn("state_close_failed", "err", err)
		}
	}()
	lifetime := time.NewTicker(lifetimeInterval)
	defer lifetime.Stop()
	for {
		select {
		case m := <-c.requests:
			c.serve(m)
		case <-lifetime.C:
			if err := c.store.RecordLifetime(); err != nil {
				c.storeFailed(err)
			}
		case <-ctx.Done():
			return
		}
	}
}

// openStore opens the store and reports whether that succeeded.
func (c *Coordinator) openStore() bool {
	store, err := c.cfg.Open()
	if err != nil {
		if !errors.Is(err, state.ErrLocked) && c.storeErrors.Add(1) == 1 {
			slog.Warn("state_open_failed", "err", err)
		}
		return false
	}
	replica, complete := newReplica(c.cfg, store)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.store, c.replica, c.startedRecovering = store, replica, !complete
	return true
}

// newReplica returns the replica of a store, and whether the store holds every unexpired record that the replica has
// written. If not, the replica is recovering.
func newReplica(cfg Config, store *state.Store) (*idempotency.Replica, bool) {
	complete, remaining := store.Complete(cfg.Limits.Retention)
	if complete {
		return idempotency.NewReplica(cfg.Limits, store), true
	}
	slog.Warn("state_lost", "member", cfg.Name, "recovering_for", remaining)
	// A recovering replica does not vote until one retention after the lifetime that it is given. This is the lifetime
	// at the loss, so that the run time since the loss counts.
	lostAt := store.Lifetime() + remaining - cfg.Limits.Retention
	return idempotency.NewRecoveringReplica(cfg.Limits, store, lostAt), false
}

// storeFailed counts an error of the store, and logs the first.
func (c *Coordinator) storeFailed(err error) {
	if c.storeErrors.Add(1) == 1 {
		slog.Warn("state_failed", "err", err)
	}
}

// serve handles a message for this process's replica. It may write to disk.
func (c *Coordinator) serve(m message) {
	now := c.store.Lifetime()
	switch m.kind {
	case kindClaim:
		c.serveClaim(now, m)
	case kindResult:
		if err := c.replica.RecordResult(m.key, m.attempt, m.answer); err != nil {
			c.storeFailed(err)
		}
	case kindWithdraw:
		if err := c.replica.Withdraw(now, m.key, m.attempt); err != nil {
			c.storeFailed(err)
		}
	}
}

// serveClaim votes on a claim. A replica that is recovering, or whose store fails, sends nothing.
func (c *Coordinator) serveClaim(now time.Duration, m message) {
	vote, answer, err := c.replica.Claim(now, m.key, m.digest, m.attempt, m.maxDuration)
	if err != nil {
		if _, recovering := c.replica.Recovering(now); !recovering {
			c.storeFailed(err)
		}
		return
	}
	c.send(m.attempt.Member, message{
		kind:      kindVote,
		attempt:   m.attempt,
		key:       m.key,
		replica:   c.cfg.Name,
		vote:      vote,
		answer:    answer,
		hasAnswer: answer != nil,
	})
}
