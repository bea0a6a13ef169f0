package subset

import (
	"flag"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var largeSizes = flag.Bool("subset.ways", false, "compare the algorithms at large sizes too")

// For all sizes, weights and orders, the capacities add up to the number of slots, units of equal weight have
// capacities that differ by at most one, and a matching gives each dispatcher its number of different units and fills
// the capacity of each unit.
func TestMatchingIsCompleteAndFillsCapacities(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var dispatchers, units []string
		var weights []float64
		for d := range rapid.IntRange(1, 60).Draw(t, "dispatchers") {
			dispatchers = append(dispatchers, fmt.Sprint("n", d))
		}
		for u := range rapid.IntRange(1, 40).Draw(t, "units") {
			units = append(units, fmt.Sprint("c", u))
			weights = append(weights, rapid.SampledFrom([]float64{0.1, 1, 1, 1, 3, 10}).Draw(t, "weight"))
		}
		perDispatcher := rapid.IntRange(1, len(units)).Draw(t, "each")
		capacity := capacities(units, weights, len(dispatchers), perDispatcher*len(dispatchers))
		sum, low, high := 0, map[float64]int{}, map[float64]int{}
		for u, c := range capacity {
			if sum += c; c < 0 || c > len(dispatchers) {
				t.Fatalf("unit %d, with %d dispatchers in all, has capacity for %d", u, len(dispatchers), c)
			}
			w := weights[u]
			if n, ok := low[w]; !ok || c < n {
				low[w] = c
			}
			high[w] = max(high[w], c)
		}
		if sum != perDispatcher*len(dispatchers) {
			t.Fatalf("capacity for %d in all, not %d", sum, perDispatcher*len(dispatchers))
		}
		for w := range low {
			if high[w]-low[w] > 1 {
				t.Fatalf("units of weight %v have capacity for %d to %d", w, low[w], high[w])
			}
		}
		got := make([]int, len(units))
		for d, matched := range match(dispatchers, units, perDispatcher, capacity, nil) {
			if len(matched) != perDispatcher || len(slices.Compact(slices.Sorted(slices.Values(matched)))) != perDispatcher {
				t.Fatalf("dispatcher %d has %v, not %d different units", d, matched, perDispatcher)
			}
			for _, u := range matched {
				got[u]++
			}
		}
		if !slices.Equal(got, capacity) {
			t.Fatalf("units have %v dispatchers, not %v", got, capacity)
		}
	})
}

// matchingSize is a problem size in TestWays.
type matchingSize struct{ dispatchers, units, perDispatcher int }

// algorithm is a method of assigning units that TestWays compares with others.
type algorithm struct {
	name  string
	slack float64 // capacity beyond what is needed, as a fraction of what is needed
	score func(dispatcher, unit string) uint64
}

// ringScore returns the distance from a dispatcher to a unit on a hash ring, in the direction of increasing hashes.
func ringScore(dispatcher, unit string) uint64 { return score("", unit) - score("", dispatcher) }

// assignUnits assigns units of equal weight; it omits the unit with the given number.
func (a algorithm) assignUnits(size matchingSize, omitted int) pairSet {
	var dispatchers, units []string
	var weights []float64
	for d := range size.dispatchers {
		dispatchers = append(dispatchers, fmt.Sprint("n", d))
	}
	for u := range size.units {
		if u != omitted {
			units, weights = append(units, fmt.Sprint("c", u)), append(weights, 1)
		}
	}
	capacity := slices.Repeat([]int{size.dispatchers}, len(units))
	if !math.IsInf(a.slack, 1) {
		slots := int(float64(size.perDispatcher*size.dispatchers) * (1 + a.slack))
		capacity = capacities(units, weights, size.dispatchers, slots)
	}
	out := pairSet{}
	for d, matched := range matchBy(a.score, dispatchers, units, size.perDispatcher, capacity, nil) {
		for _, u := range matched {
			out[[2]string{dispatchers[d], units[u]}] = true
		}
	}
	return out
}

