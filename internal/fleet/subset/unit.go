package subset

import (
	"cmp"
	"fmt"
	"slices"
)

// minUnitReplicas is how many prefill replicas, and how many decode replicas, a part of a large cell has at least.
const minUnitReplicas = 4

// unit is a group of replicas that is assigned to a dispatcher as a whole.
type unit struct {
	name            string
	zone            int
	weight          float64 // of all its replicas
	prefillReplicas int
	members         []string // names of its replicas
}

// location is what replicas are grouped by.
type location struct{ zone, cell int }

// wholeZone is the cell of a location that stands for all cells of its zone.
const wholeZone = -1

// unitsOf groups the replicas into units, sorted by name, that each have prefill and decode replicas: by cell, or by zone if
// a cell lacks either. It returns nil if even a zone lacks either.
func unitsOf(replicas []Replica) []unit {
	groups, complete := groupBy(replicas, func(r Replica) location { return location{r.Zone, r.Cell} })
	if !complete {
		groups, complete = groupBy(replicas, func(r Replica) location { return location{r.Zone, wholeZone} })
	}
	if !complete {
		return nil
	}
	var units []unit
	for at, group := range groups {
		units = append(units, split(fmt.Sprintf("%d/%d", at.zone, at.cell), at.zone, group)...)
	}
	slices.SortFunc(units, func(a, b unit) int { return cmp.Compare(a.name, b.name) })
	return units
}

// groupBy groups replicas, and reports whether each group has prefill and decode replicas.
func groupBy(replicas []Replica, key func(Replica) location) (groups map[location][]Replica, complete bool) {
	groups = map[location][]Replica{}
	for _, r := range replicas {
		groups[key(r)] = append(groups[key(r)], r)
	}
	for _, group := range groups {
		if countStage(group, canPrefill) == 0 || countStage(group, decodesOnly) == 0 {
			return nil, false
		}
	}
	return groups, true
}

func canPrefill(r Replica) bool    { return r.CanPrefill }
func cannotPrefill(r Replica) bool { return !r.CanPrefill }
func decodesOnly(r Replica) bool   { return r.CanDecode && !r.CanPrefill }

// countStage counts the replicas of a stage. If there are none and all replicas can decode, all count, so that a group of
// combined replicas has decode replicas. (A group that can only decode passes as having prefill replicas, too.)
func countStage(group []Replica, inStage func(Replica) bool) (n int) {
	allDecode := true
	for _, r := range group {
		if inStage(r) {
			n++
		}
		allDecode = allDecode && r.CanDecode
	}
	if n == 0 && allDecode {
		return len(group)
	}
	return n
}

// split divides a group into as many units as it has replicas for, a power of two. So the units change only when the group
// has doubled or halved, and one replica more or less changes one of them.
func split(name string, zone int, group []Replica) []unit {
	parts := 1
	for 2*parts*minUnitReplicas <= min(countStage(group, canPrefill), countStage(group, decodesOnly)) {
		parts *= 2
	}
	units := make([]unit, parts)
	for i := range units {
		units[i] = unit{name: fmt.Sprintf("%s/%d", name, i), zone: zone}
	}
	distribute(units, group, canPrefill)
	distribute(units, group, cannotPrefill)
	return units
}

// distribute adds the selected replicas of a group to its units, evenly.
func distribute(units []unit, group []Replica, selected func(Replica) bool) {
	unitNames, evenWeights := make([]string, len(units)), make([]float64, len(units))
	for i, u := range units {
		unitNames[i], evenWeights[i] = u.name, 1
	}
	var replicas []Replica
	for _, r := range group {
		if selected(r) {
			replicas = append(replicas, r)
		}
	}
	slices.SortFunc(replicas, func(a, b Replica) int { return cmp.Compare(a.Name, b.Name) })
	var names []string
	for _, r := range replicas {
		names = append(names, r.Name)
	}
	capacity := capacities(unitNames, evenWeights, len(names), len(names))
	for i, matched := range match(names, unitNames, 1, capacity, nil) {
		for _, p := range matched {
			units[p].add(replicas[i])
		}
	}
}

func (u *unit) add(r Replica) {
	u.members = append(u.members, r.Name)
	u.weight += r.Weight
	if r.CanPrefill {
		u.prefillReplicas++
	}
}
