// Package state keeps what a process must find again in its next life, in one file of a folder of the operator's: which filings
// it, as one of the fleet's keepers, has said yes to. The file is a bbolt database, so a write is there whole or not at all,
// and is synced before the call returns. Each record has a checksum of its own, and all entries together have one; the file is
// looked through before the database gets it, and refused whole if anything in use is off.
package state

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"runtime/debug"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.etcd.io/bbolt"
	bbolterrors "go.etcd.io/bbolt/errors"
	"google.golang.org/protobuf/encoding/protowire"

	"rampspread/internal/fleet/idempotency"
	"rampspread/internal/protofield"
)

const (
	fileName = "filings.db"
	format   = 2 // 1 had no sum
	lockWait = 50 * time.Millisecond
)

// Identity says whose the state is: of one name of one fleet, never of another.
type Identity struct {
	Fleet, Name string
}

var (
	// ErrLocked says that another process has the folder.
	ErrLocked = errors.New("state: another process has the folder")
	// ErrNotOwner says that the state is another member's, another fleet's, or of a later program.
	ErrNotOwner = errors.New("state: it is not this member's")
	// ErrCorrupt says that the file cannot be read.
	ErrCorrupt = errors.New("state: the file cannot be read")

	bucketMeta   = []byte("meta")
	bucketClaims = []byte("claims")
	bucketAges   = []byte("ages") // by time of the keeper's life and key
	buckets      = [][]byte{bucketMeta, bucketClaims, bucketAges}
	keyFormat    = []byte("format")
	keyFleet     = []byte("fleet")
	keyName      = []byte("name")
	keyLived     = []byte("lived")
	keyLost      = []byte("lost") // the keeper's time from which on it remembers all
	keySum       = []byte("sum")  // of all other entries: see entries
)

// Store is a process's stored state. It is safe for use by several goroutines.
type Store struct {
	db     *bbolt.DB
	opened time.Time

	mu    sync.Mutex
	lived time.Duration // before this life, as far as was counted
	lost  bool
	n     int
}

// Init makes the state of a member that has none, and vouches that there was none before: a keeper that starts without it has to
// hold its peace until all that it may have said yes to has expired.
func Init(dir string, who Identity) error {
	if _, err := os.Stat(filepath.Join(dir, fileName)); !errors.Is(err, fs.ErrNotExist) {
		return fmt.Errorf("state: %s has a state already", dir)
	}
	s, err := open(dir, who, false)
	if err != nil {
		return err
	}
	return s.Close()
}

// Open opens the state in a folder. Where there is none it makes one that says so: Remembers is false then.
func Open(dir string, who Identity) (*Store, error) {
	_, err := os.Stat(filepath.Join(dir, fileName))
	return open(dir, who, errors.Is(err, fs.ErrNotExist))
}

// OpenReadOnly opens a state that is there, to read it; who may be empty.
func OpenReadOnly(dir string, who Identity) (*Store, error) {
	if _, err := os.Stat(filepath.Join(dir, fileName)); err != nil {
		return nil, fmt.Errorf("state: %s has none: %w", dir, err)
	}
	return open(dir, who, false)
}

// SetAside moves a state that cannot be read out of the way, and returns where it is now.
func SetAside(dir string, now time.Time) (string, error) {
	to := filepath.Join(dir, fmt.Sprintf("%s.bad-%d", fileName, now.Unix()))
	if err := os.Rename(filepath.Join(dir, fileName), to); err != nil {
		return "", fmt.Errorf("state: %w", err)
	}
	return to, nil
}

func open(dir string, who Identity, lost bool) (s *Store, err error) {
	defer guard(&err)()
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, fmt.Errorf("state: %w", err)
	}
	db, err := bbolt.Open(filepath.Join(dir, fileName), 0o600, &bbolt.Options{Timeout: lockWait, OpenFile: openChecked})
	switch {
	case errors.Is(err, ErrLocked), errors.Is(err, bbolterrors.ErrTimeout):
		return nil, ErrLocked
	case errors.Is(err, ErrCorrupt):
		return nil, err
	case errors.Is(err, fs.ErrPermission):
		return nil, fmt.Errorf("state: %w", err)
	case err != nil:
		return nil, fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	s = &Store{db: db, opened: time.Now()}
	made := false
	if err = db.View(func(tx *bbolt.Tx) error { made, err = s.read(tx, who); return err }); err == nil && !made {
		err = db.Update(func(tx *bbolt.Tx) error { return s.begin(tx, who, lost) })
	}
	if err != nil {
		db.Close()
		return nil, err
	}
	return s, nil
}

