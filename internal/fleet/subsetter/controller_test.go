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

// fakeFleet provides the view of the fleet, and receives the subsets in place of the dispatcher.
type fakeFleet struct {
	view    FleetView
	subsets [][]string // subsets that were passed to the dispatcher
	full    bool       // whether the dispatcher accepts no subsets
}

func (f *fakeFleet) newController() *Controller {
	zones := []string{"wien", "linz"}
	return NewController(subset.Limits{MinPrefillReplicas: 10}, "n3",
		func(zone string) int { return slices.Index(zones, zone) },
		[]routing.Role{routing.Prefill, routing.Decode},
		func() FleetView { return f.view },
		func(names []string) bool {
			if !f.full {
				f.subsets = append(f.subsets, names)
			}
			return !f.full
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

// A new subset is passed to the dispatcher only when the endpoint list, the members or this member's traffic fraction
// change. Nothing changes while the view must not be acted on, and a subset that the dispatcher could not accept is
// passed to it again.
func TestSubsetIsUpdatedOnlyWhenItsInputsChange(t *testing.T) {
	f := &fakeFleet{view: FleetView{View: membership.View{Members: members(40)}, Now: time.Hour, TrafficFraction: 0.025}}
	c := f.newController()
	c.UpdateEndpoints(true, endpoints(40))
	expect := func(condition string, updates int) []string {
		t.Helper()
		c.update()
		if len(f.subsets) != updates {
			t.Fatalf("%s: %d subsets were passed to the dispatcher, want %d", condition, len(f.subsets), updates)
		}
		if updates == 0 {
			return nil
		}
		return f.subsets[updates-1]
	}
	expect("a view that is not usable", 0)
	f.view.Usable = true
	first := expect("the first update", 1)
	if len(first) < 20 || len(first) > 60 || c.Status().Endpoints != 400 || c.Status().Members != 40 {
		t.Errorf("a subset of %d: %+v", len(first), c.Status())
	}
	expect("no change", 1)
	f.view.TrafficFraction = 0.027
	expect("a traffic fraction that is nearly the same", 1)
	f.view.TrafficFraction = 0.2
	if hot := expect("a traffic fraction that has grown", 2); len(hot) < 2*len(first) {
		t.Errorf("at 8 times the traffic the subset has %d replicas, before %d", len(hot), len(first))
	}
	f.view.TrafficFraction = 0.025
	expect("a traffic fraction that is as before", 3)
	f.view.View.Members = members(40)
	f.view.View.Members[7].State, f.view.View.Members[7].StateSince = membership.Unreachable, time.Hour-time.Second
	expect("a member that is gone for a moment", 3)
	f.view.Now += departedMemberGrace
	if after := expect("a member that is gone for long", 4); c.Status().Members != 39 || slices.Equal(after, nil) {
		t.Errorf("%+v", c.Status())
	}
	f.full = true
	c.UpdateEndpoints(false, []dispatch.Endpoint{
		{Name: first[0], State: routing.Gone},
		{Name: "unknown kind", Kind: 9, State: routing.Ready},
	})
	expect("a dispatcher that is full", 4)
	f.full = false
	without := expect("a dispatcher that is no longer full", 5)
	if slices.Contains(without, first[0]) || c.Status().Endpoints != 399 {
		t.Errorf("the subset still has %s: %+v", first[0], c.Status())
	}
	c.UpdateEndpoints(true, endpoints(2))
	if few := expect("few replicas", 6); few != nil {
		t.Errorf("a subset %v of 20", few)
	}
}
