package subset

import (
	"maps"
	"math"
	"slices"
)

// otherZonesFraction is the fraction of a subset that is in other zones than the dispatcher, if there are other zones.
const otherZonesFraction = 0.25

// assignZones assigns units to dispatchers: first, zone by zone, units of the dispatchers' own zone, and then units of
// other zones across all zones.
func (a *Assignment) assignZones() {
	byZone := map[int][]int{}
	for d, dispatcher := range a.dispatchers {
		byZone[dispatcher.Zone] = append(byZone[dispatcher.Zone], d)
	}
	missing := make([]int, len(a.dispatchers)) // number of units needed from other zones, by dispatcher
	for _, zone := range slices.Sorted(maps.Keys(byZone)) {
		dispatchers, units := byZone[zone], a.unitsInZone(zone)
		own := a.ownZoneUnits(len(units))
		for _, d := range dispatchers {
			missing[d] = a.unitsPerSubset - own
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

// ownZoneUnits returns how many units a dispatcher gets from its own zone, which has inZone units.
func (a *Assignment) ownZoneUnits(inZone int) int {
	if inZone == len(a.units) {
		return a.unitsPerSubset
	}
	others := int(math.Ceil(otherZonesFraction * float64(a.unitsPerSubset)))
	return min(a.unitsPerSubset-others, inZone)
}

// assignOtherZones assigns units of other zones to the dispatchers; missing is the number of units that each dispatcher
// needs. This number depends on how many units the dispatcher's own zone has, so the dispatchers that need the same
// number are matched together, one matching per number.
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

// assign assigns the same number of the given units to each of the given dispatchers, in proportion to the weights of
// the units. allowed reports whether a dispatcher may get a unit, by their positions in the two lists; nil allows all
// pairs.
func (a *Assignment) assign(dispatchers, units []int, perDispatcher int, allowed func(d, u int) bool) {
	unitNames, weights := make([]string, len(units)), make([]float64, len(units))
	for i, u := range units {
		unitNames[i], weights[i] = a.units[u].name, a.units[u].weight
		if allowed != nil { // scale the weight by the fraction of the dispatchers that may get the unit
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
