package lease

import (
	"fmt"
	"testing"

	"rampspread/internal/testkit/golden"
)

// Members name duties by their hash and each works out alone whose a duty is, so all versions must come to the same.
func TestGoldenAssignment(t *testing.T) {
	var duties []Task
	var text []byte
	for i := range 12 {
		name := fmt.Sprintf("probe/s-%d", i)
		duties = append(duties, TaskOf(name))
		text = fmt.Appendf(text, "%s is %016x, n1 scores %016x\n", name, uint64(TaskOf(name)), Score(TaskOf(name), "n1"))
	}
	for _, members := range [][]string{{"n1"}, {"n3", "n1", "n2"}, {"n1", "n2", "n3", "n4", "n5", "n6", "n7"}} {
		assigned := Assign(duties, members)
		for _, d := range duties {
			text = fmt.Appendf(text, "of %d members: %016x owner %q standby %q\n", len(members), uint64(d), assigned.Owner[d], assigned.Standby[d])
		}
	}
	golden.Text(t, "assignment.txt", text)
}