// read reads whose the state is, and that all its entries are those that were written. One that nothing was written to yet, or
// by the program that kept no sum, is still to be made.
func (s *Store) read(tx *bbolt.Tx, who Identity) (made bool, err error) {
	meta, claims, ages := tx.Bucket(bucketMeta), tx.Bucket(bucketClaims), tx.Bucket(bucketAges)
	if meta == nil && claims == nil && ages == nil {
		return false, nil
	}
	if meta == nil || claims == nil || ages == nil || meta.Get(keyFormat) == nil {
		return false, fmt.Errorf("%w: a part of it is not there", ErrCorrupt)
	}
	f := meta.Get(keyFormat)
	sum := meta.Get(keySum)
	all, err := sumOf(tx)
	if err != nil {
		return false, err
	}
	// Whose it is comes first: a later program's format may have another sum.
	switch {
	case len(f) != 8 || number(f) > format:
		return false, fmt.Errorf("%w: its format is a later program's", ErrNotOwner)
	case number(f) == format && (len(sum) != 8 || number(sum) != all):
		return false, fmt.Errorf("%w: its checksum is off", ErrCorrupt)
	case who == Identity{}: // whosoever it is
	case string(meta.Get(keyFleet)) != who.Fleet || string(meta.Get(keyName)) != who.Name:
		return false, fmt.Errorf("%w: it is %q of %q, not %q of %q", ErrNotOwner, meta.Get(keyName), meta.Get(keyFleet), who.Name, who.Fleet)
	}
	s.n = claims.Stats().KeyN
	s.lived = time.Duration(number(meta.Get(keyLived)))
	s.lost = meta.Get(keyLost) != nil
	return number(f) == format, nil
}

// begin makes a new state, or gives one of the format before its sum.
func (s *Store) begin(tx *bbolt.Tx, who Identity, lost bool) error {
	for _, name := range buckets {
		if _, err := tx.CreateBucketIfNotExists(name); err != nil {
			return fmt.Errorf("state: %w", err)
		}
	}
	meta := tx.Bucket(bucketMeta)
	put := map[string][]byte{string(keyFormat): encodeNumber(format)}
	if meta.Get(keyFormat) == nil {
		s.lost = lost
		put[string(keyFleet)], put[string(keyName)], put[string(keyLived)] = []byte(who.Fleet), []byte(who.Name), encodeNumber(0)
		if lost {
			put[string(keyLost)] = encodeNumber(0)
		}
	}
	for k, v := range put {
		if err := meta.Put([]byte(k), v); err != nil {
			return fmt.Errorf("state: %w", err)
		}
	}
	all, err := sumOf(tx)
	if err != nil {
		return err
	}
	if err := meta.Put(keySum, encodeNumber(all)); err != nil {
		return fmt.Errorf("state: %w", err)
	}
	return nil
}

// sumOf is the sum of all entries but itself.
func sumOf(tx *bbolt.Tx) (all uint64, err error) {
	for _, name := range buckets {
		if err := tx.Bucket(name).ForEach(func(k, v []byte) error {
			if !bytes.Equal(name, bucketMeta) || !bytes.Equal(k, keySum) {
				all ^= entrySum(name, k, v)
			}
			return nil
		}); err != nil {
			return 0, fmt.Errorf("state: %w", err)
		}
	}
	return all, nil
}

// entrySum is an entry's part in the sum of all, which is their exclusive or: it does not hang on their order, and one entry less
// or more is taken out or in by itself.
func entrySum(bucket, key, value []byte) uint64 {
	d := xxhash.New()
	for _, b := range [][]byte{bucket, key, value} {
		d.Write(encodeNumber(uint64(len(b))))
		d.Write(b)
	}
	return d.Sum64()
}

// entries changes a state's entries, and their sum with them.
type entries struct {
	tx  *bbolt.Tx
	sum uint64 // by how much the sum changes
}

// update runs f in one transaction that is on the disk when it returns.
func (s *Store) update(f func(e *entries) error) error {
	return s.db.Update(func(tx *bbolt.Tx) error {
		e := &entries{tx: tx}
		if err := f(e); err != nil {
			return err
		}
		meta := tx.Bucket(bucketMeta)
		return meta.Put(keySum, encodeNumber(number(meta.Get(keySum))^e.sum))
	})
}

func (e *entries) put(bucket, key, value []byte) error {
	b := e.tx.Bucket(bucket)
	if old := b.Get(key); old != nil {
		e.sum ^= entrySum(bucket, key, old)
	}
	e.sum ^= entrySum(bucket, key, value)
	return b.Put(key, value)
}

