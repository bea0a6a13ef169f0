package idempotency

import (
	"bytes"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"rampspread/internal/testkit/play"
)

var (
	simSeeds = flag.Int("claim.seeds", 6, "how many seeds the simulation of claims is run with")
	simSteps = flag.Int("claim.steps", 20_000, "of 2 ms each")
)

// memory is a Store that a test holds; broken makes it fail.
type memory struct {
	records map[Key]Record
	broken  bool
}

var errBroken = errors.New("broken")

func (m *memory) err() error {
	if m.broken {
		return errBroken
	}
	return nil
}

func (m *memory) Get(k Key) (Record, bool, error) {
	r, ok := m.records[k]
	return r, ok, m.err()
}

func (m *memory) Put(k Key, r Record) error {
	if !m.broken {
		m.records[k] = r
	}
	return m.err()
}

func (m *memory) Delete(k Key) error {
	if !m.broken {
		delete(m.records, k)
	}
	return m.err()
}

func (m *memory) Expire(before time.Duration, most int) (int, error) {
	for k, r := range m.records {
		if r.WrittenAt <= before && most > 0 {
			most--
			delete(m.records, k)
		}
	}
	return len(m.records), m.err()
}

func newMemory() *memory { return &memory{records: map[Key]Record{}} }

var limits = Limits{Retention: 20 * time.Second, Entries: 1000, MaxAnswerBytes: 64}

// mutant is a fault built into the code under test, which the checker has to catch.
type mutant struct {
	name       string
	forgetful  bool // a keeper that lost its store speaks at once
	few        bool // one keeper's yes is enough
	noteLater  bool // a keeper says yes before it has written that down
	takeBack   bool // a claim whose try ran is taken back
	wordsTwice bool // one keeper's word counts as often as it comes
}

type simKeeper struct {
	name  string
	store *memory
	late  map[Key]Record // by the mutant: not written yet
	k     *Replica
	up    bool
	since time.Duration // true time at which its life went on,
	lived time.Duration // from here
}

type simTry struct {
	key    Key
	try    Attempt
	node   int
	round  *Round
	until  time.Duration
	ran    bool
	over   bool
	doubly int
}

type simMessage struct {
	due      time.Duration
	from, to int // members; keepers are the first
	do       func()
}

// sim plays keepers, claimers, the network and the faults between them in simulated time.
type sim struct {
	rng     *rand.Rand
	m       mutant
	now     time.Duration
	keepers []*simKeeper
	members int
	cut     map[[2]int]bool
	queue   []simMessage
	tries   []*simTry
	seq     uint64
	runs    map[Key]time.Duration // the last run
	ran     int
	known   int
	keys    uint64
	wrong   string
}

func (s *sim) clock(k *simKeeper) time.Duration { return k.lived + s.now - k.since }

func (s *sim) start(k *simKeeper, remembers bool) {
	k.up, k.since = true, s.now
	if !remembers {
		k.store = newMemory()
	}
	k.late = map[Key]Record{}
	k.k = NewReplica(limits, k.store, remembers || s.m.forgetful, s.clock(k))
}

func newSim(seed uint64, m mutant) *sim {
	s := &sim{rng: rand.New(rand.NewPCG(seed, 0xc1a1)), m: m, members: 7, cut: map[[2]int]bool{}, runs: map[Key]time.Duration{}}
	for i := range 3 + 2*int(seed%2) {
		k := &simKeeper{name: fmt.Sprint("n", i), store: newMemory()}
		s.keepers = append(s.keepers, k)
		s.start(k, true)
	}
	return s
}

func (s *sim) send(from, to int, do func()) {
	if s.cut[[2]int{from, to}] || s.rng.IntN(20) == 0 {
		return
	}
	for range 1 + s.rng.IntN(15)/14 {
		due := s.now + time.Duration(s.rng.Int64N(int64(4*time.Millisecond)))
		if s.rng.IntN(30) == 0 {
			due += time.Duration(s.rng.Int64N(int64(2 * time.Second)))
		}
		s.queue = append(s.queue, simMessage{due, from, to, do})
	}
}

