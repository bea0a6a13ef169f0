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
	"rampspread/internal/testutil"
)

var replicaNames = []string{"n0", "n1", "n2"}

// network connects coordinators. While unreliable is set, it loses, repeats and reorders their messages.
type network struct {
	mu         sync.Mutex
	rng        *rand.Rand
	members    map[string]*Coordinator
	cutOff     map[string]bool // names of the disconnected members
	unreliable bool
	stops      map[string]func() // functions that stop the members, by name
}

func newNetwork(t *testing.T) *network {
	t.Helper()
	n := &network{
		rng:     rand.New(rand.NewPCG(1, 2)),
		members: map[string]*Coordinator{},
		cutOff:  map[string]bool{},
		stops:   map[string]func(){},
	}
	t.Cleanup(func() {
		for _, stop := range n.stops {
			stop()
		}
	})
	return n
}

func (n *network) setUnreliable(unreliable bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.unreliable = unreliable
}

// cut disconnects the given members, and connects all others.
func (n *network) cut(names ...string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.cutOff)
	for _, name := range names {
		n.cutOff[name] = true
	}
}

func (n *network) send(from, to string, b []byte) {
	n.mu.Lock()
	defer n.mu.Unlock()
	c := n.members[to]
	if c == nil || n.cutOff[from] || n.cutOff[to] || n.unreliable && n.rng.IntN(4) == 0 {
		return
	}
	copies, delay := 1, time.Duration(0)
	if n.unreliable {
		copies += n.rng.IntN(2)
		delay = time.Duration(n.rng.Int64N(int64(20 * time.Millisecond)))
	}
	for range copies {
		time.AfterFunc(delay, func() { c.HandleMessage(b) })
	}
}

// start starts a member. If dir is set, the member is a replica with its state in dir, and start waits until it serves.
func (n *network) start(t *testing.T, name, dir string, incarnation uint64, replicas ...string) *Coordinator {
	t.Helper()
	cfg := Config{
		Name:        name,
		Incarnation: incarnation,
		Replicas:    replicas,
		Secret:      []byte("secret"),
		Limits:      idempotency.Limits{Retention: time.Hour, Entries: 100, MaxAnswerBytes: 1 << 16},
		Send:        func(to string, b []byte, _ bool) { n.send(name, to, b) },
	}
	if dir != "" {
		cfg.Open = func() (*state.Store, error) { return state.Open(dir, state.Identity{Fleet: "f", Name: name}) }
	}
	c := New(cfg)
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	wg.Go(func() { c.Run(ctx) })
	n.mu.Lock()
	n.members[name] = c
	n.mu.Unlock()
	n.stops[name] = sync.OnceFunc(func() { cancel(); wg.Wait() })
	if dir != "" {
		testutil.Eventually(t, name+" to open its store", func() bool { return c.Status().IsReplica })
	}
	return c
}

// initState creates an empty state and returns its folder.
func initState(t *testing.T, name string) string {
	t.Helper()
	dir := t.TempDir()
	if err := state.Init(dir, state.Identity{Fleet: "f", Name: name}); err != nil {
		t.Fatal(err)
	}
	return dir
}

// claimEverywhere claims a key at all members at once, records the answer as the result of each granted claim, and
// returns how many claims were granted.
func claimEverywhere(members []*Coordinator, key string, answer []byte) (granted int) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	for _, c := range members {
		wg.Go(func() {
			outcome, _, _, attempt := c.Claim(key, []byte("body"), time.Minute)
			if outcome == idempotency.Granted {
				mu.Lock()
				granted++
				mu.Unlock()
				c.RecordResult(key, attempt, answer)
			}
		})
	}
	wg.Wait()
	return granted
}

