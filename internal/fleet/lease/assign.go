package lease

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// maxLoadFactor bounds the number of tasks that a member owns, as a multiple of the mean number of tasks per member.
const maxLoadFactor = 1.25

// Assignment maps each task to the member that should own it, and to the standby for it.
type Assignment struct {
	Owner, Standby map[Task]string
}

// scoredMember is a member with its score for one task.
type scoredMember struct {
	name  string
	score uint64
}

// TaskOf returns the task with the given name, such as probe/s-5be2a07c.
func TaskOf(name string) Task { return Task(xxhash.Sum64String(name)) }

// Score returns the score of a member for a task in rendezvous hashing (Thaler and Ravishankar 1998): the member with
// the highest score ranks first. Every process computes the same score.
func Score(task Task, member string) uint64 {
	h := xxhash.NewWithSeed(uint64(task))
	h.WriteString(member) // never returns an error
	return h.Sum64()
}

// Assign gives each task to the highest-scoring member that is below the load bound (rendezvous hashing with bounded
// loads, after Mirrokni, Thorup and Zadimoghaddam 2018): no member owns more than 1.25 times the mean, or more than the
// mean rounded up where that is larger. The standby is the highest-scoring other member. The result depends only on the
// two sets, so members with the same view agree. Adding or removing a member moves its own tasks, and where the load
// bound changes, at most 4% of the other tasks.
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
