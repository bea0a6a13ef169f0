// Package versionskew decides which members of a fleet act on something older than most of it, and what becomes of them: brought up,
// then restricted, then shut out. It does no I/O and has no clock.
//
// Behind is judged against what most members have had for a while, never against the newest single voice: one that lies, or sits
// alone with a newer list behind a cut, makes nobody a straggler. A part of the fleet at most is shut out; if most are behind what was
// once level, or no version is most members', nobody is, and that is said: the source is at fault.
package versionskew

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"
)

// State is what becomes of a member.
type State int

// The steps, each after the one before.
const (
	Current    State = iota
	Lagging          // it is to catch up
	Restricted       // and does nothing for the others, and nothing that more than its own part bears
	Fenced           // and takes no clients
)

var names = [...]string{"level", "behind", "restricted", "shut out"}

// String is the step's name as operators see it.
func (s State) String() string { return names[s] }

// Limits say when.
type Limits struct {
	// Settle is for how long most members must have had a version until it counts: a change takes that long to reach all.
	Settle time.Duration
	// RestrictAfter and FenceAfter are how long a member has been behind until then.
	RestrictAfter, FenceAfter time.Duration
	// RecoverAfter is for how long one that was restricted or shut out must have been level again.
	RecoverAfter time.Duration
	// MaxFencedFraction is the largest part of the fleet that is shut out at once; of a smaller fleet than 1/MaxFencedFraction, nobody.
	MaxFencedFraction float64
}

// DefaultLimits are the limits that members go by where the file says nothing else.
var DefaultLimits = Limits{Settle: 1500 * time.Millisecond, RestrictAfter: 3 * time.Second, FenceAfter: 10 * time.Second, RecoverAfter: 2 * time.Second, MaxFencedFraction: 0.25}

// Validate tells whether limits can work.
func (l Limits) Validate() error {
	if l.Settle <= 0 || l.RestrictAfter < l.Settle || l.FenceAfter < l.RestrictAfter || l.RecoverAfter <= 0 || !(l.MaxFencedFraction > 0 && l.MaxFencedFraction < 0.5) {
		// The names are what operators read, whatever the fields are called.
		return fmt.Errorf("straggler: limits {Settle:%v Restrict:%v Out:%v Back:%v Part:%v}: want 0 < settle <= restrict <= out, back over 0, part over 0 and under 0.5",
			l.Settle, l.RestrictAfter, l.FenceAfter, l.RecoverAfter, l.MaxFencedFraction)
	}
	return nil
}

// Report is what a member tells of itself.
type Report struct {
	Name           string
	ListVersion    uint64
	SettingsDigest uint64
}

// MemberStatus is how a member looks from here.
type MemberStatus struct {
	Report
	State        State
	Reason       string        // list or settings; none if level
	Since        time.Duration // of the step
	LaggingSince time.Duration // since when it has been behind; meaningless if level
}

// Assessment is a look at the whole fleet.
type Assessment struct {
	List     uint64 // that most have had for Settle
	Settings uint64 // that most have; 0: none is most members'
	// Fault says why nobody new is shut out though some are behind for long; empty: it is not so.
	Fault   string
	Members map[string]MemberStatus
}

// Detector looks at the fleet again and again. By itself it holds to what it last saw, so a member that falls silent is no
// straggler: membership looks after those. It is not safe for use by several goroutines at once.
type Detector struct {
	limits  Limits
	members map[string]*member
	lists   []had // versions that most have reached, oldest first
	hands   map[string]State
	frozen  bool
	last    Assessment
}

type had struct {
	version uint64
	at      time.Duration
}

type member struct {
	MemberStatus
	level time.Duration // since when, if it is
}

// New returns a Judge that knows nobody.
func New(limits Limits) *Detector {
	return &Detector{limits: limits, members: map[string]*member{}, hands: map[string]State{}, last: Assessment{Members: map[string]MemberStatus{}}}
}

// Freeze stops (or lets go on) every change of a step.
func (j *Detector) Freeze(frozen bool) { j.frozen = frozen }

// Override sets a member's step by the operator's hand, Level or Out, until Free.
func (j *Detector) Override(name string, s State) { j.hands[name] = s }

// ClearOverride gives a member back to the judgement.
func (j *Detector) ClearOverride(name string) { delete(j.hands, name) }

