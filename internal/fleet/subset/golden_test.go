package subset

import (
	"fmt"
	"testing"

	"rampspread/internal/testutil/golden"
)

// Each dispatcher computes the subsets on its own, so the subsets are even only if all versions of the program compute
// the same result.
func TestGoldenShares(t *testing.T) {
	text := fmt.Appendf(nil, "score %016x, offset %.17g\n", score("n1", "0/0/0"), roundingOffset("0/0/0"))
	lone := Replica{Name: "lone", Zone: 1, Cell: 99, CanPrefill: true, Weight: 1}
	var uneven []Replica
	for i, r := range newCells(12, 3) {
		r.Weight = 1 + float64(i%5)/4
		uneven = append(uneven, r)
	}
	for _, c := range []struct {
		name        string
		replicas    []Replica
		dispatchers []Dispatcher
	}{
		{"even", newCells(12, 3), newDispatchers(9, 3)},
		{"uneven weights", uneven, newDispatchers(7, 2)},
		{"cells without writers", append(newCells(12, 4), lone), newDispatchers(8, 4)},
	} {
		assignment := Assign(c.replicas, c.dispatchers, Limits{MinPrefillReplicas: 8})
		if assignment == nil {
			t.Fatalf("%s: no subsets", c.name)
		}
		for _, d := range c.dispatchers {
			for _, fraction := range []float64{0, 0.4} {
				names, err := assignment.ReplicasOf(d.Name, fraction)
				if err != nil {
					t.Fatal(err)
				}
				text = fmt.Appendf(text, "%s, %s with part %v: %v\n", c.name, d.Name, fraction, names)
			}
		}
	}
	golden.Text(t, "shares.txt", text)
}
