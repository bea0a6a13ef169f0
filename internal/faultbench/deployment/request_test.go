package deployment

import (
	"slices"
	"testing"

	"rampspread/internal/faultbench/scenario"
)

// The same seed must draw the same requests, another seed other ones, and their rate must be about the scenario's rate.
func TestDrawIsSeeded(t *testing.T) {
	s, err := scenario.Load("calm")
	if err != nil {
		t.Fatal(err)
	}
	a, b, c := DrawRequests(s, defaultClasses, 1), DrawRequests(s, defaultClasses, 1), DrawRequests(s, defaultClasses, 2)
	same := func(x, y *Request) bool {
		return *x.Class == *y.Class && x.Group == y.Group && x.ArrivesAt == y.ArrivesAt && x.PromptTokens == y.PromptTokens
	}
	if len(a) == 0 || !slices.EqualFunc(a, b, same) || slices.EqualFunc(a, c, same) {
		t.Errorf("%d, %d and %d requests", len(a), len(b), len(c))
	}
	if rate := float64(len(a)) / s.Seconds; rate < s.Rate/2 || rate > s.Rate*1.5 {
		t.Errorf("%.1f requests a second, wanted about %v", rate, s.Rate)
	}
}
