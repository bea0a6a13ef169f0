// Package network makes the links of one machine's processes fail as networks do: cut, one way only, slow, late,
// lossy or reset. It needs no privileges: a party of the bench listens on a loopback address for each of its
// callers, so the address that was called tells who called, and faults are injected where bytes come in and go out.
// All types are safe for concurrent use.
package network

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Condition is what happens to the bytes of one direction of a link. The zero value lets them pass.
type Condition struct {
	Cut       bool
	Delay     time.Duration
	Loss      float64 // part of datagrams lost; of TCP's writes as many are delayed by a retransmission timeout
	BytesPerS float64 // 0: unbounded
}

// retransmissionTimeout delays a lost segment of TCP: the minimum of Linux.
const retransmissionTimeout = 200 * time.Millisecond

// direction is a way over a link.
type direction int

const (
	toListener direction = iota
	fromListener
)

// opposite is the other way.
func (d direction) opposite() direction { return fromListener - d }

// Link is one pair of parties.
type Link struct {
	mu           sync.Mutex
	conditions   [2]Condition // by direction
	changed      chan struct{}
	cutHandlers  []func(cut bool)
	conns        map[*Conn]struct{}
	rng          *rand.Rand
	lastFaultAt  time.Time // the end of the last fault, or its last change
	connectDelay time.Duration
}

// NewLink returns a healthy link; the seed draws what is lost.
func NewLink(seed uint64) *Link {
	return &Link{changed: make(chan struct{}), conns: map[*Conn]struct{}{}, rng: rand.New(rand.NewPCG(seed, 1))}
}

// Set changes both directions: to the party that listens, and from it.
func (l *Link) Set(to, from Condition) {
	l.mu.Lock()
	l.conditions = [...]Condition{toListener: to, fromListener: from}
	l.notify()
	l.lastFaultAt = time.Now()
	cutHandlers, cut := l.cutHandlers, to.Cut || from.Cut
	l.mu.Unlock()
	for _, f := range cutHandlers {
		f(cut)
	}
}

// notify wakes what waits for a change; the caller holds the lock.
func (l *Link) notify() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// Healthy tells whether the link has had no fault since t.
func (l *Link) Healthy(t time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.conditions == [2]Condition{} && l.connectDelay == 0 && !l.lastFaultAt.After(t)
}

// Reset breaks all open connections.
func (l *Link) Reset() {
	l.mu.Lock()
	conns := make([]*Conn, 0, len(l.conns))
	for c := range l.conns {
		conns = append(conns, c)
	}
	l.mu.Unlock()
	for _, c := range conns {
		c.Abort()
	}
}

// SilenceConns makes the open connections fall silent for good, with no error: what is written to them is dropped. New
// ones are healthy.
func (l *Link) SilenceConns() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastFaultAt = time.Now()
	for c := range l.conns {
		c.silenced.Store(true)
	}
	l.notify()
}

// SetConnectDelay makes each new connection pass nothing for a time after it was accepted.
func (l *Link) SetConnectDelay(delay time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.connectDelay, l.lastFaultAt = delay, time.Now()
}

// currentConnectDelay is the delay of a connection that is accepted now.
func (l *Link) currentConnectDelay() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.connectDelay
}

// DrawLoss draws whether a datagram to the listener is lost, and its delay.
func (l *Link) DrawLoss() (lost bool, delay time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.conditions[toListener]
	return c.Cut || c.Loss > 0 && l.rng.Float64() < c.Loss, c.Delay
}

// transmissionDelay is how long n bytes of a direction take from now; cut says that they wait for changed.
func (l *Link) transmissionDelay(d direction, n int) (wait time.Duration, cut bool, changed <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.conditions[d]
	wait = c.Delay
	if c.Loss > 0 && l.rng.Float64() < c.Loss {
		wait += retransmissionTimeout
	}
	if c.BytesPerS > 0 {
		wait += time.Duration(float64(n) / c.BytesPerS * float64(time.Second))
	}
	return wait, c.Cut, l.changed
}
