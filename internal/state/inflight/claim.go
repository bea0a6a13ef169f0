package inflight

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"io/fs"
	"path/filepath"
	"strings"
	"time"
)

// Kind says what a name identifies. Its value is the prefix of the name of the marker file.
type Kind string

// The kinds. The name of a request is free once the process that held it has ended. An idempotency key, and the id of a
// request that must not run twice, then stay claimed for their retention, since the request may have run.
const (
	Request        Kind = "id-"
	Execution      Kind = "run-"
	IdempotencyKey Kind = "key-"
)

// executionRetention is how long the id of a request that must not run twice stays claimed after it may have run, in
// the processes that follow. Clients give each request a new id.
const executionRetention = time.Minute

// outlivesProcess reports whether names of this kind stay claimed when their process has ended.
func (k Kind) outlivesProcess() bool { return k != Request }

// kindOf returns the kind of the name that a marker file stands for.
func kindOf(file string) Kind {
	for _, kind := range []Kind{Execution, IdempotencyKey} {
		if strings.HasPrefix(file, string(kind)) {
			return kind
		}
	}
	return Request
}

// retentionOf returns how long a name of the given kind stays claimed after its request may have run.
func (t *Table) retentionOf(kind Kind) time.Duration {
	if kind == Execution {
		return executionRetention
	}
	return t.retention
}

// Claim is the result of claiming a name among the processes that share the folder.
type Claim uint8

// The results.
const (
	Acquired    Claim = iota // this process holds the name now, and must call Release or MarkMayHaveRun
	HeldByOther              // another process has the name in flight
	MayHaveRun               // another process may have executed the request, or ended while it was in flight
	Unknown                  // the folder failed or did not respond in time, or too many lookups are pending
)

// errFolderTimeout reports that the folder did not respond within Table.timeout, or that too many lookups are pending.
var errFolderTimeout = errors.New("the folder does not respond")

// nameHashBytes is the number of bytes of a name's hash in the name of its marker file.
const nameHashBytes = 16

// markerFileName returns the name of the marker file for a name.
func markerFileName(kind Kind, name string) string {
	hash := sha256.Sum256([]byte(name))
	return string(kind) + hex.EncodeToString(hash[:nameHashBytes])
}

// Acquire claims a name for this process, which must not hold it already. It returns within folderTimeout.
func (t *Table) Acquire(kind Kind, name string) Claim {
	if t == nil {
		return Acquired
	}
	file := markerFileName(kind, name)
	t.mu.Lock()
	t.held[file] = time.Now()
	delete(t.mayHaveRun, file) // forgets an earlier use of this name
	alone := !t.hasPeers && !(kind.outlivesProcess() && t.hasEndedPeers)
	t.mu.Unlock()
	if alone {
		return Acquired
	}
	claim := t.claimWithTimeout(kind, file)
	if claim != Acquired {
		t.release(file)
	}
	return claim
}

// claimWithTimeout runs claimAmongPeers. It returns Unknown if that takes longer than the timeout, or if there are
// already maxPendingLookups pending lookups.
func (t *Table) claimWithTimeout(kind Kind, file string) Claim {
	select {
	case t.lookups <- struct{}{}:
	default:
		t.recordFailure(errFolderTimeout)
		return Unknown
	}
	result := make(chan Claim, 1)
	go func() { // ends when the folder responds
		defer func() { <-t.lookups }()
		result <- t.claimAmongPeers(kind, file)
	}()
	timeout := time.NewTimer(t.timeout)
	defer timeout.Stop()
	select {
	case claim := <-result:
		return claim
	case <-timeout.C:
		t.recordFailure(errFolderTimeout)
		return Unknown
	}
}

// claimAmongPeers writes the marker, and then looks for markers of peers. The package comment explains why the order
// matters.
func (t *Table) claimAmongPeers(kind Kind, file string) Claim {
	if t.syncMarker(file) != nil {
		return Unknown
	}
	peers, err := t.listPeers()
	if err != nil {
		t.recordFailure(err)
		return Unknown
	}
	for _, p := range peers {
		m, err := t.readMarker(filepath.Join(p.dir, file))
		switch {
		case errors.Is(err, fs.ErrNotExist):
		case err != nil:
			t.recordFailure(err)
			return Unknown
		case kind.outlivesProcess() && m.age >= t.retentionOf(kind):
		case kind.outlivesProcess() && (!p.alive || m.mayHaveRun):
			return MayHaveRun
		case p.alive:
			return HeldByOther
		}
	}
	return Acquired
}

// Release releases a name that this process holds, because the request never ran or its result no longer matters.
func (t *Table) Release(kind Kind, name string) {
	if t != nil {
		t.release(markerFileName(kind, name))
	}
}

func (t *Table) release(file string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.held, file)
	delete(t.mayHaveRun, file)
	if t.hasPeers {
		// Run removes the marker, so that a hanging disk does not block the end of a request.
		t.pendingSync = append(t.pendingSync, file)
	}
}

// MarkMayHaveRun records that the request with an idempotency key, or with an id that must not run twice, has ended and
// may have run. The name stays claimed for its retention. MarkMayHaveRun does nothing if this process does not hold the
// name.
func (t *Table) MarkMayHaveRun(kind Kind, name string) {
	if t == nil {
		return
	}
	file := markerFileName(kind, name)
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := t.held[file]; !ok {
		return
	}
	t.mayHaveRun[file] = true
	if t.hasPeers {
		t.pendingSync = append(t.pendingSync, file)
	}
}
