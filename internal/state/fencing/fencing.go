// Package fencing keeps on the disk a bound on the numbers of the fleet's leases, so that they grow over the lives of members that
// are all killed at once: results of leases from before would else be taken for newer ones.
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

	"rampspread/internal/state/atomicfile"
	"rampspread/internal/system"
)

const (
	fileName = "lease.numbers"
	magic    = "rampspread lease numbers 1\n"
	most     = 4 << 10 // bytes
	// block is how far the bound stands above what has been seen: numbers grow with each takeover, a few a second at the most, so the
	// disk is written seldom and has hours to take a bound.
	block = 1 << 16
)

// Owner says whose bound it is.
type Owner struct {
	Fleet string `json:"Fleet"`
	Name  string `json:"Name"`
}

// stored is the file's body. The tags are the names in the file, which other versions of the program read: they never change.
type stored struct {
	Owner Owner  `json:"Owner"`
	Bound uint64 `json:"Bound"`
}

// TokenFloor keeps the bound of one process. It is safe for use by several goroutines.
type TokenFloor struct {
	machine system.System
	path    string
	who     Owner
	floor   uint64
	keeper  *atomicfile.Saver

	mu    sync.Mutex
	bound uint64
}

// Open reads the bound in a folder, which may not be there yet. One that is spoilt or another's is refused with a line, and the
// start is as from nothing.
func Open(machine system.System, dir string, who Owner) *TokenFloor {
	n := &TokenFloor{machine: machine, path: filepath.Join(dir, fileName), who: who}
	n.keeper = atomicfile.NewSaver("lease numbers", n.save)
	s, err := n.read()
	switch {
	case errors.Is(err, fs.ErrNotExist):
	case err != nil:
		slog.Warn("lease_numbers_refused", "err", err)
	default:
		n.floor = s.Bound
	}
	n.Observe(n.floor)
	return n
}

func (n *TokenFloor) read() (s stored, err error) {
	text, err := atomicfile.Read(n.path, most)
	if err != nil {
		return s, err
	}
	body, err := atomicfile.Open(magic, text)
	if err != nil {
		return s, err
	}
	if err := json.Unmarshal(body, &s); err != nil {
		return s, fmt.Errorf("lease numbers: %w", err)
	}
	if s.Owner != n.who {
		return s, fmt.Errorf("lease numbers: they are those of %q of %q", s.Owner.Name, s.Owner.Fleet)
	}
	return s, nil
}

// Floor is a number that no earlier life has seen a higher one than.
func (n *TokenFloor) Floor() uint64 { return n.floor }

// Observe raises the bound where a number comes near it. It never waits for the disk.
func (n *TokenFloor) Observe(number uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if number+block/2 > n.bound {
		n.bound = number + block
		n.keeper.MarkDirty()
	}
}

// Run writes the bound until the context ends.
func (n *TokenFloor) Run(ctx context.Context) { n.keeper.Run(ctx) }

func (n *TokenFloor) save() error {
	n.mu.Lock()
	s := stored{n.who, n.bound}
	n.mu.Unlock()
	body, err := json.Marshal(s)
	if err != nil {
		return fmt.Errorf("lease numbers: %w", err)
	}
	if err := os.MkdirAll(filepath.Dir(n.path), 0o700); err != nil {
		return fmt.Errorf("lease numbers: %w", err)
	}
	return atomicfile.Replace(n.machine, n.path, atomicfile.Seal(magic, body), true)
}
