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

// taskRecorder records which member ran which task under which lease, and which members received results.
type taskRecorder struct {
	mu         sync.Mutex
	names      []string
	executions []execution
	results    map[string]int // "MEMBER of TASK" -> number of results of the task that the member received
}

type execution struct {
	member, task string
	token        uint64
}

// recordingRunner is the TaskRunner of one member. It only records runs and results.
type recordingRunner struct {
	*taskRecorder
	member string
}

func (r recordingRunner) Names() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.names)
}

func (r recordingRunner) Interval(string) time.Duration { return 50 * time.Millisecond }

func (r recordingRunner) Run(task string, token uint64, done func([]byte)) {
	r.mu.Lock()
	r.executions = append(r.executions, execution{r.member, task, token})
	r.mu.Unlock()
	done([]byte(r.member))
}

func (r recordingRunner) HandleResults(results []TaskResult) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, result := range results {
		r.results[r.member+" of "+result.Task]++
	}
}

// latestExecutors returns the member that ran each task last.
func (r *taskRecorder) latestExecutors() map[string]string {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := map[string]string{}
	for _, e := range r.executions {
		out[e.task] = e.member
	}
	return out
}

// leasedTasksOf returns the leasedTasks component of a node.
func leasedTasksOf(t *testing.T, n *Node) *leasedTasks {
	t.Helper()
	tasks, ok := componentOf[*leasedTasks](n)
	if !ok {
		t.Fatalf("%s has no leased tasks", n.self.Name)
	}
	return tasks
}

// tasksConfigJSON returns the configuration of a fleet with one member on each of the hosts. The first three are
// voters.
func tasksConfigJSON(hosts ...int) string {
	voters := fmt.Sprintf(`"voters":[%q,%q,%q]`, memberName(hosts[0]), memberName(hosts[1]), memberName(hosts[2]))
	text := configJSON("f", testKey, hosts...)
	return strings.Replace(text, `"probe_ms":100`, `"probe_ms":100,"term_ms":400,`+voters, 1)
}

// startTaskNode starts the member on a host with the tasks of the recorder.
func startTaskNode(t *testing.T, recorder *taskRecorder, text string, host int) *Node {
	t.Helper()
	name := memberName(host)
	cfg, err := Parse([]byte(text), name)
	if err != nil {
		t.Fatal(err)
	}
	n, err := Start(cfg, Options{Name: name, Version: "1", Seed: uint64(host), Tasks: recordingRunner{recorder, name},
		LocalState: func() LocalState { return LocalState{Serving: true} }}, func(err error) { t.Error(err) })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { crash(n) })
	return n
}

// Tasks are divided among the members, and each task runs at one member at a time under a lease. All members receive
// the results, and other members take over the tasks of a member that crashes. A member that reaches only a minority of
// the voters must run nothing.
func TestTasksAreDividedAndTakenOver(t *testing.T) {
	text := tasksConfigJSON(60, 61, 62, 63)
	recorder := &taskRecorder{results: map[string]int{}}
	for i := range 12 {
		recorder.names = append(recorder.names, fmt.Sprint("task", i))
	}
	var nodes []*Node
	for _, h := range []int{60, 61, 62, 63} {
		nodes = append(nodes, startTaskNode(t, recorder, text, h))
	}
	testutil.Eventually(t, "each member to run a quarter of the tasks", func() bool {
		tasksByMember := map[string]int{}
		for _, executor := range recorder.latestExecutors() {
			tasksByMember[executor]++
		}
		return len(recorder.latestExecutors()) == 12 && len(tasksByMember) == 4 &&
			tasksByMember["n60"] <= 3 && tasksByMember["n61"] <= 3 && tasksByMember["n62"] <= 3 && tasksByMember["n63"] <= 3
	})
	testutil.Eventually(t, "all members to receive the results of all tasks", func() bool {
		recorder.mu.Lock()
		defer recorder.mu.Unlock()
		return len(recorder.results) == 4*12
	})
	if s, ok := nodes[1].TasksStatus(); !ok || len(s.Tasks) != 12 || s.Tasks[0].Owner == "" || s.Recovering {
		t.Errorf("%+v", s)
	}
	crash(nodes[3])
	testutil.Eventually(t, "the tasks of the crashed member to be taken over", func() bool {
		return !slices.Contains(slices.Collect(maps.Values(recorder.latestExecutors())), "n63")
	})
	recorder.mu.Lock()
	tokens := map[string]uint64{}
	for _, d := range recorder.executions {
		if d.token < tokens[d.task] {
			t.Errorf("%s ran under lease %d at %s after lease %d", d.task, d.token, d.member, tokens[d.task])
		}
		tokens[d.task] = d.token
	}
	recorder.mu.Unlock()
	for _, n := range nodes[1:3] { // one voter of three remains
		crash(n)
	}
	countHeldLeases := func() int {
		s, _ := nodes[0].TasksStatus()
		n := 0
		for _, d := range s.Tasks {
			if d.Held {
				n++
			}
		}
		return n
	}
	testutil.Eventually(t, "the minority to hold no lease", func() bool { return countHeldLeases() == 0 })
	executions := leasedTasksOf(t, nodes[0]).executions.Load()
	for range 20 {
		time.Sleep(componentInterval) // the minority must hold no lease for twenty intervals
		if countHeldLeases() > 0 {
			t.Fatal("a minority holds a lease")
		}
	}
	if now := leasedTasksOf(t, nodes[0]).executions.Load(); now != executions {
		t.Errorf("a minority ran tasks %d times", now-executions)
	}
}

// New fencing tokens must be higher than the highest that any member has seen, even if that member holds no lease and
// is not a voter, and all voters have just started. The voters receive its token while they are recovering. With lower
// tokens that member would reject all results.
func TestTokensGoOnFromAnyMemberThatKnowsThem(t *testing.T) {
	text := tasksConfigJSON(70, 71, 72, 73)
	recorder := &taskRecorder{results: map[string]int{}, names: []string{"one"}}
	nodeWithToken := startTaskNode(t, recorder, text, 73)
	tasks := leasedTasksOf(t, nodeWithToken)
	tasks.mu.Lock()
	tasks.fence.Accept(nodeWithToken.now(), lease.TaskOf("gone"), 50)
	tasks.mu.Unlock()
	tasks.observeToken(50)
	for _, h := range []int{70, 71, 72} {
		startTaskNode(t, recorder, text, h)
	}
	testutil.Eventually(t, "the task to run", func() bool { return len(recorder.latestExecutors()) == 1 })
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	if n := recorder.executions[0].token; n <= 50 {
		t.Errorf("the task ran under token %d, want one over 50, which a member has seen", n)
	}
}
