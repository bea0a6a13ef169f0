// Package inflight keeps processes of one name on one machine, of which one is about to replace another, from carrying
// out the same request twice. The processes share a folder. Each publishes there, as one marker file a name, the
// requests and idempotency keys that it has in flight; while it is alone it writes no markers.
//
// Protocol: a process that starts creates a folder of its own, locked (flock) for as long as it lives, and accepts no
// clients before every process that was already running has published what it has in flight (WaitForPeers). From then
// on each process writes its marker before it looks for those of others, as in Dekker's algorithm for mutual exclusion:
// of two that claim the same name at once, at most one gets it, and possibly neither. A lock that is free shows that
// its process has ended, however it ended. Its requests are then free, but its idempotency keys may have run, and stay
// for their retention.
//
// The package owns the shared folder. Stored names and forms don't change: processes of other versions read them.
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

	"rampspread/internal/hostos"
)

// Table holds what one process has in flight. A nil Table is one of a process that never has peers. It is safe for use
// by several goroutines.
type Table struct {
	machine   hostos.System
	sharedDir string
	ownDir    string        // in sharedDir
	retention time.Duration // of idempotency keys that may have run
	lock      *os.File
	timeout   time.Duration // for the folder to answer: folderTimeout, but in tests on busy machines
	lookups   chan struct{} // holds one element for each lookup in the folder that has not returned
	failures  atomic.Int64

	published bool // readyFile exists; used by Start and Run's goroutine only

	writing sync.Mutex // held while the marker of a name is synchronized, so that two changes of one name are written in turn

	mu          sync.Mutex
	held        map[string]time.Time // file name -> when it was acquired
	mayHaveRun  map[string]bool      // those of held that have ended: idempotency keys only
	pendingSync []string             // names that changed, and whose marker has yet to follow
	hasPeers    bool                 // other processes are alive: what is held is published
	hasRemnants bool                 // processes that have ended left idempotency keys
}

const (
	peerPollInterval  = 200 * time.Millisecond // between two checks which peers are alive
	readyPollInterval = peerPollInterval / 4   // between two checks whether peers are ready
	// peerWaitTimeout is how long a start waits for peers to publish; one that is stopped (SIGSTOP) never does.
	peerWaitTimeout = 2 * time.Second
	// folderTimeout is how long a request waits for the folder: a disk that hangs must not hold up requests.
	folderTimeout = 100 * time.Millisecond
	// maxPendingLookups bounds the lookups that hang; beyond it a claim is Unknown at once.
	maxPendingLookups = 64

	lockFile  = "lock"
	readyFile = "shown" // all that the process has in flight is published, and will be

	sharedDirHashBytes = 8
	startTimeBase      = 36
	folderMode         = 0o700
	fileMode           = 0o600
)

// Start creates this process's folder below dir, under the name that the processes share. Idempotency keys that may
// have run are remembered for retention.
func Start(machine hostos.System, dir, name string, retention time.Duration) (*Table, error) {
	hash := sha256.Sum256([]byte(name)) // a name may hold characters that a path may not
	sharedDir := filepath.Join(dir, "rampspread-"+hex.EncodeToString(hash[:sharedDirHashBytes])+".beside")
	ownName := strconv.Itoa(os.Getpid()) + "-" + strconv.FormatInt(machine.Wall().UnixNano(), startTimeBase)
	ownDir := filepath.Join(sharedDir, ownName)
	if err := os.MkdirAll(sharedDir, folderMode); err != nil {
		return nil, fmt.Errorf("inflight: %w", err)
	}
	lock, err := createOwnDir(sharedDir, ownDir)
	if err != nil {
		return nil, fmt.Errorf("inflight: %w", err)
	}
	t := &Table{
		machine:    machine,
		sharedDir:  sharedDir,
		ownDir:     ownDir,
		retention:  retention,
		lock:       lock,
		timeout:    folderTimeout,
		lookups:    make(chan struct{}, maxPendingLookups),
		held:       map[string]time.Time{},
		mayHaveRun: map[string]bool{},
		published:  true,
		hasPeers:   true,
	}
	t.refresh() // before anything is acquired
	return t, nil
}

