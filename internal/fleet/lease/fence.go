package lease

import (
	"maps"
	"time"
)

// fenceTTL is how long a token fences lower ones off after the last result under it. All members but this one may have
// lost what they knew, so that tokens start over; results of earlier leases that still arrive after this time are
// too old to matter.
const fenceTTL = 10 * time.Second

// Fence rejects results of leases that were followed by another. Its zero value has seen no result. It is not safe for
// concurrent use.
type Fence struct{ lastAccepted map[Task]acceptedToken }

type acceptedToken struct {
	token uint64
	at    time.Duration
}

// Accept reports whether a result under a lease's token is current, and if so remembers the token.
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

// HighestToken is the highest remembered token of any task.
func (f *Fence) HighestToken() (highest uint64) {
	for _, last := range f.lastAccepted {
		highest = max(highest, last.token)
	}
	return highest
}

// Retain forgets all tasks but the known ones.
func (f *Fence) Retain(known func(Task) bool) {
	maps.DeleteFunc(f.lastAccepted, func(task Task, _ acceptedToken) bool { return !known(task) })
}
