package app

import (
	"encoding/json"
	"testing"

	"rampspread/internal/config"
)

// goldenSettings has every field set, in the order in which they are written.
const goldenSettings = `{"Az":1,"Balancers":2,` +
	`"Classes":[{"Name":"frage","Effect":"retryable","Group":"g","Importance":3,"PromiseMs":4,"HardLimitMs":5,"WindowMs":6}],` +
	`"Discovery":"poll","FamilyInfo":{"AimUsPer1000PromptTokens":[7,8],"DutyByKind":["read","write"],"LocalRead":true,"ReleaseWithinMs":9},` +
	`"Kinds":["prefill","decode-a"],"Limits":{"Cancelling":true,"ConnIdleMs":10,"ConnectTimeoutMs":11,"MaxRetryAfterMs":12,"MostHeld":13,` +
	`"Probing":true,"MostTries":14,"RetryAfter":true},"Parties":[{"Name":"p","QuotaPerS":15}],` +
	`"Rules":{"AnswerSlackMs":16,"ColdFrom":17,"ColdMs":18,"FallMultiple":19,"StopSendingWithinMs":20},` +
	`"Telemetry":{"Fields":["util","queue"]},"Zones":["wien","linz"]}`

// Members compare the fingerprints of their settings, and may shut out one that differs from most: a fingerprint must be the same in all
// versions. It is a hash of the settings' JSON, so the names and the order of the fields are part of it.
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
	s.Az = 0
	if got, want := fingerprint(&s), uint64(0x49220bfbe282f610); got != want {
		t.Errorf("in another zone: got %#x, want %#x", got, want)
	}
}
