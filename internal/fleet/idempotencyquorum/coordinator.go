// Package idempotencyquorum carries out what package idempotency decides: it claims idempotency keys at the fleet's
// replicas, and is itself a replica where this process has a durable store. It owns the messages between members, their
// timeouts and retransmissions, and the access to the store.
//
// Claims may be made from any goroutine; each waits in the goroutine that makes it. A replica's part runs in the goroutine
// of Coordinator.Run alone, because it writes to the disk; messages for it pass through a bounded queue.
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
	// claimTimeout is how long a claim waits for the votes of a majority. Without them it ends with NoQuorum.
	claimTimeout = 400 * time.Millisecond
	// claimResendInterval is the time after which a claim is sent again to replicas that have not voted: packets get lost.
	claimResendInterval = 60 * time.Millisecond
	// What follows a claim is not acknowledged, so it is sent several times.
	notificationSends    = 3
	notificationInterval = 250 * time.Millisecond
)

// Config is the configuration of a Coordinator.
type Config struct {
	Name        string   // of this member
	Incarnation uint64   // of this process; a restart has a greater one
	Replicas    []string // names of the replicas; this member may be one of them
	Secret      []byte   // keys travel and are stored as hashes under it
	Limits      idempotency.Limits
	// Open opens this process's store; nil if this member is not a replica. While it returns an error, such as
	// state.ErrLocked for a store that a process to be replaced still uses, it is called again.
	Open func() (*state.Store, error)
	// Send sends a message to another member; it may get lost. A large one does not fit into a packet.
	Send func(to string, message []byte, large bool)
}

// Coordinator claims keys for one process, and votes on claims if the process is a replica. Its methods are safe for
// concurrent use; Run must be running for the process to vote.
type Coordinator struct {
	cfg      Config
	requests chan message // for the replica of this process
	dropped  atomic.Int64
	bad      atomic.Int64
	errs     atomic.Int64
	outcomes [idempotency.NoQuorum + 1]atomic.Int64 // rounds by outcome
	waited   atomic.Int64                           // ns, summed over granted claims

	mu     sync.Mutex
	seq    uint64
	rounds map[uint64]*round // under way, by sequence number
	// Set once by Run's goroutine, which is the only one to use them afterwards except for Status.
	store             *state.Store
	replica           *idempotency.Replica
	startedRecovering bool
}

// round is a claim that waits for votes.
type round struct {
	mu      sync.Mutex
	votes   *idempotency.Round
	changed chan struct{} // of capacity one: a vote was counted
}

// New returns a Coordinator for the given configuration.
func New(cfg Config) *Coordinator {
	return &Coordinator{cfg: cfg, requests: make(chan message, requestQueueSize), rounds: map[uint64]*round{}}
}

// hash returns the form in which a client's idempotency key travels and is stored.
func (c *Coordinator) hash(key string) (k idempotency.Key) {
	h := hmac.New(sha256.New, c.cfg.Secret)
	h.Write([]byte(key)) // it cannot fail
	copy(k[:], h.Sum(nil))
	return k
}

// Claim asks the replicas whether an attempt of a key's request may run, and waits for the votes of a majority, for
// claimTimeout at most. A claim that is not granted is withdrawn. maxDuration is how long the attempt can last from now.
// The vote and the answer are those of idempotency.Round.Outcome; the attempt is needed to settle or withdraw the claim.
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
		c.waited.Add(int64(time.Since(started)))
	} else {
		c.notify(message{kind: kindWithdraw, attempt: attempt, key: claim.key})
	}
	return outcome, vote, answer, attempt
}

// newRound registers the round of a new attempt.
func (c *Coordinator) newRound() (*round, idempotency.Attempt) {
	r := &round{votes: idempotency.NewRound(len(c.cfg.Replicas)), changed: make(chan struct{}, 1)}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seq++
	attempt := idempotency.Attempt{Member: c.cfg.Name, Incarnation: c.cfg.Incarnation, Seq: c.seq}
	c.rounds[attempt.Seq] = r
	return r, attempt
}

// await sends a claim, repeatedly, until its round is decided or its time is over.
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

// Settle tells the replicas how an attempt ended: with its answer, or nil if it may have run. It does not wait.
func (c *Coordinator) Settle(key string, attempt idempotency.Attempt, answer []byte) {
	c.notify(message{kind: kindSettle, attempt: attempt, key: c.hash(key), answer: answer, hasAnswer: answer != nil})
}

// Withdraw takes back the claim of an attempt that never ran. It does not wait.
func (c *Coordinator) Withdraw(key string, attempt idempotency.Attempt) {
	c.notify(message{kind: kindWithdraw, attempt: attempt, key: c.hash(key)})
}

// notify sends a message to all replicas, several times over.
func (c *Coordinator) notify(m message) {
	for i := range notificationSends {
		time.AfterFunc(time.Duration(i)*notificationInterval, func() {
			for _, replica := range c.cfg.Replicas {
				c.send(replica, m)
			}
		})
	}
}

// send sends a message to a member, which may be this one.
func (c *Coordinator) send(to string, m message) {
	if to == c.cfg.Name {
		c.dispatch(m)
		return
	}
	b := m.encode()
	c.cfg.Send(to, b, len(b) > maxDatagramBytes)
}

// HandleMessage handles a message of another member. A malformed one is counted and dropped.
func (c *Coordinator) HandleMessage(b []byte) {
	m, err := decode(b)
	if err != nil {
		c.bad.Add(1)
		return
	}
	c.dispatch(m)
}

// dispatch passes a message to the claim that waits for it, or to the replica of this process.
func (c *Coordinator) dispatch(m message) {
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

// countVote counts a replica's vote in the round that it is for.
func (c *Coordinator) countVote(m message) {
	// A vote on a claim of an earlier incarnation does not count for this one's claim of the same number.
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
