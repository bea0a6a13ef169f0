package chatapi

import (
	"crypto/sha256"
	"slices"
	"sync"
	"time"
)

// filings remembers idempotency keys, so that a filing whose first try may have run is never run again.
// A key is forgotten when its first try surely never ran, or after its time; a full table takes no new
// filing, since forgetting one early could run it twice. It lives in one process: a restart, or another
// dispatcher, knows nothing of it, unless a Ledger does.
type filings struct {
	mu      sync.Mutex
	most    int
	keep    time.Duration
	now     func() time.Time
	entries map[string]*filing
	order   []*filing // by age, for expiry
}

// filing is one key's first try.
type filing struct {
	key    string
	digest [sha256.Size]byte
	at     time.Time
	done   bool
	answer *completion // the whole answer, if it is known
}

// verdict is what a key means for a request.
type verdict uint8

const (
	fresh      verdict = iota // run it; settle or release must follow
	inProgress                // the first try is out
	answered                  // the first try's answer is known
	mayHaveRun                // it ended, and what it did is not known
	otherBody                 // the key stands for another request
	tableFull
	unreachable // the ledger has no majority
)

func newFilings(most int, keep time.Duration, now func() time.Time) *filings {
	return &filings{most: most, keep: keep, now: now, entries: map[string]*filing{}}
}

// claim looks a key up, and takes it for this request if it is new.
func (f *filings) claim(key string, body []byte) (verdict, *completion) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now, digest := f.now(), sha256.Sum256(body)
	for len(f.order) > 0 && f.order[0].done && now.Sub(f.order[0].at) >= f.keep {
		delete(f.entries, f.order[0].key)
		f.order = f.order[1:]
	}
	e := f.entries[key]
	switch {
	case e == nil && len(f.entries) >= f.most:
		return tableFull, nil
	case e == nil:
		e = &filing{key: key, digest: digest, at: now}
		f.entries[key] = e
		f.order = append(f.order, e)
		return fresh, nil
	case e.digest != digest:
		return otherBody, nil
	case !e.done:
		return inProgress, nil
	case e.answer != nil:
		return answered, e.answer
	}
	return mayHaveRun, nil
}

// settle ends a first try that may have run; the answer is nil if it is not known whole.
func (f *filings) settle(key string, answer *completion) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if e := f.entries[key]; e != nil {
		e.done, e.answer = true, answer
	}
}

// release forgets a first try that surely never ran.
func (f *filings) release(key string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.entries, key)
	f.order = slices.DeleteFunc(f.order, func(e *filing) bool { return e.key == key })
}
