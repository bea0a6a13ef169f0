package chatapi

import (
	"crypto/sha256"
	"slices"
	"sync"
	"time"
)

// keyTable records the idempotency keys that this process has received, so that a request whose first attempt may have
// run is never run again. A key is removed when its first attempt certainly never ran in this process, or after its
// retention time. A full table accepts no new key, since removing one early could let its request run twice. The table
// belongs to one process: a restarted process or another dispatcher does not have its keys, unless there is an
// IdempotencyStore. Its methods may be called from any goroutine.
type keyTable struct {
	mu        sync.Mutex
	capacity  int
	retention time.Duration
	now       func() time.Time
	entries   map[string]*keyEntry
	byAge     []*keyEntry // entries in the order of their claims, for expiry
	// maxAnswerBytes limits the text of all answers, or is 0 for no limit. Beyond it the oldest answers are forgotten; a
	// retry of their keys is then told that its first attempt may have run.
	maxAnswerBytes int64
	answerBytes    int64 // text of all answers
}

// keyEntry is the table's record of a key and its first attempt.
type keyEntry struct {
	key        string
	digest     [sha256.Size]byte // hash of the request's body
	claimedAt  time.Time
	ended      bool            // the first attempt has ended
	completion *chatCompletion // the complete answer, or nil if it is not known
}

// claimResult says how a request with a key is handled.
type claimResult uint8

const (
	claimGranted     claimResult = iota // the request may run; finish or release must follow
	claimInProgress                     // the first attempt is in flight
	claimAnswered                       // the first attempt's answer is known
	claimMayHaveRun                     // the first attempt has ended, and may have run without a known answer
	claimKeyReused                      // the key was used with another request body
	claimTableFull                      // the table has no capacity for another key
	claimUnavailable                    // the store lacks a majority or capacity, or the peer processes' folder failed
)

func newKeyTable(capacity int, retention time.Duration, now func() time.Time) *keyTable {
	return &keyTable{capacity: capacity, retention: retention, now: now, entries: map[string]*keyEntry{}}
}

// claim returns how a request with the key is handled. A new key is claimed if the table has capacity. The completion
// is set only with claimAnswered.
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

// expire removes the oldest keys whose retention time is over. It stops at the first key whose attempt is in flight.
func (t *keyTable) expire(now time.Time) {
	for len(t.byAge) > 0 && t.byAge[0].ended && now.Sub(t.byAge[0].claimedAt) >= t.retention {
		t.forgetAnswer(t.byAge[0])
		delete(t.entries, t.byAge[0].key)
		t.byAge = t.byAge[1:]
	}
}

// finish records that the first attempt of a key, which may have run, has ended. The completion is nil if the complete
// answer is not known.
func (t *keyTable) finish(key string, completion *chatCompletion) {
	t.mu.Lock()
	defer t.mu.Unlock()
	entry := t.entries[key]
	if entry == nil {
		return
	}
	t.forgetAnswer(entry)
	entry.ended, entry.completion = true, completion
	t.answerBytes += completion.textBytes()
	for i := 0; t.maxAnswerBytes > 0 && t.answerBytes > t.maxAnswerBytes && i < len(t.byAge); i++ {
		t.forgetAnswer(t.byAge[i])
	}
}

// forgetAnswer removes the answer of an entry, if it has one. t.mu must be held.
func (t *keyTable) forgetAnswer(entry *keyEntry) {
	t.answerBytes -= entry.completion.textBytes()
	entry.completion = nil
}

// release removes a key whose first attempt certainly never ran in this process: the attempt was not executed by a
// replica, or the peer processes or the store did not grant the key.
func (t *keyTable) release(key string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.entries, key)
	t.byAge = slices.DeleteFunc(t.byAge, func(entry *keyEntry) bool { return entry.key == key })
}
