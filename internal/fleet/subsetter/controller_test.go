package subsetter

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"rampspread/internal/dispatch"
	"rampspread/internal/fleet/membership"
	"rampspread/internal/fleet/subset"
	"rampspread/routing"
)

// testBench is a fleet and a dispatcher as a test sets them.
type testBench struct {
	view    FleetView
	subsets [][]string // that the dispatcher was passed
	full    bool       // the dispatcher takes nothing
}

func (b *testBench) newController() *Controller {
	zones := []string{"wien", "linz"}
	return NewController(subset.Limits{MinPrefillReplicas: 10}, "n3",
		func(zone string) int { return slices.Index(zones, zone) },
		[]routing.Role{routing.Prefill, routing.Decode},
		func() FleetView { return b.view },
		func(names []string) bool {
			if !b.full {
				b.subsets = append(b.subsets, names)
			}
			return !b.full
		})
}

func members(n int) (out []membership.Member) {
	for i := range n {
		info := membership.MemberInfo{Name: fmt.Sprint("n", i), Zone: []string{"wien", "linz"}[i%2]}
		out = append(out, membership.Member{MemberInfo: info, State: membership.Alive})
	}
	return out
}

func endpoints(cells int) (out []dispatch.Endpoint) {
	for c := range cells {
		for i := range 10 {
			out = append(out, dispatch.Endpoint{
				Name: fmt.Sprintf("%d-%d", c, i), Zone: c % 2, Cell: c, Kind: i % 2, State: routing.Ready, Weight: 1,
			})
		}
	}
	return out
}

// A new subset comes with a change of the list, of the members or of the own traffic, and only with one. Nothing changes on a
// view that may not be acted on, and what the dispatcher could not take is passed to it again.
func TestSubsetIsUpdatedOnlyWhenItsInputsChange(t *testing.T) {
	b := &testBench{view: FleetView{View: membership.View{Members: members(40)}, Now: time.Hour, TrafficFraction: 0.025}}
	c := b.newController()
	c.UpdateEndpoints(true, endpoints(40))
	expect := func(condition string, updates int) []string {
		t.Helper()
		c.update()
		if len(b.subsets) != updates {
			t.Fatalf("%s: %d subsets came, want %d", condition, len(b.subsets), updates)
		}
		if updates == 0 {
			return nil
		}
		return b.subsets[updates-1]
	}
	expect("a view that is not usable", 0)
	b.view.Usable = true
	first := expect("the first update", 1)
	if len(first) < 20 || len(first) > 60 || c.Status().Endpoints != 400 || c.Status().Members != 40 {
		t.Errorf("a subset of %d: %+v", len(first), c.Status())
	}
	expect("no change", 1)
	b.view.TrafficFraction = 0.027
	expect("a traffic fraction that is nearly the same", 1)
	b.view.TrafficFraction = 0.2
	if hot := expect("a traffic fraction that has grown", 2); len(hot) < 2*len(first) {
		t.Errorf("at 8 times the traffic the subset has %d replicas, before %d", len(hot), len(first))
	}
	b.view.TrafficFraction = 0.025
	expect("a traffic fraction that is as before", 3)
	b.view.View.Members = members(40)
	b.view.View.Members[7].State, b.view.View.Members[7].StateSince = membership.Unreachable, time.Hour-time.Second
	expect("a member that is gone for a moment", 3)
	b.view.Now += departedMemberGrace
	if after := expect("a member that is gone for long", 4); c.Status().Members != 39 || slices.Equal(after, nil) {
		t.Errorf("%+v", c.Status())
	}
	b.full = true
	c.UpdateEndpoints(false, []dispatch.Endpoint{
		{Name: first[0], State: routing.Gone},
		{Name: "unknown kind", Kind: 9, State: routing.Ready},
	})
	expect("a dispatcher that is full", 4)
	b.full = false
	without := expect("a dispatcher that is no longer full", 5)
	if slices.Contains(without, first[0]) || c.Status().Endpoints != 399 {
		t.Errorf("the subset still has %s: %+v", first[0], c.Status())
	}
	c.UpdateEndpoints(true, endpoints(2))
	if few := expect("few replicas", 6); few != nil {
		t.Errorf("a subset %v of 20", few)
	}
}
