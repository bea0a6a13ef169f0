package state

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"rampspread/internal/fleet/idempotency"
)

var testIdentity = Identity{Fleet: "f", Name: "n1"}

func openStore(t *testing.T, dir string) *Store {
	t.Helper()
	store, err := Open(dir, testIdentity)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { store.db.Close() })
	return store
}

// The next process reads every field of each record that was written, even if the process that wrote it was killed,
// since each write is synced.
func TestRecordsSurviveRestart(t *testing.T) {
	dir := t.TempDir()
	if err := Init(dir, testIdentity); err != nil {
		t.Fatal(err)
	}
	s := openStore(t, dir)
	record := idempotency.Record{
		Attempt:         idempotency.Attempt{Member: "n2", Incarnation: 1 << 60, Seq: 7},
		Digest:          idempotency.Digest{1, 2, 3},
		State:           idempotency.Answered,
		AttemptDeadline: time.Hour,
		Answer:          []byte("answer"),
	}
	for i := range byte(10) {
		record.WrittenAt = time.Duration(i) * time.Second
		if i == 3 {
			record.State, record.Answer = idempotency.InFlight, nil
		}
		if err := s.Put(idempotency.Key{i}, record); err != nil {
			t.Fatal(err)
		}
	}
	file, err := os.ReadFile(filepath.Join(dir, fileName)) // the file that a process killed now would leave
	if err != nil {
		t.Fatal(err)
	}
	nextDir := t.TempDir()
	if err := os.WriteFile(filepath.Join(nextDir, fileName), file, 0o600); err != nil {
		t.Fatal(err)
	}
	restarted := openStore(t, nextDir)
	got, ok, err := restarted.Get(idempotency.Key{9})
	if err != nil || !ok || got.Attempt != record.Attempt || got.Digest != record.Digest || got.State != record.State ||
		got.AttemptDeadline != record.AttemptDeadline || got.WrittenAt != record.WrittenAt {
		t.Errorf("%+v, %t, %v", got, ok, err)
	}
	if got, _, _ := restarted.Get(idempotency.Key{2}); string(got.Answer) != "answer" {
		t.Errorf("%+v", got)
	}
	if _, ok, err := restarted.Get(idempotency.Key{99}); ok || err != nil {
		t.Errorf("%t, %v", ok, err)
	}
	if ok, _ := restarted.Complete(time.Hour); !ok || restarted.Keys() != 10 {
		t.Errorf("complete %t, %d keys", ok, restarted.Keys())
	}
	if remaining, err := restarted.Expire(4*time.Second, 3); err != nil || remaining != 7 {
		t.Errorf("%d remain, %v", remaining, err)
	}
	remaining, err := restarted.Expire(4*time.Second, 100)
	if err != nil || remaining != 5 || restarted.Delete(idempotency.Key{9}) != nil || restarted.Keys() != 4 {
		t.Errorf("%d remain, %v", remaining, err)
	}
}

// A state that Open created is incomplete until the member's lifetime reaches the retention of records, independently
// of the wall clock. Init marks a state as complete, and fails if there is one already.
func TestStateCreatedAfterLossIsIncompleteUntilRetention(t *testing.T) {
	dir := t.TempDir()
	s := openStore(t, dir)
	if ok, remaining := s.Complete(time.Hour); ok || remaining < 59*time.Minute {
		t.Errorf("complete %t, %v remaining", ok, remaining)
	}
	s.previousLifetime = time.Hour
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	s = openStore(t, dir)
	if ok, _ := s.Complete(time.Hour); !ok || s.Lifetime() < time.Hour {
		t.Errorf("after a lifetime of an hour: complete %t, lifetime %v", ok, s.Lifetime())
	}
	if err := Init(dir, testIdentity); err == nil || strings.Contains(err.Error(), "\n") {
		t.Errorf("Init over an existing state: %v", err)
	}
}

// Open refuses a state that another process has locked and a state of another member.
func TestOpenRefusesLockedAndForeignState(t *testing.T) {
	dir := t.TempDir()
	s := openStore(t, dir)
	if _, err := Open(dir, testIdentity); !errors.Is(err, ErrLocked) {
		t.Errorf("a locked folder: %v", err)
	}
	s.Close()
	for _, other := range []Identity{{"g", "n1"}, {"f", "n2"}} {
		if _, err := Open(dir, other); !errors.Is(err, ErrNotOwner) {
			t.Errorf("%v: %v", other, err)
		}
	}
	if _, err := Open("/dev/null/x", testIdentity); err == nil {
		t.Error("a folder that cannot exist was opened")
	}
}

// stateImages writes n records with answers of 280 bytes each, and returns the content of the state's file before the
// first write and after each write.
func stateImages(t testing.TB, n byte) (images [][]byte) {
	t.Helper()
	dir := t.TempDir()
	s, err := Open(dir, testIdentity)
	if err != nil {
		t.Fatal(err)
	}
	saveImage := func() {
		t.Helper()
		file, err := os.ReadFile(filepath.Join(dir, fileName))
		if err != nil {
			t.Fatal(err)
		}
		images = append(images, file)
	}
	saveImage()
	for i := range n {
		if err := s.Put(idempotency.Key{i}, answeredRecord(i)); err != nil {
			t.Fatal(err)
		}
		saveImage()
	}
	s.db.Close()
	return images
}