// toKeeper sends what is done at a keeper, if it is up by then.
func (s *sim) toKeeper(from, i int, do func(k *simKeeper)) {
	s.send(from, i, func() {
		if k := s.keepers[i]; k.up {
			do(k)
		}
	})
}

func digest(k Key) (d Digest) {
	copy(d[:], k[:])
	return d
}

// ask sends a try's claim to all keepers.
func (s *sim) ask(t *simTry) {
	for i := range s.keepers {
		s.toKeeper(t.node, i, func(k *simKeeper) {
			var v Vote
			var answer []byte
			var err error
			if s.m.noteLater {
				store := k.k.store
				shadow := &memory{records: map[Key]Record{}}
				for key, r := range k.store.records {
					shadow.records[key] = r
				}
				for key, r := range k.late {
					shadow.records[key] = r
				}
				k.k.store = shadow
				v, answer, err = k.k.Claim(s.clock(k), t.key, digest(t.key), t.try, time.Second)
				k.k.store = store
				k.late = shadow.records
			} else {
				v, answer, err = k.k.Claim(s.clock(k), t.key, digest(t.key), t.try, time.Second)
			}
			if err != nil {
				return
			}
			s.send(i, t.node, func() { s.word(t, k.name, v, answer) })
		})
	}
}

func (s *sim) word(t *simTry, from string, v Vote, answer []byte) {
	if t.over {
		return
	}
	if s.m.wordsTwice {
		t.doubly++
		from = fmt.Sprint(from, t.doubly)
	}
	t.round.AddVote(from, v, answer)
	s.judge(t, false)
}

// judge acts on what a round has come to.
func (s *sim) judge(t *simTry, over bool) {
	o, why, answer := t.round.Outcome(over)
	if s.m.few && slices.Contains(slices.Collect(func(yield func(Vote) bool) {
		for _, v := range t.round.words {
			if !yield(v) {
				return
			}
		}
	}), VoteGranted) {
		o = Granted
	}
	switch o {
	case Pending:
		return
	case Granted:
		t.ran = true
		s.ran++
		if last, ok := s.runs[t.key]; ok {
			s.wrong = fmt.Sprintf("key %x ran %v after it had run", t.key[:2], s.now-last)
		}
		s.runs[t.key] = s.now
		var answer []byte
		if s.rng.IntN(3) > 0 { // else its claimer dies, or the stream broke
			answer = []byte(fmt.Sprint("answer to ", t.key))[:20]
		}
		for i := range s.keepers {
			s.toKeeper(t.node, i, func(k *simKeeper) { k.k.Settle(s.clock(k), t.key, t.try, answer) })
		}
		if s.m.takeBack && s.rng.IntN(4) == 0 {
			s.withdraw(t)
		}
	default:
		if why == VoteAnswered {
			s.known++
			if !bytes.Equal(answer, []byte(fmt.Sprint("answer to ", t.key))[:20]) {
				s.wrong = fmt.Sprintf("key %x was answered %q", t.key[:2], answer)
			}
		}
		s.withdraw(t)
	}
	t.over = true
}

func (s *sim) withdraw(t *simTry) {
	for i := range s.keepers {
		s.toKeeper(t.node, i, func(k *simKeeper) { k.k.Withdraw(s.clock(k), t.key, t.try) })
	}
}

// client claims a key at a member: a new one, or one of the last few again.
func (s *sim) client() {
	if s.keys == 0 || s.rng.IntN(3) == 0 {
		s.keys++
	}
	key := Key{}
	n := s.keys - min(uint64(s.rng.IntN(4)), s.keys-1)
	key[0], key[1], key[2] = byte(n), byte(n>>8), byte(n>>16)
	s.seq++
	t := &simTry{key: key, node: s.rng.IntN(s.members), round: NewRound(len(s.keepers)), until: s.now + 300*time.Millisecond}
	t.try = Attempt{Name: fmt.Sprint("n", t.node), Incarnation: 1, Seq: s.seq}
	s.tries = append(s.tries, t)
	s.ask(t)
	if s.rng.IntN(2) == 0 {
		s.ask(t) // once more, as packets get lost
	}
}

