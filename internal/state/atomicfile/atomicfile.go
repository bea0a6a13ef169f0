// Package atomicfile keeps files that are there whole or not at all: each begins with the words that say what it is, and ends with a
// checksum over all before it.
package atomicfile

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sys/unix"

	"rampspread/internal/system"
)

// ErrCorrupt says that a file is cut, flipped or of another kind.
var ErrCorrupt = errors.New("no whole file of this kind")

// Seal puts a body behind what says what it is, and a checksum behind both.
func Seal(magic string, body []byte) []byte {
	text := append([]byte(magic), body...)
	return binary.BigEndian.AppendUint64(text, xxhash.Sum64(text))
}

// Open returns the body of what Seal made; any other text is ErrSpoilt.
func Open(magic string, text []byte) ([]byte, error) {
	if len(text) < len(magic)+8 || !bytes.HasPrefix(text, []byte(magic)) {
		return nil, ErrCorrupt
	}
	body, sum := text[:len(text)-8], binary.BigEndian.Uint64(text[len(text)-8:])
	if xxhash.Sum64(body) != sum {
		return nil, fmt.Errorf("%w: its checksum is off", ErrCorrupt)
	}
	return body[len(magic):], nil
}

// Replace writes a file aside and renames it over the one that was. With sync what it says is on the disk, under its name,
// when it returns; without, a machine that fails may lose it. After an error the whole is to be written again: what a sync that failed
// was about is no longer known to be on the disk, whatever a later sync says.
func Replace(machine system.System, path string, text []byte, sync bool) error {
	aside, err := openAside(path)
	if err != nil {
		return fmt.Errorf("atomicfile: %w", err)
	}
	defer aside.Close() // which ends its lock
	err = write(machine, aside, text, sync)
	if err == nil {
		err = machine.Before(system.Rename)
	}
	if err == nil {
		err = os.Rename(aside.Name(), path)
	}
	if err != nil {
		os.Remove(aside.Name())
		return fmt.Errorf("atomicfile: %w", err)
	}
	if !sync {
		return nil
	}
	if err := syncDir(machine, filepath.Dir(path)); err != nil {
		return fmt.Errorf("atomicfile: %w", err)
	}
	return nil
}

func write(machine system.System, f *os.File, text []byte, sync bool) error {
	if err := machine.Before(system.Write); err != nil {
		return err
	}
	if _, err := f.Write(text); err != nil || !sync {
		return err
	}
	if err := machine.Before(system.Sync); err != nil {
		return err
	}
	return f.Sync() // before the name: a name that outlives its bytes would be a spoilt file
}

func syncDir(machine system.System, dir string) error {
	if err := machine.Before(system.Sync); err != nil {
		return err
	}
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}

const (
	asideTries = 20
	asidePause = 5 * time.Millisecond
)

// errBusy says that another process is writing the same file.
var errBusy = errors.New("another process is writing it")

// openAside opens the one file beside path in which its next content is written, empty and locked: what a killed process left there is
// written over, so it does not pile up.
func openAside(path string) (*os.File, error) {
	name := filepath.Join(filepath.Dir(path), "."+filepath.Base(path)+".aside")
	for range asideTries {
		f, err := os.OpenFile(name, os.O_RDWR|os.O_CREATE, 0o600)
		if err != nil {
			return nil, err
		}
		if unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB) == nil && stillNamed(f, name) {
			if err := f.Truncate(0); err != nil {
				f.Close()
				return nil, err
			}
			return f, nil
		}
		f.Close()
		time.Sleep(asidePause)
	}
	return nil, errBusy
}

// stillNamed tells whether a file that was opened has its name yet: another process may have renamed it since.
func stillNamed(f *os.File, name string) bool {
	mine, err := f.Stat()
	if err != nil {
		return false
	}
	there, err := os.Stat(name)
	return err == nil && os.SameFile(mine, there)
}

// Read reads a file of so many bytes at the most.
func Read(path string, most int64) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("read: %w", err)
	}
	defer f.Close()
	text, err := io.ReadAll(io.LimitReader(f, most+1))
	if err != nil {
		return nil, fmt.Errorf("read: %w", err)
	}
	if int64(len(text)) > most {
		return nil, fmt.Errorf("%w: over %d bytes", ErrCorrupt, most)
	}
	return text, nil
}
