package versionskew

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"
)

// Detector repeatedly assesses the members of the fleet. It uses the last report of each member, so a silent member
// does not count as lagging; package membership detects silent members. A Detector is not safe for concurrent use.
type Detector struct {
	limits         Limits
	members        map[string]*member
	reached        []reachedVersion // list versions that a majority has reached, oldest first
	overrides      map[string]State
	frozen         bool
	lastAssessment Assessment
}

// reachedVersion is a list version, and the time at which a majority was first seen to have it or a newer one.
type reachedVersion struct {
	version uint64
	at      time.Duration
}

type member struct {
	MemberStatus
	currentSince time.Duration // when the member ceased to lag or was first seen; meaningless if it lags
}

// New returns a Detector without members.
func New(limits Limits) *Detector {
	return &Detector{
		limits:         limits,
		members:        map[string]*member{},
		overrides:      map[string]State{},
		lastAssessment: Assessment{Members: map[string]MemberStatus{}},
	}
}

// Freeze suspends all changes of states while frozen is true.
func (d *Detector) Freeze(frozen bool) { d.frozen = frozen }

// Override sets the state of a member to Current or Fenced, as an operator decided, until ClearOverride is called.
func (d *Detector) Override(name string, s State) { d.overrides[name] = s }

// ClearOverride ends an override, so that the detector determines the state of the member again.
func (d *Detector) ClearOverride(name string) { delete(d.overrides, name) }

// Assess assesses the active members. The reports must come from a fresh view that includes a majority of the fleet:
// the caller must not call Assess while it sees no member, or only a minority. While frozen, or without reports, Assess
// returns the last assessment.
func (d *Detector) Assess(now time.Duration, reports []Report) Assessment {
	if d.frozen || len(reports) == 0 {
		return d.lastAssessment
	}
	a := Assessment{
		ListVersion:    d.settledListVersion(now, reports),
		SettingsDigest: majoritySettings(reports),
		Members:        map[string]MemberStatus{},
	}
	reported := map[string]bool{}
	for _, r := range reports {
		reported[r.Name] = true
		d.applyReport(now, r, a)
	}
	maps.DeleteFunc(d.members, func(name string, _ *member) bool { return !reported[name] })
	d.updateStates(now, &a)
	for name, m := range d.members {
		a.Members[name] = m.MemberStatus
	}
	d.lastAssessment = a
	return a
}

// settledListVersion returns the newest list version that a majority has had for SettleTime, or 0 if there is none. The
// version decreases only when a majority goes back to an older list, so that no member lags behind a list that
// discovery no longer publishes.
func (d *Detector) settledListVersion(now time.Duration, reports []Report) uint64 {
	versions := make([]uint64, len(reports))
	for i, r := range reports {
		versions[i] = r.ListVersion
	}
	slices.SortFunc(versions, func(a, b uint64) int { return cmp.Compare(b, a) })
	majority := versions[len(versions)/2] // more than half have it or a newer one
	d.reached = slices.DeleteFunc(d.reached, func(r reachedVersion) bool { return r.version > majority })
	if n := len(d.reached); n == 0 || d.reached[n-1].version < majority {
		d.reached = append(d.reached, reachedVersion{majority, now})
	}
	newestSettled := 0
	for i, r := range d.reached {
		if now-r.at >= d.limits.SettleTime {
			newestSettled = i
		}
	}
	d.reached = d.reached[newestSettled:]
	if now-d.reached[0].at < d.limits.SettleTime {
		return 0
	}
	return d.reached[0].version
}

// majoritySettings returns the settings digest of more than half of the members, or 0 if there is none.
func majoritySettings(reports []Report) uint64 {
	count := map[uint64]int{}
	for _, r := range reports {
		if count[r.SettingsDigest]++; 2*count[r.SettingsDigest] > len(reports) {
			return r.SettingsDigest
		}
	}
	return 0
}

// applyReport records the report of a member, whether the member lags, and since when.
func (d *Detector) applyReport(now time.Duration, r Report, a Assessment) {
	m := d.members[r.Name]
	if m == nil {
		m = &member{MemberStatus: MemberStatus{Since: now}, currentSince: now}
		d.members[r.Name] = m
	}
	m.Report = r
	reason := ""
	switch {
	case r.ListVersion < a.ListVersion:
		reason = reasonList
	case a.SettingsDigest != 0 && r.SettingsDigest != a.SettingsDigest:
		reason = reasonSettings
	}
	lagged, lags := m.Reason != "", reason != ""
	switch {
	case lagged && !lags:
		m.currentSince = now
	case !lagged && lags:
		m.LaggingSince = now
	}
	m.Reason = reason
}

// updateStates moves the members to their next states, and fences members that are due as far as the limits allow.
func (d *Detector) updateStates(now time.Duration, a *Assessment) {
	lagging, fenced := 0, 0
	for _, m := range d.members {
		if m.Reason != "" {
			lagging++
		}
		if m.State == Fenced {
			fenced++
		}
	}
	var due []*member
	for name, m := range d.members {
		if s, ok := d.overrides[name]; ok {
			m.setState(now, s)
			continue
		}
		next, fenceDue := d.nextState(now, m)
		m.setState(now, next)
		if fenceDue {
			due = append(due, m)
		}
	}
	if a.SettingsDigest == 0 && len(d.members) > 1 {
		a.Fault = "no settings are most members'"
	}
	if len(due) > 0 {
		d.fence(now, due, lagging, fenced, a)
	}
}

func (m *member) setState(now time.Duration, s State) {
	if m.State != s {
		m.State, m.Since = s, now
	}
}

// nextState returns the state that follows from how long a member has lagged or been current. fenceDue reports that the
// member has lagged long enough to be fenced; the member stays Restricted until fence decides.
func (d *Detector) nextState(now time.Duration, m *member) (next State, fenceDue bool) {
	if m.Reason == "" {
		if m.State <= Lagging || now-m.currentSince >= d.limits.RecoverAfter {
			return Current, false
		}
		return m.State, false
	}
	lag := now - m.LaggingSince
	switch {
	case m.State == Fenced:
		return Fenced, false
	case lag >= d.limits.FenceAfter:
		return Restricted, true
	case lag >= d.limits.RestrictAfter:
		return max(m.State, Restricted), false
	case lag >= d.limits.SettleTime:
		return max(m.State, Lagging), false
	}
	return m.State, false
}

// fence fences the members that are due as far as MaxFencedFraction allows, those that have lagged longest first. It
// fences none if at least half of the fleet lags. lagging and fenced are the numbers of lagging and fenced members
// before this assessment changed any state.
func (d *Detector) fence(now time.Duration, due []*member, lagging, fenced int, a *Assessment) {
	allowed := int(d.limits.MaxFencedFraction*float64(len(d.members))) - fenced
	if 2*lagging >= len(d.members) {
		allowed = 0
		a.Fault = fmt.Sprintf("%d of %d are behind: the source is at fault", lagging, len(d.members))
	} else if allowed < len(due) {
		a.Fault = fmt.Sprintf("%d more would be shut out, and no more than %.0f%% may be",
			len(due)-max(allowed, 0), 100*d.limits.MaxFencedFraction)
	}
	slices.SortFunc(due, func(a, b *member) int {
		return cmp.Or(cmp.Compare(a.LaggingSince, b.LaggingSince), cmp.Compare(a.Name, b.Name))
	})
	for _, m := range due[:min(len(due), max(allowed, 0))] {
		m.setState(now, Fenced)
	}
}
