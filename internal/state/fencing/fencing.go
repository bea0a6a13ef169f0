// Package fencing stores a lower bound for the fencing tokens of the fleet's leases, so that tokens keep growing when
// all members are killed at once: results of earlier leases would otherwise be taken for newer ones. It is the
// high-water mark of a block allocator (hi/lo): the stored bound is ahead of all tokens observed, so that it is seldom
// written.
//
// The package owns one file in the state folder. TokenFloor is safe for use by several goroutines.
package fencing

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"os"
	"path/filepath"
	"sync"

	"rampspread/internal/hostos"
	"rampspread/internal/state/atomicfile"
)

// TokenFloor stores the bound of one process.
type TokenFloor struct {
	machine hostos.System
	path    string
	owner   Owner
	initial uint64 // the bound that Open read
	saver   *atomicfile.Saver

	mu    sync.Mutex
	bound uint64 // no token above it is observed before a greater one is stored
}

// Owner names the process whose bound is stored.
type Owner struct {
	Fleet string `json:"Fleet"`
	Name  string `json:"Name"`
}

// boundFile is the body of the file. The tags are the names in the file, which other versions of the program read: they
// never change.
type boundFile struct {
	Owner Owner  `json:"Owner"`
	Bound uint64 `json:"Bound"`
}

const (
	fileName = "lease.numbers"
	magic    = "rampspread lease numbers 1\n"
	maxBytes = 4 << 10

	// reservation is how far the bound is ahead of the tokens observed: tokens grow with each takeover, a few a second
	// at most, so the disk is written seldom and has hours to store a bound. A higher value makes tokens jump further
	// at a restart.
	reservation = 1 << 16
	// minReservation is the distance from the bound at which a greater one is stored.
	minReservation = reservation / 2

	folderMode = 0o700
)

// Open reads the bound in a folder, which need not exist. A bound that is corrupt or another owner's is refused with a
// log line, and counts as none.
func Open(machine hostos.System, dir string, owner Owner) *TokenFloor {
	f := &TokenFloor{machine: machine, path: filepath.Join(dir, fileName), owner: owner}
	f.saver = atomicfile.NewSaver("lease numbers", f.save)
	stored, err := f.read()
	switch {
	case errors.Is(err, fs.ErrNotExist):
	case err != nil:
		slog.Warn("fencing_floor_refused", "err", err)
	default:
		f.initial = stored.Bound
	}
	f.Observe(f.initial)
	return f
}

// Floor returns a token that no earlier process has observed a greater one than; 0 if nothing was stored.
func (f *TokenFloor) Floor() uint64 { return f.initial }

// Observe raises the bound if a token comes near it. It never waits for the disk.
func (f *TokenFloor) Observe(token uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if token+minReservation > f.bound {
		f.bound = token + reservation
		f.saver.MarkDirty()
	}
}

// Run stores the bound when it has changed, until the context ends.
func (f *TokenFloor) Run(ctx context.Context) { f.saver.Run(ctx) }

func (f *TokenFloor) read() (stored boundFile, err error) {
	sealed, err := atomicfile.Read(f.path, maxBytes)
	if err != nil {
		return stored, err
	}
	body, err := atomicfile.Open(magic, sealed)
	if err != nil {
		return stored, err
	}
	if err := json.Unmarshal(body, &stored); err != nil {
		return stored, fmt.Errorf("fencing: %w", err)
	}
	if stored.Owner != f.owner {
		return stored, fmt.Errorf("fencing: the bound is that of %q of %q", stored.Owner.Name, stored.Owner.Fleet)
	}
	return stored, nil
}

func (f *TokenFloor) save() error {
	f.mu.Lock()
	stored := boundFile{Owner: f.owner, Bound: f.bound}
	f.mu.Unlock()
	body, err := json.Marshal(stored)
	if err != nil {
		return fmt.Errorf("fencing: %w", err)
	}
	if err := os.MkdirAll(filepath.Dir(f.path), folderMode); err != nil {
		return fmt.Errorf("fencing: %w", err)
	}
	return atomicfile.Replace(f.machine, f.path, atomicfile.Seal(magic, body), atomicfile.Synced)
}
