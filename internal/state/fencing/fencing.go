// Package fencing stores a lower bound for the fencing tokens that the fleet's leases get after a restart, so that
// tokens keep growing even if all members are killed at once. Otherwise results of earlier leases would be mistaken for
// newer ones. The bound is the high-water mark of a block allocator (hi/lo): it is ahead of all observed tokens, so
// that it is seldom written.
//
// The package owns one file in the state folder. TokenFloor is safe for concurrent use.
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

// TokenFloor maintains the stored bound of one process.
type TokenFloor struct {
	machine hostos.System
	path    string
	owner   Owner
	initial uint64 // bound that Open read, or 0
	saver   *atomicfile.Saver

	mu    sync.Mutex
	bound uint64 // bound to store, at least minBoundLead above every observed token
}

// Owner names the process whose bound is stored.
type Owner struct {
	Fleet string `json:"Fleet"`
	Name  string `json:"Name"`
}

// boundFile is the body of the file. Other versions of the program read the file, so the JSON names must not change.
type boundFile struct {
	Owner Owner  `json:"Owner"`
	Bound uint64 `json:"Bound"`
}

const (
	fileName = "lease.numbers"
	magic    = "rampspread lease numbers 1\n"
	maxBytes = 4 << 10

	// boundLead is how far a new bound is ahead of the observed token. Tokens grow with each takeover, by a few a
	// second at most, so the bound is seldom written and the disk has hours to store it. A higher value makes tokens
	// jump further at a restart.
	boundLead = 1 << 16
	// minBoundLead is the minimum distance between an observed token and the bound. When a token comes closer, a
	// greater bound is stored.
	minBoundLead = boundLead / 2

	folderMode = 0o700
)

// Open reads the bound in a folder, which need not exist. If the bound is corrupt or belongs to another owner, Open
// logs the error and ignores the bound.
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

// Floor returns the bound that an earlier process stored, or 0 if there was none or Open ignored it. No earlier process
// observed a token greater than that bound, unless saving had failed for hours.
func (f *TokenFloor) Floor() uint64 { return f.initial }

// Observe raises the bound if the token is less than minBoundLead below it. It never waits for the disk.
func (f *TokenFloor) Observe(token uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if token+minBoundLead > f.bound {
		f.bound = token + boundLead
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
		return stored, fmt.Errorf("fencing: the bound belongs to member %q of fleet %q", stored.Owner.Name, stored.Owner.Fleet)
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
