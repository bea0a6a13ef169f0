// Package network makes the links of one machine's processes fail as networks do: cut, one way only, slow, late,
// lossy or reset. It needs no privileges: a party of the rig listens on a loopback address for each of its
// callers, so the address that was called tells who called, and the faults are made where bytes come in and go out.
package network

import (
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Condition is what befalls the bytes of one direction of a link. The zero value lets them pass.
type Condition struct {
	Cut       bool
	Delay     time.Duration
	Loss      float64 // part of datagrams lost; of TCP's writes as many come late by a retransmission's wait
	BytesPerS float64 // 0: unbounded
}

// retransmit is how late a lost segment of TCP comes: the least retransmission timeout of Linux.
const retransmit = 200 * time.Millisecond

// Link is one pair of parties. All its methods may be called from any goroutine.
type Link struct {
	mu        sync.Mutex
	to, from  Condition // of the bytes to the party that listens, and from it
	changed   chan struct{}
	listeners []func(cut bool)
	conns     map[*Conn]struct{}
	rng       *rand.Rand
	since     time.Time // of the last fault's end; while one lasts it lies ahead
	late      time.Duration
}

// NewLink returns a sound link; the seed draws what is lost.
func NewLink(seed uint64) *Link {
	return &Link{changed: make(chan struct{}), conns: map[*Conn]struct{}{}, rng: rand.New(rand.NewPCG(seed, 1))}
}

// Set changes both directions.
func (l *Link) Set(to, from Condition) {
	l.mu.Lock()
	l.to, l.from = to, from
	close(l.changed)
	l.changed = make(chan struct{})
	l.since = time.Now()
	notify, cut := l.listeners, to.Cut || from.Cut
	l.mu.Unlock()
	for _, f := range notify {
		f(cut)
	}
}

// Sound tells whether the link has had no fault since t.
func (l *Link) Sound(t time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.to == Condition{} && l.from == Condition{} && l.late == 0 && !l.since.After(t)
}

// Reset breaks all connections that are open.
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

// SilenceConns lets the connections that are open fall silent for good, with no error: what is written to them goes nowhere. New ones are sound.
func (l *Link) SilenceConns() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.since = time.Now()
	for c := range l.conns {
		c.hushed.Store(true)
	}
	close(l.changed)
	l.changed = make(chan struct{})
}

// SetConnectDelay lets each new connection be answered only so long after it came up.
func (l *Link) SetConnectDelay(late time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.late, l.since = late, time.Now()
}

// lateBy is how late a connection is that comes up now.
func (l *Link) lateBy() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.late
}

// Lose draws whether a datagram in this direction is lost, and how late it comes.
func (l *Link) Lose() (lost bool, late time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.to.Cut || l.to.Loss > 0 && l.rng.Float64() < l.to.Loss, l.to.Delay
}

// hold is how long n bytes of a direction take from now; cut says that they wait for changed.
func (l *Link) hold(to bool, n int) (wait time.Duration, cut bool, changed <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.from
	if to {
		c = l.to
	}
	wait = c.Delay
	if c.Loss > 0 && l.rng.Float64() < c.Loss {
		wait += retransmit
	}
	if c.BytesPerS > 0 {
		wait += time.Duration(float64(n) / c.BytesPerS * float64(time.Second))
	}
	return wait, c.Cut, l.changed
}

// Conn is one end of a connection on a link. What a cut holds back goes on when the cut ends, as TCP has it.
type Conn struct {
	net.Conn
	link   *Link
	dialed bool // this end dialed, so its writes go to the party that listens
	done   chan struct{}
	once   sync.Once
	fresh  time.Time // when bytes last came in
	came   atomic.Int64
	hushed atomic.Bool // nothing passes any more
	ready  time.Time   // nothing passes before

	mu      sync.Mutex
	queue   []packet
	pumping bool
	closing bool
	err     error
}

type packet struct {
	data []byte
	due  time.Time
}

// Wrap puts a connection on a link; dialed tells whether this end dialed it.
func Wrap(c net.Conn, l *Link, dialed bool) *Conn {
	out := &Conn{Conn: c, link: l, dialed: dialed, done: make(chan struct{})}
	l.mu.Lock()
	l.conns[out] = struct{}{}
	l.mu.Unlock()
	return out
}

