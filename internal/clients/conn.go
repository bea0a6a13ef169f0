package clients

import (
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// A client that has sent ahead is looked after this often: 0.1 s after it has gone no attempt may begin for it.
	lookEvery = 25 * time.Millisecond
	// The last answer on a connection has this long to reach the client, as in net/http's server: a close over bytes that
	// nobody read resets the connection, and what is still on its way goes with it.
	lingerFor = 500 * time.Millisecond
)

// heard is a client's connection that knows when its last byte came, so that one that is slowly writing a
// request is told apart from one that says nothing, and how many lines began with Content-Length. A request that comes in the
// moment in which its connection is closed is either read, and then answered, or not read at all.
type heard struct {
	net.Conn
	raw       syscall.RawConn // nil where the connection is no socket
	lingering *atomic.Int64   // connections that wait for their last answer to arrive,
	most      int64           // and how many may at a time
	last      atomic.Int64    // UnixNano of the last read that brought bytes; 0: none yet
	lengths   atomic.Int64
	at        int // of lengthName, how much of the line that is coming matches; -1: this line does not

	mu     sync.Mutex // held while bytes are taken from the socket, so that no close crosses that
	fresh  bool       // bytes have been read of a request that has not come whole
	shut   bool       // closed while it rested: nothing is read any more
	ended  bool       // the client has closed, or the connection broke
	wrote  bool
	closed bool
	ahead  bool        // a byte behind the open request has been read: net/http reads no further, and sees no close
	gone   func()      // told that the client has gone while its request is open; nil: none is
	look   *time.Timer // looks for that while the client has sent ahead
}

func newHeard(c net.Conn, lingering *atomic.Int64, most int64) *heard {
	h := &heard{Conn: c, lingering: lingering, most: most}
	if s, ok := c.(syscall.Conn); ok {
		h.raw, _ = s.SyscallConn() // an error comes of a closed connection, which shows as it is read
	}
	return h
}

// Read implements net.Conn. One goroutine reads a connection at a time.
func (h *heard) Read(p []byte) (int, error) {
	n, err := h.read(p)
	if n > 0 {
		h.last.Store(time.Now().UnixNano())
		h.scan(p[:n])
	}
	return n, err
}

// read is the socket's Read, but that each of its system calls happens either before or after a close.
func (h *heard) read(p []byte) (n int, err error) {
	if h.raw == nil || len(p) == 0 {
		return h.Conn.Read(p)
	}
	waited := h.raw.Read(func(fd uintptr) bool {
		h.mu.Lock()
		defer h.mu.Unlock()
		if h.shut {
			err = net.ErrClosed
			return true
		}
		for {
			if n, err = unix.Read(int(fd), p); !errors.Is(err, unix.EINTR) {
				break
			}
		}
		if errors.Is(err, unix.EAGAIN) {
			n, err = 0, nil
			return false
		}
		h.took(n, len(p))
		return true
	})
	switch {
	case waited != nil:
		var op *net.OpError
		if errors.As(waited, &op) {
			op.Op = "read" // by which net/http knows it
		}
		return 0, waited
	case err != nil:
		return 0, &net.OpError{Op: "read", Net: "tcp", Source: h.LocalAddr(), Addr: h.RemoteAddr(), Err: os.NewSyscallError("read", err)}
	case n == 0:
		return 0, io.EOF
	}
	return n, nil
}

// took notes what a read of at most size bytes brought; h.mu is held. While a request is open net/http reads a single byte to see
// the client's close; if that comes, it stops looking, and the socket has to be asked.
func (h *heard) took(n, size int) {
	if n <= 0 {
		h.ended = true
		return
	}
	h.fresh = true
	if h.ahead = size == 1; h.ahead && h.gone != nil && h.look == nil {
		h.look = time.AfterFunc(lookEvery, h.looks)
	}
}

