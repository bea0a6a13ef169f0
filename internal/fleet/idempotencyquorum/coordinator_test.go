package idempotencyquorum

import (
	"bytes"
	"context"
	"errors"
	"math/rand/v2"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"rampspread/internal/fleet/idempotency"
	"rampspread/internal/state"
	"rampspread/internal/testkit"
)

// net is members whose messages get lost, come twice and overtake each other, as a test sets.
type net struct {
	mu    sync.Mutex
	rng   *rand.Rand
	all   map[string]*Coordinator
	cut   map[string]bool
	rough bool
	stops map[string]func()
}

func newNet(t *testing.T) *net {
	n := &net{rng: rand.New(rand.NewPCG(1, 2)), all: map[string]*Coordinator{}, cut: map[string]bool{}, stops: map[string]func(){}}
	t.Cleanup(func() {
		for _, stop := range n.stops {
			stop()
		}
	})
	return n
}

func (n *net) send(from, to string, b []byte) {
	n.mu.Lock()
	defer n.mu.Unlock()
	s := n.all[to]
	if s == nil || n.cut[from] || n.cut[to] || n.rough && n.rng.IntN(4) == 0 {
		return
	}
	times, late := 1, time.Duration(0)
	if n.rough {
		times += n.rng.IntN(2)
		late = time.Duration(n.rng.Int64N(int64(20 * time.Millisecond)))
	}
	for range times {
		time.AfterFunc(late, func() { s.HandleMessage(b) })
	}
}

var keepers = []string{"n0", "n1", "n2"}

// start starts a member with the state in a folder; none: it keeps nothing.
func (n *net) start(t *testing.T, name, dir string, life uint64, keepers ...string) *Coordinator {
	t.Helper()
	cfg := Config{Name: name, Incarnation: life, Replicas: keepers, Secret: []byte("secret"),
		Limits: idempotency.Limits{Retention: time.Hour, Entries: 100, MaxAnswerBytes: 1 << 16}, Send: func(to string, b []byte, _ bool) { n.send(name, to, b) }}
	if dir != "" {
		cfg.Open = func() (*state.Store, error) { return state.Open(dir, state.Identity{Fleet: "f", Name: name}) }
	}
	s := New(cfg)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { s.Run(ctx) })
	n.mu.Lock()
	n.all[name] = s
	n.mu.Unlock()
	n.stops[name] = sync.OnceFunc(func() { cancel(); wg.Wait() })
	if dir != "" {
		testkit.Eventually(t, name+" to keep", func() bool { return s.Status().IsReplica })
	}
	return s
}

func made(t *testing.T, name string) string {
	t.Helper()
	dir := t.TempDir()
	if err := state.Init(dir, state.Identity{Fleet: "f", Name: name}); err != nil {
		t.Fatal(err)
	}
	return dir
}

// Over a rough network, of all members that claim a key at once at most one is granted it; all others come to hear of its answer,
// through restarts of keepers with their states.
func TestOneIsGranted(t *testing.T) {
	n := newNet(t)
	dirs := map[string]string{}
	var all []*Coordinator
	for _, name := range keepers {
		dirs[name] = made(t, name)
		all = append(all, n.start(t, name, dirs[name], 1, keepers...))
	}
	all = append(all, n.start(t, "n3", "", 1, keepers...), n.start(t, "n4", "", 1, keepers...))
	n.mu.Lock()
	n.rough = true
	n.mu.Unlock()
	big := bytes.Repeat([]byte("answer "), 1000)
	granted := 0
	for i := range 12 {
		key := strings.Repeat("k", i+1)
		var wg sync.WaitGroup
		var mu sync.Mutex
		tries := 0
		for _, s := range all {
			wg.Go(func() {
				out, _, _, try := s.Claim(key, []byte("body"), time.Minute)
				if out == idempotency.Granted {
					mu.Lock()
					tries++
					mu.Unlock()
					s.Settle(key, try, big)
				}
			})
		}
		wg.Wait()
		if tries > 1 {
			t.Fatalf("%s was granted %d times", key, tries)
		}
		granted += tries
		if tries == 1 {
			testkit.Eventually(t, "its answer at another member", func() bool {
				out, why, answer, _ := all[4].Claim(key, []byte("body"), time.Minute)
				return out == idempotency.Rejected && why == idempotency.VoteAnswered && bytes.Equal(answer, big)
			})
		}
	}
	if granted == 0 {
		t.Fatal("nothing was granted")
	}
	n.mu.Lock()
	n.rough = false
	n.mu.Unlock()
	for _, name := range keepers { // one after the other, and then all know by their states alone
		n.stops[name]()
		n.start(t, name, dirs[name], 2, keepers...)
	}
	out, why, answer, _ := all[3].Claim("k", []byte("body"), time.Minute)
	if out == idempotency.Granted || out == idempotency.Rejected && why == idempotency.VoteAnswered && !bytes.Equal(answer, big) {
		t.Errorf("after the restarts: %v, %v", out, why)
	}
	if out, why, _, _ := all[3].Claim("k", []byte("another"), time.Minute); out != idempotency.Rejected || why != idempotency.VoteKeyReused {
		t.Errorf("another body: %v, %v", out, why)
	}
}

