package lease

import (
	"fmt"
	"testing"
)

// With at least 10 tasks per member, no member owns more than 1.25 times the mean, or one task more than the mean. A
// member that joins moves its own tasks and at most 4% of the others.
func TestAssignmentIsBalancedAndStable(t *testing.T) {
	var tasks []Task
	for i := range 600 {
		tasks = append(tasks, TaskOf(fmt.Sprint("probe/s-", i)))
	}
	var members []string
	before := Assign(tasks, nil)
	for n := 1; n <= 60; n++ {
		members = append(members, fmt.Sprint("n", n))
		a := Assign(tasks, members)
		load, moved := map[string]int{}, 0
		for _, task := range tasks {
			load[a.Owner[task]]++
			if n > 1 && (a.Owner[task] == "" || a.Owner[task] == a.Standby[task] || a.Standby[task] == "") {
				t.Fatalf("%d members: task %d has the owner %q and the standby %q", n, task, a.Owner[task], a.Standby[task])
			}
			if a.Owner[task] != before.Owner[task] {
				moved++
			}
		}
		mean := float64(len(tasks)) / float64(n)
		for m, l := range load {
			if mean >= 10 && float64(l) > max(maxLoadFactor*mean, mean+1) {
				t.Errorf("%d members: %s owns %d, the mean is %.1f", n, m, l, mean)
			}
		}
		// The tasks of the new member must move. Where the load bound changes, some other tasks move too: tasks that a
		// member at the bound could not own.
		if n > 1 && float64(moved) > mean+0.04*float64(len(tasks))+2 {
			t.Errorf("adding member %d moved %d tasks; its own are %.1f", n, moved, mean)
		}
		before = a
	}
}

// Members with the same tasks and the same view compute the same assignment, whatever the order of their lists.
func TestAssignmentIsIndependentOfOrder(t *testing.T) {
	a := Assign([]Task{3, 1, 2}, []string{"b", "a", "c"})
	b := Assign([]Task{2, 3, 1}, []string{"c", "b", "a"})
	for _, task := range []Task{1, 2, 3} {
		if a.Owner[task] != b.Owner[task] || a.Standby[task] != b.Standby[task] || a.Owner[task] == "" {
			t.Errorf("task %d has the owners %s and %s", task, a.Owner[task], b.Owner[task])
		}
	}
}
