// Package inflight prevents processes of one name on one machine from executing the same request twice while one
// process replaces another. The processes share a folder, in which each publishes the names of the requests and
// idempotency keys that it has in flight, as one marker file per name. A process without peers writes no markers.
//
// Protocol: a process that starts creates a folder of its own, which stays locked (flock) until the process ends, and
// accepts no clients before every process that was already running has published what it has in flight (WaitForPeers).
// From then on each process writes its marker before it looks for the markers of others, as in Dekker's algorithm for
// mutual exclusion: if two processes claim the same name at once, at most one acquires it, and possibly neither does. A
// free lock shows that the process of the folder has ended, for whatever reason. Its requests are then free, but its
// idempotency keys may have run, and stay claimed for their retention.
//
// The package owns the shared folder. Processes of other versions read the files, so their names and formats must not
// change.
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
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"rampspread/internal/hostos"
)

// Table holds the names that one process has in flight. A nil Table behaves like the table of a process that never has
// peers. Table is safe for concurrent use.
type Table struct {
	machine   hostos.System
	sharedDir string
	ownDir    string        // this process's folder in sharedDir
	retention time.Duration // retention of idempotency keys that may have run
	lock      *os.File      // lock file in ownDir, locked until the process ends
	timeout   time.Duration // maximum time of a lookup: folderTimeout, longer in tests on busy machines
	lookups   chan struct{} // holds one element for each lookup in the folder that has not returned
	failures  atomic.Int64  // number of failed or timed-out operations on the folder

	published bool // readyFile exists; used only by Start and the goroutine of Run

	syncMu sync.Mutex // held while a marker is synchronized, so that changes of one name are written one after another

	mu            sync.Mutex
	held          map[string]time.Time // marker file name -> time of acquisition
	mayHaveRun    map[string]bool      // marker file names in held whose request has ended, of kinds that outlive the process
	pendingSync   []string             // marker file names whose marker has yet to be synchronized
	hasPeers      bool                 // other processes are running, so names in held are published
	hasEndedPeers bool                 // ended processes left names that outlive them
}

const (
	peerPollInterval  = 200 * time.Millisecond // time between two checks for running peers
	readyPollInterval = peerPollInterval / 4   // time between two checks for peers that are not ready
	// peerWaitTimeout is how long a process that starts waits for peers to publish; a stopped peer (SIGSTOP) never
	// does.
	peerWaitTimeout = 2 * time.Second
	// folderTimeout is how long a request waits for the folder, so that a hanging disk does not block requests.
	folderTimeout = 100 * time.Millisecond
	// maxPendingLookups is the maximum number of lookups that have not returned. At the limit a claim is Unknown at
	// once.
	maxPendingLookups = 64

	lockFile  = "lock"
	readyFile = "shown" // exists while the process publishes every name that it has in flight

	sharedDirHashBytes = 8  // number of bytes of the name's hash in the name of the shared folder
	startTimeBase      = 36 // number base of the start time in the name of the process's own folder
	folderMode         = 0o700
	fileMode           = 0o600
)

// Start creates this process's own folder. Its parent is a folder below dir that is shared by all processes with the
// given name. retention is how long an idempotency key stays claimed after a request that may have run.
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
	t.refresh() // finds the peers before any name is acquired
	return t, nil
}

// createOwnDir creates this process's folder with a locked lock file and, since nothing is in flight yet, the ready
// file. It takes the lock before it gives the folder its name, because a free lock shows peers that the process has
// ended.
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

// WaitForPeers waits until each running peer has published what it has in flight or has ended, for at most
// peerWaitTimeout. It returns the number of peers that have done neither, or 0 if the folder cannot be read.
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

// Run checks periodically which peers are running until the context ends. It then publishes the idempotency keys that
// may have run, for later processes, and releases all requests.
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

// refresh counts the peers, synchronizes the markers that takePending returns, and creates or removes the ready file.
func (t *Table) refresh() {
	peers, err := t.countPeers()
	if err == nil && peers.alive == 0 && t.published {
		// A process that starts now may have seen the ready file, so peers are counted again after its removal.
		os.Remove(filepath.Join(t.ownDir, readyFile))
		t.published = false
		peers, err = t.countPeers()
	}
	if err != nil {
		t.recordFailure(err)
		return
	}
	changed := t.takePending(peers)
	for _, file := range changed {
		t.syncMarker(file)
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

// takePending forgets idempotency keys whose retention has ended, records whether there are peers, and returns the
// names of the marker files that have to be synchronized: those of names that changed, and of all held names if the
// first peer came or the last peer went.
func (t *Table) takePending(peers peerCount) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	for file, at := range t.held {
		if t.mayHaveRun[file] && time.Since(at) >= t.retentionOf(kindOf(file)) {
			delete(t.held, file)
			delete(t.mayHaveRun, file)
			t.pendingSync = append(t.pendingSync, file)
		}
	}
	files := t.pendingSync
	t.pendingSync = nil
	if t.hasPeers != (peers.alive > 0) {
		for file := range t.held {
			files = append(files, file)
		}
	}
	t.hasPeers, t.hasEndedPeers = peers.alive > 0, peers.ended > 0
	return files
}

// syncMarker writes a name's marker file if this process holds the name and has peers, and removes the file otherwise.
func (t *Table) syncMarker(file string) error {
	t.syncMu.Lock()
	defer t.syncMu.Unlock()
	t.mu.Lock()
	acquiredAt, held := t.held[file]
	mayHaveRun, hasPeers := t.mayHaveRun[file], t.hasPeers
	t.mu.Unlock()
	path := filepath.Join(t.ownDir, file)
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

// shutdown publishes the names that outlive this process, for later processes, releases all others, and unlocks this
// process's folder.
func (t *Table) shutdown() {
	t.mu.Lock()
	t.hasPeers = true // makes syncMarker write markers
	files, hasKeys := t.pendingSync, false
	for file := range t.held {
		files = append(files, file)
		if kindOf(file).outlivesProcess() {
			hasKeys = true
		} else {
			delete(t.held, file)
		}
	}
	t.mu.Unlock()
	for _, file := range files {
		t.syncMarker(file)
	}
	if !hasKeys {
		os.RemoveAll(t.ownDir)
	}
	t.lock.Close()
}

// recordFailure counts a failed operation on the folder, and logs the first failure.
func (t *Table) recordFailure(err error) {
	if t.failures.Add(1) == 1 {
		slog.Warn("peer_folder_failed", "err", err)
	}
}

// HasPeers reports whether another process of this name was running at the last check.
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
