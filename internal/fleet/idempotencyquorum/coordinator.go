// Package idempotencyquorum asks the fleet's keepers who may run a filing, and is a keeper where this process has the state for it. What
// is decided is decided in package claim; this one sends, waits and writes.
package idempotencyquorum

import (
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"errors"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"rampspread/internal/fleet/idempotency"
	"rampspread/internal/state"
)

const (
	// askFor is how long a claim waits for a majority's word; a filing that has none then is refused.
	askFor = 400 * time.Millisecond
	// Packets get lost: a claim is sent again so often, and what follows a claim is sent so many times.
	askAgain  = 60 * time.Millisecond
	tellTimes = 3
	tellAgain = 250 * time.Millisecond
	queueSize = 256 // of a keeper
	noteEvery = 5 * time.Second
	openEvery = 300 * time.Millisecond
)

// Config is what a Service is told when it starts.
type Config struct {
	Name        string
	Incarnation uint64
	Replicas    []string // by name; this process among them, or not
	Secret      []byte   // keys travel and are kept as hashes under it
	Limits      idempotency.Limits
	// Open opens this process's state, if it is a keeper. With state.ErrLocked it is asked again: a process that this one is to
	// replace has it.
	Open func() (*state.Store, error)
	// Send sends a message to another member; it may get lost. Large ones are over what a packet holds.
	Send func(to string, message []byte, large bool)
}

// Coordinator claims for one process, and keeps claims if it is a keeper.
type Coordinator struct {
	cfg     Config
	jobs    chan func()
	dropped atomic.Int64
	bad     atomic.Int64
	errs    atomic.Int64
	counts  [idempotency.NoQuorum + 1]atomic.Int64 // of rounds, by outcome
	waited  atomic.Int64                           // ns, for what was granted

	mu     sync.Mutex
	seq    uint64
	rounds map[uint64]*round
	store  *state.Store
	keeper *idempotency.Replica
	mute   bool // the keeper, at its start
}

// round is a claim that waits for words.
type round struct {
	mu   sync.Mutex
	r    *idempotency.Round
	news chan struct{} // of one place: something was said
}

// Status is what operators are shown.
type Status struct {
	Self        string   `json:"self"`
	Replicas    []string `json:"keepers"`
	IsReplica   bool     `json:"keeps"` // this process, with its state open
	RecoveringS float64  `json:"mute_s,omitempty"`
	Keys        int      `json:"keys"`
	Granted     int64    `json:"granted"`
	Rejected    int64    `json:"refused"`
	NoMajority  int64    `json:"no_majority"`
	GrantMS     float64  `json:"grant_ms"` // that a claim waited for its grant, on the mean
	Dropped     int64    `json:"dropped"`  // claims that this keeper had no room for
	Errors      int64    `json:"errors"`   // of its state
	Bad         int64    `json:"bad"`      // messages that made no sense
}

// New returns a Service; Run drives what it keeps.
func New(cfg Config) *Coordinator {
	return &Coordinator{cfg: cfg, jobs: make(chan func(), queueSize), rounds: map[uint64]*round{}}
}

// Run opens the state, if this process is a keeper, and keeps claims until the context ends.
func (s *Coordinator) Run(ctx context.Context) {
	if s.cfg.Open == nil {
		return
	}
	for !s.open() {
		select {
		case <-time.After(openEvery):
		case <-ctx.Done():
			return
		}
	}
	defer func() {
		if err := s.store.Close(); err != nil {
			slog.Warn("state_close", "err", err)
		}
	}()
	note := time.NewTicker(noteEvery)
	defer note.Stop()
	for {
		select {
		case f := <-s.jobs:
			f()
		case <-note.C:
			if err := s.store.RecordLifetime(); err != nil {
				s.failed(err)
			}
		case <-ctx.Done():
			return
		}
	}
}