// assignByShuffle assigns units in rounds: the dispatchers of each round divide a shuffled list of the units among
// them.
func assignByShuffle(size matchingSize, units int) pairSet {
	out := pairSet{}
	perRound := units / size.perDispatcher
	for d := range size.dispatchers {
		order := rand.New(rand.NewPCG(uint64(d/perRound), 1)).Perm(units)
		first := d % perRound * size.perDispatcher
		for _, u := range order[first : first+size.perDispatcher] {
			out[[2]string{fmt.Sprint("n", d), fmt.Sprint("c", u)}] = true
		}
	}
	return out
}

// noUnit is passed to assignUnits to omit no unit.
const noUnit = -1

// Logs figures that compare the algorithms that were considered. The flag -subset.ways adds the large sizes:
//
//	go test -run TestWays -v -args -subset.ways
func TestWays(t *testing.T) {
	for _, size := range []matchingSize{{9, 12, 4}, {30, 20, 4}, {300, 25, 5}, {300, 100, 8}, {1000, 250, 10}} {
		if testing.Short() || !*largeSizes && size.dispatchers > 30 {
			continue
		}
		for _, a := range []algorithm{
			{"even", 0, score},
			{"a tenth more capacity", 0.1, score},
			{"a fifth more capacity", 0.2, score},
			{"rendezvous", math.Inf(1), score},
			{"ring, a tenth more capacity", 0.1, ringScore},
		} {
			measureAlgorithm(t, a, size)
		}
		measureShuffle(t, size)
	}
}

// measureAlgorithm logs how evenly an algorithm assigns units, and how many pairs change when a unit or a dispatcher is
// removed. It checks the evenness of the algorithm that the package uses.
func measureAlgorithm(t *testing.T, a algorithm, size matchingSize) {
	t.Helper()
	started := time.Now()
	before := a.assignUnits(size, noUnit)
	took := time.Since(started)
	counts := make([]int, 0, size.units)
	perUnit := countDispatchers(before)
	for u := range size.units {
		counts = append(counts, perUnit[fmt.Sprint("c", u)])
	}
	spread := slices.Max(counts) - slices.Min(counts)
	overMean := float64(slices.Max(counts)) * float64(size.units) / float64(len(before))
	leastMoved := 2 * float64(len(before)) / float64(size.units)
	unitMoves, removals := 0.0, min(size.units, 10)
	for omitted := range removals {
		unitMoves += float64(changedPairs(before, a.assignUnits(size, omitted))) / leastMoved / float64(removals)
	}
	smaller := size
	smaller.dispatchers--
	dispatcherMoves := float64(changedPairs(before, a.assignUnits(smaller, noUnit))) / float64(size.perDispatcher)
	t.Logf("%d dispatchers, %d units, %d each: %s: spread %d, maximum %.2f of the mean; "+
		"removing a unit moves %.1f times the minimum, removing a dispatcher %.1f times; %v",
		size.dispatchers, size.units, size.perDispatcher, a.name, spread, overMean,
		unitMoves, dispatcherMoves, took.Round(10*time.Microsecond))
	if a.slack == 0 && spread > 1 {
		t.Errorf("the spread is %d, want at most 1", spread)
	}
}

// measureShuffle logs the figures of assignByShuffle. Removing one unit changes the shuffled list of every round.
func measureShuffle(t *testing.T, size matchingSize) {
	t.Helper()
	before, after := assignByShuffle(size, size.units), assignByShuffle(size, size.units-1)
	counts := slices.Sorted(maps.Values(countDispatchers(before)))
	t.Logf("%d dispatchers, %d units, %d each: shuffles: %d to %d of a unit; a removed unit moves %.1f times the minimum",
		size.dispatchers, size.units, size.perDispatcher, counts[0], counts[len(counts)-1],
		float64(changedPairs(before, after))/(2*float64(len(before))/float64(size.units)))
}
