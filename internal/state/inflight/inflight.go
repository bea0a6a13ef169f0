// Package inflight keeps processes of one name on one machine, of which one is to take the place of another, from carrying out the
// same request. Each shows the others by files in a folder that they share what it has in hand; while it is alone it writes none.
//
// A process that comes makes a folder of its own, locked for as long as it lives, and takes no clients before all that were there
// show what they have (Wait). From then on each writes down what it takes before it looks at what the others have: of two that
// take the same at once, neither gets it, or one. A lock that is free tells that its process is gone, however it ended. What it
// had open is then nobody's, but for filings: they may have run, and stay for the time that they are remembered.
package inflight

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"rampspread/internal/system"
)

const (
	lookEvery = 200 * time.Millisecond // whether others came or went
	waitMost  = 2 * time.Second        // for those that were there to show what they have; one that is stopped shows nothing
	askMost   = 100 * time.Millisecond // for the folder to answer: a disk that hangs must not hold up requests
	asksMost  = 64                     // of them that hang; past that nothing is asked
	lockFile  = "lock"
	shownFile = "shown" // all that the process has in hand is written down, and will be
)

var errHangs = errors.New("the folder does not answer")

// Kind says what a name stands for.
type Kind string

// The kinds. A request is nobody's once its process has ended; a filing may have run, and stays.
const (
	Request        Kind = "id-"
	IdempotencyKey Kind = "key-"
)

// Claim is what the other processes say of a name.
type Claim uint8

// The verdicts.
const (
	Acquired    Claim = iota // this process has it now; Drop or Ran must follow
	HeldByOther              // another has it in hand
	MayHaveRun               // another has carried it out, or ended while it had it
	Unknown                  // the folder does not answer
)

// Table is what one process has in hand. A nil Table is one that is always alone. It is safe for use by several goroutines.
type Table struct {
	machine   system.System
	base, own string
	keep      time.Duration // filings are remembered for so long
	lock      *os.File
	patience  time.Duration // askMost, but in tests on busy machines
	asks      chan struct{}
	failed    atomic.Int64

	writing sync.Mutex // held while the folder is brought level with a name, so that two changes of one name are written in turn
	shown   bool       // only Start and Run's goroutine use it

	mu     sync.Mutex
	held   map[string]time.Time // file name, and when it was taken
	ran    map[string]bool      // filings that have ended
	late   []string             // names that ended: the folder still has them
	beside bool                 // others are there: what is held is written down
	left   bool                 // filings of processes that are gone are there
}

// other is the folder of another process.
type other struct {
	dir   string
	lives bool
}

// Start makes this process's folder below dir, under the name that the processes share. Filings are remembered for keep.
func Start(machine system.System, dir, name string, keep time.Duration) (*Table, error) {
	sum := sha256.Sum256([]byte(name)) // a name is no path
	base := filepath.Join(dir, "rampspread-"+hex.EncodeToString(sum[:8])+".beside")
	own := filepath.Join(base, strconv.Itoa(os.Getpid())+"-"+strconv.FormatInt(machine.Wall().UnixNano(), 36))
	if err := os.MkdirAll(base, 0o700); err != nil {
		return nil, fmt.Errorf("inflight: %w", err)
	}
	// The lock is taken before the folder has its name: a folder whose lock is free is one of a process that is gone.
	aside, err := os.MkdirTemp(base, ".new-")
	if err != nil {
		return nil, fmt.Errorf("inflight: %w", err)
	}
	lock, err := os.Create(filepath.Join(aside, lockFile))
	if err == nil {
		if err = unix.Flock(int(lock.Fd()), unix.LOCK_EX|unix.LOCK_NB); err == nil {
			err = os.WriteFile(filepath.Join(aside, shownFile), nil, 0o600) // there is nothing yet
		}
		if err == nil {
			err = os.Rename(aside, own)
		}
	}
	if err != nil {
		lock.Close()
		os.RemoveAll(aside)
		return nil, fmt.Errorf("inflight: %w", err)
	}
	t := &Table{machine: machine, base: base, own: own, keep: keep, lock: lock, patience: askMost, asks: make(chan struct{}, asksMost), held: map[string]time.Time{},
		ran: map[string]bool{}, shown: true, beside: true}
	t.step() // before anything is taken
	return t, nil
}

