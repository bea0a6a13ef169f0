// Package membership implements the membership table of a process. The table records what the process receives from and
// about the other members of the fleet, each event with its time, and provides a versioned view of the members.
//
// The algorithm is a heartbeat failure detector with suspicion and incarnation numbers, as in SWIM (Das, Gupta,
// Motivala, DSN 2002). The memberlist library does the gossip, and decides by it whether a member has joined or is
// lost; this package combines these events with the heartbeats that members send directly. Only the incarnation
// distinguishes a member from an earlier process of the same name; wall clocks are never compared.
//
// The package does no I/O and has no clock, so that a simulation drives the same code as the processes. All times come
// from a clock that never goes back and that advances while the process is stopped. A Table is not safe for concurrent
// use; a View is immutable.
package membership

import (
	"cmp"
	"slices"
	"time"
)

// maxConflicts bounds the number of conflicts that a Table keeps for operators. The oldest conflicts are dropped first.
const maxConflicts = 16

// Limits holds the times by which a Table determines the states of the other members.
type Limits struct {
	// HeartbeatInterval returns the mean time between two heartbeats of a healthy member in a fleet of the given size.
	HeartbeatInterval func(size int) time.Duration
	// SuspectAfter is the number of heartbeat intervals without a heartbeat after which a member becomes suspect.
	SuspectAfter float64
	// MaxTickGap is the longest time between two ticks of a process that is merely busy. A longer time means that the
	// process was stopped.
	MaxTickGap time.Duration
}

// Table holds the state of the failure detector of one process. It is not safe for concurrent use.
type Table struct {
	limits  Limits
	self    string
	members map[string]*Member
	version uint64
	asOf    time.Duration // time of the last tick

	// recovering is true from the start of the process, and from the end of a long stop, until enough other members
	// have been heard from. awaited holds the members that were active at the end of the stop and have not been heard
	// from since.
	recovering      bool
	recoveringSince time.Duration
	awaited         map[string]bool

	conflicts           []Conflict
	stale               int64 // number of ignored messages: see Stale
	unconfiguredSenders int64 // number of messages ignored because their sender's name is not configured
	changed             bool  // the version has increased, or recovery has ended, since the last call of Changed
}

// New returns a Table for the configured names, which include self. The table begins in recovery, as after a long stop.
func New(self MemberInfo, names []string, limits Limits, now time.Duration) *Table {
	t := &Table{
		limits:          limits,
		self:            self.Name,
		members:         map[string]*Member{},
		version:         1,
		asOf:            now,
		recovering:      true,
		recoveringSince: now,
		awaited:         map[string]bool{},
	}
	for _, name := range names {
		t.members[name] = &Member{MemberInfo: MemberInfo{Name: name}, StateSince: now}
	}
	t.members[self.Name] = &Member{
		MemberInfo:    self,
		State:         publishedState(self),
		StateSince:    now,
		LastHeartbeat: now,
		Incarnations:  1,
	}
	return t
}

// publishedState returns the state of a running member, which follows from what the member publishes.
func publishedState(info MemberInfo) State {
	switch {
	case info.Leaving:
		return Left
	case info.Serving:
		return Alive
	}
	return Joining
}

// Stale returns how many messages were ignored because they came from or concerned an earlier incarnation, or came from
// a member that was lost or had left.
func (t *Table) Stale() int64 { return t.stale }

// Unconfigured returns how many messages were ignored because the name of their sender is not configured.
func (t *Table) Unconfigured() int64 { return t.unconfiguredSenders }

// markChanged starts a new version of the view.
func (t *Table) markChanged() {
	t.version++
	t.changed = true
}

// setState changes the state of a member, and records the time if the state differs.
func (t *Table) setState(m *Member, state State, now time.Duration) {
	if m.State != state {
		m.State, m.StateSince = state, now
		t.markChanged()
	}
}

// lookup returns the member that info describes, and counts a new incarnation of it. It returns nil, and counts the
// message as ignored, if the name is not configured or the incarnation is an earlier one.
func (t *Table) lookup(info MemberInfo, now time.Duration) *Member {
	m := t.members[info.Name]
	switch {
	case m == nil:
		t.unconfiguredSenders++
		return nil
	case info.Incarnation < m.Incarnation:
		t.stale++
		return nil
	case info.Incarnation > m.Incarnation:
		m.Incarnations++
		m.StateSince = now
		t.markChanged()
	}
	return m
}

// UpdateSelf replaces what this process publishes about itself. It ignores info with a lower incarnation.
func (t *Table) UpdateSelf(info MemberInfo, now time.Duration) {
	m := t.members[t.self]
	if info.Name != t.self || info.Incarnation < m.Incarnation {
		return
	}
	if info.Incarnation > m.Incarnation {
		t.markChanged()
	}
	m.MemberInfo, m.LastHeartbeat = info, now
	t.setState(m, publishedState(info), now)
}

