// Package atomicfile replaces files atomically: it writes a temporary file and renames it (write, fsync, rename, fsync
// of the folder). A sealed file begins with a magic string that identifies its format, and ends with an xxhash of
// everything before it.
//
// The functions are safe for use by several goroutines and processes at once: callers that replace the same file
// exclude each other by a lock on its temporary file. A Saver writes one file in the background.
package atomicfile

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"golang.org/x/sys/unix"

	"rampspread/internal/hostos"
)

// ErrCorrupt reports a file that is truncated, damaged, too long or of another format.
var ErrCorrupt = errors.New("file is corrupt or of another format")

// Durability says whether a replaced file survives a crash of the machine.
type Durability uint8

const (
	// Unsynced files survive a crash of the process, but a crash of the machine may lose them.
	Unsynced Durability = iota
	// Synced files are on disk, under their name, when Replace returns.
	Synced
)

const (
	// Replace attempts to lock the temporary file up to lockAttempts times, at intervals of lockRetryInterval.
	lockAttempts      = 20
	lockRetryInterval = 5 * time.Millisecond
	fileMode          = 0o600
)

// errLocked reports that another process kept the temporary file locked during all lockAttempts.
var errLocked = errors.New("another process has locked the temporary file")

// Replace writes a temporary file and renames it to path. After an error the caller has to write the whole content
// again: data whose sync failed may be missing on disk even if a later sync succeeds.
func Replace(machine hostos.System, path string, content []byte, durability Durability) error {
	temporary, err := openTemporary(path)
	if err != nil {
		return fmt.Errorf("atomicfile: %w", err)
	}
	defer temporary.Close() // releases the lock
	err = write(machine, temporary, content, durability)
	if err == nil {
		err = rename(machine, temporary.Name(), path)
	}
	if err != nil {
		os.Remove(temporary.Name())
		return fmt.Errorf("atomicfile: %w", err)
	}
	if durability == Unsynced {
		return nil
	}
	if err := syncDir(machine, filepath.Dir(path)); err != nil {
		return fmt.Errorf("atomicfile: %w", err)
	}
	return nil
}

// Read returns the content of a file. It returns ErrCorrupt if the file has more than maxBytes bytes.
func Read(path string, maxBytes int64) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("read: %w", err)
	}
	defer f.Close()
	content, err := io.ReadAll(io.LimitReader(f, maxBytes+1))
	if err != nil {
		return nil, fmt.Errorf("read: %w", err)
	}
	if int64(len(content)) > maxBytes {
		return nil, fmt.Errorf("%w: over %d bytes", ErrCorrupt, maxBytes)
	}
	return content, nil
}

func write(machine hostos.System, f *os.File, content []byte, durability Durability) error {
	if err := machine.BeforeCall(hostos.Write); err != nil {
		return err
	}
	if _, err := f.Write(content); err != nil || durability == Unsynced {
		return err
	}
	if err := machine.BeforeCall(hostos.Sync); err != nil {
		return err
	}
	return f.Sync() // before the rename, since a crash that leaves the new name without its content corrupts the file
}

func rename(machine hostos.System, from, to string) error {
	if err := machine.BeforeCall(hostos.Rename); err != nil {
		return err
	}
	return os.Rename(from, to)
}

func syncDir(machine hostos.System, dir string) error {
	if err := machine.BeforeCall(hostos.Sync); err != nil {
		return err
	}
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}

// openTemporary opens, locks and truncates the temporary file of path. Its name is always the same, so that files left
// by killed processes are overwritten and do not accumulate.
func openTemporary(path string) (*os.File, error) {
	name := filepath.Join(filepath.Dir(path), "."+filepath.Base(path)+".aside")
	for range lockAttempts {
		f, err := os.OpenFile(name, os.O_RDWR|os.O_CREATE, fileMode)
		if err != nil {
			return nil, err
		}
		if unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB) == nil && hasName(f, name) {
			if err := f.Truncate(0); err != nil {
				f.Close()
				return nil, err
			}
			return f, nil
		}
		f.Close()
		time.Sleep(lockRetryInterval)
	}
	return nil, errLocked
}

// hasName reports whether an open file still has the given name. Another process may have renamed it since it was
// opened.
func hasName(f *os.File, name string) bool {
	opened, err := f.Stat()
	if err != nil {
		return false
	}
	named, err := os.Stat(name)
	return err == nil && os.SameFile(opened, named)
}