func (e *entries) delete(bucket, key []byte) error {
	b := e.tx.Bucket(bucket)
	old := b.Get(key)
	if old == nil {
		return nil
	}
	e.sum ^= entrySum(bucket, key, old)
	return b.Delete(key)
}

// guard turns what the database makes of a spoilt file, a panic or a fault in the file's mapping, into an error. It is to be
// called at once, and what it returns deferred.
func guard(err *error) func() {
	before := debug.SetPanicOnFault(true)
	return func() {
		debug.SetPanicOnFault(before)
		if p := recover(); p != nil {
			*err = fmt.Errorf("%w: %v", ErrCorrupt, p)
		}
	}
}

func encodeNumber(n uint64) []byte { return binary.BigEndian.AppendUint64(nil, n) }

func number(b []byte) uint64 {
	if len(b) != 8 {
		return 0
	}
	return binary.BigEndian.Uint64(b)
}

// Lifetime is how long the member has lived, over all lives as far as was noted, by the clock that only advances.
func (s *Store) Lifetime() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lived + time.Since(s.opened)
}

// RecordLifetime writes down how long the member has lived. What is not noted is not counted: keys then live longer.
func (s *Store) RecordLifetime() (err error) {
	defer guard(&err)()
	lived := s.Lifetime()
	return s.update(func(e *entries) error { return e.put(bucketMeta, keyLived, encodeNumber(uint64(lived))) })
}

// Complete tells whether the state holds all that the member ever wrote. One that was lost remembers all again once it has
// lived for keep: what was written before has expired.
func (s *Store) Complete(keep time.Duration) (remembers bool, left time.Duration) {
	lived := s.Lifetime()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.lost || lived >= keep {
		return true, 0
	}
	return false, keep - lived
}

// Keys is how many keys are kept.
func (s *Store) Keys() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.n
}

// Close closes the file.
func (s *Store) Close() error {
	err := s.RecordLifetime()
	return errors.Join(err, s.db.Close())
}

// Fields of a record.
const (
	fieldTry         = 1 // name
	fieldIncarnation = 2
	fieldSeq         = 3
	fieldDigest      = 4
	fieldState       = 5
	fieldAt          = 6
	fieldUntil       = 7
	fieldAnswer      = 8
)

// encode packs a record, with its checksum before it.
func encode(r idempotency.Record) []byte {
	b := make([]byte, 8, 128+len(r.Answer))
	text := func(field protowire.Number, v []byte) {
		b = protofield.Bytes(b, field, v)
	}
	num := func(field protowire.Number, v uint64) {
		b = protofield.Varint(b, field, v)
	}
	text(fieldTry, []byte(r.Attempt.Name))
	num(fieldIncarnation, r.Attempt.Incarnation)
	num(fieldSeq, r.Attempt.Seq)
	text(fieldDigest, r.Digest[:])
	num(fieldState, uint64(r.State))
	num(fieldAt, uint64(r.WrittenAt))
	num(fieldUntil, uint64(r.AttemptDeadline))
	if r.Answer != nil {
		text(fieldAnswer, r.Answer)
	}
	binary.BigEndian.PutUint64(b, xxhash.Sum64(b[8:]))
	return b
}

// decode reads a record; one whose checksum is off, or that makes no sense, is an error.
func decode(b []byte) (r idempotency.Record, err error) {
	if len(b) < 8 || xxhash.Sum64(b[8:]) != binary.BigEndian.Uint64(b) {
		return r, fmt.Errorf("%w: a record's checksum is off", ErrCorrupt)
	}
	for b = b[8:]; len(b) > 0; {
		f, rest, err := protofield.Next(b)
		if err != nil {
			return r, fmt.Errorf("%w: %w", ErrCorrupt, err)
		}
		b = rest
		field, kind, v, text := f.Number, f.Kind, f.Value, f.Bytes
		switch {
		case field == fieldTry && kind == protowire.BytesType:
			r.Attempt.Name = string(text)
		case field == fieldDigest && kind == protowire.BytesType && len(text) == len(r.Digest):
			copy(r.Digest[:], text)
		case field == fieldAnswer && kind == protowire.BytesType:
			r.Answer = append([]byte{}, text...)
		case kind != protowire.VarintType:
		case field == fieldIncarnation:
			r.Attempt.Incarnation = v
		case field == fieldSeq:
			r.Attempt.Seq = v
		case field == fieldState:
			r.State = idempotency.State(v)
		case field == fieldAt:
			r.WrittenAt = time.Duration(v)
		case field == fieldUntil:
			r.AttemptDeadline = time.Duration(v)
		}
	}
	if r.State < idempotency.InFlight || r.State > idempotency.Answered || r.Attempt.Name == "" {
		return r, fmt.Errorf("%w: a record makes no sense", ErrCorrupt)
	}
	return r, nil
}

