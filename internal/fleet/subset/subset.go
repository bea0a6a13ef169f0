// Package subset decides which replicas a dispatcher keeps to: asks, keeps connections to, and sends to as long as enough of
// them are well. It hangs on the list of replicas and on who is in the fleet alone, so processes that know the same
// agree without a word. It does no I/O and has no clock.
//
// Replicas go in units that are kept whole: a cell, or a part of a large one, with readers and the writers that take their
// states. Each unit has the same number of dispatchers by its weight, within one: capacities are rounded to whole
// numbers that add up, and dispatchers and units find each other by the scores of their names, the highest first (a
// stable matching). Most of a dispatcher's units are of its own zone; some are not, so that a zone's loss leaves it some.
package subset

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
)

// Replica is one that the list says is there.
type Replica struct {
	Name       string
	Zone       int
	Cell       int
	CanPrefill bool
	CanDecode  bool
	Weight     float64
}

// Dispatcher is a member that replicas are shared among.
type Dispatcher struct {
	Name string
	Zone int
}

// Limits say how small a subset may be.
type Limits struct {
	// MinPrefillReplicas is how many readers a subset has at the least; as many writers as belong to them come with them.
	MinPrefillReplicas int
}

// LeastPrefillReplicas is the least that Limits may ask for: fewer leave too little choice. maxReaders is past any list.
const (
	LeastPrefillReplicas = 4
	maxReaders           = 1 << 16
)

// Validate reports what cannot work.
func (l Limits) Validate() error {
	if l.MinPrefillReplicas < LeastPrefillReplicas || l.MinPrefillReplicas > maxReaders {
		return fmt.Errorf("subset: %d readers are not from %d to %d", l.MinPrefillReplicas, LeastPrefillReplicas, maxReaders)
	}
	return nil
}

const (
	unitReaders = 4 // readers, and writers, that a part of a large cell has at the least
	// spare is what a subset bears against its dispatcher's part of the traffic: a fifth of it may be gone, and another
	// fifth more may come.
	spare = 1.2 / 0.8
	// awayPart is the part of a subset that is in other zones.
	awayPart = 0.25
	// Where a subset would be nearly all, there is none.
	nearlyAll = 0.75
)

// ErrNotMember says that the dispatcher is not one of those among whom replicas are shared.
var ErrNotMember = errors.New("subset: the dispatcher is none of the fleet's")

// unit is what is given to a dispatcher as a whole.
type unit struct {
	name    string
	zone    int
	weight  float64
	readers int
	members []string
}

// units are the replicas in units with readers and writers each: by cell, or where a cell lacks either by zone; nil: not
// even a zone has both.
func units(replicas []Replica) []unit {
	type place struct{ zone, cell int }
	group := func(key func(r Replica) place) (out map[place][]Replica, whole bool) {
		out = map[place][]Replica{}
		for _, r := range replicas {
			out[key(r)] = append(out[key(r)], r)
		}
		for _, g := range out {
			if count(g, reads) == 0 || count(g, writes) == 0 {
				return nil, false
			}
		}
		return out, true
	}
	groups, whole := group(func(r Replica) place { return place{r.Zone, r.Cell} })
	if !whole {
		if groups, whole = group(func(r Replica) place { return place{r.Zone, -1} }); !whole {
			return nil
		}
	}
	var out []unit
	for at, g := range groups {
		out = append(out, split(fmt.Sprintf("%d/%d", at.zone, at.cell), at.zone, g)...)
	}
	slices.SortFunc(out, func(a, b unit) int { return cmp.Compare(a.name, b.name) })
	return out
}

func reads(r Replica) bool  { return r.CanPrefill }
func writes(r Replica) bool { return r.CanDecode && !r.CanPrefill }

func count(g []Replica, of func(Replica) bool) (n int) {
	for _, r := range g {
		if of(r) {
			n++
		}
	}
	if n == 0 && !slices.ContainsFunc(g, func(r Replica) bool { return !r.CanDecode }) {
		return len(g) // all do both
	}
	return n
}

// split cuts a group into as many parts as it has room for, a power of two: so the parts change only where the group has
// doubled or halved, and one replica more or less changes one of them.
func split(name string, zone int, g []Replica) []unit {
	parts := 1
	for 2*parts*unitReaders <= min(count(g, reads), count(g, writes)) {
		parts *= 2
	}
	out := make([]unit, parts)
	names := make([]string, parts)
	even := make([]float64, parts)
	for i := range out {
		names[i], even[i] = fmt.Sprintf("%s/%d", name, i), 1
		out[i] = unit{name: names[i], zone: zone}
	}
	for _, of := range []func(Replica) bool{reads, func(r Replica) bool { return !r.CanPrefill }} {
		var some []Replica
		var who []string
		for _, r := range g {
			if of(r) {
				some = append(some, r)
			}
		}
		slices.SortFunc(some, func(a, b Replica) int { return cmp.Compare(a.Name, b.Name) })
		for _, r := range some {
			who = append(who, r.Name)
		}
		for i, held := range match(who, names, 1, capacities(names, even, len(who), len(who)), nil) {
			for _, p := range held {
				u := &out[p]
				u.members = append(u.members, some[i].Name)
				u.weight += some[i].Weight
				if some[i].CanPrefill {
					u.readers++
				}
			}
		}
	}
	return out
}

