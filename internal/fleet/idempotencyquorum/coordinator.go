// Package idempotencyquorum runs the protocol of package idempotency between the members of a fleet: it claims
// idempotency keys at the fleet's replicas, and runs a replica if this process has a durable store. It owns the
// messages between members, their timeouts and retransmissions, and the access to the store.
//
// Claims may be made from any goroutine, and block it until they are decided. The replica runs only in the goroutine of
// Coordinator.Run, because it writes to disk; messages for it pass through a bounded queue.
package idempotencyquorum

import (
	"crypto/hmac"
	"crypto/sha256"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"rampspread/internal/fleet/idempotency"
	"rampspread/internal/state"
)

const (
	// claimTimeout is how long a claim waits for votes to decide it. It then ends with Rejected or NoQuorum.
	claimTimeout = 400 * time.Millisecond
	// claimResendInterval is the time after which a claim is sent again to replicas that have not voted, since packets
	// may get lost.
	claimResendInterval = 60 * time.Millisecond
	// Results and withdrawals are not acknowledged, so each is sent notificationSends times, at intervals of
	// notificationInterval.
	notificationSends    = 3
	notificationInterval = 250 * time.Millisecond
)

// Config is the configuration of a Coordinator.
type Config struct {
	Name        string   // name of this member
	Incarnation uint64   // incarnation of this process, greater after each restart
	Replicas    []string // names of the replicas; this member may be one of them
	Secret      []byte   // HMAC key for the hashes of idempotency keys that are sent and stored
	Limits      idempotency.Limits
	// Open opens this process's store; it is nil if this member is not a replica. It is called again while it returns
	// an error, such as state.ErrLocked while the process that this one replaces still uses the store.
	Open func() (*state.Store, error)
	// Send sends a message to another member. Messages may get lost. large is set if the message does not fit into one
	// packet.
	Send func(to string, message []byte, large bool)
}

// Coordinator claims keys for one process, and votes on claims if the process is a replica. Its methods are safe for
// concurrent use; Run must be running for the process to vote.
type Coordinator struct {
	cfg         Config
	requests    chan message                           // messages for the replica of this process
	dropped     atomic.Int64                           // messages that did not fit into requests
	malformed   atomic.Int64                           // malformed messages received
	storeErrors atomic.Int64                           // errors of the store
	outcomes    [idempotency.NoQuorum + 1]atomic.Int64 // number of rounds by outcome
	grantWait   atomic.Int64                           // time in ns that granted claims waited, in total

	mu     sync.Mutex
	seq    uint64            // sequence number of the last claim
	rounds map[uint64]*round // undecided claims by sequence number
	// The goroutine of Run sets these fields once. Afterwards only that goroutine and Status use them.
	store             *state.Store
	replica           *idempotency.Replica
	startedRecovering bool // the replica was recovering when the store was opened
}

// round counts the votes on a claim that is not decided yet.
type round struct {
	mu      sync.Mutex
	votes   *idempotency.Round
	changed chan struct{} // holds one element after a vote was counted
}

// New returns a Coordinator for the given configuration.
func New(cfg Config) *Coordinator {
	return &Coordinator{cfg: cfg, requests: make(chan message, requestQueueSize), rounds: map[uint64]*round{}}
}

// hash returns the keyed hash under which a client's idempotency key is sent and stored.
func (c *Coordinator) hash(key string) (k idempotency.Key) {
	h := hmac.New(sha256.New, c.cfg.Secret)
	h.Write([]byte(key)) // never returns an error
	copy(k[:], h.Sum(nil))
	return k
}

// Claim claims a key for a new attempt at the replicas, and waits for votes that decide the claim, for at most
// claimTimeout. A claim that is not granted is withdrawn. maxDuration is the longest time from now that the attempt can
// last. The outcome, vote and answer are defined by idempotency.Round.Outcome. After a grant, the caller passes the
// attempt to RecordResult or Withdraw.
func (c *Coordinator) Claim(key string, body []byte, maxDuration time.Duration) (
	idempotency.Outcome, idempotency.Vote, []byte, idempotency.Attempt,
) {
	r, attempt := c.newRound()
	claim := message{kind: kindClaim, attempt: attempt, key: c.hash(key), digest: sha256.Sum256(body), maxDuration: maxDuration}
	started := time.Now()
	outcome, vote, answer := c.await(r, claim)
	c.mu.Lock()
	delete(c.rounds, attempt.Seq)
	c.mu.Unlock()
	c.outcomes[outcome].Add(1)
	if outcome == idempotency.Granted {
		c.grantWait.Add(int64(time.Since(started)))
	} else {
		c.notify(message{kind: kindWithdraw, attempt: attempt, key: claim.key})
	}
	return outcome, vote, answer, attempt
}