// Without a majority nothing is granted, and that is said within the time for it; a keeper without its state keeps its peace.
func TestWithoutAMajority(t *testing.T) {
	n := newNet(t)
	for _, name := range keepers {
		n.start(t, name, made(t, name), 1, keepers...)
	}
	s := n.start(t, "n3", "", 1, keepers...)
	if out, _, _, _ := s.Claim("a", nil, time.Minute); out != idempotency.Granted {
		t.Fatalf("with all keepers: %v", out)
	}
	n.mu.Lock()
	n.cut["n0"], n.cut["n1"] = true, true
	n.mu.Unlock()
	from := time.Now()
	if out, _, _, _ := s.Claim("b", nil, time.Minute); out != idempotency.NoQuorum || time.Since(from) > askFor+300*time.Millisecond {
		t.Errorf("with one of three: %v after %v", out, time.Since(from))
	}
	n.mu.Lock()
	clear(n.cut)
	n.mu.Unlock()
	testkit.Eventually(t, "what was taken back to be free", func() bool { out, _, _, _ := s.Claim("b", nil, time.Minute); return out == idempotency.Granted })
	// Two keepers come back with empty folders: one that remembers is no majority.
	for _, name := range keepers[:2] {
		n.stops[name]()
		lost := n.start(t, name, filepath.Join(t.TempDir(), "lost"), 2, keepers...)
		if st := lost.Status(); st.RecoveringS < 3500 {
			t.Errorf("a keeper without its state: %+v", st)
		}
	}
	if out, _, _, _ := s.Claim("a", nil, time.Minute); out == idempotency.Granted {
		t.Error("a key that ran was granted again by keepers without memory")
	}
}

// Alone, a process with a state knows its filings in its next life, and one whose folder another has claims nothing.
func TestAlone(t *testing.T) {
	n := newNet(t)
	dir := made(t, "n0")
	one := n.start(t, "n0", dir, 1, "n0")
	out, _, _, try := one.Claim("a", []byte("body"), time.Minute)
	if out != idempotency.Granted {
		t.Fatalf("%v", out)
	}
	if _, err := state.Open(dir, state.Identity{Fleet: "f", Name: "n0"}); !errors.Is(err, state.ErrLocked) {
		t.Errorf("a second process: %v", err)
	}
	n.stops["n0"]() // before it said how that ended
	two := n.start(t, "n0", dir, 2, "n0")
	if out, why, _, _ := two.Claim("a", []byte("body"), time.Minute); out != idempotency.Rejected || why != idempotency.VoteInFlight {
		t.Errorf("in the next life: %v, %v", out, why)
	}
	two.Settle("a", try, []byte("late"))
	testkit.Eventually(t, "its answer", func() bool {
		_, why, _, _ := two.Claim("a", []byte("body"), time.Minute)
		return why == idempotency.VoteAnswered
	})
}

// A disk that fails: nothing is granted, it is counted, and nothing else stands still.
func TestStateFails(t *testing.T) {
	n := newNet(t)
	s := n.start(t, "n0", made(t, "n0"), 1, "n0")
	s.store.Close()
	if out, _, _, _ := s.Claim("a", nil, time.Minute); out != idempotency.NoQuorum || s.Status().Errors == 0 {
		t.Errorf("%v, %+v", out, s.Status())
	}
}

// Messages survive the wire; garbage is an error, is counted, and changes nothing.
func FuzzDecode(f *testing.F) {
	m := message{kind: kindAsk, try: idempotency.Attempt{Name: "n1", Incarnation: 5, Seq: 7}, key: idempotency.Key{1}, digest: idempotency.Digest{2}, ends: time.Second}
	w := message{kind: kindWord, try: m.try, key: m.key, keeper: "n2", verdict: idempotency.VoteAnswered, answer: []byte("a"), answered: true}
	e := message{kind: kindSettle, try: m.try, key: m.key, answer: []byte{}, answered: true}
	var texts []string
	for _, in := range []message{m, w, e} {
		got, err := decode(in.encode())
		if err != nil || got.kind != in.kind || got.try != in.try || got.key != in.key || got.digest != in.digest || got.ends != in.ends ||
			got.keeper != in.keeper || got.verdict != in.verdict || !bytes.Equal(got.answer, in.answer) || got.answered != in.answered {
			f.Errorf("%+v became %+v, %v", in, got, err)
		}
		texts = append(texts, string(in.encode()))
	}
	s := New(Config{Name: "n0", Replicas: keepers})
	for _, text := range testkit.Broken(4, texts...) {
		f.Add([]byte(text))
		s.HandleMessage([]byte(text))
	}
	if s.Status().Bad == 0 {
		f.Error("nothing bad was counted")
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		if m, err := decode(b); err == nil && (m.try.Name == "" || len(m.answer) > maxAnswer) {
			t.Errorf("%x was taken as %+v", b, m)
		}
	})
}
