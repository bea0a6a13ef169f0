package app

import (
	"bytes"
	"path/filepath"
	"testing"
	"time"

	"go.etcd.io/bbolt"

	"rampspread/internal/config"
	"rampspread/internal/fleet/idempotency"
	"rampspread/internal/state"
)

// runStateCommand runs `rampspread state` with arguments, and returns what it prints.
func runStateCommand(args ...string) (string, error) {
	var out bytes.Buffer
	c := stateCommand(&out)
	c.SetArgs(args)
	c.SilenceErrors, c.SilenceUsage = true, true
	err := c.Execute()
	return out.String(), err
}

// What the commands print of a state is read by operators and their scripts: it stays as 1ac8dd0 printed it.
func TestGoldenStateCommandLines(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "state")
	expect := func(want string, args ...string) {
		t.Helper()
		if got, err := runStateCommand(args...); err != nil || got != want {
			t.Errorf("state %v: printed\n%s\nnot\n%s\n%v", args, got, want, err)
		}
	}
	expect(dir+": the state of golden-name, with no filing\n", "init", dir, "--name", "golden-name", "--of", "golden-fleet")
	expect(dir+": good: 0 filings\n", "check", dir)
	expect("KEY  STATE  BY  AT  ANSWER\n0 filings, 0 of them cannot be read\n", "show", dir)
	s, err := state.OpenReadOnly(dir, state.Identity{Fleet: "golden-fleet", Name: "golden-name"})
	if err != nil {
		t.Fatal(err)
	}
	for key, record := range map[idempotency.Key]idempotency.Record{
		{1, 15: 2}: {Attempt: idempotency.Attempt{Name: "n2", Incarnation: 3, Seq: 4}, State: idempotency.Answered, WrittenAt: 90061*time.Second + 1, Answer: []byte("answer")},
		{5, 15: 6}: {Attempt: idempotency.Attempt{Name: "member-three", Incarnation: 7, Seq: 8}, State: idempotency.InFlight, WrittenAt: 1501 * time.Millisecond},
		{9, 15: 0}: {Attempt: idempotency.Attempt{Name: "n4", Incarnation: 10, Seq: 11}, State: idempotency.MayHaveRun, WrittenAt: time.Minute},
	} {
		if err := s.Put(key, record); err != nil {
			t.Fatal(err)
		}
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	expect(dir+": good: 3 filings\n", "check", dir, "--name", "golden-name", "--of", "golden-fleet")
	expect("KEY                               STATE         BY            AT       ANSWER\n"+
		"01000000000000000000000000000002  answered      n2            25h1m1s  6 bytes\n"+
		"05000000000000000000000000000006  out           member-three  2s       0 bytes\n"+
		"09000000000000000000000000000000  may have run  n4            1m0s     0 bytes\n"+
		"3 filings, 0 of them cannot be read\n", "show", dir)
	for _, args := range [][]string{{"check", dir, "--name", "other", "--of", "golden-fleet"}, {"show", dir, "--name", "golden-name", "--of", "other"}} {
		if got, err := runStateCommand(args...); err == nil || got != "" {
			t.Errorf("state %v: printed %s, %v", args, got, err)
		}
	}
	spoilGoldenRecord(t, dir)
	expect("KEY                               STATE         BY  AT       ANSWER\n"+
		"01000000000000000000000000000002  answered      n2  25h1m1s  6 bytes\n"+
		"09000000000000000000000000000000  may have run  n4  1m0s     0 bytes\n"+
		"3 filings, 1 of them cannot be read\n", "show", dir)
	if got, err := runStateCommand("check", dir); err == nil || got != "" || err.Error() != "state: "+dir+": 1 of 3 filings cannot be read" {
		t.Errorf("state check: printed %s, %v", got, err)
	}
}

// spoilGoldenRecord flips a bit of a record, in a state of the first format, which had no sum of all entries.
func spoilGoldenRecord(t *testing.T, dir string) {
	t.Helper()
	db, err := bbolt.Open(filepath.Join(dir, "filings.db"), 0o600, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer db.Close()
	if err := db.Update(func(tx *bbolt.Tx) error {
		meta, claims := tx.Bucket([]byte("meta")), tx.Bucket([]byte("claims"))
		if err := meta.Delete([]byte("sum")); err != nil {
			return err
		}
		if err := meta.Put([]byte("format"), []byte{0, 0, 0, 0, 0, 0, 0, 1}); err != nil {
			return err
		}
		key := idempotency.Key{5, 15: 6}
		record := bytes.Clone(claims.Get(key[:]))
		record[len(record)-1] ^= 1
		return claims.Put(key[:], record)
	}); err != nil {
		t.Fatal(err)
	}
}

// goldenParsedSettings sets every field of the settings.
const goldenParsedSettings = `{"az":1,"balancers":2,
"classes":[{"name":"c","effect":"safe","group":"g","importance":3,"promiseMs":4,"hardLimitMs":5,"windowMs":6}],"discovery":"192.0.2.1:8500",
"familyInfo":{"aimUsPer1000PromptTokens":[7,8],"dutyByKind":["read","write"],"localRead":true,"releaseWithinMs":9},"kinds":["k1","k2"],
"limits":{"cancelling":true,"connIdleMs":10,"connectTimeoutMs":11,"maxRetryAfterMs":12,"mostHeld":13,"probing":true,"mostTries":14,"retryAfter":true},
"parties":[{"name":"p","quotaPerS":15}],"rules":{"answerSlackMs":16,"coldFrom":0.5,"coldMs":17,"fallMultiple":18,"stopSendingWithinMs":19},
"telemetry":{"fields":["util","queue","x0"],"how":"pull"},"zones":["z1","z2"]}`

// What was handed over counts only under the same fingerprint of the settings, and members compare theirs: it is that of 1ac8dd0.
func TestGoldenFingerprintOfParsedSettings(t *testing.T) {
	settings, err := config.ParseSettings([]byte(goldenParsedSettings))
	if err != nil {
		t.Fatal(err)
	}
	if got, want := fingerprint(settings), uint64(0xd154fa69738f5be8); got != want {
		t.Errorf("the fingerprint is %#x, not %#x", got, want)
	}
}
