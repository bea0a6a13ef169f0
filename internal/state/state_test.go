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

// What is written is found by the next life, to the last field; a life ended by SIGKILL is no different, since each write is synced.
func TestRecordsSurvive(t *testing.T) {
	dir := t.TempDir()
	if err := Init(dir, testIdentity); err != nil {
		t.Fatal(err)
	}
	s := openStore(t, dir)
	r := idempotency.Record{Attempt: idempotency.Attempt{Name: "n2", Incarnation: 1 << 60, Seq: 7}, Digest: idempotency.Digest{1, 2, 3}, State: idempotency.Answered,
		WrittenAt: time.Second, AttemptDeadline: time.Hour, Answer: []byte("answer")}
	for i := range byte(10) {
		if r.WrittenAt = time.Duration(i) * time.Second; i == 3 {
			r.State, r.Answer = idempotency.InFlight, nil
		}
		if err := s.Put(idempotency.Key{i}, r); err != nil {
			t.Fatal(err)
		}
	}
	file, err := os.ReadFile(filepath.Join(dir, fileName)) // as a process that is killed now leaves it
	if err != nil {
		t.Fatal(err)
	}
	next := t.TempDir()
	if err := os.WriteFile(filepath.Join(next, fileName), file, 0o600); err != nil {
		t.Fatal(err)
	}
	again := openStore(t, next)
	if got, ok, err := again.Get(idempotency.Key{9}); err != nil || !ok || got.Attempt != r.Attempt || got.Digest != r.Digest || got.AttemptDeadline != r.AttemptDeadline || got.WrittenAt != r.WrittenAt || got.State != r.State {
		t.Errorf("%+v, %t, %v", got, ok, err)
	}
	if got, _, _ := again.Get(idempotency.Key{2}); string(got.Answer) != "answer" {
		t.Errorf("%+v", got)
	}
	if _, ok, err := again.Get(idempotency.Key{99}); ok || err != nil {
		t.Errorf("%t, %v", ok, err)
	}
	if ok, _ := again.Complete(time.Hour); !ok || again.Keys() != 10 {
		t.Errorf("remembers %t, %d keys", ok, again.Keys())
	}
	if left, err := again.Expire(4*time.Second, 3); err != nil || left != 7 {
		t.Errorf("%d left, %v", left, err)
	}
	if left, err := again.Expire(4*time.Second, 100); err != nil || left != 5 || again.Delete(idempotency.Key{9}) != nil || again.Keys() != 4 {
		t.Errorf("%d left, %v", left, err)
	}
}

// A state that was not there is one that was lost, until the member has lived for as long as keys are kept; a clock has no part
// in that. Init vouches that there was none.
func TestLostState(t *testing.T) {
	dir := t.TempDir()
	s := openStore(t, dir)
	if ok, left := s.Complete(time.Hour); ok || left < 59*time.Minute {
		t.Errorf("remembers %t, %v left", ok, left)
	}
	s.previousLifetime = time.Hour
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	s = openStore(t, dir)
	if ok, _ := s.Complete(time.Hour); !ok || s.Lifetime() < time.Hour {
		t.Errorf("after an hour of life it remembers %t, lived %v", ok, s.Lifetime())
	}
	if err := Init(dir, testIdentity); err == nil || strings.Contains(err.Error(), "\n") {
		t.Errorf("a state was made over one that is there: %v", err)
	}
}

// Another process's folder, another member's state and a later program's are refused.
func TestRefused(t *testing.T) {
	dir := t.TempDir()
	s := openStore(t, dir)
	if _, err := Open(dir, testIdentity); !errors.Is(err, ErrLocked) {
		t.Errorf("a folder that is in use: %v", err)
	}
	s.Close()
	for _, other := range []Identity{{"g", "n1"}, {"f", "n2"}} {
		if _, err := Open(dir, other); !errors.Is(err, ErrNotOwner) {
			t.Errorf("%v: %v", other, err)
		}
	}
	if _, err := Open("/dev/null/x", testIdentity); err == nil {
		t.Error("a folder that cannot be")
	}
}

