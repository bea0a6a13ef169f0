package upstream

import (
	"errors"
	"net"
	"net/http/httptrace"
	"sync"
	"time"
)

// settleTime is how long a connection rests before its next call, and how long it may then take to be ready for it. Bytes
// behind a response may come some milliseconds late (so the operators' page on the full fleet); what is read behind a
// response is read by a goroutine of the Transport, which runs at once unless the machine is busy.
const settleTime = 20 * time.Millisecond

var (
	errUnexpectedBytes  = errors.New("bytes behind the end of a response")
	errFirstByteRefused = errors.New("attempt withdrawn")
)

// conn guards against bytes that a replica sends behind the end of a response: they must never be read as the response
// to the next call. The Transport drops a connection on which it sees such bytes while it is idle, but not if a call
// takes the connection in that moment.
//
// conn also asks the attempt that uses it for permission to write its first byte.
type conn struct {
	net.Conn

	mu sync.Mutex
	// reading is closed while a Read is blocked in the operating system or about to be. The Transport begins a Read only
	// once all that came before has been used. Each end of a Read replaces the channel.
	reading chan struct{}
	// awaitingWrite says that a call has acquired the connection and has written nothing yet.
	awaitingWrite bool
	// admitFirstByte is called before the first byte of an attempt is written; nil for other calls, and after that.
	admitFirstByte func() bool
}

func newConn(raw net.Conn) *conn { return &conn{Conn: raw, reading: make(chan struct{})} }

// prepareConn makes a connection ready for a call and reports whether the call may use it. The connection calls
// admitFirstByte before the call's first byte is written; nil admits it.
func prepareConn(info httptrace.GotConnInfo, admitFirstByte func() bool) bool {
	c, ok := info.Conn.(*conn)
	if !ok {
		return false // not made by this package's dialer
	}
	c.setAdmission(admitFirstByte)
	if !info.Reused {
		return true
	}
	if remaining := settleTime - info.IdleTime; remaining > 0 {
		time.Sleep(remaining) // bytes behind the last response may be late, and must come before the next call
	}
	return c.acquire()
}

// Read implements net.Conn. Bytes that come before the call's first byte was written are dropped with an error.
func (c *conn) Read(p []byte) (int, error) {
	c.mu.Lock()
	close(c.reading)
	c.mu.Unlock()
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = make(chan struct{})
	if n > 0 && c.awaitingWrite {
		return 0, errUnexpectedBytes
	}
	return n, err
}

// Write implements net.Conn. It fails without writing if the attempt doesn't admit its first byte.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	admit := c.admitFirstByte
	c.awaitingWrite, c.admitFirstByte = false, nil
	c.mu.Unlock()
	if admit != nil && !admit() {
		return 0, errFirstByteRefused
	}
	return c.Conn.Write(p)
}

// setAdmission sets what the next Write calls first, for a call that got the connection and has written nothing yet.
func (c *conn) setAdmission(admitFirstByte func() bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.admitFirstByte = admitFirstByte
}

// acquire reports whether all bytes of the last response have been used, so that a call can have the connection. A
// connection that fails this is closed.
func (c *conn) acquire() bool {
	c.mu.Lock()
	reading := c.reading
	c.mu.Unlock()
	select {
	case <-reading:
	case <-time.After(settleTime):
		c.Close()
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case <-c.reading:
		c.awaitingWrite = true
		return true
	default: // the Read has ended since: something came, or the connection is closed
		c.Close()
		return false
	}
}
