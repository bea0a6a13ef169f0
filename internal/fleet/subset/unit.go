package subset

import (
	"cmp"
	"fmt"
	"slices"
)

// minUnitReplicas is the minimum number of prefill replicas, and of decode replicas, in a part of a large cell.
const minUnitReplicas = 4

// unit is a group of replicas that is assigned to a dispatcher as a whole.
type unit struct {
	name            string
	zone            int
	weight          float64 // total weight of the replicas
	prefillReplicas int
	members         []string // names of the replicas
}

// location is the key by which replicas are grouped into units.
type location struct{ zone, cell int }

// wholeZone is the cell number in a location that covers all cells of its zone.
const wholeZone = -1

// unitsOf groups the replicas into units that each have prefill and decode replicas, and returns the units sorted by
// name. It groups by cell, or by zone if a cell lacks prefill or decode replicas. It returns nil if a zone lacks one of
// them too.
func unitsOf(replicas []Replica) []unit {
	groups, complete := groupBy(replicas, func(r Replica) location { return location{r.Zone, r.Cell} })
	if !complete {
		groups, complete = groupBy(replicas, func(r Replica) location { return location{r.Zone, wholeZone} })
	}
	if !complete {
		return nil
	}
	var units []unit
	for loc, group := range groups {
		units = append(units, split(fmt.Sprintf("%d/%d", loc.zone, loc.cell), loc.zone, group)...)
	}
	slices.SortFunc(units, func(a, b unit) int { return cmp.Compare(a.name, b.name) })
	return units
}

// groupBy groups replicas by key, and reports whether each group has both prefill and decode replicas.
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

// countStage returns the number of replicas for which inStage returns true. If there are none and all replicas can
// decode, it counts all replicas, so that a group of combined replicas has decode replicas. (A group of replicas that
// can only decode therefore counts as having prefill replicas, too.)
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

// split divides a group into as many units as it has replicas for, always a power of two. So the units change only when
// the group has doubled or halved, and one replica more or less changes one of them.
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

// distribute divides the selected replicas of a group evenly among its units.
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