// MarkJoined records that the gossip layer reports a member as present. This brings back a member that was lost or had
// left.
func (t *Table) MarkJoined(info MemberInfo, now time.Duration) {
	if info.Name == t.self {
		return // this process determines its own state; reports about it are ignored
	}
	m := t.lookup(info, now)
	if m == nil {
		return
	}
	m.MemberInfo, m.LastHeartbeat = info, now
	delete(t.awaited, info.Name)
	t.setState(m, publishedState(info), now)
}

// Heartbeat records a heartbeat that a member sent directly. A late heartbeat does not bring back an incarnation that
// was lost or had left.
func (t *Table) Heartbeat(info MemberInfo, now time.Duration) {
	if info.Name == t.self {
		return
	}
	m := t.members[info.Name]
	if m == nil || info.Incarnation != m.Incarnation || m.State != Unreachable && m.State != Left {
		t.MarkJoined(info, now)
		return
	}
	if info.Leaving { // the leave notice arrived after the report of the loss
		m.Leaving = true
		t.setState(m, Left, now)
		return
	}
	t.stale++
}

// MarkLost records that the gossip layer reports an incarnation of a member as lost.
func (t *Table) MarkLost(name string, incarnation uint64, now time.Duration) {
	m := t.members[name]
	if m == nil || name == t.self {
		return
	}
	if incarnation < m.Incarnation {
		t.stale++
		return
	}
	delete(t.awaited, name)
	if m.Leaving {
		t.setState(m, Left, now)
		return
	}
	t.setState(m, Unreachable, now)
}

// RecordConflict records that a second process claimed a name that is in use. A repeated conflict only updates the
// recorded time.
func (t *Table) RecordConflict(name, address string, now time.Duration) {
	for i, c := range t.conflicts {
		if c.Name == name && c.Address == address {
			t.conflicts[i].At = now
			return
		}
	}
	t.conflicts = append(t.conflicts, Conflict{name, address, now})
	t.conflicts = t.conflicts[max(0, len(t.conflicts)-maxConflicts):]
	t.markChanged()
}

// Tick records that the process is running; the caller must call it often. It detects whether the process was stopped
// since the last tick, and which members have sent no heartbeat for too long.
func (t *Table) Tick(now time.Duration) {
	if now-t.asOf > t.limits.MaxTickGap {
		t.beginRecovery(now)
	}
	t.asOf = max(t.asOf, now)
	t.members[t.self].LastHeartbeat = now
	timeout := t.suspicionTimeout()
	t.updateSuspicion(now, timeout)
	// Recovery ends once at least half of the other active members have been heard from, or after the suspicion
	// timeout: members that are silent until then become suspect, so that waiting longer is of no use.
	timedOut := now-t.recoveringSince > timeout
	if t.recovering && (timedOut || now > t.recoveringSince && t.heardFromHalf()) {
		t.recovering = false
		t.changed = true
	}
}

// beginRecovery records that the process was stopped until now. It could receive no heartbeats while it was stopped, so
// the suspicion timeouts of the other members start anew.
func (t *Table) beginRecovery(now time.Duration) {
	t.recovering, t.recoveringSince = true, now
	t.awaited = map[string]bool{}
	t.markChanged()
	for name, m := range t.members {
		if name != t.self && m.Active() {
			t.awaited[name] = true
			m.LastHeartbeat = now
		}
	}
}

// updateSuspicion moves members between Alive and Suspect by the age of their last heartbeat.
func (t *Table) updateSuspicion(now, timeout time.Duration) {
	for name, m := range t.members {
		if name == t.self {
			continue
		}
		overdue := now-m.LastHeartbeat > timeout
		switch {
		case m.State == Alive && overdue:
			t.setState(m, Suspect, now)
		case m.State == Suspect && !overdue:
			t.setState(m, Alive, now)
		}
	}
}

// heardFromHalf reports whether at least half of the other active members have been heard from since recovery began. It
// returns false if there are no other active members.
func (t *Table) heardFromHalf() bool {
	others, missing := 0, len(t.awaited)
	for name, m := range t.members {
		if name != t.self && m.Active() {
			others++
		}
	}
	return others > 0 && 2*missing <= others
}

// suspicionTimeout returns how long a member may send no heartbeat before it becomes suspect. It grows with the number
// of running members, because the heartbeat interval does.
func (t *Table) suspicionTimeout() time.Duration {
	size := 0
	for _, m := range t.members {
		if m.Active() || m.State == Joining {
			size++
		}
	}
	return time.Duration(t.limits.SuspectAfter * float64(t.limits.HeartbeatInterval(size)))
}

// Changed reports whether the version of the view has increased, or recovery has ended, since the previous call.
func (t *Table) Changed() bool {
	changed := t.changed
	t.changed = false
	return changed
}

// View returns a copy of the current state.
func (t *Table) View() View {
	v := View{
		Version:    t.version,
		AsOf:       t.asOf,
		Self:       t.self,
		Recovering: t.recovering,
		Conflicts:  slices.Clone(t.conflicts),
	}
	for _, m := range t.members {
		v.Members = append(v.Members, *m)
	}
	slices.SortFunc(v.Members, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return v
}
