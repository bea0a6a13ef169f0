package upstream

import (
	"errors"
	"net"
	"net/http/httptrace"
	"sync"
	"time"

	"rampspread/internal/framing"
)

// reuseDelay is the least time for which a connection is idle before its next call, and the limit for how long it may
// then take to be ready for the call. Bytes after the end of a response may arrive some milliseconds late, according to
// the operators' page on the full fleet. A goroutine of the Transport reads them; it runs at once unless the machine is
// busy.
const reuseDelay = 20 * time.Millisecond

// maxChunkBytes limits a chunk of a response. Replicas write events, of at most maxEventSize, as they come; a chunk that is
// said to be larger comes from a corrupt stream and may never end.
const maxChunkBytes = 1 << 20

var (
	errUnexpectedBytes  = errors.New("unexpected bytes after the end of a response")
	errChunkTooLarge    = errors.New("chunk larger than any event")
	errFirstByteRefused = errors.New("first byte refused by a precondition")
)

// conn guards against bytes that a replica sends after the end of a response: they must never be read as the response
// to the next call. The Transport drops an idle connection on which it sees such bytes, but not if a call takes the
// connection at that moment.
//
// conn also asks the attempt that uses it whether the attempt's first byte may be written.
//
// conn also ends a response with a chunk that is said to be larger than maxChunkBytes: nothing is read behind the bytes
// that came with the chunk's size.
type conn struct {
	net.Conn
	framing framing.Scanner // of the responses; only Read uses it

	mu sync.Mutex
	// readStarted is closed while a Read is blocked in the operating system or about to be. The Transport begins a Read
	// only once it has consumed all earlier bytes. Each Read replaces the channel when it ends.
	readStarted chan struct{}
	// awaitingWrite is set while a call has acquired the connection and has written nothing yet.
	awaitingWrite bool
	// admitFirstByte is called before the first byte of an attempt is written. It is nil after that byte, and for calls
	// that are not attempts.
	admitFirstByte func() bool
}

func newConn(raw net.Conn) *conn { return &conn{Conn: raw, readStarted: make(chan struct{})} }

// prepareConn makes a connection ready for a call and reports whether the call may use it. The connection calls
// admitFirstByte before it writes the call's first byte, which is always admitted if admitFirstByte is nil.
func prepareConn(info httptrace.GotConnInfo, admitFirstByte func() bool) bool {
	c, ok := info.Conn.(*conn)
	if !ok {
		return false // not made by this package's dialer
	}
	c.setAdmitFirstByte(admitFirstByte)
	if !info.Reused {
		return true
	}
	if remaining := reuseDelay - info.IdleTime; remaining > 0 {
		time.Sleep(remaining) // late bytes after the last response must arrive before the next call
	}
	return c.acquire()
}

// Read implements net.Conn. It drops bytes that arrive after a call has acquired the connection and before the call's
// first byte is written, and returns an error for them.
func (c *conn) Read(p []byte) (int, error) {
	if c.framing.LargestChunk() > maxChunkBytes {
		return 0, errChunkTooLarge
	}
	c.mu.Lock()
	close(c.readStarted)
	c.mu.Unlock()
	n, err := c.Conn.Read(p)
	c.framing.Scan(p[:max(n, 0)])
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readStarted = make(chan struct{})
	if n > 0 && c.awaitingWrite {
		return 0, errUnexpectedBytes
	}
	return n, err
}

// Write implements net.Conn. It fails without writing if the attempt does not admit its first byte.
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

// setAdmitFirstByte sets the function that the next Write calls first, for a call that got the connection and has
// written nothing yet.
func (c *conn) setAdmitFirstByte(admitFirstByte func() bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.admitFirstByte = admitFirstByte
}

// acquire takes the connection for a call. It succeeds if all bytes of the last response have been consumed; otherwise
// it closes the connection and returns false.
func (c *conn) acquire() bool {
	c.mu.Lock()
	readStarted := c.readStarted
	c.mu.Unlock()
	select {
	case <-readStarted:
	case <-time.After(reuseDelay):
		c.Close()
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case <-c.readStarted:
		c.awaitingWrite = true
		return true
	default: // the Read has ended in the meantime: bytes arrived, or the connection was closed
		c.Close()
		return false
	}
}
