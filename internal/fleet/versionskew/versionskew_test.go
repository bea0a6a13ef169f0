package versionskew

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

const second = time.Second

// fleet holds a detector and the reports that it assesses.
type fleet struct {
	detector *Detector
	now      time.Duration
	reports  []Report
}

// newFleet returns n members, n0 and so on, with list version 5 and settings digest 7.
func newFleet(n int) *fleet {
	f := &fleet{detector: New(DefaultLimits)}
	for i := range n {
		f.reports = append(f.reports, Report{Name: fmt.Sprint("n", i), ListVersion: 5, SettingsDigest: 7})
	}
	return f
}

// run assesses the reports every 100 ms for a duration, and returns the last assessment.
func (f *fleet) run(d time.Duration) (a Assessment) {
	for end := f.now + d; f.now < end; {
		f.now += 100 * time.Millisecond
		a = f.detector.Assess(f.now, f.reports)
	}
	return a
}

// setList sets the list version that members report.
func (f *fleet) setList(version uint64, members ...int) {
	for _, i := range members {
		f.reports[i].ListVersion = version
	}
}

// states returns one letter for the state of each member: current, lagging, restricted or fenced.
func (a Assessment) states() (s string) {
	for i := range len(a.Members) {
		s += string("clrf"[a.Members[fmt.Sprint("n", i)].State])
	}
	return s
}

// expect checks the states and the fault of an assessment. An empty fault means that the assessment must have none.
func expect(t *testing.T, condition string, a Assessment, states, fault string) {
	t.Helper()
	if a.states() != states || (fault == "") != (a.Fault == "") || !strings.Contains(a.Fault, fault) {
		t.Errorf("%s: %s, %q", condition, a.states(), a.Fault)
	}
}

func TestStateFollowsTimeBehindMajorityList(t *testing.T) {
	f := newFleet(5)
	expect(t, "all current", f.run(5*second), "ccccc", "")
	f.setList(6, 0, 1, 2, 3)
	expect(t, "a change is being distributed", f.run(second), "ccccc", "")
	expect(t, "one member did not receive the change", f.run(2500*time.Millisecond), "ccccl", "")
	expect(t, "it has not received the change for long", f.run(2*second), "ccccr", "")
	expect(t, "it has not received the change for even longer", f.run(8*second), "ccccf", "")
	f.setList(6, 4)
	expect(t, "it received the change a moment ago", f.run(second), "ccccf", "")
	expect(t, "it received the change some time ago", f.run(2*second), "ccccc", "")

	f.setList(7, 4) // only one member reports this version: it is wrong, or behind a partition
	expect(t, "the newest single report", f.run(20*second), "ccccc", "")
	f.setList(7, 0, 1)
	f.setList(6, 3)
	expect(t, "then a majority has it", f.run(20*second), "ccfrc", "no more than 25%")
}

func TestNoneLagsWhenSourceGoesBack(t *testing.T) {
	f := newFleet(5)
	f.run(5 * second)
	f.setList(6, 0, 1, 2)
	f.run(5 * second)
	f.setList(5, 0) // a majority has the earlier version again
	expect(t, "the source goes back", f.run(20*second), "ccccc", "")
}

func TestMemberWithOtherSettingsThanMajorityIsFenced(t *testing.T) {
	f := newFleet(5)
	f.reports[2].SettingsDigest = 8
	expect(t, "one has other settings", f.run(20*second), "ccfcc", "")
	f.reports[1].SettingsDigest = 8
	f.reports[4].SettingsDigest = 9
	expect(t, "no settings are the majority's", f.run(20*second), "ccccc", "no settings")
}

func TestFencedFractionIsBounded(t *testing.T) {
	f := newFleet(3)
	f.setList(4, 1)
	expect(t, "a fleet too small to fence one", f.run(20*second), "crc", "no more than 25%")
	f = newFleet(8)
	f.setList(4, 0, 1, 2, 3)
	expect(t, "half of it lags", f.run(20*second), "cccccccc", "")
}

func TestOperatorsFreezeAndOverride(t *testing.T) {
	f := newFleet(5)
	f.setList(4, 1)
	f.detector.Freeze(true)
	expect(t, "frozen", f.run(20*second), "", "")
	f.detector.Freeze(false)
	f.detector.Override("n1", Current)
	f.detector.Override("n2", Fenced)
	expect(t, "overridden", f.run(20*second), "ccfcc", "")
	f.detector.ClearOverride("n2")
	expect(t, "override cleared", f.run(5*second), "ccccc", "")
	f.reports = f.reports[:1]
	expect(t, "members without a report are forgotten", f.run(second), "c", "")
}
