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

// Listener accepts the calls of one link at an address. While the link is cut, new connections never come up:
// the address is then held by a socket whose queue is full, so that the kernel drops what arrives. While
// the party is down they are refused.
type Listener struct {
	addr  *net.TCPAddr
	link  *Link
	conns chan net.Conn
	done  chan struct{}

	mu          sync.Mutex
	listener    net.Listener
	fillerConns []net.Conn // the full socket's own callers
	fullSocket  *os.File   // the full socket
	cut         bool
	down        bool
	ended       bool
}

// Listen opens an address for the calls of one link.
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
	l.apply() // a listener that cannot come back shows as refused calls
}

// SetDown makes calls be refused, or accepted again. Connections that are open stay.
func (l *Listener) SetDown(down bool) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
	return l.apply()
}

// apply opens and closes sockets as the state wants them; the caller holds the lock (or is alone).
func (l *Listener) apply() error {
	wantFull := l.cut && !l.ended
	wantOpen := !l.cut && !l.down && !l.ended
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
	fillTimeout       = 20 * time.Millisecond // for a connection that fills the backlog
)

// retryBusy retries for a while where a socket that was just closed still holds the address.
func retryBusy[T any](f func() (T, error)) (T, error) {
	for n := 0; ; n++ {
		out, err := f()
		if err == nil || n == maxBusyRetries || !errors.Is(err, syscall.EADDRINUSE) {
			return out, err
		}
		time.Sleep(busyRetryInterval)
	}
}

// openFullSocket opens a listening socket with a backlog of one connection and fills that itself.
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
	for range 2 { // the first fills the queue; the second shows that it is full
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
	if l.ended {
		return nil
	}
	l.ended = true
	close(l.done)
	return l.apply()
}

// Link is the link whose calls it accepts.
func (l *Listener) Link() *Link { return l.link }

// Addr implements net.Listener.
func (l *Listener) Addr() net.Addr { return l.addr }

// Dial connects to an address over a link, from the side that dials; on a cut link the connection never comes up.
func Dial(ctx context.Context, addr string, l *Link) (*Conn, error) {
	if _, cut, _ := l.transmissionDelay(toListener, 0); cut {
		<-ctx.Done()
		return nil, fmt.Errorf("network: %w", ctx.Err())
	}
	c, err := new(net.Dialer).DialContext(ctx, "tcp4", addr)
	if err != nil {
		return nil, err // the caller tells errors apart by their type
	}
	return newConn(c, l, toListener), nil
}