// Sent is when the bytes that were read last came to this machine, before a fault held them back: for the sender they
// were sent by then.
func (c *Conn) Sent() time.Time { return time.Unix(0, c.came.Load()) }

// Link is the link that the connection is on.
func (c *Conn) Link() *Link { return c.link }

// wait holds n bytes of a direction for as long as its condition says.
func (c *Conn) wait(to bool, n int, late bool) error {
	for {
		d, cut, changed := c.link.hold(to, n)
		if notYet := time.Until(c.ready); notYet > 0 {
			d, late = max(d, notYet), true
		}
		if cut || c.hushed.Load() {
			select {
			case <-changed:
				continue
			case <-c.done:
				return net.ErrClosed
			}
		}
		if d <= 0 || !late {
			return nil
		}
		timer := time.NewTimer(d)
		defer timer.Stop()
		select {
		case <-timer.C:
			late = false // and once more for a cut that came meanwhile
		case <-c.done:
			return net.ErrClosed
		}
	}
}

// sameBurst is how soon after bytes were read others belong to them, as a body to its head.
const sameBurst = 5 * time.Millisecond

// Read implements net.Conn. A burst that was already under way is late only once.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	burst := time.Since(c.fresh) < sameBurst
	if n > 1 && !burst { // a single byte is what net/http reads ahead while a request is answered
		c.came.Store(time.Now().UnixNano())
	}
	if werr := c.wait(!c.dialed, n, !burst); werr != nil {
		return 0, werr
	}
	c.fresh = time.Now()
	return n, err
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	d, cut, _ := c.link.hold(c.dialed, len(p))
	cut = cut || c.hushed.Load()
	c.mu.Lock()
	if c.err != nil || c.closing {
		defer c.mu.Unlock()
		if c.err == nil {
			return 0, net.ErrClosed
		}
		return 0, c.err
	}
	if d <= 0 && !cut && !c.pumping {
		c.mu.Unlock()
		return c.Conn.Write(p)
	}
	due := time.Now().Add(d)
	if n := len(c.queue); n > 0 && c.queue[n-1].due.After(due) {
		due = c.queue[n-1].due
	}
	c.queue = append(c.queue, packet{append([]byte(nil), p...), due})
	if !c.pumping {
		c.pumping = true
		go c.pump()
	}
	c.mu.Unlock()
	return len(p), nil
}

// pump writes what is late when it is due.
func (c *Conn) pump() {
	for {
		c.mu.Lock()
		if len(c.queue) == 0 {
			c.pumping = false
			closing := c.closing
			c.mu.Unlock()
			if closing {
				c.end()
			}
			return
		}
		next := c.queue[0]
		c.queue = c.queue[1:]
		c.mu.Unlock()
		timer := time.NewTimer(time.Until(next.due))
		select {
		case <-timer.C:
		case <-c.done:
		}
		timer.Stop()
		err := c.wait(c.dialed, 0, false)
		if err == nil {
			_, err = c.Conn.Write(next.data)
		}
		if err != nil {
			c.mu.Lock()
			c.err, c.queue, c.pumping = err, nil, false
			closing := c.closing
			c.mu.Unlock()
			if closing {
				c.end()
			}
			return
		}
	}
}

// Close implements net.Conn. What was written still goes out first; the end too is held back by a cut.
func (c *Conn) Close() error {
	_, cut, _ := c.link.hold(c.dialed, 0)
	cut = cut || c.hushed.Load()
	c.mu.Lock()
	already := c.closing
	c.closing = true
	if already || c.pumping {
		c.mu.Unlock()
		return nil
	}
	if cut {
		c.pumping = true
		c.queue = append(c.queue, packet{})
		go c.pump()
		c.mu.Unlock()
		return nil
	}
	c.mu.Unlock()
	c.end()
	return nil
}

// Abort ends the connection at once with a reset.
func (c *Conn) Abort() {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	c.end()
}

func (c *Conn) end() {
	c.once.Do(func() {
		close(c.done)
		c.Conn.Close()
		c.link.mu.Lock()
		delete(c.link.conns, c)
		c.link.mu.Unlock()
	})
}