// createOwnDir creates this process's folder with its lock, held, and the mark that it is ready, since nothing is in
// flight yet. The lock is taken before the folder has its name: a folder whose lock is free is one of a process that
// has ended.
func createOwnDir(sharedDir, ownDir string) (lock *os.File, err error) {
	temporary, err := os.MkdirTemp(sharedDir, temporaryPrefix)
	if err != nil {
		return nil, err
	}
	defer func() {
		if err != nil {
			lock.Close()
			os.RemoveAll(temporary)
		}
	}()
	if lock, err = os.Create(filepath.Join(temporary, lockFile)); err != nil {
		return lock, err
	}
	if err = unix.Flock(int(lock.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		return lock, err
	}
	if err = os.WriteFile(filepath.Join(temporary, readyFile), nil, fileMode); err != nil {
		return lock, err
	}
	return lock, os.Rename(temporary, ownDir)
}

// WaitForPeers returns when each process that is running has published what it has in flight, or has ended. The result
// is the number of those that did not in time.
func (t *Table) WaitForPeers(ctx context.Context) (notReady int) {
	if t == nil {
		return 0
	}
	timeout := time.NewTimer(peerWaitTimeout)
	defer timeout.Stop()
	tick := time.NewTicker(readyPollInterval)
	defer tick.Stop()
	for {
		peers, err := t.listPeers()
		if err != nil {
			t.recordFailure(err)
			return 0
		}
		if notReady = countNotReady(peers); notReady == 0 {
			return 0
		}
		select {
		case <-tick.C:
		case <-timeout.C:
			slog.Warn("peers_not_ready", "processes", notReady)
			return notReady
		case <-ctx.Done():
			return notReady
		}
	}
}

// Run follows which peers start and end until the context ends. Then it publishes the idempotency keys that may have
// run for the process that follows, and removes the rest.
func (t *Table) Run(ctx context.Context) {
	tick := time.NewTicker(peerPollInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			t.refresh()
		case <-ctx.Done():
			t.shutdown()
			return
		}
	}
}

// refresh finds out which peers are alive, and synchronizes the markers with what has changed.
func (t *Table) refresh() {
	peers, err := t.countPeers()
	if err == nil && peers.alive == 0 && t.published {
		// A process that starts in this moment may have seen the ready file, so peers are counted once more when it is gone.
		os.Remove(filepath.Join(t.ownDir, readyFile))
		t.published = false
		peers, err = t.countPeers()
	}
	if err != nil {
		t.recordFailure(err)
		return
	}
	changed := t.takePending(peers)
	for _, name := range changed {
		t.syncName(name)
	}
	if peers.alive > 0 && !t.published {
		if err := os.WriteFile(filepath.Join(t.ownDir, readyFile), nil, fileMode); err != nil {
			t.recordFailure(err)
			return
		}
		t.published = true
		slog.Info("peers_found", "peers", peers.alive, "in_flight", len(changed))
	}
}

// takePending forgets idempotency keys past their retention, and returns the names whose markers have to be
// synchronized: those that changed, and all if peers came or went.
func (t *Table) takePending(peers peerCount) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, at := range t.held {
		if t.mayHaveRun[name] && time.Since(at) >= t.retention {
			delete(t.held, name)
			delete(t.mayHaveRun, name)
			t.pendingSync = append(t.pendingSync, name)
		}
	}
	names := t.pendingSync
	t.pendingSync = nil
	if t.hasPeers != (peers.alive > 0) {
		for name := range t.held {
			names = append(names, name)
		}
	}
	t.hasPeers, t.hasRemnants = peers.alive > 0, peers.ended > 0
	return names
}

// syncName writes a name's marker if this process holds the name and has peers, and removes it otherwise.
func (t *Table) syncName(name string) error {
	t.writing.Lock()
	defer t.writing.Unlock()
	t.mu.Lock()
	acquiredAt, held := t.held[name]
	mayHaveRun, hasPeers := t.mayHaveRun[name], t.hasPeers
	t.mu.Unlock()
	path := filepath.Join(t.ownDir, name)
	var err error
	if held && hasPeers {
		err = t.writeMarker(path, acquiredAt, mayHaveRun)
	} else if err = os.Remove(path); errors.Is(err, fs.ErrNotExist) {
		err = nil
	}
	if err != nil {
		t.recordFailure(err)
	}
	return err
}

// shutdown publishes the idempotency keys that may have run for the processes that follow, and releases the rest.
func (t *Table) shutdown() {
	t.mu.Lock()
	t.hasPeers = true // so that markers are written
	names, hasKeys := t.pendingSync, false
	for name := range t.held {
		names = append(names, name)
		if strings.HasPrefix(name, string(IdempotencyKey)) {
			hasKeys = true
		} else {
			delete(t.held, name)
		}
	}
	t.mu.Unlock()
	for _, name := range names {
		t.syncName(name)
	}
	if !hasKeys {
		os.RemoveAll(t.ownDir)
	}
	t.lock.Close()
}

// recordFailure counts a failure of the folder, and logs the first.
func (t *Table) recordFailure(err error) {
	if t.failures.Add(1) == 1 {
		slog.Warn("peer_folder_failed", "err", err)
	}
}

// HasPeers reports whether another process of this name is running, as of the last check.
func (t *Table) HasPeers() bool {
	if t == nil {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.hasPeers
}

// Failures returns how many operations on the folder have failed or timed out.
func (t *Table) Failures() int64 {
	if t == nil {
		return 0
	}
	return t.failures.Load()
}
