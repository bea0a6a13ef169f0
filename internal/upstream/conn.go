package upstream

import (
	"errors"
	"net"
	"sync"
	"time"
)

// settleFor is how long a connection stands idle before its next request, and may then take to be ready for it. Bytes
// behind an answer may come some milliseconds late (the full fleet's page); what is read after an answer is read by a
// goroutine of the Transport's, which runs at once unless the machine is busy.
const settleFor = 20 * time.Millisecond

var (
	errStale     = errors.New("bytes behind an answer's end")
	errWithdrawn = errors.New("attempt withdrawn")
)

// conn guards against bytes that a replica sends behind an answer's end: they must never be read as the next
// request's answer. The Transport drops a connection on which it sees such bytes while it is idle, but not
// if a request takes the connection in that moment.
type conn struct {
	net.Conn
	mu      sync.Mutex
	waiting chan struct{} // closed while a Read is out, which is only when all that came has been used
	fresh   bool          // a request has the connection and has written nothing yet
	begin   func() bool   // asked before the first byte of an attempt is written, nil for other calls and after that
}

func newConn(c net.Conn) *conn { return &conn{Conn: c, waiting: make(chan struct{})} }

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	c.mu.Lock()
	close(c.waiting)
	c.mu.Unlock()
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting = make(chan struct{})
	if n > 0 && c.fresh {
		return 0, errStale
	}
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	begin := c.begin
	c.fresh, c.begin = false, nil
	c.mu.Unlock()
	if begin != nil && !begin() {
		return 0, errWithdrawn
	}
	return c.Conn.Write(p)
}

// use is called by a call that has got the connection and has written nothing yet.
func (c *conn) use(begin func() bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.begin = begin
}

// take tells whether nothing is left of the answer before, so that a request can have the connection; one
// that cannot is closed.
func (c *conn) take() bool {
	c.mu.Lock()
	waiting := c.waiting
	c.mu.Unlock()
	select {
	case <-waiting:
	case <-time.After(settleFor):
		c.Close()
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case <-c.waiting:
		c.fresh = true
		return true
	default: // the Read has ended since: something came, or the connection is closed
		c.Close()
		return false
	}
}
