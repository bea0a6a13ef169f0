package lease

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// TaskOf is the duty of a name, such as probe/s-5be2a07c.
func TaskOf(name string) Task { return Task(xxhash.Sum64String(name)) }

// loadRoom is how much more than the mean a member may have.
const loadRoom = 1.25

// Score ranks the members for a duty, the same at every process (rendezvous hashing).
func Score(d Task, member string) uint64 {
	h := xxhash.NewWithSeed(uint64(d))
	h.WriteString(member) // it cannot fail
	return h.Sum64()
}

// Assignment says whose each duty is, and who stands by for it.
type Assignment struct {
	Owner, Standby map[Task]string
}

// Assign gives each duty to the member that ranks highest for it among those with room: nobody gets more than 1.25 times
// the mean (or the mean, rounded up). It is a function of the sets alone, so members with one view agree. A member
// more or less moves its own part of the duties, and of the others at most 4 in 100, where the bound changes.
func Assign(duties []Task, members []string) Assignment {
	a := Assignment{map[Task]string{}, map[Task]string{}}
	if len(members) == 0 {
		return a
	}
	members = slices.Sorted(slices.Values(members))
	duties = slices.Sorted(slices.Values(duties))
	mean := float64(len(duties)) / float64(len(members))
	room := max((len(duties)+len(members)-1)/len(members), int(loadRoom*mean))
	load := map[string]int{}
	type bid struct {
		member string
		score  uint64
	}
	bids := make([]bid, len(members))
	for _, d := range duties {
		for i, m := range members {
			bids[i] = bid{m, Score(d, m)}
		}
		slices.SortFunc(bids, func(a, b bid) int { return -cmp.Compare(a.score, b.score) })
		for _, b := range bids {
			switch {
			case a.Owner[d] == "" && load[b.member] < room:
				a.Owner[d] = b.member
				load[b.member]++
			case a.Standby[d] == "":
				a.Standby[d] = b.member
			}
			if a.Owner[d] != "" && a.Standby[d] != "" {
				break
			}
		}
	}
	return a
}
