package testutil

import (
	"testing"

	"rampspread/internal/config"
)

// SettingsJSON has two classes of requests, the idempotent "frage" and the non-idempotent "meldung", and two kinds of
// replicas, one for prefill and one for decode. It has every key that a configuration file must have.
const SettingsJSON = `{"az":0,"balancers":1,"zones":["wien"],"kinds":["prefill","decode-a"],"discovery":"push","parties":[],
"classes":[{"name":"frage","effect":"retryable","group":"all","windowMs":5000,"importance":1,"promiseMs":1200,"hardLimitMs":5000},
{"name":"meldung","effect":"fragile","group":"all","windowMs":5000,"importance":2,"promiseMs":3000,"hardLimitMs":15000}],
"familyInfo":{"aimUsPer1000PromptTokens":[40000,40000],"dutyByKind":["read","write"],"localRead":false,"releaseWithinMs":300},
"limits":{"cancelling":true,"connIdleMs":15000,"connectTimeoutMs":250,"maxRetryAfterMs":500,"mostHeld":20000,"mostTries":4,
"probing":false,"retryAfter":true},
"rules":{"answerSlackMs":8,"coldFrom":0.34,"coldMs":13000,"fallMultiple":2.5,"stopSendingWithinMs":500},
"telemetry":{"fields":["util","queue","x0"],"how":"pull"}}`

// The indexes in SettingsJSON of the two kinds of replicas.
const (
	prefillKind = iota
	decodeKind
)

// Settings parses SettingsJSON. Each call returns a copy of its own, which the test may change.
func Settings(t testing.TB) *config.Settings {
	t.Helper()
	s, err := config.ParseSettings([]byte(SettingsJSON))
	if err != nil {
		t.Fatal(err)
	}
	return s
}
