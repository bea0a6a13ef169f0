package app

import (
	"bytes"
	"path/filepath"
	"testing"
	"time"

	"go.etcd.io/bbolt"

	"rampspread/internal/fleet/idempotency"
	"rampspread/internal/state"
)

// runStateCommand runs `rampspread state` with arguments and returns its output.
func runStateCommand(args ...string) (string, error) {
	var out bytes.Buffer
	c := stateCommand(&out)
	c.SetArgs(args)
	c.SilenceErrors, c.SilenceUsage = true, true
	err := c.Execute()
	return out.String(), err
}

// Operators and their scripts read the output of the state commands, so it must not change.
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
		{1, 15: 2}: {Attempt: idempotency.Attempt{Member: "n2", Incarnation: 3, Seq: 4}, State: idempotency.Answered, WrittenAt: 90061*time.Second + 1, Answer: []byte("answer")},
		{5, 15: 6}: {Attempt: idempotency.Attempt{Member: "member-three", Incarnation: 7, Seq: 8}, State: idempotency.InFlight, WrittenAt: 1501 * time.Millisecond},
		{9, 15: 0}: {Attempt: idempotency.Attempt{Member: "n4", Incarnation: 10, Seq: 11}, State: idempotency.MayHaveRun, WrittenAt: time.Minute},
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
	corruptGoldenRecord(t, dir)
	expect("KEY                               STATE         BY  AT       ANSWER\n"+
		"01000000000000000000000000000002  answered      n2  25h1m1s  6 bytes\n"+
		"09000000000000000000000000000000  may have run  n4  1m0s     0 bytes\n"+
		"3 filings, 1 of them cannot be read\n", "show", dir)
	if got, err := runStateCommand("check", dir); err == nil || got != "" || err.Error() != "state: "+dir+": 1 of 3 filings cannot be read" {
		t.Errorf("state check: printed %s, %v", got, err)
	}
}

// corruptGoldenRecord flips a bit of a record. It also turns the state into format 1, which has no checksum over all
// entries.
func corruptGoldenRecord(t *testing.T, dir string) {
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
