// Package network injects network faults into the links between processes of one machine: cuts (also in one direction
// only), delays, limited bandwidth, loss and resets. It needs no privileges: each party of the bench listens on one
// loopback address per caller, so that the address that was called identifies the caller, and faults are injected where
// bytes are read and written. All types are safe for concurrent use.
package network

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Condition describes the faults of one direction of a link. The zero value has none.
type Condition struct {
	Cut       bool
	Delay     time.Duration
	Loss      float64 // fraction of datagrams lost, and of TCP reads and writes delayed by retransmissionTimeout
	BytesPerS float64 // bandwidth, or 0 if it is unlimited
}

// retransmissionTimeout is the delay of a lost TCP segment: the minimum retransmission timeout of Linux.
const retransmissionTimeout = 200 * time.Millisecond

// direction is one of the two directions of a link.
type direction int

const (
	toListener direction = iota
	fromListener
)

// opposite returns the other direction.
func (d direction) opposite() direction { return fromListener - d }

// Link is the network link between two parties of the bench.
type Link struct {
	mu           sync.Mutex
	conditions   [2]Condition     // by direction
	changed      chan struct{}    // closed at the next change
	cutHandlers  []func(cut bool) // called after each change of the conditions
	conns        map[*Conn]struct{}
	rng          *rand.Rand
	lastFaultAt  time.Time     // time of the last start, change or end of a fault
	connectDelay time.Duration // time for which a new connection passes no bytes
}

// NewLink returns a healthy link. The seed initializes the random generator that determines losses.
func NewLink(seed uint64) *Link {
	return &Link{changed: make(chan struct{}), conns: map[*Conn]struct{}{}, rng: rand.New(rand.NewPCG(seed, 1))}
}

// Set changes the conditions of both directions: to the party that listens, and from it.
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

// notify wakes all goroutines that wait for a change. The caller must hold the lock.
func (l *Link) notify() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// Healthy reports whether the link has had no fault since t. Resets don't count as faults.
func (l *Link) Healthy(t time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.conditions == [2]Condition{} && l.connectDelay == 0 && !l.lastFaultAt.After(t)
}

// Reset resets all open connections.
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

// SilenceConns permanently stops all open connections from passing bytes, without an error: bytes written to them are
// never delivered. New connections are healthy.
func (l *Link) SilenceConns() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastFaultAt = time.Now()
	for c := range l.conns {
		c.silenced.Store(true)
	}
	l.notify()
}

// SetConnectDelay stops each new connection from passing bytes for a time after it was accepted.
func (l *Link) SetConnectDelay(delay time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.connectDelay, l.lastFaultAt = delay, time.Now()
}

// currentConnectDelay returns the delay of a connection that is accepted now.
func (l *Link) currentConnectDelay() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.connectDelay
}

// DrawLoss draws at random whether a datagram to the listener is lost, and returns its delay.
func (l *Link) DrawLoss() (lost bool, delay time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.conditions[toListener]
	return c.Cut || c.Loss > 0 && l.rng.Float64() < c.Loss, c.Delay
}

// transmissionDelay returns how long n bytes of a direction take from now. If cut is true, they must wait until changed
// is closed.
func (l *Link) transmissionDelay(d direction, n int) (delay time.Duration, cut bool, changed <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.conditions[d]
	delay = c.Delay
	if c.Loss > 0 && l.rng.Float64() < c.Loss {
		delay += retransmissionTimeout
	}
	if c.BytesPerS > 0 {
		delay += time.Duration(float64(n) / c.BytesPerS * float64(time.Second))
	}
	return delay, c.Cut, l.changed
}
