package idempotency

import (
	"bytes"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"rampspread/internal/testutil/simtest"
)

var (
	simSeeds = flag.Int("claim.seeds", 6, "how many seeds the simulation of claims is run with")
	// stepsPerSeed is the number of steps that the simulation runs with each seed.
	stepsPerSeed = flag.Int("claim.steps", 20_000, "of 2 ms each")
)

const (
	simStep          = 2 * time.Millisecond
	simMembers       = 7
	simRoundDeadline = 300 * time.Millisecond
	simAttemptLength = time.Second
	simAnswerBytes   = 20
	mutantSeeds      = 100
	mutantSteps      = 20_000
)

// mutant selects a fault to build into the protocol, which the simulation must detect.
type mutant struct {
	name                string
	votesWithoutRecords bool // a replica that lost its store votes at once
	noMajorityNeeded    bool // one replica's grant is enough
	votesBeforeWriting  bool // a replica grants a claim before it has stored the grant
	withdrawsAfterRun   bool // a claim whose attempt ran is withdrawn
	countsRepeatedVotes bool // a replica's vote is counted each time it arrives
}

// simReplica is a replica that can be killed and restarted.
type simReplica struct {
	name             string
	store            *memoryStore
	unwritten        map[Key]Record // records not stored yet, with the mutant votesBeforeWriting
	replica          *Replica
	up               bool
	startedAt        time.Duration // simulated time
	previousLifetime time.Duration // lifetime at startedAt
}

// simAttempt is an attempt and the round that decides on it.
type simAttempt struct {
	key           Key
	attempt       Attempt
	member        int // index of the claiming member
	round         *Round
	deadline      time.Duration // end of the round, in simulated time
	decided       bool
	repeatedVotes int // number of votes received, with the mutant countsRepeatedVotes
}

// simMessage is a message in transit; deliver runs at the recipient.
type simMessage struct {
	due      time.Duration // simulated time of delivery
	from, to int           // indices of members; the first members are the replicas
	deliver  func()
}

// sim simulates replicas, claimants, the network between them and faults, in simulated time.
type sim struct {
	rng       *rand.Rand
	mutant    mutant
	now       time.Duration
	replicas  []*simReplica
	cutLinks  map[[2]int]bool       // links that are down, by sending and receiving member
	queue     []simMessage          // messages in transit
	attempts  []*simAttempt         // attempts whose round is not decided
	seq       uint64                // Seq of the last attempt
	lastRun   map[Key]time.Duration // when the request of a key last ran
	ran       int                   // number of attempts that were granted
	answered  int                   // number of claims that were answered with an earlier attempt's answer
	keys      uint64                // number of keys used so far
	violation string                // the violation that was found
}

func newSim(seed uint64, m mutant) *sim {
	s := &sim{
		rng:      rand.New(rand.NewPCG(seed, 0xc1a1)),
		mutant:   m,
		cutLinks: map[[2]int]bool{},
		lastRun:  map[Key]time.Duration{},
	}
	for i := range 3 + 2*int(seed%2) {
		r := &simReplica{name: fmt.Sprint("n", i), store: newMemoryStore()}
		s.replicas = append(s.replicas, r)
		s.start(r, true)
	}
	return s
}

// lifetime returns how long a replica has run, over all restarts.
func (s *sim) lifetime(r *simReplica) time.Duration { return r.previousLifetime + s.now - r.startedAt }

func (s *sim) start(r *simReplica, storeIntact bool) {
	r.up, r.startedAt = true, s.now
	if !storeIntact {
		r.store = newMemoryStore()
	}
	r.unwritten = map[Key]Record{}
	if storeIntact || s.mutant.votesWithoutRecords {
		r.replica = NewReplica(limits, r.store)
	} else {
		r.replica = NewRecoveringReplica(limits, r.store, s.lifetime(r))
	}
}

// send puts a message on the network, which may lose, repeat or delay it.
func (s *sim) send(from, to int, deliver func()) {
	if s.cutLinks[[2]int{from, to}] || s.rng.IntN(20) == 0 {
		return
	}
	for range 1 + s.rng.IntN(15)/14 {
		due := s.now + time.Duration(s.rng.Int64N(int64(4*time.Millisecond)))
		if s.rng.IntN(30) == 0 {
			due += time.Duration(s.rng.Int64N(int64(2 * time.Second)))
		}
		s.queue = append(s.queue, simMessage{due, from, to, deliver})
	}
}

