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

// fakeQuotaUser applies quota shares as the core of a process does.
type fakeQuotaUser struct {
	accepted  atomic.Int64
	rejecting atomic.Bool // whether it rejects shares, as a core with a full queue does

	mu          sync.Mutex
	fraction    float64
	until       time.Time
	minFraction float64
}

func (u *fakeQuotaUser) Accepted() int64 { return u.accepted.Load() }

func (u *fakeQuotaUser) SetQuotaShare(fraction float64, remaining time.Duration, applied func()) bool {
	if u.rejecting.Load() {
		return false
	}
	u.mu.Lock()
	u.fraction, u.until = fraction, time.Now().Add(remaining)
	u.mu.Unlock()
	go applied()
	return true
}

func (u *fakeQuotaUser) fractionInForce() float64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	if time.Now().Before(u.until) {
		return u.fraction
	}
	return u.minFraction
}

// startQuotaNode starts the member on a host with the given quota user.
func startQuotaNode(t *testing.T, text string, host int, user *fakeQuotaUser) *Node {
	t.Helper()
	cfg, err := Parse([]byte(text), memberName(host))
	if err != nil {
		t.Fatal(err)
	}
	user.minFraction = cfg.MinFraction()
	n, err := Start(cfg, Options{Name: memberName(host), Version: "1", Seed: uint64(host), Quota: user,
		LocalState: func() LocalState { return LocalState{Serving: true} }}, func(err error) { t.Error(err) })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(n.Close)
	return n
}

// Members divide the whole budget by their traffic, never exceed it, and take over the share of a crashed member except
// for its minimum. A member whose core rejects its share uses the minimum and does not reduce the other members'
// shares.
func TestQuotaIsSharedByTrafficAndNeverExceeded(t *testing.T) {
	text := strings.Replace(configJSON("f", testKey, 80, 81, 82, 83), `"probe_ms":100`,
		`"probe_ms":100,"term_ms":600,"voters":["n80","n81","n82"],"budgets":{"floor":0.2}`, 1)
	users := make([]*fakeQuotaUser, 4)
	nodes := make([]*Node, 4)
	for i := range users {
		users[i] = &fakeQuotaUser{}
		nodes[i] = startQuotaNode(t, text, 80+i, users[i])
	}
	sum := func() (sum float64) {
		for _, user := range users {
			sum += user.fractionInForce()
		}
		if sum > 1+1e-9 {
			t.Fatalf("%.4f of the whole budget is in force", sum)
		}
		return sum
	}
	addTraffic := func(n int64) { // the last member has three times the traffic of the others together
		for i, user := range users {
			user.accepted.Add(n)
			if i == 3 {
				user.accepted.Add(8 * n)
			}
		}
	}
	testutil.Eventually(t, "the whole budget to be in force, divided by traffic", func() bool {
		addTraffic(1)
		least := min(users[0].fractionInForce(), users[1].fractionInForce(), users[2].fractionInForce())
		return sum() > 0.98 && users[3].fractionInForce() > 0.5 && least > 0.05
	})
	users[1].rejecting.Store(true)
	testutil.Eventually(t, "the member that rejects its share to have the minimum", func() bool {
		addTraffic(1)
		return sum() < 1 && users[1].fractionInForce() == 0.05
	})
	if s, ok := nodes[1].QuotaStatus(); !ok || s.Dropped == 0 || !s.IsVoter {
		t.Errorf("%+v", s)
	}
	users[1].rejecting.Store(false)
	testutil.Eventually(t, "the member that rejected its share to have one again", func() bool {
		addTraffic(1)
		sum()
		return users[1].fractionInForce() > 0.06
	})
	nodes[3].Close() // without a leave notice; its share stays in force for its term
	testutil.Eventually(t, "the other members to take over the crashed member's share", func() bool {
		addTraffic(1)
		return sum() > 0.98 && users[3].fractionInForce() == 0.05 && users[0].fractionInForce() > 0.2
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
	if got := users[0].fractionInForce(); got != 0.05 {
		t.Errorf("a fraction of %.3f is in force after the member has left, want the minimum", got)
	}
}
