package chatapi

import (
	"crypto/sha256"
	"slices"
	"sync"
	"time"
)

// keyTable remembers the idempotency keys that this process has seen, so that a request whose first attempt may have
// run is never run again. A key is forgotten when its first attempt certainly never ran, or after its retention time; a
// full table accepts no new key, since forgetting one early could run its request twice. The table belongs to one
// process: a restarted process or another dispatcher knows nothing of it, unless there is an IdempotencyStore. Its
// methods may be called from any goroutine.
type keyTable struct {
	mu        sync.Mutex
	capacity  int
	retention time.Duration
	now       func() time.Time
	entries   map[string]*keyEntry
	byAge     []*keyEntry // oldest first, for expiry
}

// keyEntry is one key and its first attempt.
type keyEntry struct {
	key        string
	digest     [sha256.Size]byte // of the request's body
	claimedAt  time.Time
	ended      bool
	completion *chatCompletion // the whole answer, if it is known
}

// claimResult is what a key means for a request.
type claimResult uint8

const (
	claimGranted     claimResult = iota // run it; settle or release must follow
	claimInProgress                     // the first attempt is in flight
	claimAnswered                       // the first attempt's answer is known
	claimMayHaveRun                     // the first attempt ended, and it is not known what it did
	claimKeyReused                      // the key was used with another request body
	claimTableFull                      // the table cannot remember another key
	claimUnavailable                    // the store has no majority, or the peers did not answer
)

func newKeyTable(capacity int, retention time.Duration, now func() time.Time) *keyTable {
	return &keyTable{capacity: capacity, retention: retention, now: now, entries: map[string]*keyEntry{}}
}

// claim looks a key up, and claims it for this request if it is new. The completion is set for claimAnswered.
func (t *keyTable) claim(key string, body []byte) (claimResult, *chatCompletion) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now, digest := t.now(), sha256.Sum256(body)
	t.expire(now)
	entry := t.entries[key]
	switch {
	case entry == nil && len(t.entries) >= t.capacity:
		return claimTableFull, nil
	case entry == nil:
		entry = &keyEntry{key: key, digest: digest, claimedAt: now}
		t.entries[key] = entry
		t.byAge = append(t.byAge, entry)
		return claimGranted, nil
	case entry.digest != digest:
		return claimKeyReused, nil
	case !entry.ended:
		return claimInProgress, nil
	case entry.completion != nil:
		return claimAnswered, entry.completion
	}
	return claimMayHaveRun, nil
}

// expire forgets the oldest keys whose retention is over, up to the first whose attempt is in flight.
func (t *keyTable) expire(now time.Time) {
	for len(t.byAge) > 0 && t.byAge[0].ended && now.Sub(t.byAge[0].claimedAt) >= t.retention {
		delete(t.entries, t.byAge[0].key)
		t.byAge = t.byAge[1:]
	}
}

// settle ends a first attempt that may have run; the completion is nil if the answer is not known whole.
func (t *keyTable) settle(key string, completion *chatCompletion) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if entry := t.entries[key]; entry != nil {
		entry.ended, entry.completion = true, completion
	}
}

// release forgets a first attempt that certainly never ran.
func (t *keyTable) release(key string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.entries, key)
	t.byAge = slices.DeleteFunc(t.byAge, func(entry *keyEntry) bool { return entry.key == key })
}