// sendToReplica sends a message to a replica, which handles it if it is up by then.
func (s *sim) sendToReplica(from, i int, handle func(r *simReplica)) {
	s.send(from, i, func() {
		if r := s.replicas[i]; r.up {
			handle(r)
		}
	})
}

// requestDigestOf returns the digest of the request body that a key is used with: the key's bytes, followed by zeros.
func requestDigestOf(k Key) (d Digest) {
	copy(d[:], k[:])
	return d
}

// answerOf returns the answer to the request that a key identifies.
func answerOf(k Key) []byte { return []byte(fmt.Sprint("answer to ", k))[:simAnswerBytes] }

// sendClaim sends an attempt's claim to all replicas.
func (s *sim) sendClaim(a *simAttempt) {
	for i := range s.replicas {
		s.sendToReplica(a.member, i, func(r *simReplica) {
			vote, answer, err := s.claimAt(r, a)
			if err != nil {
				return
			}
			s.send(i, a.member, func() { s.receiveVote(a, r.name, vote, answer) })
		})
	}
}

// claimAt returns a replica's vote on an attempt's claim. With the mutant votesBeforeWriting the replica writes to a
// copy of its store, and the records are lost if it is restarted before step stores them.
func (s *sim) claimAt(r *simReplica, a *simAttempt) (Vote, []byte, error) {
	if !s.mutant.votesBeforeWriting {
		return r.replica.Claim(s.lifetime(r), a.key, requestDigestOf(a.key), a.attempt, simAttemptLength)
	}
	storeCopy := &memoryStore{records: maps.Clone(r.store.records)}
	maps.Copy(storeCopy.records, r.unwritten)
	store := r.replica.store
	r.replica.store = storeCopy
	vote, answer, err := r.replica.Claim(s.lifetime(r), a.key, requestDigestOf(a.key), a.attempt, simAttemptLength)
	r.replica.store = store
	r.unwritten = storeCopy.records
	return vote, answer, err
}

func (s *sim) receiveVote(a *simAttempt, from string, vote Vote, answer []byte) {
	if a.decided {
		return
	}
	if s.mutant.countsRepeatedVotes {
		a.repeatedVotes++
		from = fmt.Sprint(from, a.repeatedVotes)
	}
	a.round.AddVote(from, vote, answer)
	s.conclude(a, a.round.Outcome)
}

// conclude executes or withdraws an attempt according to the outcome of its round, and does nothing while it is
// Pending.
func (s *sim) conclude(a *simAttempt, roundOutcome func() (Outcome, Vote, []byte)) {
	outcome, vote, answer := roundOutcome()
	if s.mutant.noMajorityNeeded && slices.Contains(slices.Collect(maps.Values(a.round.votes)), VoteGranted) {
		outcome = Granted
	}
	switch outcome {
	case Pending:
		return
	case Granted:
		s.execute(a)
	default:
		if vote == VoteAnswered {
			s.answered++
			if !bytes.Equal(answer, answerOf(a.key)) {
				s.violation = fmt.Sprintf("key %x was answered %q", a.key[:2], answer)
			}
		}
		s.withdraw(a)
	}
	a.decided = true
}

// execute runs a granted attempt, and checks that no other attempt of its key ran before.
func (s *sim) execute(a *simAttempt) {
	s.ran++
	if last, ok := s.lastRun[a.key]; ok {
		s.violation = fmt.Sprintf("key %x ran %v after it had run", a.key[:2], s.now-last)
	}
	s.lastRun[a.key] = s.now
	var answer []byte
	if s.rng.IntN(3) > 0 { // otherwise the claimant died or the response stream broke
		answer = answerOf(a.key)
	}
	for i := range s.replicas {
		s.sendToReplica(a.member, i, func(r *simReplica) { r.replica.RecordResult(a.key, a.attempt, answer) })
	}
	if s.mutant.withdrawsAfterRun && s.rng.IntN(4) == 0 {
		s.withdraw(a)
	}
}

func (s *sim) withdraw(a *simAttempt) {
	for i := range s.replicas {
		s.sendToReplica(a.member, i, func(r *simReplica) { r.replica.Withdraw(s.lifetime(r), a.key, a.attempt) })
	}
}

