package subset

import (
	"fmt"
	"testing"

	"rampspread/internal/testkit/golden"
)

// Dispatchers work out alone who keeps to what, and it is even only if all versions come to the same.
func TestGoldenShares(t *testing.T) {
	text := fmt.Appendf(nil, "score %016x, offset %.17g\n", score("n1", "0/0/0"), roundingOffset("0/0/0"))
	var uneven []Replica
	for i, r := range list(12, 3) {
		r.Weight = 1 + float64(i%5)/4
		uneven = append(uneven, r)
	}
	for _, c := range []struct {
		name     string
		replicas []Replica
		fleet    []Dispatcher
	}{
		{"even", list(12, 3), fleet(9, 3)},
		{"uneven weights", uneven, fleet(7, 2)},
		{"cells without writers", append(list(12, 4), Replica{Name: "lone", Zone: 1, Cell: 99, CanPrefill: true, Weight: 1}), fleet(8, 4)},
	} {
		shares := Assign(c.replicas, c.fleet, Limits{MinPrefillReplicas: 8})
		if shares == nil {
			t.Fatalf("%s: nothing is shared", c.name)
		}
		for _, d := range c.fleet {
			for _, part := range []float64{0, 0.4} {
				kept, err := shares.Of(d.Name, part)
				if err != nil {
					t.Fatal(err)
				}
				text = fmt.Appendf(text, "%s, %s with part %v: %v\n", c.name, d.Name, part, kept)
			}
		}
	}
	golden.Text(t, "shares.txt", text)
}
