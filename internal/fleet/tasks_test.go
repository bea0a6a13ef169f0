package fleet

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"rampspread/internal/fleet/lease"
	"rampspread/internal/fleet/quota"
	"rampspread/internal/fleet/tombstone"
	"rampspread/internal/testkit"
)

// taskLog is work that only notes who did what, under which lease.
type taskLog struct {
	mu         sync.Mutex
	names      []string
	executions []execution
	results    map[string]int
}

type execution struct {
	member, task string
	token        uint64
}

// loggingRunner is a member's share of the work.
type loggingRunner struct {
	*taskLog
	member string
}

func (p loggingRunner) Names() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.names)
}

func (p loggingRunner) Interval(string) time.Duration { return 50 * time.Millisecond }

func (p loggingRunner) Run(duty string, number uint64, done func([]byte)) {
	p.mu.Lock()
	p.executions = append(p.executions, execution{p.member, duty, number})
	p.mu.Unlock()
	done([]byte(p.member))
}

func (p loggingRunner) HandleResults(found []TaskResult) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, f := range found {
		p.results[p.member+" of "+f.Task]++
	}
}

// latestExecutors are who did each duty last, in the last n acts.
func (c *taskLog) latestExecutors() map[string]string {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := map[string]string{}
	for _, d := range c.executions {
		out[d.task] = d.member
	}
	return out
}

// leasedTasksOf is the node's component of leased tasks.
func leasedTasksOf(t *testing.T, n *Node) *leasedTasks {
	t.Helper()
	tasks, ok := componentOf[*leasedTasks](n)
	if !ok {
		t.Fatalf("%s has no leased tasks", n.self.Name)
	}
	return tasks
}

func startTaskNode(t *testing.T, c *taskLog, text string, host int) *Node {
	t.Helper()
	name := fmt.Sprint("n", host%100)
	cfg, err := Parse([]byte(text), name)
	if err != nil {
		t.Fatal(err)
	}
	n, err := Start(cfg, Self{Name: name, Version: "1", Seed: uint64(host), Tasks: loggingRunner{c, name},
		Facts: func() Facts { return Facts{Serving: true} }}, func(err error) { t.Error(err) })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { n.cancel(); <-n.done; n.gossip.Shutdown() })
	return n
}

// Duties are divided among the members, each is done by one at a time under a lease, all hear of what is found, and those
// of a member that dies are taken over. A minority does nothing.
func TestDutiesAreDividedAndTakenOver(t *testing.T) {
	text := strings.Replace(configJSON("f", testKey, 60, 61, 62, 63), `"probe_ms":100`, `"probe_ms":100,"term_ms":400,"voters":["n60","n61","n62"]`, 1)
	c := &taskLog{results: map[string]int{}}
	for i := range 12 {
		c.names = append(c.names, fmt.Sprint("duty", i))
	}
	var nodes []*Node
	for _, h := range []int{60, 61, 62, 63} {
		nodes = append(nodes, startTaskNode(t, c, text, h))
	}
	testkit.Eventually(t, "each member to do its part", func() bool {
		load := map[string]int{}
		for _, who := range c.latestExecutors() {
			load[who]++
		}
		return len(c.latestExecutors()) == 12 && len(load) == 4 && load["n60"] <= 3 && load["n61"] <= 3 && load["n62"] <= 3 && load["n63"] <= 3
	})
	testkit.Eventually(t, "all to hear of all", func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return len(c.results) == 4*12
	})
	if s, ok := nodes[1].TasksStatus(); !ok || len(s.Tasks) != 12 || s.Tasks[0].Owner == "" || s.Recovering {
		t.Errorf("%+v", s)
	}
	dead := nodes[3]
	dead.cancel()
	<-dead.done
	dead.gossip.Shutdown()
	testkit.Eventually(t, "its duties to be taken over", func() bool {
		return !slices.Contains(slices.Collect(maps.Values(c.latestExecutors())), "n63")
	})
	c.mu.Lock()
	numbers := map[string]uint64{}
	for _, d := range c.executions {
		if d.token < numbers[d.task] {
			t.Errorf("%s was done under lease %d by %s after lease %d", d.task, d.token, d.member, numbers[d.task])
		}
		numbers[d.task] = d.token
	}
	c.mu.Unlock()
	for _, n := range nodes[1:3] { // one voter of three is left
		n.cancel()
		<-n.done
		n.gossip.Shutdown()
	}
	held := func() int {
		s, _ := nodes[0].TasksStatus()
		n := 0
		for _, d := range s.Tasks {
			if d.Held {
				n++
			}
		}
		return n
	}
	testkit.Eventually(t, "the minority to hold nothing", func() bool { return held() == 0 })
	acts := leasedTasksOf(t, nodes[0]).executions.Load()
	for range 20 {
		time.Sleep(componentInterval)
		if held() > 0 {
			t.Fatal("a minority holds a duty")
		}
	}
	if now := leasedTasksOf(t, nodes[0]).executions.Load(); now != acts {
		t.Errorf("a minority acted %d times", now-acts)
	}
}