func (s *sim) disturb() {
	k := s.keepers[s.rng.IntN(len(s.keepers))]
	switch s.rng.IntN(6) {
	case 0:
		if k.up { // killed; it does not count the last part of its life
			k.lived += (s.now - k.since) * time.Duration(s.rng.IntN(3)) / 2
			k.up = false
		}
	case 1, 2:
		if !k.up {
			s.start(k, s.rng.IntN(4) > 0)
		}
	case 3:
		for a := range s.members {
			for b := range s.members {
				if a%2 != b%2 && s.rng.IntN(4) > 0 {
					s.cut[[2]int{a, b}] = true
				}
			}
		}
	case 4, 5:
		clear(s.cut)
	}
}

func (s *sim) step() string {
	s.now += 2 * time.Millisecond
	if s.rng.IntN(200) == 0 {
		s.disturb()
	}
	if s.rng.IntN(30) == 0 {
		s.client()
	}
	for _, m := range play.Due(&s.queue, func(m simMessage) bool { return m.due <= s.now }) {
		m.do()
	}
	s.tries = slices.DeleteFunc(s.tries, func(t *simTry) bool {
		if !t.over && s.now >= t.until {
			s.judge(t, true)
		}
		return t.over
	})
	if s.m.noteLater && s.rng.IntN(500) == 0 {
		for _, k := range s.keepers {
			if k.up && len(k.late) > 0 {
				for key, r := range k.late {
					k.store.records[key] = r
				}
			}
		}
	}
	return s.wrong
}

// Under kills, lost stores, partitions, loss, repeats and reordering, with clients that ask again at other members, no key ever
// runs twice, and an answer is that of its key.
func TestNoKeyRunsTwice(t *testing.T) {
	ran, known := 0, 0
	for seed := range *simSeeds {
		s := newSim(uint64(seed), mutant{})
		for range *simSteps {
			if wrong := s.step(); wrong != "" {
				t.Fatalf("seed %d: %s", seed, wrong)
			}
		}
		ran, known = ran+s.ran, known+s.known
	}
	t.Logf("%d seeds of %d steps: %d keys ran, %d claims were answered by the first try's answer", *simSeeds, *simSteps, ran, known)
	if ran == 0 || known == 0 {
		t.Error("nothing ran, or nothing was answered again")
	}
}

// The same checker catches each fault that is built in.
func TestMutantsAreCaught(t *testing.T) {
	for _, m := range []mutant{{name: "forgetful keeper", forgetful: true}, {name: "fewer than a majority", few: true},
		{name: "noted after the word", noteLater: true}, {name: "taken back though it ran", takeBack: true}, {name: "one keeper counted twice", wordsTwice: true}} {
		play.Caught(t, m.name, 0, 100, func(seed uint64) string { return play.Steps(20_000, newSim(seed, m).step) })
	}
}

