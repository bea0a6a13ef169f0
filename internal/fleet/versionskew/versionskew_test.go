package versionskew

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"rampspread/internal/testkit/play"
)

const second = time.Second

// fleet is members that tell, by place.
type fleet struct {
	j    *Detector
	now  time.Duration
	told []Report
}

func newFleet(n int) *fleet {
	f := &fleet{j: New(DefaultLimits)}
	for i := range n {
		f.told = append(f.told, Report{Name: fmt.Sprint("n", i), ListVersion: 5, SettingsDigest: 7})
	}
	return f
}

// run goes on for so long, and returns the last verdict.
func (f *fleet) run(d time.Duration) (v Assessment) {
	for end := f.now + d; f.now < end; {
		f.now += 100 * time.Millisecond
		v = f.j.Assess(f.now, f.told)
	}
	return v
}

func (f *fleet) lists(version uint64, at ...int) {
	for _, i := range at {
		f.told[i].ListVersion = version
	}
}

func (v Assessment) steps() (s string) {
	for i := range len(v.Members) {
		s += string("lbro"[v.Members[fmt.Sprint("n", i)].State])
	}
	return s
}

func TestSteps(t *testing.T) {
	f := newFleet(5)
	want := func(when string, v Assessment, steps, fault string) {
		t.Helper()
		if v.steps() != steps || (fault == "") != (v.Fault == "") || !strings.Contains(v.Fault, fault) {
			t.Errorf("%s: %s, %q", when, v.steps(), v.Fault)
		}
	}
	want("all level", f.run(5*second), "lllll", "")
	f.lists(6, 0, 1, 2, 3)
	want("a change that is under way", f.run(second), "lllll", "")
	want("one did not get it", f.run(2500*time.Millisecond), "llllb", "")
	want("for long", f.run(2*second), "llllr", "")
	want("for longer", f.run(8*second), "llllo", "")
	f.lists(6, 4)
	want("it has it, a moment ago", f.run(second), "llllo", "")
	want("for a while", f.run(2*second), "lllll", "")

	f.lists(7, 4) // one sees a version that nobody else does: it lies, or sits behind a cut
	want("the newest voice", f.run(20*second), "lllll", "")
	f.lists(7, 0, 1)
	f.lists(6, 3)
	want("and most have it", f.run(20*second), "llorl", "no more than 25%")

	f = newFleet(5)
	f.run(5 * second)
	f.lists(6, 0, 1, 2)
	f.run(5 * second)
	f.lists(5, 0) // most are where they were, by a source that went back
	want("the source goes back", f.run(20*second), "lllll", "")

	f = newFleet(5)
	f.told[2].SettingsDigest = 8
	want("settings", f.run(20*second), "lloll", "")
	f.told[1].SettingsDigest = 8
	f.told[4].SettingsDigest = 9
	want("no settings are most members'", f.run(20*second), "lllll", "no settings")

	f = newFleet(3)
	f.lists(4, 1)
	want("a fleet too small to go without one", f.run(20*second), "lrl", "no more than 25%")
	f = newFleet(8)
	f.lists(4, 0, 1, 2, 3)
	want("half of it", f.run(20*second), "llllllll", "")

	f = newFleet(5)
	f.lists(4, 1)
	f.j.Freeze(true)
	want("frozen", f.run(20*second), "", "")
	f.j.Freeze(false)
	f.j.Override("n1", Current)
	f.j.Override("n2", Fenced)
	want("by hand", f.run(20*second), "lloll", "")
	f.j.ClearOverride("n2")
	want("given back", f.run(5*second), "lllll", "")
	f.told = f.told[:1]
	want("one that is gone is forgotten", f.run(second), "l", "")
}

// mutant spoils a judge.
type mutant struct {
	limits Limits
	told   func([]Report) []Report
}

// simulate lets lists spread over members, some of which do not get them, one lies and some restart, and returns what was wrong.
func simulate(seed uint64, steps int, m mutant) error {
	rng := rand.New(rand.NewPCG(seed, 2))
	n := 3 + rng.IntN(12)
	j := New(m.limits)
	told := make([]Report, n)
	stuck, level := make([]bool, n), make([]time.Duration, n) // level: since when it has had all that it could
	for i := range told {
		told[i] = Report{fmt.Sprint("n", i), 1, 1}
	}
	version, now := uint64(1), time.Duration(0)
	changed := now
	liar := rng.IntN(n)
	was := map[string]MemberStatus{}
	for step := range steps {
		now += 100 * time.Millisecond
		switch rng.IntN(60) {
		case 0:
			version, changed = version+1, now
		case 1:
			i := rng.IntN(n)
			stuck[i] = !stuck[i]
		}
		for i := range told { // within a second
			if !stuck[i] && i != liar && rng.IntN(4) == 0 {
				told[i].ListVersion = version
			}
			if i != liar && told[i].ListVersion == version && level[i] == 0 {
				level[i] = now
			} else if told[i].ListVersion < version && now-changed > second {
				level[i] = 0
			}
		}
		told[liar].ListVersion = version + 100
		seen := told
		if m.told != nil {
			seen = m.told(told)
		}
		v := j.Assess(now, seen)
		out := 0
		for i, t := range told {
			s := v.Members[t.Name]
			if s.State == Fenced {
				out++
			}
			switch {
			case s.State > Current && !stuck[i] && i != liar && level[i] > 0 && now-level[i] > DefaultLimits.RecoverAfter+2*second:
				return fmt.Errorf("step %d: %s is %v and has been level since %v", step, t.Name, s.State, level[i])
			case s.State == Fenced && was[t.Name].State != Fenced && now-s.LaggingSince < DefaultLimits.FenceAfter:
				return fmt.Errorf("step %d: %s is shut out after %v", step, t.Name, now-s.LaggingSince)
			}
			was[t.Name] = s
		}
		if float64(out) > DefaultLimits.MaxFencedFraction*float64(n) {
			return fmt.Errorf("step %d: %d of %d are shut out", step, out, n)
		}
	}
	return nil
}

func TestPlay(t *testing.T) {
	const seeds = 60
	for seed := range uint64(seeds) {
		if err := simulate(seed, 3000, mutant{limits: DefaultLimits}); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
	}
	all, hasty, sticky := DefaultLimits, DefaultLimits, DefaultLimits
	all.MaxFencedFraction = 1
	hasty.FenceAfter, hasty.RestrictAfter = 2*second, 2*second
	sticky.RecoverAfter = 30 * second
	for name, m := range map[string]mutant{
		"no limit on the part": {limits: all},
		"shut out too early":   {limits: hasty},
		"back too late":        {limits: sticky},
		"by the newest voice": {limits: DefaultLimits, told: func(told []Report) (out []Report) {
			newest := Report{}
			for _, t := range told {
				if t.ListVersion > newest.ListVersion {
					newest = t
				}
			}
			for i := range len(told) + 1 { // as if most had told it
				out = append(out, Report{fmt.Sprint("x", i), newest.ListVersion, 1})
			}
			return append(out, told...)
		}},
	} {
		play.Caught(t, name, 0, seeds, func(seed uint64) string {
			if err := simulate(seed, 3000, m); err != nil {
				return err.Error()
			}
			return ""
		})
	}
}