// WaitForPeers returns when each process that was there shows what it has in hand, or has ended; it says how many do not in time.
func (t *Table) WaitForPeers(ctx context.Context) (silent int) {
	if t == nil {
		return 0
	}
	over := time.NewTimer(waitMost)
	defer over.Stop()
	tick := time.NewTicker(lookEvery / 4)
	defer tick.Stop()
	for {
		silent = 0
		others, err := t.look()
		if err != nil {
			t.fail(err)
			return 0
		}
		for _, o := range others {
			if _, err := os.Stat(filepath.Join(o.dir, shownFile)); o.lives && err != nil {
				silent++
			}
		}
		if silent == 0 {
			return 0
		}
		select {
		case <-tick.C:
		case <-over.C:
			slog.Warn("beside_silent", "processes", silent)
			return silent
		case <-ctx.Done():
			return silent
		}
	}
}

// Run looks for others that come and go until the context ends. What filings have ended stays for the next process.
func (t *Table) Run(ctx context.Context) {
	tick := time.NewTicker(lookEvery)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			t.step()
		case <-ctx.Done():
			t.leave()
			return
		}
	}
}

// step follows the others, and brings the folder level with what has ended.
func (t *Table) step() {
	living, left, err := t.count()
	if err == nil && living == 0 && t.shown {
		// One that comes in this moment may have seen the mark: it is looked for once more when the mark is gone.
		os.Remove(filepath.Join(t.own, shownFile))
		t.shown = false
		living, left, err = t.count()
	}
	if err != nil {
		t.fail(err)
		return
	}
	t.mu.Lock()
	for name, at := range t.held {
		if t.ran[name] && time.Since(at) >= t.keep {
			delete(t.held, name)
			delete(t.ran, name)
			t.late = append(t.late, name)
		}
	}
	names := t.late
	if t.late = nil; t.beside != (living > 0) {
		for name := range t.held {
			names = append(names, name)
		}
	}
	t.beside, t.left = living > 0, left > 0
	t.mu.Unlock()
	for _, name := range names {
		t.level(name)
	}
	if living > 0 && !t.shown {
		if err := os.WriteFile(filepath.Join(t.own, shownFile), nil, 0o600); err != nil {
			t.fail(err)
			return
		}
		t.shown = true
		slog.Info("beside", "others", living, "in_hand", len(names))
	}
}

// level writes a name down or takes it back, by whether this process has it in hand.
func (t *Table) level(name string) error {
	t.writing.Lock()
	defer t.writing.Unlock()
	t.mu.Lock()
	at, held := t.held[name]
	ran, beside := t.ran[name], t.beside
	t.mu.Unlock()
	path := filepath.Join(t.own, name)
	var err error
	if held && beside {
		err = t.show(path, at, ran)
	} else if err = os.Remove(path); errors.Is(err, fs.ErrNotExist) {
		err = nil
	}
	if err != nil {
		t.fail(err)
	}
	return err
}

// leave shows the filings that may have run to the processes that follow, and ends the rest.
func (t *Table) leave() {
	t.mu.Lock()
	t.beside = true
	names, filings := t.late, false
	for name := range t.held {
		if names = append(names, name); strings.HasPrefix(name, string(IdempotencyKey)) {
			filings = true
		} else {
			delete(t.held, name)
		}
	}
	t.mu.Unlock()
	for _, name := range names {
		t.level(name)
	}
	if !filings {
		os.RemoveAll(t.own)
	}
	t.lock.Close()
}

// count is how many other processes live, and how many that are gone left filings.
func (t *Table) count() (living, left int, err error) {
	others, err := t.look()
	for _, o := range others {
		if o.lives {
			living++
		} else {
			left++
		}
	}
	return living, left, err
}

// look lists the folders of others, and clears those of processes that are gone of what is nobody's any more.
func (t *Table) look() ([]other, error) {
	entries, err := os.ReadDir(t.base)
	if err != nil {
		return nil, fmt.Errorf("look: %w", err)
	}
	var out []other
	for _, e := range entries {
		dir := filepath.Join(t.base, e.Name())
		if dir == t.own || strings.HasPrefix(e.Name(), ".") { // one that is not complete yet, or never came to be
			continue
		}
		if lives(dir) {
			out = append(out, other{dir, true})
		} else if t.clear(dir) {
			out = append(out, other{dir, false})
		}
	}
	return out, nil
}

