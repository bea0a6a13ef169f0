package routing

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

func TestRulesHoldOverLongRandomRuns(t *testing.T) {
	// On 20 and 46 cold writers got more than their part while the part of all states that their cell's readers send was reckoned by
	// the readers' weights, since those of other cells did not answer.
	for _, seed := range []uint64{0, 1, 2, 3, 4, 5, 6, 7, 20, 46} {
		d := newDriver(t, seed)
		for d.now < time.Hour+10*time.Minute {
			d.run(d.now + time.Minute)
			if seed%2 == 1 {
				d.restart() // the router is killed and comes back with its last list
			}
		}
		if len(d.violations) > 0 {
			t.Errorf("seed %d: %d breaks, first: %s", seed, len(d.violations), d.violations[0])
		}
		if d.sends < 5000 {
			t.Errorf("seed %d: only %d sends", seed, d.sends)
		}
		for o := Served; o <= PrefillDone; o++ {
			if d.counts[o] == 0 {
				t.Errorf("seed %d: outcome %d never came", seed, o)
			}
		}
		if n := len(d.r.requests); n > 1000 {
			t.Errorf("seed %d: %d requests are still kept", seed, n)
		}
		if n := len(d.r.prefixCache); n > 60 {
			t.Errorf("seed %d: %d keys are kept", seed, n)
		}
	}
}

// The checks can fail: each way of spoiling the actions is caught as the rule that it breaks.
func TestDriverDetectsEachBrokenRule(t *testing.T) {
	for rule, spoil := range map[string]func(d *driver) func(Action) []Action{
		"rule 1": func(*driver) func(Action) []Action {
			return func(a Action) []Action {
				if _, ok := a.(Reject); ok {
					return nil
				}
				return []Action{a}
			}
		},
		"rule 2": func(*driver) func(Action) []Action {
			return func(a Action) []Action {
				if f, ok := a.(Fail); ok {
					return []Action{Reject{Request: f.Request}}
				}
				return []Action{a}
			}
		},
		"rule 3": func(d *driver) func(Action) []Action {
			return func(a Action) []Action {
				if s, ok := a.(Send); ok {
					for _, x := range d.endpointList() {
						if x.State != Ready && x.Kind == d.servers[s.Endpoint].Kind {
							s.Endpoint = x.ID
						}
					}
					return []Action{s}
				}
				return []Action{a}
			}
		},
		"rule 4": func(d *driver) func(Action) []Action {
			return func(a Action) []Action {
				if s, ok := a.(Send); ok {
					for _, x := range d.endpointList() {
						if x.State == Ready && x.Kind == d.servers[s.Endpoint].Kind && x.Started > d.now-2*time.Second {
							s.Endpoint = x.ID // herd to the coldest
						}
					}
					return []Action{s}
				}
				return []Action{a}
			}
		},
		"rule 5": func(*driver) func(Action) []Action {
			return func(a Action) []Action {
				if _, ok := a.(Release); ok {
					return nil
				}
				return []Action{a}
			}
		},
	} {
		d := newDriver(t, 3)
		d.intercept = spoil(d)
		d.run(d.now + 10*time.Minute)
		if !slices.ContainsFunc(d.violations, func(s string) bool { return s[:6] == rule }) {
			t.Errorf("a broken %s was not caught (%d breaks)", rule, len(d.violations))
		}
	}
}

// A module that takes a send for out before it has arrived is caught too.
func TestDriverDetectsMissingReleaseOfExpiredReservation(t *testing.T) {
	d := newDriver(t, 3)
	d.intercept = func(a Action) []Action {
		if release, ok := a.(Release); ok && release.Reason == ReservationExpired {
			return nil
		}
		return []Action{a}
	}
	d.run(d.now + 10*time.Minute)
	if !slices.ContainsFunc(d.violations, func(s string) bool { return s[:6] == "rule 5" }) {
		t.Errorf("not caught (%d breaks)", len(d.violations))
	}
}

// The same seed and events give the same actions.
func TestSameSeedAndEventsGiveSameActions(t *testing.T) {
	trace := func() string {
		d := newDriver(t, 5)
		var out []byte
		d.intercept = func(a Action) []Action {
			out = fmt.Appendf(out, "%d %T %v\n", d.now, a, a)
			return []Action{a}
		}
		d.run(d.now + time.Minute)
		return string(out)
	}
	if a, b := trace(), trace(); a != b || len(a) < 1000 {
		t.Error("two runs differ")
	}
}
