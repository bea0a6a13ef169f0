// Package straggler decides which members of a fleet act on something older than most of it, and what becomes of them: brought up,
// then restricted, then shut out. It does no I/O and has no clock.
//
// Behind is judged against what most members have had for a while, never against the newest single voice: one that lies, or sits
// alone with a newer list behind a cut, makes nobody a straggler. A part of the fleet at most is shut out; if most are behind what was
// once level, or no version is most members', nobody is, and that is said: the source is at fault.
package straggler

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"
)

// Step is what becomes of a member.
type Step int

// The steps, each after the one before.
const (
	Level      Step = iota
	Behind          // it is to catch up
	Restricted      // and does nothing for the others, and nothing that more than its own part bears
	Out             // and takes no clients
)

var names = [...]string{"level", "behind", "restricted", "shut out"}

// String is the step's name as operators see it.
func (s Step) String() string { return names[s] }

// Limits say when.
type Limits struct {
	// Settle is for how long most members must have had a version until it counts: a change takes that long to reach all.
	Settle time.Duration
	// Restrict and Out are how long a member has been behind until then.
	Restrict, Out time.Duration
	// Back is for how long one that was restricted or shut out must have been level again.
	Back time.Duration
	// Part is the largest part of the fleet that is shut out at once; of a smaller fleet than 1/Part, nobody.
	Part float64
}

// Usual are the limits that members go by where the file says nothing else.
var Usual = Limits{Settle: 1500 * time.Millisecond, Restrict: 3 * time.Second, Out: 10 * time.Second, Back: 2 * time.Second, Part: 0.25}

// Validate tells whether limits can work.
func (l Limits) Validate() error {
	if l.Settle <= 0 || l.Restrict < l.Settle || l.Out < l.Restrict || l.Back <= 0 || !(l.Part > 0 && l.Part < 0.5) {
		// The names are what operators read, whatever the fields are called.
		return fmt.Errorf("straggler: limits {Settle:%v Restrict:%v Out:%v Back:%v Part:%v}: want 0 < settle <= restrict <= out, back over 0, part over 0 and under 0.5",
			l.Settle, l.Restrict, l.Out, l.Back, l.Part)
	}
	return nil
}

// Told is what a member tells of itself.
type Told struct {
	Name     string
	List     uint64
	Settings uint64
}

// Status is how a member looks from here.
type Status struct {
	Told
	Step   Step
	Why    string        // list or settings; none if level
	Since  time.Duration // of the step
	Behind time.Duration // since when it has been behind; meaningless if level
}

// Verdict is a look at the whole fleet.
type Verdict struct {
	List     uint64 // that most have had for Settle
	Settings uint64 // that most have; 0: none is most members'
	// Fault says why nobody new is shut out though some are behind for long; empty: it is not so.
	Fault   string
	Members map[string]Status
}

// Judge looks at the fleet again and again. By itself it holds to what it last saw, so a member that falls silent is no
// straggler: membership looks after those. It is not safe for use by several goroutines at once.
type Judge struct {
	limits  Limits
	members map[string]*member
	lists   []had // versions that most have reached, oldest first
	hands   map[string]Step
	frozen  bool
	last    Verdict
}

type had struct {
	version uint64
	at      time.Duration
}

type member struct {
	Status
	level time.Duration // since when, if it is
}

// New returns a Judge that knows nobody.
func New(limits Limits) *Judge {
	return &Judge{limits: limits, members: map[string]*member{}, hands: map[string]Step{}, last: Verdict{Members: map[string]Status{}}}
}

// Freeze stops (or lets go on) every change of a step.
func (j *Judge) Freeze(frozen bool) { j.frozen = frozen }

// Hand sets a member's step by the operator's hand, Level or Out, until Free.
func (j *Judge) Hand(name string, s Step) { j.hands[name] = s }

// Free gives a member back to the judgement.
func (j *Judge) Free(name string) { delete(j.hands, name) }

// Look judges the members that count now. They have to be seen freshly: the caller judges nothing while it sees nobody, or only
// a part of the fleet; see Majority.
func (j *Judge) Look(now time.Duration, told []Told) Verdict {
	if j.frozen || len(told) == 0 {
		return j.last
	}
	v := Verdict{List: j.level(now, told), Settings: most(told), Members: map[string]Status{}}
	seen := map[string]bool{}
	for _, t := range told {
		seen[t.Name] = true
		m := j.members[t.Name]
		if m == nil {
			m = &member{Status: Status{Since: now}, level: now}
			j.members[t.Name] = m
		}
		m.Told = t
		why := ""
		switch {
		case t.List < v.List:
			why = "list"
		case v.Settings != 0 && t.Settings != v.Settings:
			why = "settings"
		}
		switch {
		case why == "":
			if m.Why != "" {
				m.level = now
			}
		case m.Why == "":
			m.Behind = now
		}
		m.Why = why
	}
	maps.DeleteFunc(j.members, func(name string, _ *member) bool { return !seen[name] })
	j.steps(now, &v)
	for name, m := range j.members {
		v.Members[name] = m.Status
	}
	j.last = v
	return v
}

// level is the newest list that most members have had for Settle. It goes back only with most members: after that nobody is behind
// what discovery no longer tells.
func (j *Judge) level(now time.Duration, told []Told) uint64 {
	lists := make([]uint64, len(told))
	for i, t := range told {
		lists[i] = t.List
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
func most(told []Told) uint64 {
	count := map[uint64]int{}
	for _, t := range told {
		if count[t.Settings]++; 2*count[t.Settings] > len(told) {
			return t.Settings
		}
	}
	return 0
}

// steps moves members on and back.
func (j *Judge) steps(now time.Duration, v *Verdict) {
	out, behind, long := 0, 0, []*member(nil)
	for _, m := range j.members {
		if m.Why != "" {
			behind++
		}
		if m.Step == Out {
			out++
		}
	}
	set := func(m *member, s Step) {
		if m.Step != s {
			m.Step, m.Since = s, now
		}
	}
	for name, m := range j.members {
		if s, ok := j.hands[name]; ok {
			set(m, s)
			continue
		}
		late := now - m.Behind
		switch {
		case m.Why == "" && m.Step <= Behind, m.Why == "" && now-m.level >= j.limits.Back:
			set(m, Level)
		case m.Why == "": // level, but not for long
		case m.Step == Out:
		case late >= j.limits.Out:
			set(m, Restricted)
			long = append(long, m)
		case late >= j.limits.Restrict:
			set(m, max(m.Step, Restricted))
		case late >= j.limits.Settle:
			set(m, max(m.Step, Behind))
		}
	}
	if v.Settings == 0 && len(j.members) > 1 {
		v.Fault = "no settings are most members'"
	}
	if len(long) == 0 {
		return
	}
	room := int(j.limits.Part*float64(len(j.members))) - out
	if 2*behind >= len(j.members) {
		room, v.Fault = 0, fmt.Sprintf("%d of %d are behind: the source is at fault", behind, len(j.members))
	} else if room < len(long) {
		v.Fault = fmt.Sprintf("%d more would be shut out, and no more than %.0f%% may be", len(long)-max(room, 0), 100*j.limits.Part)
	}
	slices.SortFunc(long, func(a, b *member) int { return cmp.Or(cmp.Compare(a.Behind, b.Behind), cmp.Compare(a.Name, b.Name)) })
	for _, m := range long[:min(len(long), max(room, 0))] {
		set(m, Out)
	}
}
