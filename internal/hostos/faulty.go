package hostos

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Faults are what a Faulty system does, as its file says it.
type Faults struct {
	// WallStepMS is how far the wall clock has been stepped, in ms.
	WallStepMS int64 `json:"wall_step_ms"`
	// Fails says which calls fail.
	Fails map[Op]Failure `json:"fails"`
}

// Failure makes calls of one kind fail.
type Failure struct {
	Errno int `json:"errno"`
	Every int `json:"every"` // each so many-th call fails; 1: all
	// DelayMS is how long such a call is held up, in ms. With no errno it goes on then.
	DelayMS int `json:"delay_ms"`
}

// refreshEvery is how old what was read of the file may be.
const refreshEvery = 10 * time.Millisecond

// Faulty is a machine that does what a file says, which may be changed at any time.
type Faulty struct {
	path string

	mu     sync.Mutex
	read   time.Time
	faults Faults
	calls  map[Op]int
}

// NewFaulty returns a machine that follows the file at path; while there is none it is sound.
func NewFaulty(path string) *Faulty { return &Faulty{path: path, calls: map[Op]int{}} }

// Set replaces the file at path, whole.
func (f Faults) Set(path string) error {
	text, err := json.Marshal(f)
	if err != nil {
		return fmt.Errorf("faults: %w", err)
	}
	aside := filepath.Join(filepath.Dir(path), ".new-"+filepath.Base(path))
	if err := os.WriteFile(aside, text, 0o600); err != nil {
		return fmt.Errorf("faults: %w", err)
	}
	if err := os.Rename(aside, path); err != nil {
		return fmt.Errorf("faults: %w", err)
	}
	return nil
}

// refresh reads the file again if what was read is old; f.mu is held. A file that cannot be read changes nothing.
func (f *Faulty) refresh() {
	if time.Since(f.read) < refreshEvery {
		return
	}
	f.read = time.Now()
	text, err := os.ReadFile(f.path)
	if err != nil {
		return
	}
	var next Faults
	if json.Unmarshal(text, &next) == nil {
		f.faults = next
	}
}

// Wall implements System.
func (f *Faulty) Wall() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refresh()
	return time.Now().Round(0).Add(time.Duration(f.faults.WallStepMS) * time.Millisecond)
}

// Before implements System.
func (f *Faulty) Before(op Op) error {
	fails, ok := f.due(op)
	if !ok {
		return nil
	}
	time.Sleep(time.Duration(fails.DelayMS) * time.Millisecond)
	if fails.Errno == 0 {
		return nil
	}
	return os.NewSyscallError(string(op), syscall.Errno(fails.Errno))
}

// due counts a call and tells whether it fails, and how.
func (f *Faulty) due(op Op) (Failure, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refresh()
	fails, ok := f.faults.Fails[op]
	if !ok || fails.Every < 1 {
		return fails, false
	}
	f.calls[op]++
	return fails, f.calls[op]%fails.Every == 0
}