// lives tells whether a folder's process has its lock. One that cannot be looked at, as when this process has no descriptor left,
// is taken for living: what it has would else be cleared away under it.
func lives(dir string) bool {
	f, err := os.Open(filepath.Join(dir, lockFile))
	if err != nil {
		return !errors.Is(err, fs.ErrNotExist)
	}
	defer f.Close()
	return unix.Flock(int(f.Fd()), unix.LOCK_SH|unix.LOCK_NB) != nil
}

// clear removes what a process that is gone left and is nobody's any more; it tells whether filings stay.
func (t *Table) clear(dir string) (stays bool) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return false
	}
	for _, e := range entries {
		if !strings.HasPrefix(e.Name(), string(IdempotencyKey)) {
			continue
		}
		if f, err := t.read(filepath.Join(dir, e.Name())); err == nil && f.age < t.keep {
			stays = true
		}
	}
	if !stays {
		os.RemoveAll(dir)
	}
	return stays
}

func (t *Table) fail(err error) {
	if t.failed.Add(1) == 1 {
		slog.Warn("beside_failed", "err", err)
	}
}

// HasPeers tells whether another process of this name is there.
func (t *Table) HasPeers() bool {
	if t == nil {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.beside
}

// Failed is how often the folder did not do what it was asked.
func (t *Table) Failed() int64 {
	if t == nil {
		return 0
	}
	return t.failed.Load()
}

func fileOf(kind Kind, name string) string {
	sum := sha256.Sum256([]byte(name))
	return string(kind) + hex.EncodeToString(sum[:16])
}

// Acquire asks for a name on behalf of this process, which does not have it already.
func (t *Table) Acquire(kind Kind, name string) Claim {
	if t == nil {
		return Acquired
	}
	file := fileOf(kind, name)
	t.mu.Lock()
	t.held[file] = time.Now()
	delete(t.ran, file) // an earlier one of this name is forgotten
	alone := !t.beside && !(kind == IdempotencyKey && t.left)
	t.mu.Unlock()
	if alone {
		return Acquired
	}
	v := Unknown
	select {
	case t.asks <- struct{}{}:
		said := make(chan Claim, 1)
		go func() { // it ends when the folder answers
			defer func() { <-t.asks }()
			said <- t.ask(kind, file)
		}()
		over := time.NewTimer(t.patience)
		defer over.Stop()
		select {
		case v = <-said:
		case <-over.C:
			t.fail(errHangs)
		}
	default:
		t.fail(errHangs)
	}
	if v != Acquired {
		t.forget(file)
	}
	return v
}

// ask writes a name down, and then looks whether others have it.
func (t *Table) ask(kind Kind, file string) Claim {
	if t.level(file) != nil {
		return Unknown
	}
	others, err := t.look()
	if err != nil {
		t.fail(err)
		return Unknown
	}
	for _, o := range others {
		f, err := t.read(filepath.Join(o.dir, file))
		switch {
		case errors.Is(err, fs.ErrNotExist):
		case err != nil:
			t.fail(err)
			return Unknown
		case kind == IdempotencyKey && f.age >= t.keep:
		case kind == IdempotencyKey && (!o.lives || f.ran):
			return MayHaveRun
		case o.lives:
			return HeldByOther
		}
	}
	return Acquired
}

// Release ends what this process has in hand, as something that never ran or that is of no more account.
func (t *Table) Release(kind Kind, name string) {
	if t != nil {
		t.forget(fileOf(kind, name))
	}
}

func (t *Table) forget(file string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.held, file)
	delete(t.ran, file)
	if t.beside {
		t.late = append(t.late, file) // Run takes it back: a disk that hangs must not hold up who ends a request
	}
}

// MarkMayHaveRun ends a filing that may have run: it stays for as long as filings are remembered.
func (t *Table) MarkMayHaveRun(name string) {
	if t == nil {
		return
	}
	file := fileOf(IdempotencyKey, name)
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := t.held[file]; !ok {
		return
	}
	if t.ran[file] = true; t.beside {
		t.late = append(t.late, file)
	}
}