// startAttempt claims a key at a random member: a new key, or one of the last few keys again.
func (s *sim) startAttempt() {
	if s.keys == 0 || s.rng.IntN(3) == 0 {
		s.keys++
	}
	n := s.keys - min(uint64(s.rng.IntN(4)), s.keys-1)
	s.seq++
	a := &simAttempt{
		key:      Key{byte(n), byte(n >> 8), byte(n >> 16)},
		member:   s.rng.IntN(simMembers),
		round:    NewRound(len(s.replicas)),
		deadline: s.now + simRoundDeadline,
	}
	a.attempt = Attempt{Member: fmt.Sprint("n", a.member), Incarnation: 1, Seq: s.seq}
	s.attempts = append(s.attempts, a)
	s.sendClaim(a)
	if s.rng.IntN(2) == 0 {
		s.sendClaim(a) // a claim is sent again because packets may get lost
	}
}

// injectFault kills or restarts a replica, or partitions the network or ends its partition.
func (s *sim) injectFault() {
	r := s.replicas[s.rng.IntN(len(s.replicas))]
	switch s.rng.IntN(6) {
	case 0:
		if r.up { // when killed, a replica may not have recorded the last part of its run time
			r.previousLifetime += (s.now - r.startedAt) * time.Duration(s.rng.IntN(3)) / 2
			r.up = false
		}
	case 1, 2:
		if !r.up {
			s.start(r, s.rng.IntN(4) > 0)
		}
	case 3:
		for a := range simMembers {
			for b := range simMembers {
				if a%2 != b%2 && s.rng.IntN(4) > 0 {
					s.cutLinks[[2]int{a, b}] = true
				}
			}
		}
	case 4, 5:
		clear(s.cutLinks)
	}
}

// step advances the simulation and returns the violation that was found, if any.
func (s *sim) step() string {
	s.now += simStep
	if s.rng.IntN(200) == 0 {
		s.injectFault()
	}
	if s.rng.IntN(30) == 0 {
		s.startAttempt()
	}
	for _, m := range simtest.TakeDue(&s.queue, func(m simMessage) bool { return m.due <= s.now }) {
		m.deliver()
	}
	s.attempts = slices.DeleteFunc(s.attempts, func(a *simAttempt) bool {
		if !a.decided && s.now >= a.deadline {
			s.conclude(a, a.round.FinalOutcome)
		}
		return a.decided
	})
	if s.mutant.votesBeforeWriting && s.rng.IntN(500) == 0 {
		for _, r := range s.replicas {
			if r.up {
				maps.Copy(r.store.records, r.unwritten)
			}
		}
	}
	return s.violation
}

// The request of a key never runs twice, and a claim is only answered with the answer to its own key, while replicas
// are killed and lose their stores, the network is partitioned and loses, repeats and reorders messages, and clients
// claim keys again at other members.
func TestNoKeyRunsTwiceAndAnswersBelongToTheirKey(t *testing.T) {
	ran, answered := 0, 0
	for seed := range *simSeeds {
		s := newSim(uint64(seed), mutant{})
		for range *stepsPerSeed {
			if violation := s.step(); violation != "" {
				t.Fatalf("seed %d: %s", seed, violation)
			}
		}
		ran, answered = ran+s.ran, answered+s.answered
	}
	t.Logf("%d seeds of %d steps: %d keys ran, %d claims were answered by the first attempt's answer", *simSeeds,
		*stepsPerSeed, ran, answered)
	if ran == 0 || answered == 0 {
		t.Error("no key ran, or no claim was answered by the first attempt's answer")
	}
}

// The simulation detects each fault that is built into the protocol.
func TestSimulationCatchesEachMutant(t *testing.T) {
	for _, m := range []mutant{
		{name: "replica votes without its records", votesWithoutRecords: true},
		{name: "fewer than a majority", noMajorityNeeded: true},
		{name: "replica votes before it writes", votesBeforeWriting: true},
		{name: "withdrawn though it ran", withdrawsAfterRun: true},
		{name: "one replica counted twice", countsRepeatedVotes: true},
	} {
		t.Run(m.name, func(t *testing.T) {
			simtest.RequireDetected(t, m.name, 0, mutantSeeds, func(seed uint64) string { return simtest.Run(mutantSteps, newSim(seed, m).step) })
		})
	}
}
