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

// Faults describes the faults that a Faulty system injects, in the JSON form of its file.
type Faults struct {
	// WallStepMS is the offset that is added to the wall clock, in ms.
	WallStepMS int64 `json:"wall_step_ms"`
	// Failures maps kinds of system call to the failure injected into them.
	Failures map[Op]Failure `json:"fails"`
}

// Failure describes the failure injected into system calls of one kind.
type Failure struct {
	Errno int `json:"errno"` // 0 only delays the call
	Every int `json:"every"` // each Every-th call is affected; no call if Every is less than 1
	// DelayMS is the delay in ms, after which an affected call fails with Errno or, if Errno is 0, proceeds.
	DelayMS int `json:"delay_ms"`
}

// refreshInterval is the maximum age of the faults that were read from the file.
const refreshInterval = 10 * time.Millisecond

// Faulty is a System that injects the faults described in a file, which may be replaced at any time.
type Faulty struct {
	path string

	mu       sync.Mutex
	lastRead time.Time // when the file was last read
	faults   Faults
	calls    map[Op]int // number of calls by kind, while the kind has a failure configured
}

// NewFaulty returns a System that injects the faults described in the file at path, and none until the file exists.
func NewFaulty(path string) *Faulty { return &Faulty{path: path, calls: map[Op]int{}} }

// WriteFile writes the faults to the file at path, which it replaces atomically.
func (f Faults) WriteFile(path string) error {
	text, err := json.Marshal(f)
	if err != nil {
		return fmt.Errorf("faults: %w", err)
	}
	temporary := filepath.Join(filepath.Dir(path), ".new-"+filepath.Base(path))
	if err := os.WriteFile(temporary, text, 0o600); err != nil {
		return fmt.Errorf("faults: %w", err)
	}
	if err := os.Rename(temporary, path); err != nil {
		return fmt.Errorf("faults: %w", err)
	}
	return nil
}

// refresh rereads the file if refreshInterval has passed since the last read. f.mu must be held. If the file cannot be
// read or decoded, the faults stay unchanged.
func (f *Faulty) refresh() {
	if time.Since(f.lastRead) < refreshInterval {
		return
	}
	f.lastRead = time.Now()
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

// BeforeCall implements System.
func (f *Faulty) BeforeCall(op Op) error {
	failure, ok := f.nextFailure(op)
	if !ok {
		return nil
	}
	time.Sleep(time.Duration(failure.DelayMS) * time.Millisecond)
	if failure.Errno == 0 {
		return nil
	}
	return os.NewSyscallError(string(op), syscall.Errno(failure.Errno))
}

// nextFailure counts a call of the given kind, and returns the failure to inject into it and whether there is one.
func (f *Faulty) nextFailure(op Op) (Failure, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refresh()
	failure, ok := f.faults.Failures[op]
	if !ok || failure.Every < 1 {
		return failure, false
	}
	f.calls[op]++
	return failure, f.calls[op]%failure.Every == 0
}
