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
	"rampspread/internal/testutil"
)

// taskLog records which member ran which task under which lease, and who received results.
type taskLog struct {
	mu         sync.Mutex
	names      []string
	executions []execution
	results    map[string]int // "MEMBER of TASK" -> count
}

type execution struct {
	member, task string
	token        uint64
}

// loggingRunner is a TaskRunner of one member that only records.
type loggingRunner struct {
	*taskLog
	member string
}

func (r loggingRunner) Names() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.names)
}

func (r loggingRunner) Interval(string) time.Duration { return 50 * time.Millisecond }

func (r loggingRunner) Run(task string, token uint64, done func([]byte)) {
	r.mu.Lock()
	r.executions = append(r.executions, execution{r.member, task, token})
	r.mu.Unlock()
	done([]byte(r.member))
}

func (r loggingRunner) HandleResults(results []TaskResult) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, f := range results {
		r.results[r.member+" of "+f.Task]++
	}
}

// latestExecutors are the members that ran each task last.
func (l *taskLog) latestExecutors() map[string]string {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := map[string]string{}
	for _, e := range l.executions {
		out[e.task] = e.member
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

// tasksConfigJSON is the configuration of a fleet of four members, of which the first three are voters.
func tasksConfigJSON(hosts ...int) string {
	voters := fmt.Sprintf(`"voters":[%q,%q,%q]`, hostName(hosts[0]), hostName(hosts[1]), hostName(hosts[2]))
	text := configJSON("f", testKey, hosts...)
	return strings.Replace(text, `"probe_ms":100`, `"probe_ms":100,"term_ms":400,`+voters, 1)
}

// startTaskNode starts the member of that host with the tasks of the log.
func startTaskNode(t *testing.T, c *taskLog, text string, host int) *Node {
	t.Helper()
	name := hostName(host)
	cfg, err := Parse([]byte(text), name)
	if err != nil {
		t.Fatal(err)
	}
	n, err := Start(cfg, Options{Name: name, Version: "1", Seed: uint64(host), Tasks: loggingRunner{c, name},
		LocalState: func() LocalState { return LocalState{Serving: true} }}, func(err error) { t.Error(err) })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { crash(n) })
	return n
}

// Tasks are divided among the members, each runs at one member at a time under a lease, all receive the results, and
// the tasks of a member that crashes are taken over. A minority runs nothing.
func TestTasksAreDividedAndTakenOver(t *testing.T) {
	text := tasksConfigJSON(60, 61, 62, 63)
	c := &taskLog{results: map[string]int{}}
	for i := range 12 {
		c.names = append(c.names, fmt.Sprint("task", i))
	}
	var nodes []*Node
	for _, h := range []int{60, 61, 62, 63} {
		nodes = append(nodes, startTaskNode(t, c, text, h))
	}
	testutil.Eventually(t, "each member to run its part", func() bool {
		load := map[string]int{}
		for _, who := range c.latestExecutors() {
			load[who]++
		}
		return len(c.latestExecutors()) == 12 && len(load) == 4 &&
			load["n60"] <= 3 && load["n61"] <= 3 && load["n62"] <= 3 && load["n63"] <= 3
	})
	testutil.Eventually(t, "all to receive the results of all", func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return len(c.results) == 4*12
	})
	if s, ok := nodes[1].TasksStatus(); !ok || len(s.Tasks) != 12 || s.Tasks[0].Owner == "" || s.Recovering {
		t.Errorf("%+v", s)
	}
	crash(nodes[3])
	testutil.Eventually(t, "its tasks to be taken over", func() bool {
		return !slices.Contains(slices.Collect(maps.Values(c.latestExecutors())), "n63")
	})
	c.mu.Lock()
	tokens := map[string]uint64{}
	for _, d := range c.executions {
		if d.token < tokens[d.task] {
			t.Errorf("%s ran under lease %d at %s after lease %d", d.task, d.token, d.member, tokens[d.task])
		}
		tokens[d.task] = d.token
	}
	c.mu.Unlock()
	for _, n := range nodes[1:3] { // one voter of three remains
		crash(n)
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
	testutil.Eventually(t, "the minority to hold nothing", func() bool { return held() == 0 })
	executions := leasedTasksOf(t, nodes[0]).executions.Load()
	for range 20 {
		time.Sleep(componentInterval) // that nothing is held for twenty intervals is what is tested
		if held() > 0 {
			t.Fatal("a minority holds a lease")
		}
	}
	if now := leasedTasksOf(t, nodes[0]).executions.Load(); now != executions {
		t.Errorf("a minority ran tasks %d times", now-executions)
	}
}

// Fencing tokens go on from the highest that any member knows, even if it holds no lease, has no vote, and all voters
// have just started: they learn the token while they are recovering. Otherwise that member would ignore all results.
func TestTokensGoOnFromAnyMemberThatKnowsThem(t *testing.T) {
	text := tasksConfigJSON(70, 71, 72, 73)
	c := &taskLog{results: map[string]int{}, names: []string{"one"}}
	knowing := startTaskNode(t, c, text, 73)
	tasks := leasedTasksOf(t, knowing)
	tasks.mu.Lock()
	tasks.fence.Accept(knowing.now(), lease.TaskOf("gone"), 50)
	tasks.mu.Unlock()
	tasks.observeToken(50)
	for _, h := range []int{70, 71, 72} {
		startTaskNode(t, c, text, h)
	}
	testutil.Eventually(t, "the task to run", func() bool { return len(c.latestExecutors()) == 1 })
	c.mu.Lock()
	defer c.mu.Unlock()
	if n := c.executions[0].token; n <= 50 {
		t.Errorf("it ran under lease %d, and 50 is known", n)
	}
}