// age is a record's place among the ages.
func age(at time.Duration, key idempotency.Key) []byte {
	return append(encodeNumber(uint64(at)), key[:]...)
}

// Get implements claim.Store.
func (s *Store) Get(key idempotency.Key) (r idempotency.Record, ok bool, err error) {
	defer guard(&err)()
	err = s.db.View(func(tx *bbolt.Tx) error {
		b := tx.Bucket(bucketClaims).Get(key[:])
		if b == nil {
			return nil
		}
		ok = true
		r, err = decode(b)
		return err
	})
	return r, ok, err
}

// Put implements claim.Store; what it wrote is on the disk.
func (s *Store) Put(key idempotency.Key, r idempotency.Record) (err error) {
	defer guard(&err)()
	fresh := false
	err = s.update(func(e *entries) error {
		old := e.tx.Bucket(bucketClaims).Get(key[:])
		if fresh = old == nil; !fresh {
			if was, err := decode(old); err == nil {
				if err := e.delete(bucketAges, age(was.WrittenAt, key)); err != nil {
					return err
				}
			}
		}
		if err := e.put(bucketClaims, key[:], encode(r)); err != nil {
			return err
		}
		return e.put(bucketAges, age(r.WrittenAt, key), nil)
	})
	if err != nil {
		return fmt.Errorf("state: %w", err)
	}
	if fresh {
		s.count(1)
	}
	return nil
}

func (s *Store) count(by int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.n += by
}

// Delete implements claim.Store.
func (s *Store) Delete(key idempotency.Key) (err error) {
	defer guard(&err)()
	gone := 0
	err = s.update(func(e *entries) error {
		gone, err = remove(e, key[:])
		return err
	})
	if err != nil {
		return fmt.Errorf("state: %w", err)
	}
	s.count(-gone)
	return nil
}

// remove deletes a key's record, and its age if that can be read.
func remove(e *entries, key []byte) (gone int, err error) {
	b := e.tx.Bucket(bucketClaims).Get(key)
	if b == nil {
		return 0, nil
	}
	if r, err := decode(b); err == nil {
		if err := e.delete(bucketAges, age(r.WrittenAt, idempotency.Key(key))); err != nil {
			return 0, err
		}
	}
	return 1, e.delete(bucketClaims, key)
}

// Expire implements claim.Store.
func (s *Store) Expire(before time.Duration, most int) (left int, err error) {
	defer guard(&err)()
	var due [][]byte
	limit := encodeNumber(uint64(max(before, 0)))
	if err := s.db.View(func(tx *bbolt.Tx) error {
		c := tx.Bucket(bucketAges).Cursor()
		for k, _ := c.First(); k != nil && len(k) == 8+len(idempotency.Key{}) && string(k[:8]) <= string(limit) && before > 0 && len(due) < most; k, _ = c.Next() {
			due = append(due, append([]byte{}, k...))
		}
		return nil
	}); err != nil || len(due) == 0 {
		return s.Keys(), err
	}
	gone := 0
	err = s.update(func(e *entries) error {
		gone = 0
		for _, k := range due {
			n, err := remove(e, k[8:])
			if err != nil {
				return err
			}
			if gone += n; n == 0 { // a place that its record has left
				if err := e.delete(bucketAges, k); err != nil {
					return err
				}
			}
		}
		return nil
	})
	if err != nil {
		return s.Keys(), fmt.Errorf("state: %w", err)
	}
	s.count(-gone)
	return s.Keys(), nil
}

// Each calls f with every key and record, in no set order; a record that cannot be read comes with its error.
func (s *Store) Each(f func(idempotency.Key, idempotency.Record, error)) (err error) {
	defer guard(&err)()
	return s.db.View(func(tx *bbolt.Tx) error {
		return tx.Bucket(bucketClaims).ForEach(func(k, v []byte) error {
			if len(k) != len(idempotency.Key{}) {
				f(idempotency.Key{}, idempotency.Record{}, fmt.Errorf("%w: a key of %d bytes", ErrCorrupt, len(k)))
				return nil
			}
			r, err := decode(v)
			f(idempotency.Key(k), r, err)
			return nil
		})
	})
}
