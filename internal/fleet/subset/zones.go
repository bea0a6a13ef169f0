package subset

import (
	"maps"
	"math"
	"slices"
)

// otherZonesFraction is the fraction of a subset that is in other zones than its dispatcher, where there are any.
const otherZonesFraction = 0.25

// assignZones assigns units to dispatchers: in each zone its own, and then over all zones those of other zones.
func (a *Assignment) assignZones() {
	byZone := map[int][]int{}
	for d, dispatcher := range a.dispatchers {
		byZone[dispatcher.Zone] = append(byZone[dispatcher.Zone], d)
	}
	missing := make([]int, len(a.dispatchers)) // units of other zones, by dispatcher
	for _, zone := range slices.Sorted(maps.Keys(byZone)) {
		dispatchers, units := byZone[zone], a.unitsInZone(zone)
		own := a.ownZoneUnits(len(units))
		for _, d := range dispatchers {
			missing[d] = a.subsetUnits - own
		}
		if own > 0 {
			a.assign(dispatchers, units, own, nil)
		}
	}
	a.assignOtherZones(missing)
}

func (a *Assignment) unitsInZone(zone int) (units []int) {
	for u := range a.units {
		if a.units[u].zone == zone {
			units = append(units, u)
		}
	}
	return units
}

// ownZoneUnits is how many units of its own zone, which has the given number, a dispatcher gets.
func (a *Assignment) ownZoneUnits(inZone int) int {
	if inZone == len(a.units) {
		return a.subsetUnits
	}
	others := int(math.Ceil(otherZonesFraction * float64(a.subsetUnits)))
	return min(a.subsetUnits-others, inZone)
}

// assignOtherZones assigns to each dispatcher the units that it misses, from other zones. Dispatchers of zones with
// different numbers of units miss different numbers: each number is a matching of its own.
func (a *Assignment) assignOtherZones(missing []int) {
	byMissing := map[int][]int{}
	for d, n := range missing {
		if n > 0 {
			byMissing[n] = append(byMissing[n], d)
		}
	}
	all := make([]int, len(a.units))
	for u := range all {
		all[u] = u
	}
	for _, n := range slices.Sorted(maps.Keys(byMissing)) {
		dispatchers := byMissing[n]
		a.assign(dispatchers, all, n, func(d, u int) bool { return a.units[u].zone != a.dispatchers[dispatchers[d]].Zone })
	}
}

// assign assigns to each of the given dispatchers the same number of the given units, in proportion to the units' weights.
// allowed says which pairs may be made, by their positions in the two lists; nil allows all.
func (a *Assignment) assign(dispatchers, units []int, perDispatcher int, allowed func(d, u int) bool) {
	unitNames, weights := make([]string, len(units)), make([]float64, len(units))
	for i, u := range units {
		unitNames[i], weights[i] = a.units[u].name, a.units[u].weight
		if allowed != nil { // in proportion to the dispatchers that may have the unit
			eligible := 0
			for d := range dispatchers {
				if allowed(d, i) {
					eligible++
				}
			}
			weights[i] *= float64(eligible) / float64(len(dispatchers))
		}
	}
	names := make([]string, len(dispatchers))
	for i, d := range dispatchers {
		names[i] = a.dispatchers[d].Name
	}
	capacity := capacities(unitNames, weights, len(dispatchers), perDispatcher*len(dispatchers))
	for i, matched := range match(names, unitNames, perDispatcher, capacity, allowed) {
		for _, u := range matched {
			a.assigned[dispatchers[i]] = append(a.assigned[dispatchers[i]], units[u])
		}
	}
}
