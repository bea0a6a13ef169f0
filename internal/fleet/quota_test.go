package fleet

import (
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"rampspread/internal/fleet/quota"
	"rampspread/internal/testutil"
)

// fakeQuotaUser acts by shares as a process's core does.
type fakeQuotaUser struct {
	accepted  atomic.Int64
	rejecting atomic.Bool // its queue is full

	mu          sync.Mutex
	fraction    float64
	until       time.Time
	minFraction float64
}

func (w *fakeQuotaUser) Accepted() int64 { return w.accepted.Load() }

func (w *fakeQuotaUser) SetQuotaShare(fraction float64, remaining time.Duration, applied func()) bool {
	if w.rejecting.Load() {
		return false
	}
	w.mu.Lock()
	w.fraction, w.until = fraction, time.Now().Add(remaining)
	w.mu.Unlock()
	go applied()
	return true
}

func (w *fakeQuotaUser) fractionInForce() float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	if time.Now().Before(w.until) {
		return w.fraction
	}
	return w.minFraction
}

// startQuotaNode starts the member of that host with a user of its quota.
func startQuotaNode(t *testing.T, text string, host int, w *fakeQuotaUser) *Node {
	t.Helper()
	cfg, err := Parse([]byte(text), hostName(host))
	if err != nil {
		t.Fatal(err)
	}
	w.minFraction = cfg.MinFraction()
	n, err := Start(cfg, Options{Name: hostName(host), Version: "1", Seed: uint64(host), Quota: w,
		LocalState: func() LocalState { return LocalState{Serving: true} }}, func(err error) { t.Error(err) })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(n.Close)
	return n
}

// Members share the whole by their traffic, never exceed it, and take over the share of one that crashed except for
// its floor. A core without capacity for its share costs the others nothing.
func TestQuotaIsSharedByTrafficAndNeverExceeded(t *testing.T) {
	text := strings.Replace(configJSON("f", testKey, 80, 81, 82, 83), `"probe_ms":100`,
		`"probe_ms":100,"term_ms":600,"voters":["n80","n81","n82"],"budgets":{"floor":0.2}`, 1)
	all := make([]*fakeQuotaUser, 4)
	nodes := make([]*Node, 4)
	for i := range all {
		all[i] = &fakeQuotaUser{}
		nodes[i] = startQuotaNode(t, text, 80+i, all[i])
	}
	sum := func() (sum float64) {
		for _, w := range all {
			sum += w.fractionInForce()
		}
		if sum > 1+1e-9 {
			t.Fatalf("%.4f of the whole is in force", sum)
		}
		return sum
	}
	load := func(n int64) { // the last has three times the traffic of the others together
		for i, w := range all {
			w.accepted.Add(n)
			if i == 3 {
				w.accepted.Add(8 * n)
			}
		}
	}
	testutil.Eventually(t, "the whole to be used, by traffic", func() bool {
		load(1)
		least := min(all[0].fractionInForce(), all[1].fractionInForce(), all[2].fractionInForce())
		return sum() > 0.98 && all[3].fractionInForce() > 0.5 && least > 0.05
	})
	all[1].rejecting.Store(true)
	testutil.Eventually(t, "one that cannot apply its share to have the minimum", func() bool {
		load(1)
		return sum() < 1 && all[1].fractionInForce() == 0.05
	})
	if s, ok := nodes[1].QuotaStatus(); !ok || s.Dropped == 0 || !s.IsVoter {
		t.Errorf("%+v", s)
	}
	all[1].rejecting.Store(false)
	testutil.Eventually(t, "it to have its share again", func() bool {
		load(1)
		sum()
		return all[1].fractionInForce() > 0.06
	})
	nodes[3].Close() // without a leave notice; its share stays in force for its term
	testutil.Eventually(t, "the others to have its share", func() bool {
		load(1)
		return sum() > 0.98 && all[3].fractionInForce() == 0.05 && all[0].fractionInForce() > 0.2
	})
	before := nodes[0].Malformed()
	for _, sender := range []string{"unconfigured", "n80"} {
		claim := quota.Claim{From: quota.BorrowerID{Name: sender, Incarnation: 1}, Seq: 1}
		receive(nodes[0], encodeQuotaClaim(claim, nil))
	}
	if nodes[0].Malformed() != before+2 {
		t.Errorf("%d malformed messages counted, want 2", nodes[0].Malformed()-before)
	}
	nodes[0].Leave()
	if got := all[0].fractionInForce(); got != 0.05 {
		t.Errorf("after its leave a fraction of %.3f is in force", got)
	}
}
