package config

import (
	"strings"
	"testing"
	"time"

	"rampspread/routing"
)

const tuned = `{"az":0,"balancers":1,"zones":["wien"],"kinds":["prefill","decode-a"],
"classes":[{"name":"frage","effect":"retryable","importance":1,"promiseMs":1200,"hardLimitMs":5000},
{"name":"meldung","effect":"fragile","importance":2,"promiseMs":3000,"hardLimitMs":15000}],
"familyInfo":{"dutyByKind":["read","write"]},"limits":{"mostTries":4}}`

func parse(t *testing.T, text string) *Settings {
	t.Helper()
	s, err := ParseSettings([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// Settings that are cut, miss a key, or hold a deadline or attempts not over 0 fail the check.
func TestCheckRefusesBrokenSettings(t *testing.T) {
	if err := parse(t, tuned).Validate(); err != nil {
		t.Fatalf("good settings: %v", err)
	}
	for name, text := range map[string]string{
		"no deadline":   strings.Replace(tuned, `"hardLimitMs":5000`, `"hardLimitMs":0`, 1),
		"no aim":        strings.Replace(tuned, `"promiseMs":1200,`, ``, 1),
		"no attempts":   strings.Replace(tuned, `"mostTries":4`, `"mostTries":-1`, 1),
		"no limits":     strings.Replace(tuned, `,"limits":{"mostTries":4}`, ``, 1),
		"no classes":    strings.Replace(tuned, `"classes"`, `"klassen"`, 1),
		"no effect":     strings.Replace(tuned, `"effect":"fragile",`, ``, 1),
		"no duties":     strings.Replace(tuned, `"dutyByKind":["read","write"]`, `"dutyByKind":["read"]`, 1),
		"twice a name":  strings.Replace(tuned, `"meldung"`, `"frage"`, 1),
		"no kinds":      strings.Replace(tuned, `"kinds"`, `"arten"`, 1),
		"nameless":      strings.Replace(tuned, `"name":"meldung",`, ``, 1),
		"deadline NaN?": strings.Replace(tuned, `"hardLimitMs":15000`, `"hardLimitMs":-15000`, 1),
	} {
		if err := parse(t, text).Validate(); err == nil {
			t.Errorf("%s: taken", name)
		}
	}
}

// A retune keeps the numbers of unchanged classes, adds new and changed ones at the end, and lets nobody name a
// dropped one; the module's list only grows.
func TestRetuneNumbersClasses(t *testing.T) {
	start, err := parse(t, tuned).ClassTable()
	if err != nil {
		t.Fatal(err)
	}
	next := strings.Replace(tuned, `"effect":"fragile"`, `"effect":"retryable"`, 1) // meldung is safe now
	next = strings.Replace(next, `{"name":"frage"`, `{"name":"neu","effect":"dedup","importance":1,"promiseMs":900,"hardLimitMs":4000},{"name":"frage"`, 1)
	next = strings.Replace(next, `"mostTries":4`, `"mostTries":3`, 1)
	got, err := start.Reconfigure(parse(t, next))
	if err != nil {
		t.Fatal(err)
	}
	if want := map[string]int{"frage": 0, "meldung": 3, "neu": 2}; len(got.Names) != 3 || got.Names["frage"] != 0 ||
		got.Names["meldung"] != 3 || got.Names["neu"] != 2 {
		t.Errorf("names %v, want %v", got.Names, want)
	}
	c := got.Config.Classes
	if len(c) != 4 || c[1].Idempotency != routing.NonIdempotent || c[3].Idempotency != routing.Idempotent || c[2].Idempotency != routing.IdempotentByKey ||
		got.Config.MaxAttempts != 3 {
		t.Errorf("classes %+v, attempts %d", c, got.Config.MaxAttempts)
	}
	dropped := strings.Replace(tuned, `{"name":"frage","effect":"retryable","importance":1,"promiseMs":1200,"hardLimitMs":5000},`, ``, 1)
	again, err := got.Reconfigure(parse(t, dropped))
	if err != nil {
		t.Fatal(err)
	}
	if _, ok := again.Names["frage"]; ok || again.Names["meldung"] != 1 || len(again.Config.Classes) != 4 {
		t.Errorf("after a drop: %v, %d classes", again.Names, len(again.Config.Classes))
	}
}

// A deployment may have no zones, and then has but one; one that has zones does not lose them by a file that lacks
// the key.
func TestZones(t *testing.T) {
	zoned, without := parse(t, tuned), parse(t, strings.Replace(tuned, `"zones":["wien"],`, ``, 1))
	if zoned.Zone("wien") != 0 || zoned.Zone("linz") != -1 || zoned.ZoneName(0) != "wien" || zoned.ZoneName(1) != "" {
		t.Error("zones are not numbered as the settings name them")
	}
	if without.Zone("") != 0 || without.Zone("linz") != 0 || without.ZoneName(0) != "" || without.Validate() != nil {
		t.Error("without zones all is in one")
	}
	for _, c := range []struct {
		start, next *Settings
		taken       bool
	}{{zoned, zoned, true}, {zoned, without, false}, {without, without, true}} {
		table, err := c.start.ClassTable()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := table.Reconfigure(c.next); (err == nil) != c.taken {
			t.Errorf("from %q to %q: %v", c.start.Zones, c.next.Zones, err)
		}
	}
}

// A process that is told to end has the longest deadline and 0.7 s, and no more than 3.7 s.
func TestGrace(t *testing.T) {
	for longest, want := range map[string]time.Duration{"15000": 3700 * time.Millisecond, "1200": 1900 * time.Millisecond} {
		text := strings.Replace(strings.Replace(tuned, `"hardLimitMs":5000`, `"hardLimitMs":1200`, 1), "15000", longest, 1)
		if got := parse(t, text).ShutdownGrace(); got != want {
			t.Errorf("deadlines of %s ms at the most: %v, want %v", longest, got, want)
		}
	}
}
