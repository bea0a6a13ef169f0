// Package subset computes deterministic subsets: which replicas a dispatcher polls, keeps connections to, and routes to
// while enough of them are healthy. The result depends only on the endpoint list and the members of the fleet, so
// processes with the same inputs agree without communicating. The package does no I/O, has no clock and keeps no state;
// all of its functions are safe for concurrent use, and so is an Assignment.
//
// Replicas are assigned in units that stay whole: a cell, or a part of a large cell, with prefill replicas and the
// decode replicas that take over their prefill results. The number of dispatchers of each unit is proportional to the
// unit's weight, to within one: capacities are rounded to whole numbers that add up, and dispatchers and units are
// matched by their rendezvous scores, the highest first (a greedy b-matching, which is stable in the sense of Gale and
// Shapley because both sides rank a pair alike). Most of a dispatcher's units are in its own zone. Some are in other
// zones, so that the dispatcher still has replicas if its zone is lost.
package subset

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"slices"
)

// Replica is a replica on the endpoint list.
type Replica struct {
	Name       string
	Zone       int
	Cell       int
	CanPrefill bool
	CanDecode  bool
	Weight     float64
}

// Dispatcher is a member of the fleet to which replicas are assigned.
type Dispatcher struct {
	Name string
	Zone int
}

// MinPrefillReplicasLowerBound is the lowest valid value of Limits.MinPrefillReplicas. Fewer replicas leave a
// dispatcher too little choice.
const MinPrefillReplicasLowerBound = 4

// minPrefillReplicasUpperBound is the highest valid value of Limits.MinPrefillReplicas, which is larger than any
// endpoint list.
const minPrefillReplicasUpperBound = 1 << 16

// Limits sets the minimum size of a subset.
type Limits struct {
	// MinPrefillReplicas is the minimum number of prefill replicas in a subset, from MinPrefillReplicasLowerBound to
	// 65,536. The subset also has the decode replicas of their units.
	MinPrefillReplicas int
}

// Validate returns an error if a limit is out of range.
func (l Limits) Validate() error {
	if l.MinPrefillReplicas < MinPrefillReplicasLowerBound || l.MinPrefillReplicas > minPrefillReplicasUpperBound {
		return fmt.Errorf("subset: %d readers are not from %d to %d",
			l.MinPrefillReplicas, MinPrefillReplicasLowerBound, minPrefillReplicasUpperBound)
	}
	return nil
}

const (
	// headroom is the capacity of a subset relative to its dispatcher's fraction of the traffic: a fifth of the subset
	// may fail, and the traffic may grow by a fifth.
	headroom = 1.2 / 0.8
	// maxSubsetFraction is the largest fraction of all units in a subset. Larger subsets save too little, so each
	// dispatcher uses all replicas instead.
	maxSubsetFraction = 0.75
)

// ErrNotMember is returned for a dispatcher that is not among the dispatchers to which replicas are assigned.
var ErrNotMember = errors.New("subset: the dispatcher is not a member of the fleet")

// Assignment assigns replicas to dispatchers. It is immutable.
type Assignment struct {
	units          []unit       // sorted by name
	dispatchers    []Dispatcher // sorted by name
	assigned       [][]int      // indices of the assigned units, by dispatcher
	unitsPerSubset int          // number of units assigned to each dispatcher
}

// Assign assigns the replicas to the dispatchers. A nil result means that each dispatcher uses all replicas: there are
// too few replicas, or too few dispatchers, for subsets.
func Assign(replicas []Replica, dispatchers []Dispatcher, l Limits) *Assignment {
	a := &Assignment{units: unitsOf(replicas), dispatchers: slices.Clone(dispatchers)}
	slices.SortFunc(a.dispatchers, func(a, b Dispatcher) int { return cmp.Compare(a.Name, b.Name) })
	if len(a.units) < 2 || len(dispatchers) == 0 {
		return nil
	}
	unitCount := float64(len(a.units))
	unitsForChoice := float64(l.MinPrefillReplicas) / float64(medianPrefillReplicas(a.units))
	unitsForTraffic := headroom * unitCount / float64(len(dispatchers))
	a.unitsPerSubset = int(math.Ceil(max(unitsForChoice, unitsForTraffic)))
	if float64(a.unitsPerSubset) > maxSubsetFraction*unitCount {
		return nil
	}
	a.assigned = make([][]int, len(a.dispatchers))
	a.assignZones()
	return a
}

// medianPrefillReplicas returns the median number of prefill replicas in a unit. With the mean, one replica more or
// less could change the size of every subset.
func medianPrefillReplicas(units []unit) int {
	counts := make([]int, 0, len(units))
	for _, u := range units {
		counts = append(counts, u.prefillReplicas)
	}
	slices.Sort(counts)
	return counts[len(counts)/2]
}

// ReplicasOf returns the sorted names of the replicas that the named dispatcher uses if it receives the given fraction
// of all traffic. With more than an even fraction, the dispatcher gets additional units, chosen by its scores. The
// additional units are not balanced, because the other dispatchers compute their subsets without them. The error is
// ErrNotMember if the dispatcher is unknown.
func (a *Assignment) ReplicasOf(name string, trafficFraction float64) ([]string, error) {
	d, ok := slices.BinarySearchFunc(a.dispatchers, name, func(d Dispatcher, name string) int {
		return cmp.Compare(d.Name, name)
	})
	if !ok {
		return nil, ErrNotMember
	}
	units := slices.Clone(a.assigned[d])
	needed := int(math.Ceil(headroom * min(trafficFraction, 1) * float64(len(a.units))))
	if missing := needed - len(units); missing > 0 {
		others := a.othersByScore(a.dispatchers[d], units)
		units = append(units, others[:min(missing, len(others))]...)
	}
	var names []string
	for _, u := range units {
		names = append(names, a.units[u].members...)
	}
	slices.Sort(names)
	return names, nil
}

// othersByScore returns the units that a dispatcher does not have: first the units of its own zone, then the others,
// each group sorted by descending score.
func (a *Assignment) othersByScore(d Dispatcher, assigned []int) []int {
	var others []int
	for u := range a.units {
		if !slices.Contains(assigned, u) {
			others = append(others, u)
		}
	}
	zoneRank := func(u int) int {
		if a.units[u].zone == d.Zone {
			return 0
		}
		return 1
	}
	slices.SortFunc(others, func(x, y int) int {
		return cmp.Or(
			cmp.Compare(zoneRank(x), zoneRank(y)),
			-cmp.Compare(score(d.Name, a.units[x].name), score(d.Name, a.units[y].name)),
		)
	})
	return others
}
