package lease

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// maxLoadFactor is how many times the mean number of tasks a member may own.
const maxLoadFactor = 1.25

// Assignment says which member should own each task, and which one is the standby for it.
type Assignment struct {
	Owner, Standby map[Task]string
}

// scoredMember is a member with its rank for one task.
type scoredMember struct {
	name  string
	score uint64
}

// TaskOf is the task of a name, such as probe/s-5be2a07c.
func TaskOf(name string) Task { return Task(xxhash.Sum64String(name)) }

// Score ranks the members for a task, the same at every process: rendezvous hashing (Thaler and Ravishankar 1998).
func Score(task Task, member string) uint64 {
	h := xxhash.NewWithSeed(uint64(task))
	h.WriteString(member) // it cannot fail
	return h.Sum64()
}

// Assign gives each task to the highest-scoring member that is below the load bound (rendezvous hashing with bounded
// loads, after Mirrokni, Thorup and Zadimoghaddam 2018): no member owns more than 1.25 times the mean, or the mean
// rounded up. The standby is the highest-scoring other member. The result is a function of the two sets alone, so
// members with the same view agree. Adding or removing a member moves its own tasks, and at most 4 in 100 of the
// others, where the bound changes.
func Assign(tasks []Task, members []string) Assignment {
	a := Assignment{map[Task]string{}, map[Task]string{}}
	if len(members) == 0 {
		return a
	}
	members = slices.Sorted(slices.Values(members))
	tasks = slices.Sorted(slices.Values(tasks))
	mean := float64(len(tasks)) / float64(len(members))
	capacity := max((len(tasks)+len(members)-1)/len(members), int(maxLoadFactor*mean))
	load := map[string]int{}
	ranked := make([]scoredMember, len(members))
	for _, task := range tasks {
		for i, m := range members {
			ranked[i] = scoredMember{m, Score(task, m)}
		}
		slices.SortFunc(ranked, func(a, b scoredMember) int { return -cmp.Compare(a.score, b.score) })
		for _, m := range ranked {
			switch {
			case a.Owner[task] == "" && load[m.name] < capacity:
				a.Owner[task] = m.name
				load[m.name]++
			case a.Standby[task] == "":
				a.Standby[task] = m.name
			}
			if a.Owner[task] != "" && a.Standby[task] != "" {
				break
			}
		}
	}
	return a
}
