package inflight

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"io/fs"
	"path/filepath"
	"time"
)

// Kind says what a name identifies. Its value is the prefix of the marker's file name.
type Kind string

// The kinds. A request is free once its process has ended; an idempotency key may have run by then, and stays.
const (
	Request        Kind = "id-"
	IdempotencyKey Kind = "key-"
)

// Claim is the result of claiming a name among the processes.
type Claim uint8

// The results.
const (
	Acquired    Claim = iota // this process holds it now; Release or MarkMayHaveRun must follow
	HeldByOther              // another process has it in flight
	MayHaveRun               // another process has carried it out, or ended while it was in flight
	Unknown                  // the folder failed or did not answer in time
)

// errFolderTimeout reports that the folder did not answer within Table.timeout, or that too many lookups hang already.
var errFolderTimeout = errors.New("the folder does not answer")

// nameHashBytes is how much of a name's hash is in its file name.
const nameHashBytes = 16

// fileName returns the name of a name's marker file.
func fileName(kind Kind, name string) string {
	hash := sha256.Sum256([]byte(name))
	return string(kind) + hex.EncodeToString(hash[:nameHashBytes])
}

// Acquire claims a name for this process, which must not hold it already. It returns within folderTimeout.
func (t *Table) Acquire(kind Kind, name string) Claim {
	if t == nil {
		return Acquired
	}
	file := fileName(kind, name)
	t.mu.Lock()
	t.held[file] = time.Now()
	delete(t.mayHaveRun, file) // an earlier use of this name is forgotten
	alone := !t.hasPeers && !(kind == IdempotencyKey && t.hasRemnants)
	t.mu.Unlock()
	if alone {
		return Acquired
	}
	claim := t.claimInTime(kind, file)
	if claim != Acquired {
		t.release(file)
	}
	return claim
}

// claimInTime runs claimAmongPeers; the result is Unknown if it takes longer than the timeout, or if too many others hang.
func (t *Table) claimInTime(kind Kind, file string) Claim {
	select {
	case t.lookups <- struct{}{}:
	default:
		t.recordFailure(errFolderTimeout)
		return Unknown
	}
	result := make(chan Claim, 1)
	go func() { // it ends when the folder answers
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

// claimAmongPeers writes the marker, and then looks for a peer's. The order matters: see the package comment.
func (t *Table) claimAmongPeers(kind Kind, file string) Claim {
	if t.syncName(file) != nil {
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
		case kind == IdempotencyKey && m.age >= t.retention:
		case kind == IdempotencyKey && (!p.alive || m.mayHaveRun):
			return MayHaveRun
		case p.alive:
			return HeldByOther
		}
	}
	return Acquired
}

// Release ends a name that this process holds, when the request never ran or its result no longer matters.
func (t *Table) Release(kind Kind, name string) {
	if t != nil {
		t.release(fileName(kind, name))
	}
}

func (t *Table) release(file string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.held, file)
	delete(t.mayHaveRun, file)
	if t.hasPeers {
		// Run removes the marker: a disk that hangs must not hold up the end of a request.
		t.pendingSync = append(t.pendingSync, file)
	}
}

// MarkMayHaveRun ends a request with an idempotency key that may have run: the key stays claimed for the retention. It
// does nothing if this process does not hold the key.
func (t *Table) MarkMayHaveRun(name string) {
	if t == nil {
		return
	}
	file := fileName(IdempotencyKey, name)
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