// Assignment is who keeps to what; Of is the replicas of one dispatcher.
type Assignment struct {
	units       []unit
	dispatchers []Dispatcher
	given       [][]int // by dispatcher
	wanted      int     // units of each
}

// Assign shares the replicas among the dispatchers. A nil result says that each keeps to all: there are too few replicas, or
// too few dispatchers, for less.
func Assign(replicas []Replica, dispatchers []Dispatcher, l Limits) *Assignment {
	s := &Assignment{units: units(replicas), dispatchers: slices.SortedFunc(slices.Values(dispatchers), func(a, b Dispatcher) int { return cmp.Compare(a.Name, b.Name) })}
	if len(s.units) < 2 || len(dispatchers) == 0 {
		return nil
	}
	var readers []int
	for _, u := range s.units {
		readers = append(readers, u.readers)
	}
	slices.Sort(readers)
	// By the middle unit: with the mean one replica more or less could change every dispatcher's number.
	middle := readers[len(readers)/2]
	n := float64(len(s.units))
	s.wanted = int(math.Ceil(max(float64(l.MinPrefillReplicas)/float64(middle), spare*n/float64(len(dispatchers)))))
	if float64(s.wanted) > nearlyAll*n {
		return nil
	}
	s.given = make([][]int, len(s.dispatchers))
	s.share()
	return s
}

// share matches dispatchers and units: in each zone its own, and over all zones those of others.
func (s *Assignment) share() {
	byZone := map[int][]int{}
	for d, m := range s.dispatchers {
		byZone[m.Zone] = append(byZone[m.Zone], d)
	}
	away := make([]int, len(s.dispatchers))
	for _, zone := range slices.Sorted(maps.Keys(byZone)) {
		own := byZone[zone]
		var here []int
		for u := range s.units {
			if s.units[u].zone == zone {
				here = append(here, u)
			}
		}
		home := s.wanted
		if len(here) < len(s.units) {
			home = min(s.wanted-int(math.Ceil(awayPart*float64(s.wanted))), len(here))
		}
		for _, d := range own {
			away[d] = s.wanted - home
		}
		if home > 0 {
			s.deal(own, here, home, nil)
		}
	}
	// Dispatchers of zones that differ in their units miss different numbers: each number is a matching of its own.
	byMissing := map[int][]int{}
	for d, n := range away {
		if n > 0 {
			byMissing[n] = append(byMissing[n], d)
		}
	}
	all := make([]int, len(s.units))
	for u := range all {
		all[u] = u
	}
	for _, n := range slices.Sorted(maps.Keys(byMissing)) {
		some := byMissing[n]
		s.deal(some, all, n, func(d, u int) bool { return s.units[u].zone != s.dispatchers[some[d]].Zone })
	}
}

// deal gives each of some dispatchers so many of some units.
func (s *Assignment) deal(who, what []int, each int, allowed func(d, u int) bool) {
	names, weights := make([]string, len(what)), make([]float64, len(what))
	for i, u := range what {
		names[i], weights[i] = s.units[u].name, s.units[u].weight
		if allowed != nil { // in proportion to those who may have it
			may := 0
			for d := range who {
				if allowed(d, i) {
					may++
				}
			}
			weights[i] *= float64(may) / float64(len(who))
		}
	}
	dispatchers := make([]string, len(who))
	for i, d := range who {
		dispatchers[i] = s.dispatchers[d].Name
	}
	for i, held := range match(dispatchers, names, each, capacities(names, weights, len(who), each*len(who)), allowed) {
		for _, u := range held {
			s.given[who[i]] = append(s.given[who[i]], what[u])
		}
	}
}

// Of is the names of the replicas that a dispatcher keeps to, whose part of all traffic is given. One with more than its even
// part has more units, by its scores; that others do not know, so it is not evened out.
func (s *Assignment) Of(name string, part float64) ([]string, error) {
	d, ok := slices.BinarySearchFunc(s.dispatchers, name, func(m Dispatcher, name string) int { return cmp.Compare(m.Name, name) })
	if !ok {
		return nil, ErrNotMember
	}
	held := slices.Clone(s.given[d])
	if need := int(math.Ceil(spare * min(part, 1) * float64(len(s.units)))); need > len(held) {
		zone := s.dispatchers[d].Zone
		var more []int
		for u := range s.units {
			if !slices.Contains(held, u) {
				more = append(more, u)
			}
		}
		slices.SortFunc(more, func(a, b int) int {
			far := func(u int) int { return min(1, max(s.units[u].zone-zone, zone-s.units[u].zone)) }
			return cmp.Or(cmp.Compare(far(a), far(b)), -cmp.Compare(score(name, s.units[a].name), score(name, s.units[b].name)))
		})
		held = append(held, more[:min(need-len(held), len(more))]...)
	}
	var out []string
	for _, u := range held {
		out = append(out, s.units[u].members...)
	}
	slices.Sort(out)
	return out, nil
}