// If members claim a key at once over an unreliable network, at most one claim is granted, and later claims get its
// answer. After the replicas have restarted with their stores, a key that was granted is not granted again.
func TestAtMostOneClaimIsGrantedAndOthersLearnItsAnswer(t *testing.T) {
	n := newNetwork(t)
	dirs := map[string]string{}
	var members []*Coordinator
	for _, name := range replicaNames {
		dirs[name] = initState(t, name)
		members = append(members, n.start(t, name, dirs[name], 1, replicaNames...))
	}
	members = append(members, n.start(t, "n3", "", 1, replicaNames...), n.start(t, "n4", "", 1, replicaNames...))
	n.setUnreliable(true)
	answer := bytes.Repeat([]byte("answer "), 1000)
	var granted []string
	for i := range 12 {
		key := strings.Repeat("k", i+1)
		grants := claimEverywhere(members, key, answer)
		if grants > 1 {
			t.Fatalf("%s was granted %d times", key, grants)
		}
		if grants == 1 {
			granted = append(granted, key)
			testutil.Eventually(t, "its answer at another member", func() bool {
				outcome, vote, got, _ := members[4].Claim(key, []byte("body"), time.Minute)
				return outcome == idempotency.Rejected && vote == idempotency.VoteAnswered && bytes.Equal(got, answer)
			})
		}
	}
	if len(granted) == 0 {
		t.Fatal("nothing was granted")
	}
	n.setUnreliable(false)
	for _, name := range replicaNames { // afterwards the replicas have only the records in their stores
		n.stops[name]()
		n.start(t, name, dirs[name], 2, replicaNames...)
	}
	for _, key := range granted {
		outcome, vote, got, _ := members[3].Claim(key, []byte("body"), time.Minute)
		wrongAnswer := outcome == idempotency.Rejected && vote == idempotency.VoteAnswered && !bytes.Equal(got, answer)
		if outcome == idempotency.Granted || wrongAnswer {
			t.Errorf("%s after the restarts: %v, %v", key, outcome, vote)
		}
		outcome, vote, _, _ = members[3].Claim(key, []byte("another"), time.Minute)
		if outcome != idempotency.Rejected || vote != idempotency.VoteKeyReused {
			t.Errorf("%s with another body: %v, %v", key, outcome, vote)
		}
	}
}

// A claim that cannot get a majority ends by its timeout, and a replica that lost its store does not vote.
func TestNothingIsGrantedWithoutAMajority(t *testing.T) {
	n := newNetwork(t)
	for _, name := range replicaNames {
		n.start(t, name, initState(t, name), 1, replicaNames...)
	}
	c := n.start(t, "n3", "", 1, replicaNames...)
	if outcome, _, _, _ := c.Claim("a", nil, time.Minute); outcome != idempotency.Granted {
		t.Fatalf("with all replicas: %v", outcome)
	}
	n.cut("n0", "n1")
	started := time.Now()
	outcome, _, _, _ := c.Claim("b", nil, time.Minute)
	if elapsed := time.Since(started); outcome != idempotency.NoQuorum || elapsed > claimTimeout+300*time.Millisecond {
		t.Errorf("with one of three: %v after %v", outcome, elapsed)
	}
	n.cut()
	testutil.Eventually(t, "the withdrawn key to be free", func() bool {
		outcome, _, _, _ := c.Claim("b", nil, time.Minute)
		return outcome == idempotency.Granted
	})
	// Two replicas restart with empty folders, and the one that still has its records is no majority.
	for _, name := range replicaNames[:2] {
		n.stops[name]()
		recovering := n.start(t, name, filepath.Join(t.TempDir(), "lost"), 2, replicaNames...)
		if st := recovering.Status(); st.RecoveringS < 3500 {
			t.Errorf("a replica without its store: %+v", st)
		}
	}
	if outcome, _, _, _ := c.Claim("a", nil, time.Minute); outcome == idempotency.Granted {
		t.Error("a key that ran was granted again by replicas without records")
	}
}

func TestSingleReplicaRemembersKeysAcrossRestarts(t *testing.T) {
	n := newNetwork(t)
	dir := initState(t, "n0")
	first := n.start(t, "n0", dir, 1, "n0")
	outcome, _, _, attempt := first.Claim("a", []byte("body"), time.Minute)
	if outcome != idempotency.Granted {
		t.Fatalf("%v", outcome)
	}
	if _, err := state.Open(dir, state.Identity{Fleet: "f", Name: "n0"}); !errors.Is(err, state.ErrLocked) {
		t.Errorf("a second process: %v", err)
	}
	n.stops["n0"]() // before the attempt's result is recorded
	second := n.start(t, "n0", dir, 2, "n0")
	outcome, vote, _, _ := second.Claim("a", []byte("body"), time.Minute)
	if outcome != idempotency.Rejected || vote != idempotency.VoteInFlight {
		t.Errorf("after the restart: %v, %v", outcome, vote)
	}
	second.RecordResult("a", attempt, []byte("late"))
	testutil.Eventually(t, "its answer", func() bool {
		_, vote, _, _ := second.Claim("a", []byte("body"), time.Minute)
		return vote == idempotency.VoteAnswered
	})
}

func TestNothingIsGrantedWhileTheStoreFails(t *testing.T) {
	n := newNetwork(t)
	c := n.start(t, "n0", initState(t, "n0"), 1, "n0")
	c.store.Close()
	if outcome, _, _, _ := c.Claim("a", nil, time.Minute); outcome != idempotency.NoQuorum || c.Status().StoreErrors == 0 {
		t.Errorf("%v, %+v", outcome, c.Status())
	}
}
