// Package membership decides who is in the fleet: what a process has heard of the others goes in, each with its time, and a
// numbered view comes out. It does no I/O and has no clock, so that a simulation drives the same code as the
// processes. Times are of a clock that only advances and goes on while a process is stopped.
package membership

import (
	"cmp"
	"slices"
	"time"
)

// State is how a member looks from here.
type State uint8

// The states of a member.
const (
	Unknown     State = iota // configured, and never heard of
	Joining                  // it is there, and does not serve yet
	Alive                    // it serves
	Suspect                  // it served, and has given no sign for a while
	Unreachable              // it was given up; it may be there all the same
	Left                     // it said that it goes
)

var stateNames = [...]string{"unknown", "joining", "alive", "suspect", "unreachable", "left"}

// String is the state's name as operators see it.
func (s State) String() string { return stateNames[s] }

// MemberInfo is what a member tells of itself.
type MemberInfo struct {
	Name string
	Zone string
	// Incarnation orders the lives of one name: a later life has a higher one, whatever the clocks say.
	Incarnation  uint64
	Started      time.Time // by its own wall clock
	Version      string    // of the program
	Settings     uint64    // fingerprint of the settings in force
	ListVersion  uint64    // version of discovery's list that it acts on
	HighestToken uint64    // the highest number of a lease that it knows of, by its last beat
	Serving      bool
	Leaving      bool
}

// Member is one name of the fleet as it looks from here.
type Member struct {
	MemberInfo
	State         State
	Since         time.Duration // of the state
	LastHeartbeat time.Duration // the last sign of life; how sure a state is
	Incarnations  int           // incarnations seen of this name
}

// Active tells whether a member is one that work may be shared with.
func (m Member) Active() bool { return m.State == Alive || m.State == Suspect }

// View is who is there, at a time. It is never changed once it was handed out.
type View struct {
	Version uint64        // grows with every change; never goes back within a life
	AsOf    time.Duration // the last time at which it was known to hold
	Self    string
	Members []Member // by name
	// Recovering says that the process was stopped for long, or has just started, and has not yet heard from the others again.
	Recovering bool
	Conflicts  []Conflict
}

// Conflict is a name that was claimed by two processes at once.
type Conflict struct {
	Name, Address string
	At            time.Duration
}

// Fresh tells whether a decision may rest on the view at a time: it was known to hold a moment ago, and what
// was missed while the process was stopped has been heard. It is to be asked directly before each act.
func (v View) Fresh(now, within time.Duration) bool { return !v.Recovering && now-v.AsOf <= within }

// ActiveMembers are the members that count, by name.
func (v View) ActiveMembers() []Member {
	var out []Member
	for _, m := range v.Members {
		if m.Active() {
			out = append(out, m)
		}
	}
	return out
}

// Limits are the times by which a Table judges.
type Limits struct {
	// HeartbeatInterval is how often a member is heard from, on the mean, where all is well and the fleet is of the size
	// that is given. After SuspectAfter such times without a sign it is suspect.
	HeartbeatInterval func(size int) time.Duration
	SuspectAfter      float64
	// MaxTickGap is the longest pause between ticks that a process that is only busy has.
	MaxTickGap time.Duration
}

// Table keeps what was heard. It is not safe for use by several goroutines at once.
type Table struct {
	limits    Limits
	self      string
	members   map[string]*Member
	number    uint64
	asOf      time.Duration
	woke      bool
	wokeAt    time.Duration
	waitFor   map[string]bool // who counted when it stopped, and has not been heard from since it woke
	conflicts []Conflict
	stale     int64
	strangers int64
	changed   bool
}

// mostConflicts is how many conflicts are kept to be shown, the newest.
const mostConflicts = 16

// New returns a Table for the configured names, of which self is one. It begins as one that has just woken.
func New(self MemberInfo, names []string, limits Limits, now time.Duration) *Table {
	t := &Table{limits: limits, self: self.Name, members: map[string]*Member{}, asOf: now, woke: true, wokeAt: now, waitFor: map[string]bool{}, number: 1}
	for _, n := range names {
		t.members[n] = &Member{MemberInfo: MemberInfo{Name: n}, Since: now}
	}
	t.members[self.Name] = &Member{MemberInfo: self, State: stateOf(self), Since: now, LastHeartbeat: now, Incarnations: 1}
	return t
}

func stateOf(i MemberInfo) State {
	switch {
	case i.Leaving:
		return Left
	case i.Serving:
		return Alive
	}
	return Joining
}

// Stale is how many words of earlier lives, or of members given up, were passed over.
func (t *Table) Stale() int64 { return t.stale }

// Unconfigured is how many words of names that are not configured were passed over.
func (t *Table) Unconfigured() int64 { return t.strangers }

// set changes a member's state.
func (t *Table) set(m *Member, s State, now time.Duration) {
	if m.State != s {
		m.State, m.Since = s, now
		t.number++
		t.changed = true
	}
}

// accept takes what a member tells of itself unless it is of an earlier life.
func (t *Table) accept(i MemberInfo, now time.Duration) *Member {
	m := t.members[i.Name]
	switch {
	case m == nil:
		t.strangers++
		return nil
	case i.Incarnation < m.Incarnation:
		t.stale++
		return nil
	case i.Incarnation > m.Incarnation:
		m.Incarnations++
		m.Since = now
		t.number++
		t.changed = true
	}
	return m
}