// numberedKey returns a distinct key for each number.
func numberedKey(i uint64) idempotency.Key {
	return idempotency.Key(append(encodeNumber(i), encodeNumber(i)...))
}

func answeredRecord(i byte) idempotency.Record {
	return idempotency.Record{
		Attempt:   idempotency.Attempt{Member: "n2", Seq: uint64(i)},
		State:     idempotency.Answered,
		WrittenAt: time.Duration(i),
		Answer:    bytes.Repeat([]byte("answer "), 40),
	}
}

// countIntactKeys opens a state with the given file content, and returns how many of the first n keys it has. It
// reports a test failure for a key whose record differs from the one written.
func countIntactKeys(t testing.TB, dir string, file []byte, n byte) (found int, err error) {
	t.Helper()
	path := filepath.Join(dir, fileName)
	if err := os.WriteFile(path, file, 0o600); err != nil {
		t.Fatal(err)
	}
	defer os.Remove(path)
	s, err := Open(dir, testIdentity)
	if err != nil {
		if strings.Contains(err.Error(), "\n") {
			t.Errorf("the error has several lines: %v", err)
		}
		return 0, err
	}
	defer s.db.Close()
	for i := range n {
		r, ok, err := s.Get(idempotency.Key{i})
		switch {
		case err != nil:
			t.Errorf("key %d: %v", i, err)
		case ok && (r.Attempt.Seq != uint64(i) || !bytes.Equal(r.Answer, answeredRecord(i).Answer)):
			t.Errorf("key %d is %+v", i, r)
		case ok:
			found++
		}
	}
	return found, nil
}

// A file that is truncated or has a flipped bit is refused, unless the bit is in a page that is not in use. It never
// causes a panic, a fault or the loss of a key. Without verification, some flipped bits make the database read outside
// its mapping, which kills the process.
func TestCorruptFileIsRefusedOrUnharmed(t *testing.T) {
	const n = 40
	images := stateImages(t, n)
	good, dir := images[n], t.TempDir()
	refused, unharmed := 0, 0
	check := func(what string, file []byte) {
		t.Helper()
		switch found, err := countIntactKeys(t, dir, file, n); {
		case errors.Is(err, ErrCorrupt):
			refused++
		case err != nil || found != n:
			t.Errorf("%s: %d keys found, %v", what, found, err)
		default:
			unharmed++
		}
	}
	for cut := 1021; cut < len(good); cut += 1021 {
		check(fmt.Sprint("cut at ", cut), good[:cut])
	}
	flip := func(bit int) {
		flipped := bytes.Clone(good)
		flipped[bit/8] ^= 1 << (bit % 8)
		check(fmt.Sprint("bit ", bit), flipped)
	}
	for bit := 0; bit < len(good)*8; bit += 8*197 + 3 {
		flip(bit)
	}
	// The numbers that the database uses as references and lengths are at the start of a page.
	for page := 0; page < len(good); page += os.Getpagesize() {
		for bit := page * 8; bit < (page+128)*8; bit += 11 {
			flip(bit)
		}
	}
	if refused < unharmed/10 || unharmed == 0 {
		t.Errorf("%d files refused, %d unharmed", refused, unharmed)
	}
	file := filepath.Join(dir, fileName)
	if err := os.WriteFile(file, good[:len(good)/2], 0o600); err != nil {
		t.Fatal(err)
	}
	if renamed, err := Quarantine(dir, time.Unix(7, 0)); err != nil || !strings.HasSuffix(renamed, "bad-7") {
		t.Errorf("%s, %v", renamed, err)
	}
	if ok, _ := openStore(t, dir).Complete(time.Hour); ok {
		t.Error("complete after its file was renamed")
	}
}

// A crash between any two writes of a transaction leaves the state from before or after the transaction. The database
// writes the pages of a transaction, syncs them, writes one meta page, and syncs it. So after a crash the disk has
// either any subset of the sectors of these pages with the old meta pages, or all of them with the new meta page. The
// test finds the sectors that were written by comparing the file before and after.
func TestCrashAtEveryWriteLeavesStateBeforeOrAfter(t *testing.T) {
	const n, sector = 24, 512
	images, dir := stateImages(t, n), t.TempDir()
	pageSize, crashes := os.Getpagesize(), 0
	for i := 1; i < len(images); i++ {
		before, after := images[i-1], images[i]
		grown := append(bytes.Clone(before), make([]byte, len(after)-len(before))...)
		var changed []int // offsets of sectors outside the meta pages
		for at := 2 * pageSize; at < len(after); at += sector {
			if !bytes.Equal(grown[at:at+sector], after[at:at+sector]) {
				changed = append(changed, at)
			}
		}
		if len(changed) == 0 || bytes.Equal(before[:2*pageSize], after[:2*pageSize]) {
			t.Fatalf("write %d changed %d sectors", i, len(changed))
		}
		check := func(what string, file []byte, want int) {
			t.Helper()
			crashes++
			if found, err := countIntactKeys(t, dir, file, n); err != nil || found != want {
				t.Errorf("write %d, crash %s: %d keys, %v; want %d", i, what, found, err, want)
			}
		}
		check("before the file grew", before, i-1)
		partial := bytes.Clone(grown)
		for k, at := range changed {
			single := bytes.Clone(grown) // the disk may write any sector first
			copy(single[at:at+sector], after[at:])
			check(fmt.Sprint("with only sector ", at), single, i-1)
			if copy(partial[at:at+sector], after[at:]); k%4 == 0 || k == len(changed)-1 {
				check(fmt.Sprint("after sector ", at), partial, i-1)
			}
		}
		check("after all", after, i)
	}
	t.Log(crashes, "crashes")
}