// The numbers of leases go on from what any member knows, though it has no duty and no vote, and all voters have just started: they
// hear of it while they may not vote yet. Else it would pass over all that is found.
func TestNumbersGoOnFromWhoeverKnows(t *testing.T) {
	text := strings.Replace(configJSON("f", testKey, 70, 71, 72, 73), `"probe_ms":100`, `"probe_ms":100,"term_ms":400,"voters":["n70","n71","n72"]`, 1)
	c := &taskLog{results: map[string]int{}, names: []string{"one"}}
	knows := startTaskNode(t, c, text, 73)
	tasks := leasedTasksOf(t, knows)
	tasks.mu.Lock()
	tasks.fence.Accept(knows.now(), lease.TaskOf("gone"), 50)
	tasks.mu.Unlock()
	tasks.observeToken(50)
	for _, h := range []int{70, 71, 72} {
		startTaskNode(t, c, text, h)
	}
	testkit.Eventually(t, "the duty to be done", func() bool { return len(c.latestExecutors()) == 1 })
	c.mu.Lock()
	defer c.mu.Unlock()
	if n := c.executions[0].token; n <= 50 {
		t.Errorf("it is done under lease %d, and 50 is known", n)
	}
}

// Requests, replies and results survive the wire, in as many packets as they need; garbage is an error or nothing.
func FuzzDecodeMessage(f *testing.F) {
	q := lease.Request{Seq: 9, From: lease.Candidate{Name: "n1", Incarnation: 5}}
	for i := range 100 {
		q.Claims = append(q.Claims, lease.Claim{Task: lease.Task(i) << 50, Token: uint64(i), Renew: i%3 == 0})
	}
	q.Releases = []lease.Claim{{Task: 7, Token: 8}}
	var claims, releases []lease.Claim
	packets := encodeLeaseRequest(q)
	for _, p := range packets {
		m, err := decodeMessage(p[1:], 0)
		if err != nil || m.seq != 9 || m.from != "n1" || m.incarnation != 5 || p[0] != kindLeaseRequest || len(p) > 1200 {
			f.Errorf("%+v, %v", m, err)
		}
		claims, releases = append(claims, m.claims...), append(releases, m.releases...)
	}
	if !slices.Equal(claims, q.Claims) || !slices.Equal(releases, q.Releases) {
		f.Errorf("%d claims and %d releases came", len(claims), len(releases))
	}
	r := lease.Reply{Seq: 9, Voter: "n2", Grants: []lease.Grant{{Task: 1 << 63, ClaimedToken: 4, Token: 5, Remaining: time.Second}, {Task: 2, ClaimedToken: 6, Token: 6, Granted: true}}}
	reply := encodeLeaseReply(r)
	if m, err := decodeMessage(reply[1:], 0); err != nil || m.from != "n2" || !slices.Equal(m.grants, r.Grants) {
		f.Errorf("%+v, %v", m, err)
	}
	var all []taskResult
	for i := range 200 {
		all = append(all, taskResult{lease.Task(i), uint64(i), time.Second, []byte("0123456789abcdef")})
	}
	var got []taskResult
	var seeds []string
	for rest := all; len(rest) > 0; {
		var p []byte
		p, rest = encodeTaskResults(3*time.Second, rest)
		seeds = append(seeds, string(p[1:]))
		m, err := decodeMessage(p[1:], 10*time.Second)
		if err != nil || len(p) > maxResultsPacketBytes+64 {
			f.Errorf("%d bytes, %v", len(p), err)
		}
		got = append(got, m.results...)
	}
	if len(got) != len(all) || got[199].task != 199 || got[0].at != 8*time.Second || string(got[5].data) != "0123456789abcdef" {
		f.Errorf("%d results came, the first as %+v", len(got), got[0])
	}
	claim := encodeQuotaClaim(quota.Claim{From: quota.BorrowerID{Name: "n1", Incarnation: 2}, Seq: 3, Demand: 4, InForce: map[string]uint64{"n1": 2}}, []string{"n1"})
	list := encodeEndpointDigest("n3", tombstone.Digest{Version: 1 << 60, Ready: []uint64{1, 1 << 63}, Draining: []uint64{7}})
	if m, err := decodeMessage(list[1:], 0); err != nil || m.from != "n3" || m.seq != 1<<60 || !slices.Equal(m.ready, []uint64{1, 1 << 63}) || !slices.Equal(m.draining, []uint64{7}) {
		f.Errorf("%+v, %v", m, err)
	}
	if _, err := decodeMessage(encodeEndpointDigest("n3", tombstone.Digest{Version: 1, Ready: make([]uint64, tombstone.MaxReplicas+1)})[1:], 0); err == nil {
		f.Error("a list without bound was read")
	}
	for _, s := range testkit.Broken(8, string(packets[0][1:]), string(reply[1:]), seeds[0], string(claim[1:]), string(list[1:])) {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := decodeMessage(b, time.Second)
		for _, r := range m.results {
			if err == nil && (len(r.data) > maxResultBytes || r.at > time.Second) {
				t.Errorf("%q was taken as %+v", b, m)
			}
		}
	})
}
