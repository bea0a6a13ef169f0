package membership

import "time"

// View is the fleet as one process sees it at one time. It is immutable once returned.
type View struct {
	// Version increases when a member's state or incarnation changes, a conflict is recorded, or recovery begins. It
	// never decreases within an incarnation of the process.
	Version uint64
	AsOf    time.Duration // last time at which the view was known to be valid
	Self    string        // name of the process that has this view
	Members []Member      // sorted by name
	// Recovering is true while the process, after its start or after a long stop, has not heard from enough other
	// members again.
	Recovering bool
	Conflicts  []Conflict
}

// Fresh reports whether a decision at the time now may be based on the view: the time since the view was last known to
// be valid is at most within, and the process is not recovering after its start or a long stop. Call it directly before
// each action.
func (v View) Fresh(now, within time.Duration) bool { return !v.Recovering && now-v.AsOf <= within }

// ActiveMembers returns the members that work may be shared with, sorted by name.
func (v View) ActiveMembers() []Member {
	var active []Member
	for _, m := range v.Members {
		if m.Active() {
			active = append(active, m)
		}
	}
	return active
}

// Conflict describes a name that two processes claimed at once.
type Conflict struct {
	Name    string
	Address string        // address of the second process
	At      time.Duration // when the conflict was last seen
}
