package config

import (
	"strings"
	"testing"
	"time"

	"rampspread/routing"
)

const baseSettings = `{"az":0,"balancers":1,"zones":["wien"],"kinds":["prefill","decode-a"],
"classes":[{"name":"frage","effect":"retryable","importance":1,"promiseMs":1200,"hardLimitMs":5000},
{"name":"meldung","effect":"fragile","importance":2,"promiseMs":3000,"hardLimitMs":15000}],
"familyInfo":{"dutyByKind":["read","write"]},"limits":{"mostTries":4}}`

func mustParse(t *testing.T, text string) *Settings {
	t.Helper()
	s, err := ParseSettings([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// Settings that lack a key, or that have a deadline, an objective or a number of attempts that is not over 0, are
// rejected.
func TestValidateRejectsInvalidSettings(t *testing.T) {
	if err := mustParse(t, baseSettings).Validate(); err != nil {
		t.Fatalf("good settings: %v", err)
	}
	for name, text := range map[string]string{
		"no deadline":          strings.Replace(baseSettings, `"hardLimitMs":5000`, `"hardLimitMs":0`, 1),
		"no latency objective": strings.Replace(baseSettings, `"promiseMs":1200,`, ``, 1),
		"no attempts":          strings.Replace(baseSettings, `"mostTries":4`, `"mostTries":-1`, 1),
		"no limits":            strings.Replace(baseSettings, `,"limits":{"mostTries":4}`, ``, 1),
		"no classes":           strings.Replace(baseSettings, `"classes"`, `"klassen"`, 1),
		"no effect":            strings.Replace(baseSettings, `"effect":"fragile",`, ``, 1),
		"no duties":            strings.Replace(baseSettings, `"dutyByKind":["read","write"]`, `"dutyByKind":["read"]`, 1),
		"duplicate name":       strings.Replace(baseSettings, `"meldung"`, `"frage"`, 1),
		"no kinds":             strings.Replace(baseSettings, `"kinds"`, `"arten"`, 1),
		"no name":              strings.Replace(baseSettings, `"name":"meldung",`, ``, 1),
		"negative deadline":    strings.Replace(baseSettings, `"hardLimitMs":15000`, `"hardLimitMs":-15000`, 1),
	} {
		if err := mustParse(t, text).Validate(); err == nil {
			t.Errorf("%s: accepted", name)
		}
	}
}

// A reload keeps the indexes of unchanged classes and adds new and changed classes at the end, so that the rules of
// open requests do not change. A class that the new settings do not have can no longer be named.
func TestReconfigureKeepsClassIndexes(t *testing.T) {
	start, err := mustParse(t, baseSettings).ClassTable()
	if err != nil {
		t.Fatal(err)
	}
	next := strings.Replace(baseSettings, `"effect":"fragile"`, `"effect":"retryable"`, 1) // meldung is idempotent now
	next = strings.Replace(next, `{"name":"frage"`, `{"name":"neu","effect":"dedup","group":"all","importance":1,"promiseMs":900,"hardLimitMs":4000},{"name":"frage"`, 1)
	next = strings.Replace(next, `"mostTries":4`, `"mostTries":3`, 1)
	got, err := start.Reconfigure(mustParse(t, next))
	if err != nil {
		t.Fatal(err)
	}
	if want := map[string]int{"frage": 0, "meldung": 3, "neu": 2}; len(got.IndexByName) != 3 || got.IndexByName["frage"] != 0 ||
		got.IndexByName["meldung"] != 3 || got.IndexByName["neu"] != 2 {
		t.Errorf("names %v, want %v", got.IndexByName, want)
	}
	c := got.Config.Classes
	if len(c) != 4 || c[1].Idempotency != routing.NonIdempotent || c[3].Idempotency != routing.Idempotent || c[2].Idempotency != routing.IdempotentByKey ||
		got.Config.MaxAttempts != 3 {
		t.Errorf("classes %+v, attempts %d", c, got.Config.MaxAttempts)
	}
	dropped := strings.Replace(baseSettings, `{"name":"frage","effect":"retryable","importance":1,"promiseMs":1200,"hardLimitMs":5000},`, ``, 1)
	afterDrop, err := got.Reconfigure(mustParse(t, dropped))
	if err != nil {
		t.Fatal(err)
	}
	if _, ok := afterDrop.IndexByName["frage"]; ok || afterDrop.IndexByName["meldung"] != 1 || len(afterDrop.Config.Classes) != 4 {
		t.Errorf("after a class was removed: %v, %d classes", afterDrop.IndexByName, len(afterDrop.Config.Classes))
	}
}

// In a deployment without zones everything is in zone 0. A deployment with zones must not lose them because a reloaded
// file lacks the key.
func TestReconfigureRejectsSettingsThatLoseTheirZones(t *testing.T) {
	zoned, unzoned := mustParse(t, baseSettings), mustParse(t, strings.Replace(baseSettings, `"zones":["wien"],`, ``, 1))
	if zoned.Zone("wien") != 0 || zoned.Zone("linz") != -1 || zoned.ZoneName(0) != "wien" || zoned.ZoneName(1) != "" {
		t.Error("zones do not have the indexes at which the settings list them")
	}
	if unzoned.Zone("") != 0 || unzoned.Zone("linz") != 0 || unzoned.ZoneName(0) != "" || unzoned.Validate() != nil {
		t.Error("without zones, a zone has a name or an index other than 0, or Validate fails")
	}
	for _, c := range []struct {
		start, next *Settings
		accepted    bool
	}{{zoned, zoned, true}, {zoned, unzoned, false}, {unzoned, unzoned, true}} {
		table, err := c.start.ClassTable()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := table.Reconfigure(c.next); (err == nil) != c.accepted {
			t.Errorf("from %q to %q: %v", c.start.Zones, c.next.Zones, err)
		}
	}
}

// After SIGTERM a process has the longest deadline plus 0.7 s, but at most 3.7 s.
func TestShutdownGraceIsBounded(t *testing.T) {
	for longest, want := range map[string]time.Duration{"15000": 3700 * time.Millisecond, "1200": 1900 * time.Millisecond} {
		text := strings.Replace(strings.Replace(baseSettings, `"hardLimitMs":5000`, `"hardLimitMs":1200`, 1), "15000", longest, 1)
		if got := mustParse(t, text).ShutdownGrace(); got != want {
			t.Errorf("longest deadline %s ms: %v, want %v", longest, got, want)
		}
	}
}
