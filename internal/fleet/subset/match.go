package subset

import (
	"cmp"
	"slices"
)

// match assigns units to dispatchers: to each dispatcher perDispatcher units, as far as possible, and each unit to at
// most as many dispatchers as its capacity. It makes the pairs with the highest scores first. Unless scores are equal,
// these pairs form a stable matching that is independent of the order of the names. repair then gives units to the
// dispatchers that still lack some, in the order of the arguments. allowed reports whether a pair may be made; nil
// allows all pairs. The result lists the indices of the units of each dispatcher by descending score, followed by the
// units that repair added.
func match(dispatchers, units []string, perDispatcher int, capacity []int, allowed func(d, u int) bool) [][]int {
	return matchBy(score, dispatchers, units, perDispatcher, capacity, allowed)
}

// matchBy implements match with the given score function.
func matchBy(
	score func(dispatcher, unit string) uint64,
	dispatchers, units []string, perDispatcher int, capacity []int, allowed func(d, u int) bool,
) [][]int {
	m := &matching{
		assigned:      make([][]int, len(dispatchers)),
		holders:       make([][]int, len(units)),
		capacity:      slices.Clone(capacity),
		perDispatcher: perDispatcher,
		allowed:       allowed,
	}
	for _, p := range rankedPairs(score, dispatchers, units, allowed) {
		if d, u := int(p.dispatcher), int(p.unit); len(m.assigned[d]) < perDispatcher && m.capacity[u] > 0 {
			m.assigned[d] = append(m.assigned[d], u)
			m.capacity[u]--
		}
	}
	for d, matched := range m.assigned {
		for _, u := range matched {
			m.holders[u] = append(m.holders[u], d)
		}
	}
	m.repair()
	return m.assigned
}

// pair is a dispatcher and a unit, by index, with their score.
type pair struct {
	score            uint64
	dispatcher, unit int32
}

// rankedPairs returns the allowed pairs, the highest score first. Pairs with equal scores are ordered by dispatcher,
// then by unit, as in the arguments, which every process passes in the same order.
func rankedPairs(
	score func(dispatcher, unit string) uint64, dispatchers, units []string, allowed func(d, u int) bool,
) []pair {
	pairs := make([]pair, 0, len(dispatchers)*len(units))
	for d, dispatcher := range dispatchers {
		for u, unit := range units {
			if allowed == nil || allowed(d, u) {
				pairs = append(pairs, pair{score(dispatcher, unit), int32(d), int32(u)})
			}
		}
	}
	slices.SortFunc(pairs, func(a, b pair) int {
		return cmp.Or(-cmp.Compare(a.score, b.score), cmp.Compare(a.dispatcher, b.dispatcher), cmp.Compare(a.unit, b.unit))
	})
	return pairs
}

// matching is a matching under construction. After the greedy part, some dispatchers can lack units while the only
// units with remaining capacity are units that these dispatchers have already. repair completes such a matching.
type matching struct {
	assigned      [][]int // units of each dispatcher
	holders       [][]int // dispatchers of each unit
	capacity      []int   // remaining capacity of each unit
	perDispatcher int
	allowed       func(d, u int) bool
}

// canAssign reports whether a unit may be assigned to a dispatcher: the pair is allowed, and the dispatcher does not
// have the unit yet.
func (m *matching) canAssign(d, u int) bool {
	return (m.allowed == nil || m.allowed(d, u)) && !slices.Contains(m.assigned[d], u)
}

func (m *matching) add(d, u int) {
	m.assigned[d], m.holders[u] = append(m.assigned[d], u), append(m.holders[u], d)
}

func (m *matching) remove(d, u int) {
	m.assigned[d] = slices.DeleteFunc(m.assigned[d], func(x int) bool { return x == u })
	m.holders[u] = slices.DeleteFunc(m.holders[u], func(x int) bool { return x == d })
}

// repair assigns units to the dispatchers that lack some, as far as possible.
func (m *matching) repair() {
	for d := range m.assigned {
		for len(m.assigned[d]) < m.perDispatcher && (m.assignFree(d) || m.assignBySwap(d)) {
		}
	}
}

// assignFree assigns a unit with remaining capacity to a dispatcher, and reports whether there was such a unit.
func (m *matching) assignFree(d int) bool {
	for u, remaining := range m.capacity {
		if remaining > 0 && m.canAssign(d, u) {
			m.add(d, u)
			m.capacity[u]--
			return true
		}
	}
	return false
}

// assignBySwap assigns to a dispatcher a unit that another dispatcher exchanges for a unit with remaining capacity (an
// augmenting path of length three). It reports whether there was such a unit.
func (m *matching) assignBySwap(d int) bool {
	for free, remaining := range m.capacity {
		if remaining <= 0 {
			continue
		}
		for other := range m.assigned {
			if other != d && m.canAssign(other, free) && m.swap(d, other, free) {
				return true
			}
		}
	}
	return false
}

// swap moves a unit from another dispatcher to d, and assigns the free unit to the other dispatcher. It reports whether
// there was such a unit.
func (m *matching) swap(d, other, free int) bool {
	for _, u := range m.assigned[other] {
		if m.canAssign(d, u) {
			m.remove(other, u)
			m.add(other, free)
			m.add(d, u)
			m.capacity[free]--
			return true
		}
	}
	return false
}