// UpdateSelf changes what this process tells of itself; a lower incarnation is passed over.
func (t *Table) UpdateSelf(i MemberInfo, now time.Duration) {
	if m := t.members[t.self]; i.Name == t.self && i.Incarnation >= m.Incarnation {
		if i.Incarnation > m.Incarnation {
			t.number++
			t.changed = true
		}
		m.MemberInfo, m.LastHeartbeat = i, now
		t.set(m, stateOf(i), now)
	}
}

// MarkJoined takes the news that a member is there, by those who agree on who is: it brings back one that was given up.
func (t *Table) MarkJoined(i MemberInfo, now time.Duration) {
	if i.Name == t.self {
		return // nobody knows better than this process whether it is there
	}
	m := t.accept(i, now)
	if m == nil {
		return
	}
	m.MemberInfo, m.LastHeartbeat = i, now
	delete(t.waitFor, i.Name)
	t.set(m, stateOf(i), now)
}

// Heartbeat takes a sign of life that came straight from a member. A late one does not bring back one that was given up.
func (t *Table) Heartbeat(i MemberInfo, now time.Duration) {
	m := t.members[i.Name]
	if i.Name == t.self {
		return
	}
	if m != nil && i.Incarnation == m.Incarnation && (m.State == Unreachable || m.State == Left) {
		if i.Leaving { // its goodbye came behind the news that it is gone
			m.Leaving = true
			t.set(m, Left, now)
			return
		}
		t.stale++
		return
	}
	t.MarkJoined(i, now)
}

// MarkLost takes the news that a life of a member was given up.
func (t *Table) MarkLost(name string, incarnation uint64, now time.Duration) {
	m := t.members[name]
	if m == nil || name == t.self {
		return
	}
	if incarnation < m.Incarnation {
		t.stale++
		return
	}
	delete(t.waitFor, name)
	if m.Leaving {
		t.set(m, Left, now)
		return
	}
	t.set(m, Unreachable, now)
}

// RecordConflict takes the news that a second process claimed a name that is in use.
func (t *Table) RecordConflict(name, address string, now time.Duration) {
	for i, c := range t.conflicts {
		if c.Name == name && c.Address == address {
			t.conflicts[i].At = now
			return
		}
	}
	t.conflicts = append(t.conflicts, Conflict{name, address, now})
	t.conflicts = t.conflicts[max(0, len(t.conflicts)-mostConflicts):]
	t.number++
	t.changed = true
}

// Tick is called often, and says that the process runs. It finds out that it had been stopped, and who has given
// no sign.
func (t *Table) Tick(now time.Duration) {
	if now-t.asOf > t.limits.MaxTickGap {
		t.woke, t.wokeAt = true, now
		t.waitFor = map[string]bool{}
		t.changed = true
		t.number++
		for name, m := range t.members {
			if name != t.self && m.Active() {
				t.waitFor[name] = true
				m.LastHeartbeat = now // while it was stopped it could hear nobody
			}
		}
	}
	t.asOf = max(t.asOf, now)
	t.members[t.self].LastHeartbeat = now
	limit := t.patience()
	for name, m := range t.members {
		if name == t.self {
			continue
		}
		if m.State == Alive && now-m.LastHeartbeat > limit {
			t.set(m, Suspect, now)
		} else if m.State == Suspect && now-m.LastHeartbeat <= limit {
			t.set(m, Alive, now)
		}
	}
	// The others have been heard again once half of those that counted have, or once nobody can be waited for longer.
	if t.woke && now-t.wokeAt > limit || t.woke && now > t.wokeAt && t.heardAgain() {
		t.woke = false
		t.changed = true
	}
}

// heardAgain tells whether most of those that counted before have been heard from since it woke.
func (t *Table) heardAgain() bool {
	others, missing := 0, len(t.waitFor)
	for name, m := range t.members {
		if name != t.self && m.Active() {
			others++
		}
	}
	return others > 0 && 2*missing <= others
}

// patience is how long no sign is none to worry about.
func (t *Table) patience() time.Duration {
	size := 0
	for _, m := range t.members {
		if m.Active() || m.State == Joining {
			size++
		}
	}
	return time.Duration(t.limits.SuspectAfter * float64(t.limits.HeartbeatInterval(size)))
}

// Changed tells whether anything but times has changed since it was last asked.
func (t *Table) Changed() bool {
	c := t.changed
	t.changed = false
	return c
}

// Incarnation is the latest that was heard of a name; 0: none.
func (t *Table) Incarnation(name string) uint64 {
	if m := t.members[name]; m != nil {
		return m.Incarnation
	}
	return 0
}

// View is who is there now.
func (t *Table) View() View {
	v := View{Version: t.number, AsOf: t.asOf, Self: t.self, Recovering: t.woke, Conflicts: slices.Clone(t.conflicts)}
	for _, m := range t.members {
		v.Members = append(v.Members, *m)
	}
	slices.SortFunc(v.Members, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return v
}