// A keeper's word on each state of a key, its bounds, and its silence where it cannot write.
func TestKeeper(t *testing.T) {
	m := newMemory()
	l := limits
	l.Entries = 2
	k := NewReplica(l, m, true, 0)
	a, b, c := Key{1}, Key{2}, Key{3}
	one, two, three, four := Attempt{"n0", 1, 1}, Attempt{"n1", 1, 1}, Attempt{"n0", 1, 2}, Attempt{"n0", 1, 3}
	now := time.Second
	want := func(key Key, d Digest, try Attempt, v Vote) []byte {
		t.Helper()
		got, answer, err := k.Claim(now, key, d, try, time.Second)
		if got != v || err != nil {
			t.Errorf("%v, %v, want %v", got, err, v)
		}
		return answer
	}
	want(a, digest(a), one, VoteGranted)
	want(a, digest(a), one, VoteGranted)
	want(a, digest(a), two, VoteInFlight)
	want(a, digest(b), two, VoteKeyReused)
	k.Settle(now, a, two, []byte("stranger's"))
	k.Settle(now, a, one, []byte("answer"))
	k.Settle(now, a, one, nil)
	if got := want(a, digest(a), two, VoteAnswered); string(got) != "answer" {
		t.Errorf("answered %q", got)
	}
	if err := k.Settle(now, a, one, make([]byte, l.MaxAnswerBytes+1)); !errors.Is(err, ErrAnswerTooLong) {
		t.Errorf("a long answer: %v", err)
	}
	want(b, digest(b), one, VoteGranted)
	now += 2 * time.Second
	want(b, digest(b), two, VoteMayHaveRun) // it should have ended
	want(c, digest(c), three, VoteStoreFull)
	k.Withdraw(now, b, two)
	want(b, digest(b), two, VoteMayHaveRun)
	k.Withdraw(now, b, one)
	want(c, digest(c), three, VoteGranted)
	k.Withdraw(now, c, three)
	want(c, digest(c), three, VoteInFlight) // a packet that the withdrawal has overtaken
	now += l.Retention
	want(a, digest(b), four, VoteGranted) // expired
	m.broken = true
	if _, _, err := k.Claim(now, Key{9}, Digest{}, one, 0); err == nil {
		t.Error("a keeper that cannot write says something")
	}
	lost := NewReplica(l, newMemory(), false, now)
	if _, _, err := lost.Claim(now+l.Retention-1, a, digest(a), one, 0); err == nil {
		t.Error("a keeper without memory says something")
	}
	if v, _, err := lost.Claim(now+l.Retention, a, digest(a), one, 0); v != VoteGranted || err != nil {
		t.Errorf("a keeper that has waited: %v, %v", v, err)
	}
}

func TestRound(t *testing.T) {
	for _, c := range []struct {
		keepers int
		words   []Vote
		over    bool
		want    Outcome
		why     Vote
	}{
		{1, []Vote{VoteGranted}, false, Granted, 0}, {3, []Vote{VoteGranted}, false, Pending, 0}, {3, []Vote{VoteGranted}, true, NoQuorum, 0},
		{3, []Vote{VoteGranted, VoteInFlight, VoteGranted}, false, Granted, 0}, {3, []Vote{VoteInFlight}, false, Pending, 0}, {3, []Vote{VoteInFlight, VoteGranted}, true, Rejected, VoteInFlight},
		{3, []Vote{VoteInFlight, VoteAnswered}, false, Rejected, VoteAnswered}, {3, []Vote{VoteStoreFull, VoteStoreFull}, false, NoQuorum, 0}, {3, nil, true, NoQuorum, 0},
		{5, []Vote{VoteGranted, VoteGranted, VoteInFlight, VoteKeyReused}, false, Pending, 0}, {5, []Vote{VoteGranted, VoteGranted, VoteInFlight, VoteKeyReused, VoteMayHaveRun}, false, Rejected, VoteKeyReused},
		{3, []Vote{0, 99}, true, NoQuorum, 0},
	} {
		r := NewRound(c.keepers)
		for i, v := range c.words {
			r.AddVote(fmt.Sprint(i), v, nil)
			r.AddVote(fmt.Sprint(i), VoteGranted, nil) // its second word changes nothing
		}
		if len(c.words) > 0 && c.words[0] == 0 {
			continue // words that are none were passed over, so the second ones count
		}
		if got, why, _ := r.Outcome(c.over); got != c.want || why != c.why {
			t.Errorf("%v of %d, over %t: %v (%v), want %v (%v)", c.words, c.keepers, c.over, got, why, c.want, c.why)
		}
	}
}
