package lease

import (
	"maps"
	"time"
)

// fenceTTL is how long lower tokens are rejected after the last accepted result. All other members may have lost their
// state, so that their tokens start over; then their results must be accepted again after this time. Results of earlier
// leases that arrive later than this are too old to matter.
const fenceTTL = 10 * time.Second

// Fence rejects results of leases that a later lease has replaced. Its zero value has seen no result. It is not safe
// for concurrent use.
type Fence struct{ lastAccepted map[Task]acceptedToken }

// acceptedToken is the token of the last accepted result for a task.
type acceptedToken struct {
	token uint64
	at    time.Duration // time at which the result was accepted
}

// Accept reports whether a result under the token of a lease is current, and if so records the token.
func (f *Fence) Accept(now time.Duration, task Task, token uint64) bool {
	if f.lastAccepted == nil {
		f.lastAccepted = map[Task]acceptedToken{}
	}
	if last := f.lastAccepted[task]; token < last.token && now-last.at < fenceTTL {
		return false
	}
	f.lastAccepted[task] = acceptedToken{token, now}
	return true
}

// HighestToken returns the highest recorded token of any task.
func (f *Fence) HighestToken() (highest uint64) {
	for _, last := range f.lastAccepted {
		highest = max(highest, last.token)
	}
	return highest
}

// Retain drops the tokens of all tasks for which known returns false.
func (f *Fence) Retain(known func(Task) bool) {
	maps.DeleteFunc(f.lastAccepted, func(task Task, _ acceptedToken) bool { return !known(task) })
}