// watch calls gone, at most once, if the client goes away from now on; whole says that its request has been read.
func (h *heard) watch(gone func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.gone = gone
	if h.ahead && gone != nil && h.look == nil {
		h.look = time.AfterFunc(lookEvery, h.looks)
	}
}

// looks asks the socket whether the client has closed.
func (h *heard) looks() {
	_, over := h.state()
	h.mu.Lock()
	gone := h.gone
	if gone == nil || !h.ahead || over {
		h.look = nil
	} else {
		h.look.Reset(lookEvery)
	}
	h.mu.Unlock()
	if over && gone != nil {
		gone()
	}
}

// whole notes that what has been read belongs to a request that has come whole, or to none.
func (h *heard) whole() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.fresh = false
}

// state asks the socket whether bytes wait to be read, and whether the client has closed or the connection has broken, whatever
// waits before that.
func (h *heard) state() (bytes, over bool) {
	if h.raw == nil {
		return false, false
	}
	err := h.raw.Control(func(fd uintptr) {
		asked := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN | unix.POLLRDHUP}}
		for {
			_, err := unix.Poll(asked, 0)
			if errors.Is(err, unix.EINTR) {
				continue
			}
			got := asked[0].Revents
			over = err == nil && got&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
			bytes = err == nil && got&unix.POLLIN != 0
			return
		}
	})
	return bytes, over || err != nil
}

// closeResting closes a connection that rests, unless a request has begun to come: then it returns false, and the request is
// served. What comes later has not been read, and the client sends it anew.
func (h *heard) closeResting() bool {
	h.mu.Lock()
	if bytes, over := h.state(); h.fresh || bytes && !over {
		h.mu.Unlock()
		return false
	}
	h.shut = true
	h.mu.Unlock()
	h.Conn.Close() // waits for a Read that is out, which takes the lock
	return true
}

// Write implements net.Conn.
func (h *heard) Write(p []byte) (int, error) {
	n, err := h.Conn.Write(p)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.wrote, h.ended = true, h.ended || err != nil
	return n, err
}

// Close implements net.Conn. Where an answer may still be on its way only the sending side ends at once; nothing is read any more.
func (h *heard) Close() error {
	h.mu.Lock()
	lingers := h.wrote && !h.ended && !h.shut && !h.closed
	h.shut, h.closed, h.gone = true, true, nil
	h.mu.Unlock()
	half, ok := h.Conn.(interface{ CloseWrite() error })
	if _, over := h.state(); !lingers || over || !ok {
		return h.Conn.Close()
	}
	if h.lingering.Add(1) > h.most || half.CloseWrite() != nil {
		h.lingering.Add(-1)
		return h.Conn.Close()
	}
	time.AfterFunc(lingerFor, func() {
		h.Conn.Close()
		h.lingering.Add(-1)
	})
	return nil
}

// lengthName is what a line begins with that says a body's length, in lower case.
const lengthName = "content-length:"

// scan counts the lines that begin with Content-Length, however the bytes are cut.
func (h *heard) scan(p []byte) {
	for len(p) > 0 {
		if h.at < 0 {
			end := bytes.IndexByte(p, '\n')
			if end < 0 {
				return
			}
			p, h.at = p[end+1:], 0
			continue
		}
		c := p[0]
		if c >= 'A' && c <= 'Z' {
			c += 'a' - 'A'
		}
		switch {
		case c == '\n': // an empty or short line: the next one begins behind it
			h.at = 0
		case c != lengthName[h.at]:
			h.at = -1
		case h.at == len(lengthName)-1:
			h.lengths.Add(1)
			h.at = -1
		default:
			h.at++
		}
		p = p[1:]
	}
}

// lastByte is when a connection last sent something, or when it came if it has not yet.
func lastByte(c net.Conn, since time.Time) time.Time {
	if h, ok := c.(*heard); ok {
		if at := h.last.Load(); at != 0 && time.Unix(0, at).After(since) {
			return time.Unix(0, at)
		}
	}
	return since
}