// stateImages returns a state's file with n answered filings, which hold 280 bytes each, and after each write how it was.
func stateImages(t testing.TB, n byte) (images [][]byte) {
	t.Helper()
	dir := t.TempDir()
	s, err := Open(dir, testIdentity)
	if err != nil {
		t.Fatal(err)
	}
	image := func() {
		file, err := os.ReadFile(filepath.Join(dir, fileName))
		if err != nil {
			t.Fatal(err)
		}
		images = append(images, file)
	}
	image()
	for i := range n {
		if err := s.Put(idempotency.Key{i}, answeredRecord(i)); err != nil {
			t.Fatal(err)
		}
		image()
	}
	s.db.Close()
	return images
}

func answeredRecord(i byte) idempotency.Record {
	return idempotency.Record{Attempt: idempotency.Attempt{Name: "n2", Seq: uint64(i)}, State: idempotency.Answered, WrittenAt: time.Duration(i),
		Answer: bytes.Repeat([]byte("answer "), 40)}
}

// countKeysOf opens a state whose file is as given, and tells which of the first n keys it has, each as it was written.
func countKeysOf(t testing.TB, dir string, file []byte, n byte) (has int, err error) {
	t.Helper()
	path := filepath.Join(dir, fileName)
	if err := os.WriteFile(path, file, 0o600); err != nil {
		t.Fatal(err)
	}
	defer os.Remove(path)
	s, err := Open(dir, testIdentity)
	if err != nil {
		if strings.Contains(err.Error(), "\n") {
			t.Errorf("not one line: %v", err)
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
			has++
		}
	}
	return has, nil
}

// A file that is cut, or has a flipped bit anywhere, is refused, or the bit is in a page that is not in use: never a panic or a
// fault, and never a key less than was written. Before the file was looked through, some of these bits led the database out of
// its mapping, and the process died of it.
func TestSpoiltFile(t *testing.T) {
	const n = 40
	images := stateImages(t, n)
	good, dir := images[n], t.TempDir()
	refused, unharmed := 0, 0
	look := func(what string, file []byte) {
		t.Helper()
		switch has, err := countKeysOf(t, dir, file, n); {
		case errors.Is(err, ErrCorrupt):
			refused++
		case err != nil || has != n:
			t.Errorf("%s: it has %d keys, %v", what, has, err)
		default:
			unharmed++
		}
	}
	for cut := 1021; cut < len(good); cut += 1021 {
		look(fmt.Sprint("cut at ", cut), good[:cut])
	}
	flip := func(bit int) {
		flipped := bytes.Clone(good)
		flipped[bit/8] ^= 1 << (bit % 8)
		look(fmt.Sprint("bit ", bit), flipped)
	}
	for bit := 0; bit < len(good)*8; bit += 8*197 + 3 {
		flip(bit)
	}
	for page := 0; page < len(good); page += os.Getpagesize() { // the numbers that the database follows are at a page's beginning
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
	if to, err := SetAside(dir, time.Unix(7, 0)); err != nil || !strings.HasSuffix(to, "bad-7") {
		t.Errorf("%s, %v", to, err)
	}
	if ok, _ := openStore(t, dir).Complete(time.Hour); ok {
		t.Error("after its file was set aside it remembers all")
	}
}

// A death between any two writes of a change leaves the state as before it or as after it. The database writes the pages of a
// change, syncs them, writes one beginning, and syncs it; so on the disk may be any part of the pages, in sectors, with the
// beginnings as they were, or all of them with the new one. The pages written are told by comparing the file before and after.
func TestDeathAtEveryWrite(t *testing.T) {
	const n, sector = 24, 512
	images, dir := stateImages(t, n), t.TempDir()
	page, deaths := os.Getpagesize(), 0
	for i := 1; i < len(images); i++ {
		before, after := images[i-1], images[i]
		grown := append(bytes.Clone(before), make([]byte, len(after)-len(before))...)
		var changed []int // sectors of pages that are not beginnings
		for at := 2 * page; at < len(after); at += sector {
			if !bytes.Equal(grown[at:at+sector], after[at:at+sector]) {
				changed = append(changed, at)
			}
		}
		if len(changed) == 0 || bytes.Equal(before[:2*page], after[:2*page]) {
			t.Fatalf("write %d changed %d sectors", i, len(changed))
		}
		see := func(what string, file []byte, want int) {
			t.Helper()
			deaths++
			if has, err := countKeysOf(t, dir, file, n); err != nil || has != want {
				t.Errorf("write %d, death %s: %d keys, %v; want %d", i, what, has, err, want)
			}
		}
		see("before the file grew", before, i-1)
		part := bytes.Clone(grown)
		for k, at := range changed {
			one := bytes.Clone(grown) // the disk may write any of them first
			copy(one[at:at+sector], after[at:])
			see(fmt.Sprint("with only sector ", at), one, i-1)
			if copy(part[at:at+sector], after[at:]); k%4 == 0 || k == len(changed)-1 {
				see(fmt.Sprint("after sector ", at), part, i-1)
			}
		}
		see("after all", after, i)
	}
	t.Log(deaths, "deaths")
}

// Records survive their coding, and garbage is an error or a record that makes sense.
func TestCoding(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := idempotency.Record{Attempt: idempotency.Attempt{Name: rapid.StringN(1, 64, 64).Draw(t, "name"), Incarnation: rapid.Uint64().Draw(t, "life"), Seq: rapid.Uint64().Draw(t, "seq")},
			State:     rapid.SampledFrom([]idempotency.State{idempotency.InFlight, idempotency.MayHaveRun, idempotency.Answered}).Draw(t, "state"),
			WrittenAt: time.Duration(rapid.Int64Min(0).Draw(t, "at")), AttemptDeadline: time.Duration(rapid.Int64Min(0).Draw(t, "until")),
			Answer: rapid.SliceOfN(rapid.Byte(), 0, 300).Draw(t, "answer")}
		b := encodeRecord(r)
		got, err := decodeRecord(b)
		if err != nil || got.Attempt != r.Attempt || got.State != r.State || got.WrittenAt != r.WrittenAt || got.AttemptDeadline != r.AttemptDeadline || !bytes.Equal(got.Answer, r.Answer) {
			t.Fatalf("%+v became %+v, %v", r, got, err)
		}
		b[rapid.IntRange(0, len(b)-1).Draw(t, "byte")] ^= 1 << rapid.IntRange(0, 7).Draw(t, "bit")
		if _, err := decodeRecord(b); err == nil {
			t.Fatal("a flipped bit was not seen")
		}
	})
}

