package membership

import "time"

// View is the fleet as one process sees it at one time. It is immutable once returned.
type View struct {
	Version uint64        // grows with every change, and never decreases within an incarnation of the process
	AsOf    time.Duration // the last time at which the view was known to hold
	Self    string        // name of the process that has this view
	Members []Member      // by name
	// Recovering is true while the process, after its start or after a long stop, has not yet heard from enough of
	// the others again.
	Recovering bool
	Conflicts  []Conflict
}

// Fresh reports whether a decision may rest on the view at a time: it was known to hold not longer than within ago,
// and what was missed while the process was stopped has been received. Call it directly before each action.
func (v View) Fresh(now, within time.Duration) bool { return !v.Recovering && now-v.AsOf <= within }

// ActiveMembers returns the members that work may be shared with, by name.
func (v View) ActiveMembers() []Member {
	var active []Member
	for _, m := range v.Members {
		if m.Active() {
			active = append(active, m)
		}
	}
	return active
}

// Conflict is a name that two processes claimed at once.
type Conflict struct {
	Name    string
	Address string        // of the second process
	At      time.Duration // last seen
}
