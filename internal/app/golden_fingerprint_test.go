package app

import (
	"encoding/json"
	"os"
	"testing"

	"rampspread/internal/config"
)

// goldenSettings has every field of the settings set, in the order in which the fields are written.
const goldenSettings = `{"Az":1,"Balancers":2,` +
	`"Classes":[{"Name":"frage","Effect":"retryable","Group":"g","Importance":3,"PromiseMs":4,"HardLimitMs":5,"WindowMs":6}],` +
	`"Discovery":"poll","FamilyInfo":{"AimUsPer1000PromptTokens":[7,8],"DutyByKind":["read","write"],"LocalRead":true,"ReleaseWithinMs":9},` +
	`"Kinds":["prefill","decode-a"],"Limits":{"Cancelling":true,"ConnIdleMs":10,"ConnectTimeoutMs":11,"MaxRetryAfterMs":12,"MostHeld":13,` +
	`"Probing":true,"MostTries":14,"RetryAfter":true},"Parties":[{"Name":"p","QuotaPerS":15}],` +
	`"Rules":{"AnswerSlackMs":16,"ColdFrom":17,"ColdMs":18,"FallMultiple":19,"StopSendingWithinMs":20},` +
	`"Telemetry":{"Fields":["util","queue"]},"Zones":["wien","linz"]}`

// Members compare the fingerprints of their settings and may fence a member whose fingerprint differs from most others,
// so a fingerprint must be the same in all versions. It is a hash of the settings' JSON, and so depends on the names
// and the order of the fields.
func TestGoldenFingerprintText(t *testing.T) {
	var s config.Settings
	if err := json.Unmarshal([]byte(goldenSettings), &s); err != nil {
		t.Fatal(err)
	}
	if text, err := json.Marshal(s); err != nil || string(text) != goldenSettings {
		t.Errorf("got %s, %v\nwant %s", text, err, goldenSettings)
	}
	if got, want := fingerprint(&s), uint64(0x49220bfbe282f610); got != want {
		t.Errorf("got %#x, want %#x", got, want)
	}
	s.ZoneIndex = 0
	if got, want := fingerprint(&s), uint64(0x49220bfbe282f610); got != want {
		t.Errorf("in another zone: got %#x, want %#x", got, want)
	}
}

// goldenParsedSettings sets every field of the settings, with keys as in a settings file.
const goldenParsedSettings = `{"az":1,"balancers":2,
"classes":[{"name":"c","effect":"safe","group":"g","importance":3,"promiseMs":4,"hardLimitMs":5,"windowMs":6}],"discovery":"192.0.2.1:8500",
"familyInfo":{"aimUsPer1000PromptTokens":[7,8],"dutyByKind":["read","write"],"localRead":true,"releaseWithinMs":9},"kinds":["k1","k2"],
"limits":{"cancelling":true,"connIdleMs":10,"connectTimeoutMs":11,"maxRetryAfterMs":12,"mostHeld":13,"probing":true,"mostTries":14,"retryAfter":true},
"parties":[{"name":"p","quotaPerS":15}],"rules":{"answerSlackMs":16,"coldFrom":0.5,"coldMs":17,"fallMultiple":18,"stopSendingWithinMs":19},
"telemetry":{"fields":["util","queue","x0"],"how":"pull"},"zones":["z1","z2"]}`

// A snapshot is used only under the fingerprint of the settings that it was made with, and members compare
// fingerprints. The fingerprint of given settings must therefore stay the same in all versions.
func TestGoldenFingerprintOfParsedSettings(t *testing.T) {
	settings, err := config.ParseSettings([]byte(goldenParsedSettings))
	if err != nil {
		t.Fatal(err)
	}
	if got, want := fingerprint(settings), uint64(0xd154fa69738f5be8); got != want {
		t.Errorf("the fingerprint is %#x, not %#x", got, want)
	}
}

// goldenUsualSettings has the fields set that the settings of most deployments set.
const goldenUsualSettings = `{"az":0,"balancers":1,"zones":["wien"],"kinds":["prefill","decode-a"],
"classes":[{"name":"frage","effect":"retryable","importance":1,"promiseMs":1200,"hardLimitMs":5000},
{"name":"meldung","effect":"fragile","importance":2,"promiseMs":3000,"hardLimitMs":15000}],
"familyInfo":{"aimUsPer1000PromptTokens":[40000,40000],"dutyByKind":["read","write"],"releaseWithinMs":300},
"limits":{"cancelling":true,"connIdleMs":15000,"connectTimeoutMs":250,"maxRetryAfterMs":500,"mostTries":4,"retryAfter":true},
"rules":{"coldFrom":0.34,"coldMs":13000,"fallMultiple":2.5},
"telemetry":{"fields":["util","queue","x0"],"how":"pull"}}`

// Members of different versions compare the digests of their settings, so the digest of given settings must not change.
// One of the settings here has every field set, one is like the settings of most deployments, and one has no field set.
// The zone index does not affect the digest.
func TestGoldenFingerprint(t *testing.T) {
	full, err := os.ReadFile("../config/testdata/config.json")
	if err != nil {
		t.Fatal(err)
	}
	parsed, err := config.ParseConfig(full)
	if err != nil {
		t.Fatal(err)
	}
	usual, err := config.ParseSettings([]byte(goldenUsualSettings))
	if err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct {
		settings *config.Settings
		want     uint64
	}{
		"every field": {&parsed.Settings, 0xc818a407ecc4b8ec},
		"usual":       {usual, 0x30721805bc892e8e},
		"none":        {&config.Settings{}, 0x123b4247d7b350ff},
	} {
		if got := fingerprint(c.settings); got != c.want {
			t.Errorf("%s: digest %#016x, want %#016x", name, got, c.want)
		}
		other := *c.settings
		other.ZoneIndex = 7
		if got := fingerprint(&other); got != c.want {
			t.Errorf("%s, another zone: digest %#016x, want %#016x", name, got, c.want)
		}
	}
}
