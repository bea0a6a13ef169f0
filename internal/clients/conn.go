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
	raw     syscall.RawConn // nil where the connection is no socket
	guard   *Guard
	last    atomic.Int64 // UnixNano of the last read that brought bytes; 0: none yet
	lengths atomic.Int64
	at      int // of lengthName, how much of the line that is coming matches; -1: this line does not

	mu      sync.Mutex  // held while bytes are taken from the socket, so that no close crosses that
	resting bool        // between requests
	waits   bool        // net/http waits for bytes of a request: it has none left from before
	fresh   bool        // bytes have been read of a request that has not come whole
	shut    bool        // nothing is read any more
	ended   bool        // the client has closed, or the connection broke: what it sent ahead is not taken any more
	closed  bool        // by this side
	wrote   time.Time   // last; zero: never
	ahead   bool        // a byte behind the open request has been read: net/http reads no further, and sees no close
	gone    func()      // told that the client has gone while its request is open; nil: none is
	look    *time.Timer // looks for that while the client has sent ahead
}

func newHeard(c net.Conn, g *Guard) *heard {
	h := &heard{Conn: c, guard: g}
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

// read is the socket's Read, but that each of its system calls happens either before or after a close, and that nothing more is
// taken from a connection that rests once the process is about to end.
func (h *heard) read(p []byte) (n int, err error) {
	if h.raw == nil || len(p) == 0 {
		return h.Conn.Read(p)
	}
	h.mu.Lock()
	h.waits = len(p) > 1 // net/http looks with a single byte whether the client of an open request closes
	h.shut = h.shut || h.resting && h.waits && h.guard.state.Closing.Load()
	h.mu.Unlock()
	waited := h.raw.Read(func(fd uintptr) bool {
		h.mu.Lock()
		defer h.mu.Unlock()
		if h.shut {
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
	h.mu.Lock()
	h.waits = false
	shut := h.shut
	h.mu.Unlock()
	switch {
	case n > 0:
		return n, nil
	case shut:
		return 0, io.EOF
	case waited != nil:
		var op *net.OpError
		if errors.As(waited, &op) {
			op.Op = "read" // by which net/http knows it
		}
		return 0, waited
	case err != nil:
		return 0, &net.OpError{Op: "read", Net: "tcp", Source: h.LocalAddr(), Addr: h.RemoteAddr(), Err: os.NewSyscallError("read", err)}
	}
	return 0, io.EOF
}

// took notes what a read of at most size bytes brought; h.mu is held. While a request is open net/http reads a single byte to see
// the client's close; if that comes, it stops looking, and the socket has to be asked.
func (h *heard) took(n, size int) {
	if n <= 0 {
		h.ended = true
		return
	}
	h.fresh = true
	h.ahead = size == 1
	h.lookOut()
}

// watch calls gone if the client goes away from now on, until it is told of another or of none.
func (h *heard) watch(gone func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.gone = gone
	h.lookOut()
}

// lookOut begins to look whether the client goes, where nothing else would see it; h.mu is held.
func (h *heard) lookOut() {
	if h.ahead && h.gone != nil && h.look == nil {
		h.look = time.AfterFunc(lookEvery, h.looks)
	}
}

// looks asks the socket whether the client has closed.
func (h *heard) looks() {
	_, over := h.state()
	h.mu.Lock()
	gone := h.gone
	h.ended = h.ended || over
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

// whole notes that what has been read belongs to a request that has come whole, or to none. It returns false if its client is known
// to have gone.
func (h *heard) whole() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.fresh = false
	return !h.ended
}

// rest notes whether the connection is between requests.
func (h *heard) rest(resting bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.resting = resting
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

// closeResting ends a connection on which no request has begun to come, and reports whether it did. What comes later is not read,
// and the client sends it anew. Bytes that wait to be read keep the connection, to be served, unless over says that it ends over them:
// a process that is about to be killed might not answer.
func (h *heard) closeResting(over bool) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.waits || h.fresh {
		return false
	}
	if bytes, left := h.state(); bytes && !left && !over {
		return false
	}
	h.shut = true
	h.Conn.SetReadDeadline(time.Unix(1, 0)) // net/http's Read ends, and its goroutine closes the connection
	return true
}

// Write implements net.Conn.
func (h *heard) Write(p []byte) (int, error) {
	n, err := h.Conn.Write(p)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.wrote, h.ended = time.Now(), h.ended || err != nil
	return n, err
}

// Close implements net.Conn. Where an answer may still be on its way only the sending side ends at once; nothing is read any more.
func (h *heard) Close() error {
	h.mu.Lock()
	left := time.Until(h.wrote.Add(lingerFor))
	lingers := left > 0 && !h.ended && !h.closed
	h.shut, h.closed, h.gone = true, true, nil
	h.mu.Unlock()
	half, ok := h.Conn.(interface{ CloseWrite() error })
	if _, over := h.state(); !lingers || over || !ok || !h.guard.linger() {
		return h.Conn.Close()
	}
	if half.CloseWrite() != nil {
		h.guard.lingering.Add(-1)
		return h.Conn.Close()
	}
	time.AfterFunc(left, func() {
		h.Conn.Close()
		h.guard.lingering.Add(-1)
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
