package routing

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

func TestRulesHoldOverLongRandomRuns(t *testing.T) {
	// With seeds 20 and 46 decode replicas in slow start once got more than their share: the fraction of all requests that
	// their cell's prefill replicas send was computed from weights, and those of other cells did not respond.
	for _, seed := range []uint64{0, 1, 2, 3, 4, 5, 6, 7, 20, 46} {
		d := newDriver(t, seed)
		for d.now < time.Hour+10*time.Minute {
			d.run(d.now + time.Minute)
			if seed%2 == 1 {
				d.restart() // the router is killed and restarted with its last endpoint list
			}
		}
		if len(d.violations) > 0 {
			t.Errorf("seed %d: %d violations, first: %s", seed, len(d.violations), d.violations[0])
		}
		if d.sends < 5000 {
			t.Errorf("seed %d: only %d sends", seed, d.sends)
		}
		for o := Served; o <= PrefillDone; o++ {
			if d.counts[o] == 0 {
				t.Errorf("seed %d: outcome %d never occurred", seed, o)
			}
		}
		if n := len(d.r.requests); n > 1000 {
			t.Errorf("seed %d: %d requests are still open", seed, n)
		}
		if n := len(d.r.prefixCache); n > 60 {
			t.Errorf("seed %d: %d keys are in the prefix table", seed, n)
		}
	}
}

// The checks can fail: each way of tampering with the actions is detected as the rule that it breaks.
func TestDriverDetectsEachBrokenRule(t *testing.T) {
	for rule, tamper := range map[string]func(d *driver) func(Action) []Action{
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
						if x.State != Ready && x.Kind == d.replicas[s.Endpoint].Kind {
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
						if x.State == Ready && x.Kind == d.replicas[s.Endpoint].Kind && x.Started > d.now-2*time.Second {
							s.Endpoint = x.ID // herd to the replica that started last
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
		d.intercept = tamper(d)
		d.run(d.now + 10*time.Minute)
		if !slices.ContainsFunc(d.violations, func(s string) bool { return s[:6] == rule }) {
			t.Errorf("a broken %s was not detected (%d violations)", rule, len(d.violations))
		}
	}
}

// A router that takes an attempt for arrived as soon as it was sent is detected too.
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
		t.Errorf("not detected (%d violations)", len(d.violations))
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
