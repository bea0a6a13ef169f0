package lease

import (
	"fmt"
	"testing"

	"rampspread/internal/testutil/golden"
)

// Members identify tasks by the hashes of their names, and each member computes the assignment on its own. So all
// versions of the program must compute the same hashes, scores and assignment.
func TestGoldenAssignment(t *testing.T) {
	var tasks []Task
	var text []byte
	for i := range 12 {
		name := fmt.Sprintf("probe/s-%d", i)
		tasks = append(tasks, TaskOf(name))
		text = fmt.Appendf(text, "%s is %016x, n1 scores %016x\n", name, uint64(TaskOf(name)), Score(TaskOf(name), "n1"))
	}
	for _, members := range [][]string{{"n1"}, {"n3", "n1", "n2"}, {"n1", "n2", "n3", "n4", "n5", "n6", "n7"}} {
		assigned := Assign(tasks, members)
		for _, task := range tasks {
			text = fmt.Appendf(text, "of %d members: %016x owner %q standby %q\n", len(members), uint64(task),
				assigned.Owner[task], assigned.Standby[task])
		}
	}
	golden.Text(t, "assignment.txt", text)
}