// open opens the state; false: not yet.
func (s *Coordinator) open() bool {
	store, err := s.cfg.Open()
	if err != nil {
		if !errors.Is(err, state.ErrLocked) && s.errs.Add(1) == 1 {
			slog.Warn("state_closed", "err", err)
		}
		return false
	}
	remembers, left := store.Complete(s.cfg.Limits.Retention)
	if !remembers {
		slog.Warn("state_lost", "member", s.cfg.Name, "keeps_its_peace_for", left)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	// The keeper waits for Keep from what it is told is now; what was lived since the loss counts.
	s.store, s.mute = store, !remembers
	if remembers {
		s.keeper = idempotency.NewReplica(s.cfg.Limits, store)
	} else {
		s.keeper = idempotency.NewRecoveringReplica(s.cfg.Limits, store, store.Lifetime()+left-s.cfg.Limits.Retention)
	}
	return true
}

// failed counts what the state could not do, and says so the first time.
func (s *Coordinator) failed(err error) {
	if s.errs.Add(1) == 1 {
		slog.Warn("state_failed", "err", err)
	}
}

func (s *Coordinator) hash(key string) (k idempotency.Key) {
	h := hmac.New(sha256.New, s.cfg.Secret)
	h.Write([]byte(key)) // it cannot fail
	copy(k[:], h.Sum(nil))
	return k
}

// Claim asks the keepers whether a key's first try may run, and waits for a majority's word, for askFor at the most. What was not
// granted is taken back. ends is how long the try lasts at the most.
func (s *Coordinator) Claim(key string, body []byte, ends time.Duration) (idempotency.Outcome, idempotency.Vote, []byte, idempotency.Attempt) {
	r := &round{r: idempotency.NewRound(len(s.cfg.Replicas)), news: make(chan struct{}, 1)}
	s.mu.Lock()
	s.seq++
	try := idempotency.Attempt{Name: s.cfg.Name, Incarnation: s.cfg.Incarnation, Seq: s.seq}
	s.rounds[try.Seq] = r
	s.mu.Unlock()
	m := message{kind: kindAsk, try: try, key: s.hash(key), digest: sha256.Sum256(body), ends: ends}
	from := time.Now()
	out, why, answer := s.wait(r, m)
	s.mu.Lock()
	delete(s.rounds, try.Seq)
	s.mu.Unlock()
	s.counts[out].Add(1)
	if out == idempotency.Granted {
		s.waited.Add(int64(time.Since(from)))
	} else {
		s.tell(message{kind: kindWithdraw, try: try, key: m.key})
	}
	return out, why, answer, try
}

// wait sends a claim, again and again, until its round is settled or over.
func (s *Coordinator) wait(r *round, m message) (idempotency.Outcome, idempotency.Vote, []byte) {
	over := time.NewTimer(askFor)
	defer over.Stop()
	again := time.NewTicker(askAgain)
	defer again.Stop()
	s.ask(r, m)
	for {
		ended := false
		select {
		case <-r.news:
		case <-again.C:
			s.ask(r, m)
		case <-over.C:
			ended = true
		}
		r.mu.Lock()
		outcome := r.r.Outcome
		if ended {
			outcome = r.r.FinalOutcome
		}
		out, why, answer := outcome()
		r.mu.Unlock()
		if out != idempotency.Pending {
			return out, why, answer
		}
	}
}

// ask sends a claim to the keepers that have said nothing yet.
func (s *Coordinator) ask(r *round, m message) {
	r.mu.Lock()
	missing := slices.DeleteFunc(slices.Clone(s.cfg.Replicas), func(k string) bool { return r.r.HasVote(k) })
	r.mu.Unlock()
	for _, k := range missing {
		s.to(k, m)
	}
}

// Settle tells the keepers how a try ended: with its answer, or nil for one that may have run.
func (s *Coordinator) Settle(key string, try idempotency.Attempt, answer []byte) {
	s.tell(message{kind: kindSettle, try: try, key: s.hash(key), answer: answer, answered: answer != nil})
}

// Withdraw takes a claim back whose try never ran.
func (s *Coordinator) Withdraw(key string, try idempotency.Attempt) {
	s.tell(message{kind: kindWithdraw, try: try, key: s.hash(key)})
}

// tell sends a message to all keepers, several times over.
func (s *Coordinator) tell(m message) {
	for i := range tellTimes {
		time.AfterFunc(time.Duration(i)*tellAgain, func() {
			for _, k := range s.cfg.Replicas {
				s.to(k, m)
			}
		})
	}
}

// to sends a message to a keeper, which may be this process.
func (s *Coordinator) to(keeper string, m message) {
	if keeper == s.cfg.Name {
		s.keep(m)
		return
	}
	b := m.encode()
	s.cfg.Send(keeper, b, len(b) > smallMost)
}

// HandleMessage takes another member's message; one that makes no sense is counted and passed over.
func (s *Coordinator) HandleMessage(b []byte) {
	m, err := decode(b)
	if err != nil {
		s.bad.Add(1)
		return
	}
	if m.kind == kindWord {
		s.word(m)
		return
	}
	s.keep(m)
}

// word takes a keeper's word.
func (s *Coordinator) word(m message) {
	s.mu.Lock()
	r := s.rounds[m.try.Seq]
	s.mu.Unlock()
	// A word for an earlier life's claim is none for this one's of the same number.
	if r == nil || m.try.Name != s.cfg.Name || m.try.Incarnation != s.cfg.Incarnation || !slices.Contains(s.cfg.Replicas, m.keeper) {
		return
	}
	r.mu.Lock()
	r.r.AddVote(m.keeper, m.verdict, m.answer)
	r.mu.Unlock()
	select {
	case r.news <- struct{}{}:
	default:
	}
}

// keep does a keeper's part, in its goroutine: it writes to the disk.
func (s *Coordinator) keep(m message) {
	select {
	case s.jobs <- func() { s.kept(m) }:
	default:
		s.dropped.Add(1)
	}
}

func (s *Coordinator) kept(m message) {
	now := s.store.Lifetime()
	switch m.kind {
	case kindAsk:
		v, answer, err := s.keeper.Claim(now, m.key, m.digest, m.try, m.ends)
		if err != nil {
			if _, mute := s.keeper.Recovering(now); !mute {
				s.failed(err)
			}
			return
		}
		w := message{kind: kindWord, try: m.try, key: m.key, keeper: s.cfg.Name, verdict: v, answer: answer, answered: answer != nil}
		if m.try.Name == s.cfg.Name {
			s.word(w)
			return
		}
		b := w.encode()
		s.cfg.Send(m.try.Name, b, len(b) > smallMost)
	case kindSettle:
		answer := m.answer
		if m.answered && answer == nil {
			answer = []byte{}
		}
		if err := s.keeper.Settle(m.key, m.try, answer); err != nil {
			s.failed(err)
		}
	case kindWithdraw:
		if err := s.keeper.Withdraw(now, m.key, m.try); err != nil {
			s.failed(err)
		}
	}
}

// Status is what operators are shown.
func (s *Coordinator) Status() Status {
	out := Status{Self: s.cfg.Name, Replicas: s.cfg.Replicas, Granted: s.counts[idempotency.Granted].Load(), Rejected: s.counts[idempotency.Rejected].Load(),
		NoMajority: s.counts[idempotency.NoQuorum].Load(), Dropped: s.dropped.Load(), Errors: s.errs.Load(), Bad: s.bad.Load()}
	if out.Granted > 0 {
		out.GrantMS = float64(s.waited.Load()) / float64(out.Granted) / float64(time.Millisecond)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.store != nil {
		out.IsReplica, out.Keys = true, s.store.Keys()
		if _, left := s.store.Complete(s.cfg.Limits.Retention); s.mute {
			out.RecoveringS = left.Seconds()
		}
	}
	return out
}
