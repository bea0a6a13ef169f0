package frontend

import (
	"crypto/sha256"
	"sync"

	"rampspread/internal/state/inflight"
)

const (
	// maxExecutedIDs limits the ids that are remembered because their requests may have run and must not run again.
	// Clients give each request a new id, so an id that comes again comes soon.
	maxExecutedIDs = 8192
	// idHashBytes is the size of the hash by which an executed id is remembered.
	idHashBytes = 16
)

type idHash [idHashBytes]byte

func hashID(id string) idHash {
	hash := sha256.Sum256([]byte(id))
	return idHash(hash[:idHashBytes])
}

// idTable holds the ids of requests that are in use. Its methods may be called from any goroutine and do not wait.
type idTable struct {
	limit int

	mu       sync.Mutex
	open     map[string]struct{}
	executed map[idHash]struct{}
	byAge    []idHash // executed ids; a ring once it has limit entries
	oldest   int      // index into byAge of the oldest id of a full ring
}

func newIDTable(limit int) idTable {
	return idTable{limit: limit, open: map[string]struct{}{}, executed: map[idHash]struct{}{}}
}

// begin puts an id into use. It returns false if the id is in use, or must not be used again.
func (t *idTable) begin(id string) bool {
	hash := hashID(id)
	t.mu.Lock()
	defer t.mu.Unlock()
	_, open := t.open[id]
	_, executed := t.executed[hash]
	if open || executed {
		return false
	}
	t.open[id] = struct{}{}
	return true
}

// free frees an id that may be used again.
func (t *idTable) free(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.open, id)
}

// retire ends the use of an id that must not be used again. Beyond the limit the oldest such id is forgotten.
func (t *idTable) retire(id string) {
	hash := hashID(id)
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.open, id)
	t.executed[hash] = struct{}{}
	if len(t.byAge) < t.limit {
		t.byAge = append(t.byAge, hash)
		return
	}
	delete(t.executed, t.byAge[t.oldest])
	t.byAge[t.oldest] = hash
	t.oldest = (t.oldest + 1) % t.limit
}

// requestID is the id of a request that a handler has received.
type requestID struct {
	handler  *Handler
	name     string
	runsOnce bool // the request's class must not run twice
}

// claim puts the id into use, in this process and among the processes of its name on this machine. For a request that
// must run only once it also claims the right to run it, which outlives the process. Unless the result is Acquired, the
// id is not in use afterwards. A folder that fails stops only requests that must run only once.
func (r requestID) claim() inflight.Claim {
	h := r.handler
	if !h.ids.begin(r.name) {
		return inflight.HeldByOther
	}
	claim := h.peerTable.Acquire(inflight.Request, r.name)
	if claim == inflight.Unknown && !r.runsOnce {
		claim = inflight.Acquired
	}
	if claim == inflight.Acquired && r.runsOnce {
		if claim = h.peerTable.Acquire(inflight.Execution, r.name); claim != inflight.Acquired {
			h.peerTable.Release(inflight.Request, r.name)
		}
	}
	if claim != inflight.Acquired {
		h.ids.free(r.name)
	}
	return claim
}

// release frees the id once nothing of its request can run or be sent any more. An id whose request must run only once
// stays in use if it may have run. release does not wait.
func (r requestID) release(mayHaveRun bool) {
	h := r.handler
	h.peerTable.Release(inflight.Request, r.name)
	switch {
	case r.runsOnce && mayHaveRun:
		h.peerTable.MarkMayHaveRun(inflight.Execution, r.name)
		h.ids.retire(r.name)
		return
	case r.runsOnce:
		h.peerTable.Release(inflight.Execution, r.name)
	}
	h.ids.free(r.name)
}
