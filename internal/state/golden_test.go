package state

import (
	"bytes"
	"encoding/hex"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"go.etcd.io/bbolt"

	"rampspread/internal/fleet/idempotency"
	"rampspread/internal/testutil/golden"
)

const (
	goldenFileName = "filings.db"
	goldenLifetime = 3*time.Hour + 5
)

var (
	goldenIdentity = Identity{Fleet: "golden-fleet", Name: "golden-name"}
	goldenRecords  = map[idempotency.Key]idempotency.Record{
		{1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16}: {
			Attempt:         idempotency.Attempt{Member: "n2", Incarnation: 1<<63 + 17, Seq: 18},
			Digest:          idempotency.Digest{19, 31: 20},
			State:           idempotency.Answered,
			WrittenAt:       21 * time.Second,
			AttemptDeadline: 22 * time.Second,
			Answer:          []byte("golden answer"),
		},
		{23, 15: 24}: {
			Attempt:         idempotency.Attempt{Member: "n3", Incarnation: 25, Seq: 26},
			Digest:          idempotency.Digest{27, 31: 28},
			State:           idempotency.InFlight,
			WrittenAt:       29,
			AttemptDeadline: 30,
		},
		{31, 15: 32}: {
			Attempt:         idempotency.Attempt{Member: "n4", Incarnation: 33, Seq: 34},
			Digest:          idempotency.Digest{35, 31: 36},
			State:           idempotency.MayHaveRun,
			WrittenAt:       37,
			AttemptDeadline: 38,
		},
	}
)

// writeGoldenState writes the state that is stored in the golden file, and returns the bytes of its file and a list of
// its entries.
func writeGoldenState(t *testing.T) (file []byte, entryList string) {
	t.Helper()
	dir := t.TempDir()
	s, err := Open(dir, goldenIdentity) // without Init, so the state is marked as incomplete
	if err != nil {
		t.Fatal(err)
	}
	for _, first := range []byte{1, 23, 31} {
		for key, record := range goldenRecords {
			if key[0] != first {
				continue
			}
			if err := s.Put(key, record); err != nil {
				t.Fatal(err)
			}
		}
	}
	if err := s.update(func(e *entryWriter) error {
		return e.put(bucketMeta, keyLifetime, encodeNumber(uint64(goldenLifetime)))
	}); err != nil {
		t.Fatal(err)
	}
	entryList = listEntries(t, s.db)
	if err := s.db.Close(); err != nil {
		t.Fatal(err)
	}
	file, err = os.ReadFile(filepath.Join(dir, goldenFileName))
	if err != nil {
		t.Fatal(err)
	}
	return file, entryList
}

// listEntries returns a line with bucket, key and value for each entry.
func listEntries(t *testing.T, db *bbolt.DB) string {
	t.Helper()
	var out strings.Builder
	if err := db.View(func(tx *bbolt.Tx) error {
		return tx.ForEach(func(bucket []byte, b *bbolt.Bucket) error {
			return b.ForEach(func(k, v []byte) error {
				key := string(k)
				if string(bucket) != "meta" {
					key = hex.EncodeToString(k)
				}
				fmt.Fprintf(&out, "%s %s = %x\n", bucket, key, v)
				return nil
			})
		})
	}); err != nil {
		t.Fatal(err)
	}
	return out.String()
}

// Other versions of the program read the state, so its buckets, keys and values must equal those that commit 1ac8dd0
// wrote, byte for byte. The order of pages in the file may differ, since the database chooses it.
func TestGoldenEntriesAreWritten(t *testing.T) {
	_, entryList := writeGoldenState(t)
	golden.Text(t, "entries.txt", entryList)
}

// The database file that commit 1ac8dd0 wrote is accepted, and the same values are read from it.
func TestGoldenFileIsRead(t *testing.T) {
	current, entryList := writeGoldenState(t)
	file := golden.ReadSparseBytes(t, "filings.db.hex", current)
	if err := verifyFile(bytes.NewReader(file), int64(len(file))); err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, goldenFileName), file, 0o600); err != nil {
		t.Fatal(err)
	}
	s, err := OpenReadOnly(dir, goldenIdentity)
	if err != nil {
		t.Fatal(err)
	}
	defer s.db.Close()
	if got, want := listEntries(t, s.db), golden.Text(t, "entries.txt", entryList); got != want {
		t.Errorf("read\n%s\nnot\n%s", got, want)
	}
	if !s.incomplete || s.previousLifetime != goldenLifetime || s.Keys() != len(goldenRecords) {
		t.Errorf("incomplete %t, lifetime %v, %d keys", s.incomplete, s.previousLifetime, s.Keys())
	}
	got := map[idempotency.Key]idempotency.Record{}
	if err := s.Each(func(key idempotency.Key, record idempotency.Record, err error) {
		if err != nil {
			t.Error(err)
		}
		got[key] = record
	}); err != nil || !reflect.DeepEqual(got, goldenRecords) {
		t.Errorf("read %+v, %v", got, err)
	}
	if remaining, err := s.Expire(30, 10); err != nil || remaining != 2 { // the record written at 29 ns is deleted
		t.Errorf("%d remain, %v", remaining, err)
	}
}

// The golden record in state Answered sets every field, so that a new field has to be added to the golden file.
func TestGoldenRecordSetsEveryField(t *testing.T) {
	for _, record := range goldenRecords {
		if record.State != idempotency.Answered {
			continue
		}
		for _, v := range []reflect.Value{reflect.ValueOf(record), reflect.ValueOf(record.Attempt)} {
			for i := range v.NumField() {
				if v.Field(i).IsZero() {
					t.Errorf("%s.%s is zero", v.Type(), v.Type().Field(i).Name)
				}
			}
		}
	}
}

// Operators look for a corrupt state under this file name.
func TestGoldenNameOfRefusedState(t *testing.T) {
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, goldenFileName), nil, 0o600); err != nil {
		t.Fatal(err)
	}
	got, err := Quarantine(dir, time.Unix(1_700_000_000, 5))
	if want := filepath.Join(dir, "filings.db.bad-1700000000"); err != nil || got != want {
		t.Errorf("%s, %v", got, err)
	}
}
