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

// stand is a fleet and a core that a test sets.
type stand struct {
	fleet FleetView
	got   [][]string
	full  bool
}

func (s *stand) keeper() *Controller {
	return New(subset.Limits{MinPrefillReplicas: 10}, "n3", func(zone string) int { return slices.Index([]string{"wien", "linz"}, zone) }, []routing.Role{routing.Prefill, routing.Decode},
		func() FleetView { return s.fleet }, func(names []string) bool {
			if !s.full {
				s.got = append(s.got, names)
			}
			return !s.full
		})
}

func members(n int) (out []membership.Member) {
	for i := range n {
		out = append(out, membership.Member{MemberInfo: membership.MemberInfo{Name: fmt.Sprint("n", i), Zone: []string{"wien", "linz"}[i%2]}, State: membership.Alive})
	}
	return out
}

func listings(cells int) (out []dispatch.Endpoint) {
	for c := range cells {
		for i := range 10 {
			out = append(out, dispatch.Endpoint{Name: fmt.Sprintf("%d-%d", c, i), Zone: c % 2, Cell: c, Kind: i % 2, State: routing.Ready, Weight: 1})
		}
	}
	return out
}

// A new subset comes with a change of the list, of the members or of the own part, and only with one; nothing is done on a view
// that may not be acted on, and what the core had no room for comes again.
func TestKeeper(t *testing.T) {
	s := &stand{fleet: FleetView{View: membership.View{Members: members(40)}, Now: time.Hour, TrafficFraction: 0.025}}
	k := s.keeper()
	k.UpdateEndpoints(true, listings(40))
	expect := func(what string, times int) []string {
		t.Helper()
		k.look()
		if len(s.got) != times {
			t.Fatalf("%s: %d subsets came, want %d", what, len(s.got), times)
		}
		if times == 0 {
			return nil
		}
		return s.got[times-1]
	}
	expect("an old view", 0)
	s.fleet.Usable = true
	first := expect("the first look", 1)
	if len(first) < 20 || len(first) > 60 || k.Status().Endpoints != 400 || k.Status().Members != 40 {
		t.Errorf("kept to %d: %+v", len(first), k.Status())
	}
	expect("no change", 1)
	s.fleet.TrafficFraction = 0.027
	expect("a part that is nearly the same", 1)
	s.fleet.TrafficFraction = 0.2
	if hot := expect("a part that has grown", 2); len(hot) < 2*len(first) {
		t.Errorf("at 8 times the traffic it keeps to %d of %d", len(hot), len(first))
	}
	s.fleet.TrafficFraction = 0.025
	expect("a part that is as before", 3)
	// One that is gone keeps its place for a while.
	s.fleet.View.Members = members(40)
	s.fleet.View.Members[7].State, s.fleet.View.Members[7].Since = membership.Unreachable, time.Hour-time.Second
	expect("a member that is gone for a moment", 3)
	s.fleet.Now += hold
	if after := expect("a member that is gone for long", 4); k.Status().Members != 39 || slices.Equal(after, nil) {
		t.Errorf("%+v", k.Status())
	}
	s.full = true
	k.UpdateEndpoints(false, []dispatch.Endpoint{{Name: first[0], State: routing.Gone}, {Name: "odd", Kind: 9, State: routing.Ready}})
	expect("a core without room", 4)
	s.full = false
	if without := expect("the core with room again", 5); slices.Contains(without, first[0]) || k.Status().Endpoints != 399 {
		t.Errorf("still kept to %s: %+v", first[0], k.Status())
	}
	k.UpdateEndpoints(true, listings(2))
	if few := expect("few replicas", 6); few != nil {
		t.Errorf("kept to %v of 20", few)
	}
}
