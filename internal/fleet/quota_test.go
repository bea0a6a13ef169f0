package fleet

import (
	"math"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"rampspread/internal/fleet/quota"
	"rampspread/internal/testkit"
)

// fakeQuotaUser is a process that acts by parts: what its core would do.
type fakeQuotaUser struct {
	accepted  atomic.Int64
	rejecting atomic.Bool // its queue

	mu          sync.Mutex
	fraction    float64
	until       time.Time
	minFraction float64
}

func (w *fakeQuotaUser) Accepted() int64 { return w.accepted.Load() }

func (w *fakeQuotaUser) SetQuotaShare(part float64, left time.Duration, applied func()) bool {
	if w.rejecting.Load() {
		return false
	}
	w.mu.Lock()
	w.fraction, w.until = part, time.Now().Add(left)
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

func startQuotaNode(t *testing.T, text string, host int, w *fakeQuotaUser) *Node {
	t.Helper()
	cfg, err := Parse([]byte(text), hostName(host))
	if err != nil {
		t.Fatal(err)
	}
	w.minFraction = cfg.MinFraction()
	n, err := Start(cfg, Self{Name: hostName(host), Version: "1", Seed: uint64(host), Quota: w,
		Facts: func() Facts { return Facts{Serving: true} }}, func(err error) { t.Error(err) })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(n.Close)
	return n
}

// Members share the whole by their traffic, never go past it, take over a dead one's part but for its floor, and a core
// without room costs nobody anything.
func TestShares(t *testing.T) {
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
			t.Fatalf("all together act by %.4f", sum)
		}
		return sum
	}
	load := func(n int64) { // the last has as much as the others together, and three times as much again
		for i, w := range all {
			w.accepted.Add(n)
			if i == 3 {
				w.accepted.Add(8 * n)
			}
		}
	}
	testkit.Eventually(t, "the whole to be used, by traffic", func() bool {
		load(1)
		return sum() > 0.98 && all[3].fractionInForce() > 0.5 && min(all[0].fractionInForce(), all[1].fractionInForce(), all[2].fractionInForce()) > 0.05
	})
	all[1].rejecting.Store(true)
	testkit.Eventually(t, "one that cannot take its part to have the least", func() bool { load(1); return sum() < 1 && all[1].fractionInForce() == 0.05 })
	if s, ok := nodes[1].QuotaStatus(); !ok || s.Dropped == 0 || !s.IsVoter {
		t.Errorf("%+v", s)
	}
	all[1].rejecting.Store(false)
	testkit.Eventually(t, "it to have its part again", func() bool { load(1); sum(); return all[1].fractionInForce() > 0.06 })
	nodes[3].Close() // without a word; it goes on by what it was told for as long as that lasts
	testkit.Eventually(t, "the others to have what it leaves", func() bool {
		load(1)
		return sum() > 0.98 && all[3].fractionInForce() == 0.05 && all[0].fractionInForce() > 0.2
	})
	before := nodes[0].Malformed()
	(&delegate{nodes[0]}).NotifyMsg(encodeQuotaClaim(quota.Claim{From: quota.BorrowerID{Name: "stranger", Incarnation: 1}, Seq: 1}, nil))
	(&delegate{nodes[0]}).NotifyMsg(encodeQuotaClaim(quota.Claim{From: quota.BorrowerID{Name: "n80", Incarnation: 1}, Seq: 1}, nil))
	if nodes[0].Malformed() != before+2 {
		t.Errorf("%d bad messages counted, want 2", nodes[0].Malformed()-before)
	}
	nodes[0].Leave()
	if got := all[0].fractionInForce(); got != 0.05 {
		t.Errorf("after it said that it goes it acts by %.3f", got)
	}
}

// What the file says of budgets is checked, and nothing is shared without it.
func TestBudgetsAreChecked(t *testing.T) {
	with := func(budgets string) string {
		return strings.Replace(configJSON("f", testKey, 0, 1, 2), `"probe_ms":100`, `"probe_ms":100,`+budgets, 1)
	}
	for _, bad := range []string{`"voters":["n0"],"budgets":{"floor":-1}`, `"voters":["n0"],"budgets":{"floor":1.1}`, `"budgets":{"floor":0.5}`,
		`"voters":["n0"],"budgets":{"floor":0.5,"repeats_s":-1}`, `"voters":["n0"],"budgets":{"floors":0.5}`,
		`"voters":["n0"],"budgets":{"floor":0.5,"probes_per_replica_s":1e9}`} {
		if _, err := Parse([]byte(with(bad)), "n1"); err == nil || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v", bad, err)
		}
	}
	c, err := Parse([]byte(with(`"budgets":{"floor":1}`)), "n1")
	if err != nil || c.MinFraction() != 1.0/3 {
		t.Errorf("%v, %v", c, err)
	}
	if c, _ := Parse([]byte(with(`"voters":["n0"]`)), "n1"); c.MinFraction() != 0 {
		t.Error("a part without budgets")
	}
}

// Claims and loans survive the wire.
func TestShareMessages(t *testing.T) {
	voters := []string{"n0", "n1", "n2"}
	c := quota.Claim{From: quota.BorrowerID{Name: "n9", Incarnation: 1 << 60}, Seq: 7, Demand: 12.345, InForce: map[string]uint64{"n0": 5, "n2": 6}, Leaving: true}
	p := encodeQuotaClaim(c, voters)
	m, err := decodeMessage(p[1:], 0)
	got := m.quotaClaim(voters)
	if err != nil || p[0] != kindQuotaClaim || got.From != c.From || got.Seq != 7 || math.Abs(got.Demand-c.Demand) > 0.001 || !got.Leaving ||
		len(got.InForce) != 2 || got.InForce["n0"] != 5 || got.InForce["n2"] != 6 {
		t.Errorf("%+v, %v", got, err)
	}
	if short := m.quotaClaim(voters[:1]); len(short.InForce) != 1 {
		t.Errorf("with fewer voters: %+v", short)
	}
	p = encodeQuotaGrant(quota.Grant{To: c.From, Voter: "n1", Seq: 7, Fraction: 1.0 / 3})
	m, err = decodeMessage(p[1:], 0)
	if err != nil || p[0] != kindQuotaGrant || m.from != "n1" || m.incarnation != 1<<60 || m.fraction > 1.0/3 || m.fraction < 1.0/3-1e-9 {
		t.Errorf("%+v, %v", m, err)
	}
	if _, err := decodeMessage(appendPackedVarints(nil, fieldInForce, []uint64{1, 2, 3}), 0); err == nil {
		t.Error("an odd row of claims was taken")
	}
}