// Decoding an encoded record returns the same record, and a flipped bit causes an error.
func TestRecordEncodingRoundTrip(t *testing.T) {
	states := []idempotency.State{idempotency.InFlight, idempotency.MayHaveRun, idempotency.Answered}
	rapid.Check(t, func(t *rapid.T) {
		record := idempotency.Record{
			Attempt: idempotency.Attempt{
				Member:      rapid.StringN(1, 64, 64).Draw(t, "name"),
				Incarnation: rapid.Uint64().Draw(t, "incarnation"),
				Seq:         rapid.Uint64().Draw(t, "seq"),
			},
			State:           rapid.SampledFrom(states).Draw(t, "state"),
			WrittenAt:       time.Duration(rapid.Int64Min(0).Draw(t, "writtenAt")),
			AttemptDeadline: time.Duration(rapid.Int64Min(0).Draw(t, "attemptDeadline")),
			Answer:          rapid.SliceOfN(rapid.Byte(), 0, 300).Draw(t, "answer"),
		}
		encoded := encodeRecord(record)
		got, err := decodeRecord(encoded)
		if err != nil || got.Attempt != record.Attempt || got.State != record.State || got.WrittenAt != record.WrittenAt ||
			got.AttemptDeadline != record.AttemptDeadline || !bytes.Equal(got.Answer, record.Answer) {
			t.Fatalf("%+v became %+v, %v", record, got, err)
		}
		encoded[rapid.IntRange(0, len(encoded)-1).Draw(t, "byte")] ^= 1 << rapid.IntRange(0, 7).Draw(t, "bit")
		if _, err := decodeRecord(encoded); err == nil {
			t.Fatal("a flipped bit was not detected")
		}
	})
}

func FuzzDecode(f *testing.F) {
	f.Add(encodeRecord(idempotency.Record{Attempt: idempotency.Attempt{Member: "n"}, State: idempotency.InFlight}))
	f.Fuzz(func(t *testing.T, b []byte) {
		if r, err := decodeRecord(b); err == nil && (r.State < idempotency.InFlight || r.State > idempotency.Answered) {
			t.Errorf("%x was decoded as %+v", b, r)
		}
	})
}

// Verifying a file never panics and returns no error but ErrCorrupt, whatever the file contains.
func FuzzVerify(f *testing.F) {
	images := stateImages(f, 9)
	f.Add(images[9][:8*os.Getpagesize()], uint32(8192), uint32(1))
	f.Fuzz(func(t *testing.T, file []byte, at, value uint32) {
		if n := uint32(len(file)); n > 4 { // mostly intact files with one number replaced
			binary.LittleEndian.PutUint32(file[at%(n-3):], value)
		}
		if err := verifyFile(bytes.NewReader(file), int64(len(file))); err != nil && !errors.Is(err, ErrCorrupt) {
			t.Error(err)
		}
	})
}

// BenchmarkPut measures a synced write to the disk.
func BenchmarkPut(b *testing.B) {
	s, err := Open(b.TempDir(), testIdentity)
	if err != nil {
		b.Fatal(err)
	}
	defer s.db.Close()
	i := uint64(0)
	for b.Loop() {
		i++
		record := idempotency.Record{
			Attempt:   idempotency.Attempt{Member: "n2"},
			State:     idempotency.InFlight,
			WrittenAt: time.Duration(i),
		}
		if err := s.Put(numberedKey(i), record); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkOpen measures verifying and opening a state of 20,000 answered records.
func BenchmarkOpen(b *testing.B) {
	dir := b.TempDir()
	s, err := Open(dir, testIdentity)
	if err != nil {
		b.Fatal(err)
	}
	if err := s.update(func(w *entryWriter) error {
		for i := range uint64(20_000) {
			key, record := numberedKey(i), answeredRecord(byte(i))
			err := errors.Join(
				w.put(bucketRecords, key[:], encodeRecord(record)),
				w.put(bucketWriteTimes, keyByWriteTime(record.WrittenAt, key), nil))
			if err != nil {
				return err
			}
		}
		return nil
	}); err != nil {
		b.Fatal(err)
	}
	s.db.Close()
	for b.Loop() {
		s, err := Open(dir, testIdentity)
		if err != nil || s.Keys() != 20_000 {
			b.Fatal(err)
		}
		s.db.Close()
	}
}
