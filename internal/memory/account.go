// Package memory counts the bytes that requests hold against a limit. An Account is a limit that several parties share;
// each holds a Reservation, which grows and shrinks with what it holds.
//
// Small parts of requests come before large ones: a large reservation leaves a part of the account free, so that
// requests that hold much cannot take the memory of those that hold little.
package memory

import "sync"

const (
	// smallBytes is the size up to which a reservation counts as small.
	smallBytes = 16 << 10
	// smallDivisor is the part of an account that large reservations leave free.
	smallDivisor = 4
)

// Account is a limit on the bytes that its reservations hold together. Its methods may be called from any goroutine.
type Account struct {
	mu    sync.Mutex
	limit int64
	used  int64
}

// NewAccount returns an account with a limit in bytes.
func NewAccount(limit int64) *Account { return &Account{limit: limit} }

// Used returns the bytes that are reserved.
func (a *Account) Used() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.used
}

// Reservation returns a reservation that holds nothing yet.
func (a *Account) Reservation() *Reservation { return &Reservation{account: a} }

// Reservation is what one party holds of an Account. A nil Reservation has no limit. Its methods may be called from any
// goroutine.
type Reservation struct {
	account *Account
	bytes   int64 // guarded by Account.mu
}

// Grow reserves further bytes. It returns false, and reserves nothing, if the account has too few. A number that is not
// positive reserves none.
func (r *Reservation) Grow(bytes int64) bool {
	if r == nil || bytes <= 0 {
		return true
	}
	a := r.account
	a.mu.Lock()
	defer a.mu.Unlock()
	limit := a.limit
	if r.bytes+bytes > smallBytes {
		limit -= limit / smallDivisor
	}
	if a.used+bytes > limit {
		return false
	}
	a.used += bytes
	r.bytes += bytes
	return true
}

// Shrink returns bytes to the account, at most those that the reservation holds. A negative number returns none.
func (r *Reservation) Shrink(bytes int64) {
	if r == nil {
		return
	}
	r.account.mu.Lock()
	defer r.account.mu.Unlock()
	bytes = max(min(bytes, r.bytes), 0)
	r.bytes -= bytes
	r.account.used -= bytes
}

// Release returns all bytes to the account.
func (r *Reservation) Release() { r.Shrink(r.Bytes()) }

// Bytes returns the bytes that the reservation holds.
func (r *Reservation) Bytes() int64 {
	if r == nil {
		return 0
	}
	r.account.mu.Lock()
	defer r.account.mu.Unlock()
	return r.bytes
}
