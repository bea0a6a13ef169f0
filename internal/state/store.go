// Package state stores the idempotency records that a process holds as one of the fleet's replicas, so that they survive a
// restart. It owns one file, a bbolt database in a folder that the operator names.
//
// Durability: a write is in the file whole or not at all (bbolt commits copy-on-write pages by one meta page), and is synced
// before the call returns. Integrity: each record has a checksum of its own, and all entries together have one. Before bbolt
// opens the file its whole page structure is verified, and the file is refused if any page in use is damaged.
//
// Concurrency: Store is safe for use by several goroutines. A lock on the file keeps other processes out.
package state

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"runtime/debug"
	"sync"
	"time"

	"go.etcd.io/bbolt"
	bbolterrors "go.etcd.io/bbolt/errors"
)

// Store is the stored state of one process. It implements idempotency.Store. It is safe for use by several goroutines.
type Store struct {
	db     *bbolt.DB
	opened time.Time // monotonic

	mu               sync.Mutex
	previousLifetime time.Duration // the member's lifetime before opened, as far as it was recorded
	incomplete       bool          // an earlier state was lost: see Complete
	keyCount         int           // records in the store
}

const (
	fileName = "filings.db"
	// formatVersion is the version of the stored form. Version 1 had no checksum of all entries.
	formatVersion = 2
	// lockTimeout is how long Open waits for a process that holds the file.
	lockTimeout = 50 * time.Millisecond

	folderMode = 0o700
	fileMode   = 0o600
)

var (
	// ErrLocked reports that another process holds the folder.
	ErrLocked = errors.New("state: another process has the folder")
	// ErrNotOwner reports that the state belongs to another member or another fleet, or was written by a later program.
	ErrNotOwner = errors.New("state: it is not this member's")
	// ErrCorrupt reports that the file, or one record of it, cannot be read.
	ErrCorrupt = errors.New("state: the file cannot be read")
)

// The buckets and the keys of the meta bucket, as stored. The literals never change.
var (
	bucketMeta       = []byte("meta")
	bucketRecords    = []byte("claims") // idempotency key -> record
	bucketWriteTimes = []byte("ages")   // index by time written: see writeTimeKey
	buckets          = [][]byte{bucketMeta, bucketRecords, bucketWriteTimes}

	keyFormat     = []byte("format")
	keyFleet      = []byte("fleet")
	keyName       = []byte("name")
	keyLifetime   = []byte("lived")
	keyIncomplete = []byte("lost") // present if an earlier state was lost: see Complete
	keyChecksum   = []byte("sum")  // of all other entries: see entryWriter
)

// history says whether a state that is created now may lack records that the member wrote earlier.
type history uint8

const (
	historyComplete history = iota // the member never had a state
	historyLost                    // the member may have had one
)

// Init creates the state of a member that never had one, and marks it as complete. Without that mark a replica has to stay
// silent until every record that it may have written has expired. It is an error if the folder has a state.
func Init(dir string, who Identity) error {
	if _, err := os.Stat(filepath.Join(dir, fileName)); !errors.Is(err, fs.ErrNotExist) {
		return fmt.Errorf("state: %s has a state already", dir)
	}
	s, err := open(dir, who, historyComplete)
	if err != nil {
		return err
	}
	return s.Close()
}

// Open opens the state in a folder. If there is none it creates one that is marked as incomplete: Complete is false then.
// The errors are ErrLocked, ErrNotOwner, ErrCorrupt or one of the file system.
func Open(dir string, who Identity) (*Store, error) {
	ifCreated := historyComplete
	if _, err := os.Stat(filepath.Join(dir, fileName)); errors.Is(err, fs.ErrNotExist) {
		ifCreated = historyLost
	}
	return open(dir, who, ifCreated)
}

// OpenReadOnly opens an existing state in order to read it. The zero Identity accepts any owner.
func OpenReadOnly(dir string, who Identity) (*Store, error) {
	if _, err := os.Stat(filepath.Join(dir, fileName)); err != nil {
		return nil, fmt.Errorf("state: %s has none: %w", dir, err)
	}
	return open(dir, who, historyComplete)
}

// Quarantine renames a state that cannot be read, so that a new one can be created, and returns its new path.
func Quarantine(dir string, now time.Time) (string, error) {
	renamed := filepath.Join(dir, fmt.Sprintf("%s.bad-%d", fileName, now.Unix()))
	if err := os.Rename(filepath.Join(dir, fileName), renamed); err != nil {
		return "", fmt.Errorf("state: %w", err)
	}
	return renamed, nil
}

// open opens or creates the file; ifCreated is recorded in a state that is created.
func open(dir string, who Identity, ifCreated history) (s *Store, err error) {
	defer recoverCorruption(&err)()
	if err := os.MkdirAll(dir, folderMode); err != nil {
		return nil, fmt.Errorf("state: %w", err)
	}
	options := &bbolt.Options{Timeout: lockTimeout, OpenFile: openVerified}
	db, err := bbolt.Open(filepath.Join(dir, fileName), fileMode, options)
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
	if err := s.loadOrInitialize(who, ifCreated); err != nil {
		db.Close()
		return nil, err
	}
	return s, nil
}

// Keys returns the number of records in the store.
func (s *Store) Keys() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.keyCount
}

func (s *Store) addKeys(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keyCount += n
}

// Close records the lifetime and closes the file.
func (s *Store) Close() error {
	err := s.RecordLifetime()
	return errors.Join(err, s.db.Close())
}

// recoverCorruption turns the ways in which bbolt fails on a corrupt file, a panic or a fault in the file's memory mapping,
// into ErrCorrupt. It is to be called at once, and the function that it returns deferred.
func recoverCorruption(err *error) func() {
	before := debug.SetPanicOnFault(true)
	return func() {
		debug.SetPanicOnFault(before)
		if p := recover(); p != nil {
			*err = fmt.Errorf("%w: %v", ErrCorrupt, p)
		}
	}
}