// newRound creates a new attempt and registers its round.
func (c *Coordinator) newRound() (*round, idempotency.Attempt) {
	r := &round{votes: idempotency.NewRound(len(c.cfg.Replicas)), changed: make(chan struct{}, 1)}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seq++
	attempt := idempotency.Attempt{Member: c.cfg.Name, Incarnation: c.cfg.Incarnation, Seq: c.seq}
	c.rounds[attempt.Seq] = r
	return r, attempt
}

// await sends a claim every claimResendInterval until its round is decided or claimTimeout has passed, and returns the
// outcome.
func (c *Coordinator) await(r *round, claim message) (idempotency.Outcome, idempotency.Vote, []byte) {
	timeout := time.NewTimer(claimTimeout)
	defer timeout.Stop()
	resend := time.NewTicker(claimResendInterval)
	defer resend.Stop()
	c.sendClaim(r, claim)
	for {
		select {
		case <-r.changed:
		case <-resend.C:
			c.sendClaim(r, claim)
		case <-timeout.C:
			r.mu.Lock()
			defer r.mu.Unlock()
			return r.votes.FinalOutcome()
		}
		r.mu.Lock()
		outcome, vote, answer := r.votes.Outcome()
		r.mu.Unlock()
		if outcome != idempotency.Pending {
			return outcome, vote, answer
		}
	}
}

// sendClaim sends a claim to the replicas that have not voted yet.
func (c *Coordinator) sendClaim(r *round, claim message) {
	r.mu.Lock()
	missing := slices.DeleteFunc(slices.Clone(c.cfg.Replicas), r.votes.HasVote)
	r.mu.Unlock()
	for _, replica := range missing {
		c.send(replica, claim)
	}
}

// RecordResult notifies the replicas how an attempt ended: with the given answer or, if it is nil, with an unknown
// result, in which case the request may have run. It does not block.
func (c *Coordinator) RecordResult(key string, attempt idempotency.Attempt, answer []byte) {
	c.notify(message{kind: kindResult, attempt: attempt, key: c.hash(key), answer: answer, hasAnswer: answer != nil})
}

// Withdraw cancels the claim of an attempt that never ran. It does not block.
func (c *Coordinator) Withdraw(key string, attempt idempotency.Attempt) {
	c.notify(message{kind: kindWithdraw, attempt: attempt, key: c.hash(key)})
}

// notify sends a message to all replicas, notificationSends times in total.
func (c *Coordinator) notify(m message) {
	for i := range notificationSends {
		time.AfterFunc(time.Duration(i)*notificationInterval, func() {
			for _, replica := range c.cfg.Replicas {
				c.send(replica, m)
			}
		})
	}
}

// send sends a message to a member, which may be this process itself.
func (c *Coordinator) send(to string, m message) {
	if to == c.cfg.Name {
		c.deliver(m)
		return
	}
	b := m.encode()
	c.cfg.Send(to, b, len(b) > maxDatagramBytes)
}

// HandleMessage handles a message from another member. It counts and drops malformed messages.
func (c *Coordinator) HandleMessage(b []byte) {
	m, err := decode(b)
	if err != nil {
		c.malformed.Add(1)
		return
	}
	c.deliver(m)
}

// deliver passes a vote to the claim that waits for it, and any other message to the replica of this process.
func (c *Coordinator) deliver(m message) {
	if m.kind == kindVote {
		c.countVote(m)
		return
	}
	select {
	case c.requests <- m:
	default:
		c.dropped.Add(1)
	}
}

// countVote counts a replica's vote in the round of its attempt. It ignores votes on claims that are no longer waiting.
func (c *Coordinator) countVote(m message) {
	// A vote on a claim of an earlier incarnation must not count for the claim with the same sequence number in this
	// one.
	isOwn := m.attempt.Member == c.cfg.Name && m.attempt.Incarnation == c.cfg.Incarnation
	if !isOwn || !slices.Contains(c.cfg.Replicas, m.replica) {
		return
	}
	c.mu.Lock()
	r := c.rounds[m.attempt.Seq]
	c.mu.Unlock()
	if r == nil {
		return
	}
	r.mu.Lock()
	r.votes.AddVote(m.replica, m.vote, m.answer)
	r.mu.Unlock()
	select {
	case r.changed <- struct{}{}:
	default:
	}
}
