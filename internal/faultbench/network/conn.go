package network

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Conn is one end of a connection on a link. What a cut holds back is sent when the cut ends, as TCP does.
type Conn struct {
	net.Conn
	link   *Link
	writes direction // of what this end writes
	done   chan struct{}
	once   sync.Once

	lastReadAt     time.Time
	burstArrivedAt atomic.Int64 // Unix nanoseconds, of the last burst
	silenced       atomic.Bool  // nothing passes any more
	passesFrom     time.Time    // nothing passes before

	mu      sync.Mutex
	queue   []packet // writes that are held back
	pumping bool     // pump runs
	closing bool
	err     error // of a write that was held back
}

// packet is a write that is held back.
type packet struct {
	data []byte
	due  time.Time
}

// wrap puts a connection on a link; writes is the direction of what this end writes.
func wrap(c net.Conn, l *Link, writes direction) *Conn {
	out := &Conn{Conn: c, link: l, writes: writes, done: make(chan struct{})}
	l.mu.Lock()
	l.conns[out] = struct{}{}
	l.mu.Unlock()
	return out
}

// ArrivedAt is when the bytes that were read last arrived at this machine, before a fault held them back: for the sender they
// were sent by then.
func (c *Conn) ArrivedAt() time.Time { return time.Unix(0, c.burstArrivedAt.Load()) }

// Link is the link that the connection is on.
func (c *Conn) Link() *Link { return c.link }

// pacing is whether bytes are held back by a delay, or only by a cut.
type pacing int

const (
	delayed pacing = iota
	undelayed
)

// wait holds n bytes of a direction back for as long as its condition says.
func (c *Conn) wait(d direction, n int, p pacing) error {
	for {
		delay, cut, changed := c.link.hold(d, n)
		if connecting := time.Until(c.passesFrom); connecting > 0 {
			delay, p = max(delay, connecting), delayed
		}
		if cut || c.silenced.Load() {
			select {
			case <-changed:
				continue
			case <-c.done:
				return net.ErrClosed
			}
		}
		if delay <= 0 || p == undelayed {
			return nil
		}
		timer := time.NewTimer(delay)
		defer timer.Stop()
		select {
		case <-timer.C:
			p = undelayed // and once more for a cut that began meanwhile
		case <-c.done:
			return net.ErrClosed
		}
	}
}

// sameBurst is how soon after bytes were read others belong to them, as a body to its head.
const sameBurst = 5 * time.Millisecond

// Read implements net.Conn. A burst that was already under way is delayed only once.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	p := delayed
	if time.Since(c.lastReadAt) < sameBurst {
		p = undelayed
	} else if n > 1 { // a single byte is what net/http reads ahead while a request is answered
		c.burstArrivedAt.Store(time.Now().UnixNano())
	}
	if werr := c.wait(c.writes.opposite(), n, p); werr != nil {
		return 0, werr
	}
	c.lastReadAt = time.Now()
	return n, err
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	d, cut, _ := c.link.hold(c.writes, len(p))
	cut = cut || c.silenced.Load()
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

// pump writes what is held back when it is due.
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
		err := c.wait(c.writes, 0, undelayed)
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
	_, cut, _ := c.link.hold(c.writes, 0)
	cut = cut || c.silenced.Load()
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
