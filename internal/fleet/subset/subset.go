// Package subset computes deterministic subsets: which replicas a dispatcher polls, keeps connections to, and routes to
// while enough of them are healthy. The result is a function of the endpoint list and the fleet's members alone, so
// processes that know the same agree without communicating. The package does no I/O, has no clock and keeps no state; all
// of its functions are safe for concurrent use, and so is an Assignment.
//
// Replicas are assigned in units that stay whole: a cell, or a part of a large cell, with prefill replicas and the decode
// replicas that take over their state. Each unit gets the number of dispatchers that its weight asks for, within one:
// capacities are rounded to whole numbers that add up, and dispatchers and units are matched by their rendezvous scores, the
// highest first (a greedy b-matching, which is stable in the sense of Gale and Shapley because both sides rank a pair
// alike). Most of a dispatcher's units are in its own zone; some are not, so that a zone's loss leaves it some.
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

// Dispatcher is a member of the fleet among which replicas are divided.
type Dispatcher struct {
	Name string
	Zone int
}

// MinPrefillReplicasLimit is the least value of Limits.MinPrefillReplicas: fewer leave too little choice.
const MinPrefillReplicasLimit = 4

// maxPrefillReplicas is the greatest value of Limits.MinPrefillReplicas, beyond any endpoint list.
const maxPrefillReplicas = 1 << 16

// Limits say how small a subset may be.
type Limits struct {
	// MinPrefillReplicas is how many prefill replicas a subset has at least, from LeastPrefillReplicas to 65,536. The decode
	// replicas of their units come with them.
	MinPrefillReplicas int
}

// Validate reports a limit that is out of range.
func (l Limits) Validate() error {
	if l.MinPrefillReplicas < MinPrefillReplicasLimit || l.MinPrefillReplicas > maxPrefillReplicas {
		return fmt.Errorf("subset: %d readers are not from %d to %d",
			l.MinPrefillReplicas, MinPrefillReplicasLimit, maxPrefillReplicas)
	}
	return nil
}

const (
	// headroom is the capacity of a subset relative to its dispatcher's fraction of the traffic: a fifth of the subset may
	// fail, and a fifth more traffic may come.
	headroom = 1.2 / 0.8
	// maxSubsetFraction is the largest fraction of all units that a subset may have. Beyond it subsets save too little, and
	// each dispatcher uses all replicas.
	maxSubsetFraction = 0.75
)

// ErrNotMember reports a dispatcher that is not among those that replicas are divided among.
var ErrNotMember = errors.New("subset: the dispatcher is not a member of the fleet")

// Assignment divides the replicas among the dispatchers. It does not change once it is made.
type Assignment struct {
	units       []unit       // by name
	dispatchers []Dispatcher // by name
	assigned    [][]int      // by dispatcher: its units' indices
	subsetUnits int          // units that each dispatcher gets
}

// Assign divides the replicas among the dispatchers. A nil result means that each dispatcher uses all replicas: there are
// too few replicas, or too few dispatchers, for subsets.
func Assign(replicas []Replica, dispatchers []Dispatcher, l Limits) *Assignment {
	a := &Assignment{units: unitsOf(replicas), dispatchers: slices.Clone(dispatchers)}
	slices.SortFunc(a.dispatchers, func(a, b Dispatcher) int { return cmp.Compare(a.Name, b.Name) })
	if len(a.units) < 2 || len(dispatchers) == 0 {
		return nil
	}
	unitCount := float64(len(a.units))
	forChoice := float64(l.MinPrefillReplicas) / float64(medianPrefillReplicas(a.units))
	forTraffic := headroom * unitCount / float64(len(dispatchers))
	a.subsetUnits = int(math.Ceil(max(forChoice, forTraffic)))
	if float64(a.subsetUnits) > maxSubsetFraction*unitCount {
		return nil
	}
	a.assigned = make([][]int, len(a.dispatchers))
	a.assignZones()
	return a
}

// medianPrefillReplicas is the median number of prefill replicas in a unit. With the mean, one replica more or less could
// change the size of every subset.
func medianPrefillReplicas(units []unit) int {
	counts := make([]int, 0, len(units))
	for _, u := range units {
		counts = append(counts, u.prefillReplicas)
	}
	slices.Sort(counts)
	return counts[len(counts)/2]
}

// Of returns the sorted names of the replicas that a dispatcher uses, which has the given fraction of all traffic. One with
// more than an even fraction gets more units, by its scores; the other dispatchers do not know of it, so these are not
// evened out. The error is ErrNotMember.
func (a *Assignment) Of(name string, trafficFraction float64) ([]string, error) {
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

// othersByScore are the units that a dispatcher does not have: those of its zone first, each group by score.
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
