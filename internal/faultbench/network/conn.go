package network

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Conn is one end of a connection on a link. When a cut ends, Conn delivers the bytes that were held back, as TCP does.
type Conn struct {
	net.Conn
	link           *Link
	writeDirection direction     // direction of the bytes that this end writes
	done           chan struct{} // closed when the connection is closed
	closeOnce      sync.Once

	lastReadAt     time.Time
	burstArrivedAt atomic.Int64 // arrival of the last burst, in Unix nanoseconds
	silenced       atomic.Bool  // the connection permanently passes no bytes
	blockedUntil   time.Time    // the connection passes no bytes before this time

	mu       sync.Mutex
	queue    []packet // writes that are held back
	flushing bool     // flushQueue is running
	closing  bool     // Close was called
	err      error    // error of a write that was held back
}

// packet is a write that is held back until due.
type packet struct {
	data []byte
	due  time.Time
}

// newConn adds a connection to a link; writeDirection is the direction of the bytes that this end writes.
func newConn(c net.Conn, l *Link, writeDirection direction) *Conn {
	out := &Conn{Conn: c, link: l, writeDirection: writeDirection, done: make(chan struct{})}
	l.mu.Lock()
	l.conns[out] = struct{}{}
	l.mu.Unlock()
	return out
}

// ArrivedAt returns when the bytes that were read last arrived at this machine, before a fault held them back. The peer
// had sent them by then.
func (c *Conn) ArrivedAt() time.Time { return time.Unix(0, c.burstArrivedAt.Load()) }

// Link returns the link that the connection uses.
func (c *Conn) Link() *Link { return c.link }

// pacing selects whether a delay holds bytes back too, or only a cut.
type pacing int

const (
	delayed pacing = iota
	undelayed
)

// awaitTransmission blocks for as long as a fault holds back n bytes of a direction. It returns net.ErrClosed if the
// connection is closed meanwhile.
func (c *Conn) awaitTransmission(d direction, n int, p pacing) error {
	for {
		delay, cut, changed := c.link.transmissionDelay(d, n)
		if connecting := time.Until(c.blockedUntil); connecting > 0 {
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
			p = undelayed // the next iteration checks for a cut that began meanwhile
		case <-c.done:
			return net.ErrClosed
		}
	}
}

// burstGap is the time after a read within which further bytes belong to the same burst, as a body to its header.
const burstGap = 5 * time.Millisecond

// Read implements net.Conn. Each burst is delayed only once.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	p := delayed
	if time.Since(c.lastReadAt) < burstGap {
		p = undelayed
	} else if n > 1 { // net/http reads a single byte ahead while a request is being answered
		c.burstArrivedAt.Store(time.Now().UnixNano())
	}
	if werr := c.awaitTransmission(c.writeDirection.opposite(), n, p); werr != nil {
		return 0, werr
	}
	c.lastReadAt = time.Now()
	return n, err
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	delay, cut, _ := c.link.transmissionDelay(c.writeDirection, len(p))
	cut = cut || c.silenced.Load()
	c.mu.Lock()
	if c.err != nil || c.closing {
		defer c.mu.Unlock()
		if c.err == nil {
			return 0, net.ErrClosed
		}
		return 0, c.err
	}
	if delay <= 0 && !cut && !c.flushing {
		c.mu.Unlock()
		return c.Conn.Write(p)
	}
	due := time.Now().Add(delay)
	if n := len(c.queue); n > 0 && c.queue[n-1].due.After(due) {
		due = c.queue[n-1].due
	}
	c.queue = append(c.queue, packet{append([]byte(nil), p...), due})
	if !c.flushing {
		c.flushing = true
		go c.flushQueue()
	}
	c.mu.Unlock()
	return len(p), nil
}

// flushQueue writes each held-back packet when it is due, and closes the connection afterwards if Close was called.
func (c *Conn) flushQueue() {
	for {
		c.mu.Lock()
		if len(c.queue) == 0 {
			c.flushing = false
			closing := c.closing
			c.mu.Unlock()
			if closing {
				c.closeNow()
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
		err := c.awaitTransmission(c.writeDirection, 0, undelayed)
		if err == nil {
			_, err = c.Conn.Write(next.data)
		}
		if err != nil {
			c.mu.Lock()
			c.err, c.queue, c.flushing = err, nil, false
			closing := c.closing
			c.mu.Unlock()
			if closing {
				c.closeNow()
			}
			return
		}
	}
}

// Close implements net.Conn. Bytes that were written are sent before the connection closes, and a cut delays the close.
func (c *Conn) Close() error {
	_, cut, _ := c.link.transmissionDelay(c.writeDirection, 0)
	cut = cut || c.silenced.Load()
	c.mu.Lock()
	alreadyClosing := c.closing
	c.closing = true
	if alreadyClosing || c.flushing {
		c.mu.Unlock()
		return nil
	}
	if cut {
		c.flushing = true
		c.queue = append(c.queue, packet{})
		go c.flushQueue()
		c.mu.Unlock()
		return nil
	}
	c.mu.Unlock()
	c.closeNow()
	return nil
}

// Abort closes the connection immediately with a reset.
func (c *Conn) Abort() {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	c.closeNow()
}

// closeNow closes the underlying connection and removes it from its link.
func (c *Conn) closeNow() {
	c.closeOnce.Do(func() {
		close(c.done)
		c.Conn.Close()
		c.link.mu.Lock()
		delete(c.link.conns, c)
		c.link.mu.Unlock()
	})
}
