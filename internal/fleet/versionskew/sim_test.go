package versionskew

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"rampspread/internal/testutil/simtest"
)

const (
	simSeeds     = 60
	stepsPerSeed = 3000
	simStep      = 100 * time.Millisecond
	// spreadTime is the time within which a change nearly always reaches a member that is not stuck.
	spreadTime = second
)

// mutant is a fault injected into a detector, which the checker must detect.
type mutant struct {
	name    string
	limits  Limits
	reports func([]Report) []Report // changes the reports that the detector assesses; nil leaves them unchanged
}

// sim simulates endpoint lists that spread to members. Some members do not receive them, and one member reports a wrong
// version.
type sim struct {
	rng           *rand.Rand
	mutant        mutant
	detector      *Detector
	now           time.Duration
	version       uint64        // version of the newest list
	changedAt     time.Duration // when the newest list was published
	reports       []Report
	stuck         []bool                  // whether each member receives no lists
	currentSince  []time.Duration         // when each member got the newest list that it could have; 0 if it has not
	wrongReporter int                     // index of the member that reports a wrong version
	lastStatus    map[string]MemberStatus // status of each member in the last assessment
}

func newSim(seed uint64, m mutant) *sim {
	s := &sim{
		rng:        rand.New(rand.NewPCG(seed, 2)),
		mutant:     m,
		detector:   New(m.limits),
		version:    1,
		lastStatus: map[string]MemberStatus{},
	}
	n := 3 + s.rng.IntN(12)
	s.reports, s.stuck, s.currentSince = make([]Report, n), make([]bool, n), make([]time.Duration, n)
	for i := range s.reports {
		s.reports[i] = Report{fmt.Sprint("n", i), 1, 1}
	}
	s.wrongReporter = s.rng.IntN(n)
	return s
}

// spread delivers the newest list to some of the members that are not stuck.
func (s *sim) spread() {
	for i := range s.reports {
		r := &s.reports[i]
		if !s.stuck[i] && i != s.wrongReporter && s.rng.IntN(4) == 0 {
			r.ListVersion = s.version
		}
		if i != s.wrongReporter && r.ListVersion == s.version && s.currentSince[i] == 0 {
			s.currentSince[i] = s.now
		} else if r.ListVersion < s.version && s.now-s.changedAt > spreadTime {
			s.currentSince[i] = 0
		}
	}
	s.reports[s.wrongReporter].ListVersion = s.version + 100
}

// step advances the simulation by simStep, and returns an error if it found a violation.
func (s *sim) step() error {
	s.now += simStep
	switch s.rng.IntN(60) {
	case 0:
		s.version, s.changedAt = s.version+1, s.now
	case 1:
		i := s.rng.IntN(len(s.reports))
		s.stuck[i] = !s.stuck[i]
	}
	s.spread()
	reports := s.reports
	if s.mutant.reports != nil {
		reports = s.mutant.reports(s.reports)
	}
	return s.check(s.detector.Assess(s.now, reports))
}

// check returns an error if a member is not current though it has had the newest list for long, if a member was fenced
// too early, or if too many members are fenced.
func (s *sim) check(a Assessment) error {
	const maxRecovery = 2 * second // in addition to RecoverAfter
	fenced, n := 0, len(s.reports)
	for i, r := range s.reports {
		status := a.Members[r.Name]
		if status.State == Fenced {
			fenced++
		}
		healthy := !s.stuck[i] && i != s.wrongReporter && s.currentSince[i] > 0
		lag := s.now - status.LaggingSince
		switch {
		case status.State > Current && healthy && s.now-s.currentSince[i] > DefaultLimits.RecoverAfter+maxRecovery:
			return fmt.Errorf("%s is %v and has been current since %v", r.Name, status.State, s.currentSince[i])
		case status.State == Fenced && s.lastStatus[r.Name].State != Fenced && lag < DefaultLimits.FenceAfter:
			return fmt.Errorf("%s is fenced after %v", r.Name, lag)
		}
		s.lastStatus[r.Name] = status
	}
	if float64(fenced) > DefaultLimits.MaxFencedFraction*float64(n) {
		return fmt.Errorf("%d of %d are fenced", fenced, n)
	}
	return nil
}

// simulate runs stepsPerSeed steps, and returns an error if it found a violation.
func simulate(seed uint64, m mutant) error {
	s := newSim(seed, m)
	for step := range stepsPerSeed {
		if err := s.step(); err != nil {
			return fmt.Errorf("step %d: %w", step, err)
		}
	}
	return nil
}

func TestOnlyLaggingMembersAreFencedAndAllRecover(t *testing.T) {
	for seed := range uint64(simSeeds) {
		if err := simulate(seed, mutant{limits: DefaultLimits}); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
	}
}

// newestAsMajority adds reports so that a majority seems to have the newest list version.
func newestAsMajority(reports []Report) (out []Report) {
	newest := Report{}
	for _, r := range reports {
		if r.ListVersion > newest.ListVersion {
			newest = r
		}
	}
	for i := range len(reports) + 1 {
		out = append(out, Report{fmt.Sprint("x", i), newest.ListVersion, 1})
	}
	return append(out, reports...)
}

// The checker of TestOnlyLaggingMembersAreFencedAndAllRecover detects each injected fault.
func TestCheckerCatchesMutants(t *testing.T) {
	unbounded, early, late := DefaultLimits, DefaultLimits, DefaultLimits
	unbounded.MaxFencedFraction = 1
	early.FenceAfter, early.RestrictAfter = 2*second, 2*second
	late.RecoverAfter = 30 * second
	for _, m := range []mutant{
		{name: "no bound on the fenced fraction", limits: unbounded},
		{name: "fenced too early", limits: early},
		{name: "released too late", limits: late},
		{name: "compared with the newest report", limits: DefaultLimits, reports: newestAsMajority},
	} {
		simtest.RequireDetected(t, m.name, 0, simSeeds, func(seed uint64) string {
			if err := simulate(seed, m); err != nil {
				return err.Error()
			}
			return ""
		})
	}
}
