package network

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Listener accepts the connections of one link at an address. While the link is cut, new connections are never
// established: a socket with a full accept queue then occupies the address, so that the kernel drops SYN packets. While
// the party is down, new connections are refused.
type Listener struct {
	addr  *net.TCPAddr
	link  *Link
	conns chan net.Conn
	done  chan struct{}

	mu          sync.Mutex
	listener    net.Listener
	fillerConns []net.Conn // connections that fill the queue of fullSocket
	fullSocket  *os.File   // socket with a full accept queue, or nil while the link is not cut
	cut         bool
	down        bool
	closed      bool
}

// Listen listens at an address for the connections of one link.
func Listen(addr string, l *Link) (*Listener, error) {
	tcpAddr, err := net.ResolveTCPAddr("tcp4", addr)
	if err != nil {
		return nil, fmt.Errorf("network: %w", err)
	}
	out := &Listener{addr: tcpAddr, link: l, conns: make(chan net.Conn), done: make(chan struct{})}
	if err := out.apply(); err != nil {
		return nil, err
	}
	l.mu.Lock()
	l.cutHandlers = append(l.cutHandlers, out.setCut)
	l.mu.Unlock()
	return out, nil
}

func (l *Listener) setCut(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
	l.apply() // if the listener cannot be reopened, connections are refused
}

// SetDown makes the listener refuse new connections, or accept them again. Open connections stay open.
func (l *Listener) SetDown(down bool) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
	return l.apply()
}

// apply opens and closes sockets according to cut, down and closed. The caller must hold the lock, or be the only user.
func (l *Listener) apply() error {
	wantFull := l.cut && !l.closed
	wantOpen := !l.cut && !l.down && !l.closed
	if !wantFull && l.fullSocket != nil {
		for _, c := range l.fillerConns {
			c.Close()
		}
		l.fullSocket.Close()
		l.fillerConns, l.fullSocket = nil, nil
	}
	if !wantOpen && l.listener != nil {
		l.listener.Close()
		l.listener = nil
	}
	if wantFull && l.fullSocket == nil {
		if err := l.openFullSocket(); err != nil {
			return fmt.Errorf("network: %w", err)
		}
	}
	if wantOpen && l.listener == nil {
		inner, err := retryBusy(func() (net.Listener, error) { return net.Listen("tcp4", l.addr.String()) })
		if err != nil {
			return fmt.Errorf("network: %w", err)
		}
		l.listener = inner
		go l.accept(inner)
	}
	return nil
}

const (
	maxBusyRetries    = 50
	busyRetryInterval = 2 * time.Millisecond
	fillTimeout       = 20 * time.Millisecond // dial timeout of a connection that fills the accept queue
)

// retryBusy calls f again for a short time while a socket that was just closed still occupies the address.
func retryBusy[T any](f func() (T, error)) (T, error) {
	for n := 0; ; n++ {
		out, err := f()
		if err == nil || n == maxBusyRetries || !errors.Is(err, syscall.EADDRINUSE) {
			return out, err
		}
		time.Sleep(busyRetryInterval)
	}
}

// openFullSocket opens a listening socket with an accept queue of one connection, and fills the queue.
func (l *Listener) openFullSocket() error {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return fmt.Errorf("socket: %w", err)
	}
	socket := os.NewFile(uintptr(fd), "pit")
	sockaddr := &unix.SockaddrInet4{Port: l.addr.Port, Addr: [4]byte(l.addr.IP.To4())}
	_, err = retryBusy(func() (struct{}, error) {
		if err := unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1); err != nil {
			return struct{}{}, err
		}
		return struct{}{}, unix.Bind(fd, sockaddr)
	})
	if err == nil {
		err = unix.Listen(fd, 0)
	}
	if err != nil {
		socket.Close()
		return fmt.Errorf("full socket: %w", err)
	}
	l.fullSocket = socket
	for range 2 { // the first connection fills the queue; the second times out if the queue is full
		c, err := net.DialTimeout("tcp4", l.addr.String(), fillTimeout)
		if err != nil {
			break
		}
		l.fillerConns = append(l.fillerConns, c)
	}
	return nil
}

func (l *Listener) accept(inner net.Listener) {
	for {
		c, err := inner.Accept()
		if err != nil {
			return
		}
		conn := newConn(c, l.link, fromListener)
		conn.blockedUntil = time.Now().Add(l.link.currentConnectDelay())
		select {
		case l.conns <- conn:
		case <-l.done:
			c.Close()
			return
		}
	}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil
	}
	l.closed = true
	close(l.done)
	return l.apply()
}

// Link returns the link whose connections the listener accepts.
func (l *Listener) Link() *Link { return l.link }

// Addr implements net.Listener.
func (l *Listener) Addr() net.Addr { return l.addr }

// Dial connects to an address over a link. If the direction to the listener is cut, Dial blocks until ctx ends and
// returns an error.
func Dial(ctx context.Context, addr string, l *Link) (*Conn, error) {
	if _, cut, _ := l.transmissionDelay(toListener, 0); cut {
		<-ctx.Done()
		return nil, fmt.Errorf("network: %w", ctx.Err())
	}
	c, err := new(net.Dialer).DialContext(ctx, "tcp4", addr)
	if err != nil {
		return nil, err // not wrapped, since the caller distinguishes errors by type
	}
	return newConn(c, l, toListener), nil
}
