// Package state stores the idempotency records that a process holds as a replica of the idempotency quorum, so that
// they survive a restart. It owns one file, a bbolt database in a folder that the operator configures.
//
// Durability: writes are atomic, since bbolt commits copy-on-write pages by writing one meta page, and are synced
// before the call returns. Integrity: each record has a checksum, and a further checksum covers all entries. Before
// bbolt opens the file, its whole page structure is verified, and the file is refused if the structure of any page in
// use is damaged.
//
// Concurrency: Store is safe for concurrent use. A lock on the file excludes other processes.
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

// Store is the stored state of one process. It implements idempotency.Store and is safe for concurrent use.
type Store struct {
	db     *bbolt.DB
	opened time.Time // read with the monotonic clock

	mu               sync.Mutex
	previousLifetime time.Duration // recorded lifetime of the member when the store was opened
	incomplete       bool          // an earlier state may have been lost: see Complete
	keyCount         int           // number of records in the store
}

const (
	fileName = "filings.db"
	// formatVersion is the version of the file format. Version 1 had no checksum of all entries.
	formatVersion = 2
	// lockTimeout is how long Open waits for another process to release the lock of the file.
	lockTimeout = 50 * time.Millisecond

	folderMode = 0o700
	fileMode   = 0o600
)

var (
	// ErrLocked reports that another process has locked the file.
	ErrLocked = errors.New("state: another process has the folder")
	// ErrNotOwner reports that the state belongs to another member or fleet, or was written by a later version of the
	// program.
	ErrNotOwner = errors.New("state: it is not this member's")
	// ErrCorrupt reports that the file or a record in it is corrupt.
	ErrCorrupt = errors.New("state: the file cannot be read")
)

// The names of the buckets and the keys of the meta bucket. They are stored, so the literals must not change.
var (
	bucketMeta       = []byte("meta")
	bucketRecords    = []byte("claims") // idempotency key -> record
	bucketWriteTimes = []byte("ages")   // index by write time: see keyByWriteTime
	buckets          = [][]byte{bucketMeta, bucketRecords, bucketWriteTimes}

	keyFormat     = []byte("format")
	keyFleet      = []byte("fleet")
	keyName       = []byte("name")
	keyLifetime   = []byte("lived")
	keyIncomplete = []byte("lost") // present if an earlier state may have been lost: see Complete
	keyChecksum   = []byte("sum")  // checksum of all other entries: see entryWriter
)

// history says whether the member may have had an earlier state, whose records a newly created state lacks.
type history uint8

const (
	historyComplete history = iota // the member never had a state
	historyLost                    // the member may have had a state that was lost
)

// Init creates the state of a member that never had one, and marks it as complete. A replica of the idempotency quorum
// whose state is incomplete does not vote until every record that it may have written has expired. Init returns an
// error if the folder has a state.
func Init(dir string, owner Identity) error {
	if _, err := os.Stat(filepath.Join(dir, fileName)); !errors.Is(err, fs.ErrNotExist) {
		return fmt.Errorf("state: %s has a state already", dir)
	}
	s, err := open(dir, owner, historyComplete)
	if err != nil {
		return err
	}
	return s.Close()
}

// Open opens the state in a folder. If there is none, it creates one that is marked as incomplete: see Complete. The
// error is ErrLocked, ErrNotOwner, ErrCorrupt or an error of the file system.
func Open(dir string, owner Identity) (*Store, error) {
	historyIfCreated := historyComplete
	if _, err := os.Stat(filepath.Join(dir, fileName)); errors.Is(err, fs.ErrNotExist) {
		historyIfCreated = historyLost
	}
	return open(dir, owner, historyIfCreated)
}

// OpenReadOnly opens an existing state to read its records, and returns an error if there is none. The zero Identity
// accepts any owner. As after Open, Close records the lifetime, and a file of an earlier format is converted.
func OpenReadOnly(dir string, owner Identity) (*Store, error) {
	if _, err := os.Stat(filepath.Join(dir, fileName)); err != nil {
		return nil, fmt.Errorf("state: %s has none: %w", dir, err)
	}
	return open(dir, owner, historyComplete)
}

// Quarantine renames the file of a corrupt state, so that a new state can be created, and returns the new path of the
// file.
func Quarantine(dir string, now time.Time) (string, error) {
	renamed := filepath.Join(dir, fmt.Sprintf("%s.bad-%d", fileName, now.Unix()))
	if err := os.Rename(filepath.Join(dir, fileName), renamed); err != nil {
		return "", fmt.Errorf("state: %w", err)
	}
	return renamed, nil
}

// open opens or creates the file. If it creates a state, the state is marked according to historyIfCreated.
func open(dir string, owner Identity, historyIfCreated history) (s *Store, err error) {
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
	if err := s.loadOrInitialize(owner, historyIfCreated); err != nil {
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

// Close records the member's lifetime and closes the file.
func (s *Store) Close() error {
	err := s.RecordLifetime()
	return errors.Join(err, s.db.Close())
}

// recoverCorruption converts a panic of bbolt on a corrupt file, or a fault in the file's memory mapping, to ErrCorrupt
// in *err. Callers call it first and defer the function that it returns.
func recoverCorruption(err *error) func() {
	before := debug.SetPanicOnFault(true)
	return func() {
		debug.SetPanicOnFault(before)
		if p := recover(); p != nil {
			*err = fmt.Errorf("%w: %v", ErrCorrupt, p)
		}
	}
}
