package routing

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

func TestRulesHoldOverLongRandomRuns(t *testing.T) {
	// With seeds 20 and 46, decode replicas in slow start are overloaded if the fraction of all requests that their
	// cell's prefill replicas send is computed from weights alone while the prefill replicas of other cells do not
	// respond.
	for _, seed := range []uint64{0, 1, 2, 3, 4, 5, 6, 7, 20, 46} {
		d := newDriver(t, seed)
		for d.now < time.Hour+10*time.Minute {
			d.run(d.now + time.Minute)
			if seed%2 == 1 {
				d.restart() // the router is restarted with its last endpoint list
			}
		}
		if len(d.violations) > 0 {
			t.Errorf("seed %d: %d violations, first: %s", seed, len(d.violations), d.violations[0])
		}
		if d.sends < 5000 {
			t.Errorf("seed %d: only %d sends", seed, d.sends)
		}
		for o := Served; o <= PrefillDone; o++ {
			if d.outcomeCounts[o] == 0 {
				t.Errorf("seed %d: outcome %d never occurred", seed, o)
			}
		}
		if n := len(d.r.requests); n > 1000 {
			t.Errorf("seed %d: %d requests are still open", seed, n)
		}
		if n := len(d.r.prefixTable); n > 60 {
			t.Errorf("seed %d: %d keys are in the prefix table", seed, n)
		}
	}
}

// The driver detects each broken rule: each way of tampering with the actions is reported as a violation of the rule
// that it breaks.
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
					for _, endpoint := range d.endpointList() {
						if endpoint.State != Ready && endpoint.Kind == d.replicas[s.Endpoint].Kind {
							s.Endpoint = endpoint.ID
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
					for _, endpoint := range d.endpointList() {
						if endpoint.State == Ready && endpoint.Kind == d.replicas[s.Endpoint].Kind && endpoint.Started > d.now-2*time.Second {
							s.Endpoint = endpoint.ID // send to a replica that has just started
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
			t.Errorf("a violation of %s was not detected (%d violations)", rule, len(d.violations))
		}
	}
}

// The driver detects a router that treats an attempt as arrived as soon as it was sent, and so never releases an
// expired reservation.
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
		t.Errorf("the missing release was not detected (%d violations)", len(d.violations))
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
		t.Error("two runs with the same seed differ, or they are too short")
	}
}