// Assess judges the members that count now. They have to be seen freshly: the caller judges nothing while it sees nobody, or only
// a part of the fleet; see Majority.
func (j *Detector) Assess(now time.Duration, told []Report) Assessment {
	if j.frozen || len(told) == 0 {
		return j.last
	}
	v := Assessment{List: j.level(now, told), Settings: most(told), Members: map[string]MemberStatus{}}
	seen := map[string]bool{}
	for _, t := range told {
		seen[t.Name] = true
		m := j.members[t.Name]
		if m == nil {
			m = &member{MemberStatus: MemberStatus{Since: now}, level: now}
			j.members[t.Name] = m
		}
		m.Report = t
		why := ""
		switch {
		case t.ListVersion < v.List:
			why = "list"
		case v.Settings != 0 && t.SettingsDigest != v.Settings:
			why = "settings"
		}
		switch {
		case why == "":
			if m.Reason != "" {
				m.level = now
			}
		case m.Reason == "":
			m.LaggingSince = now
		}
		m.Reason = why
	}
	maps.DeleteFunc(j.members, func(name string, _ *member) bool { return !seen[name] })
	j.steps(now, &v)
	for name, m := range j.members {
		v.Members[name] = m.MemberStatus
	}
	j.last = v
	return v
}

// level is the newest list that most members have had for Settle. It goes back only with most members: after that nobody is behind
// what discovery no longer tells.
func (j *Detector) level(now time.Duration, told []Report) uint64 {
	lists := make([]uint64, len(told))
	for i, t := range told {
		lists[i] = t.ListVersion
	}
	slices.SortFunc(lists, func(a, b uint64) int { return cmp.Compare(b, a) })
	reached := lists[len(lists)/2] // by more than half
	j.lists = slices.DeleteFunc(j.lists, func(h had) bool { return h.version > reached })
	if n := len(j.lists); n == 0 || j.lists[n-1].version < reached {
		j.lists = append(j.lists, had{reached, now})
	}
	at := 0
	for i, h := range j.lists {
		if now-h.at >= j.limits.Settle {
			at = i
		}
	}
	if j.lists = j.lists[at:]; now-j.lists[0].at < j.limits.Settle {
		return 0
	}
	return j.lists[0].version
}

// most is the settings that more than half of the members have; 0: none.
func most(told []Report) uint64 {
	count := map[uint64]int{}
	for _, t := range told {
		if count[t.SettingsDigest]++; 2*count[t.SettingsDigest] > len(told) {
			return t.SettingsDigest
		}
	}
	return 0
}

// steps moves members on and back.
func (j *Detector) steps(now time.Duration, v *Assessment) {
	out, behind, long := 0, 0, []*member(nil)
	for _, m := range j.members {
		if m.Reason != "" {
			behind++
		}
		if m.State == Fenced {
			out++
		}
	}
	set := func(m *member, s State) {
		if m.State != s {
			m.State, m.Since = s, now
		}
	}
	for name, m := range j.members {
		if s, ok := j.hands[name]; ok {
			set(m, s)
			continue
		}
		late := now - m.LaggingSince
		switch {
		case m.Reason == "" && m.State <= Lagging, m.Reason == "" && now-m.level >= j.limits.RecoverAfter:
			set(m, Current)
		case m.Reason == "": // level, but not for long
		case m.State == Fenced:
		case late >= j.limits.FenceAfter:
			set(m, Restricted)
			long = append(long, m)
		case late >= j.limits.RestrictAfter:
			set(m, max(m.State, Restricted))
		case late >= j.limits.Settle:
			set(m, max(m.State, Lagging))
		}
	}
	if v.Settings == 0 && len(j.members) > 1 {
		v.Fault = "no settings are most members'"
	}
	if len(long) == 0 {
		return
	}
	room := int(j.limits.MaxFencedFraction*float64(len(j.members))) - out
	if 2*behind >= len(j.members) {
		room, v.Fault = 0, fmt.Sprintf("%d of %d are behind: the source is at fault", behind, len(j.members))
	} else if room < len(long) {
		v.Fault = fmt.Sprintf("%d more would be shut out, and no more than %.0f%% may be", len(long)-max(room, 0), 100*j.limits.MaxFencedFraction)
	}
	slices.SortFunc(long, func(a, b *member) int {
		return cmp.Or(cmp.Compare(a.LaggingSince, b.LaggingSince), cmp.Compare(a.Name, b.Name))
	})
	for _, m := range long[:min(len(long), max(room, 0))] {
		set(m, Fenced)
	}
}