func FuzzDecode(f *testing.F) {
	f.Add(encodeRecord(idempotency.Record{Attempt: idempotency.Attempt{Name: "n"}, State: idempotency.InFlight}))
	f.Fuzz(func(t *testing.T, b []byte) {
		if r, err := decodeRecord(b); err == nil && (r.State < idempotency.InFlight || r.State > idempotency.Answered) {
			t.Errorf("%x was taken as %+v", b, r)
		}
	})
}

// No file of a database, whatever is in it, is a panic to look through.
func FuzzVerify(f *testing.F) {
	images := stateImages(f, 9)
	f.Add(images[9][:8*os.Getpagesize()], uint32(8192), uint32(1))
	f.Fuzz(func(t *testing.T, file []byte, at, value uint32) {
		if n := uint32(len(file)); n > 4 { // mostly whole files with one number off
			binary.LittleEndian.PutUint32(file[at%(n-3):], value)
		}
		if err := verifyFile(bytes.NewReader(file), int64(len(file))); err != nil && !errors.Is(err, ErrCorrupt) {
			t.Error(err)
		}
	})
}

// What a claim costs on this disk, and to open a state of 20,000 filings.
func BenchmarkPut(b *testing.B) {
	s, err := Open(b.TempDir(), testIdentity)
	if err != nil {
		b.Fatal(err)
	}
	defer s.db.Close()
	i := uint64(0)
	for b.Loop() {
		i++
		if err := s.Put(idempotency.Key(append(encodeNumber(i), encodeNumber(i)...)), idempotency.Record{Attempt: idempotency.Attempt{Name: "n2"}, State: idempotency.InFlight, WrittenAt: time.Duration(i)}); err != nil {
			b.Fatal(err)
		}
	}
}

// What it takes to look a state of 20,000 answered filings through, and to read it.
func BenchmarkOpen(b *testing.B) {
	dir := b.TempDir()
	s, err := Open(dir, testIdentity)
	if err != nil {
		b.Fatal(err)
	}
	if err := s.update(func(e *entryWriter) error {
		for i := range uint64(20_000) {
			key, r := idempotency.Key(append(encodeNumber(i), encodeNumber(i)...)), answeredRecord(byte(i))
			if err := errors.Join(e.put(bucketRecords, key[:], encodeRecord(r)), e.put(bucketWriteTimes, writeTimeKey(r.WrittenAt, key), nil)); err != nil {
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
