package network

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Relay forwards UDP and TCP traffic to one receiver in a group of peers. The receiver advertises the relay's address
// in place of its own. The source address identifies the sender, so each peer must send from an address of its own.
type Relay struct {
	receiver string                    // address to which the relay forwards
	link     func(sender net.IP) *Link // returns the link from a sender to the receiver, or nil to reject the sender
	udp      net.PacketConn
	tcp      net.Listener
	done     chan struct{}
	wg       sync.WaitGroup
	mu       sync.Mutex
	recent   [][]byte     // last forwarded datagrams, for Replay
	bytes    atomic.Int64 // bytes forwarded by UDP and TCP, to the receiver and back
}

// Bytes returns how many bytes the relay has forwarded in both directions.
func (r *Relay) Bytes() int64 { return r.bytes.Load() }

const dialTimeout = 2 * time.Second

// NewRelay returns a relay that listens at addr on UDP and TCP and forwards to receiverAddr. It rejects senders for
// which link returns nil.
func NewRelay(addr, receiverAddr string, link func(sender net.IP) *Link) (*Relay, error) {
	udp, err := net.ListenPacket("udp4", addr)
	if err != nil {
		return nil, fmt.Errorf("relay: %w", err)
	}
	tcp, err := net.Listen("tcp4", addr)
	if err != nil {
		udp.Close()
		return nil, fmt.Errorf("relay: %w", err)
	}
	r := &Relay{receiver: receiverAddr, link: link, udp: udp, tcp: tcp, done: make(chan struct{})}
	r.wg.Go(r.relayPackets)
	r.wg.Go(r.acceptStreams)
	return r, nil
}

// Close stops the relay and waits for its goroutines.
func (r *Relay) Close() {
	close(r.done)
	r.udp.Close()
	r.tcp.Close()
	r.wg.Wait()
}

func (r *Relay) relayPackets() {
	receiverAddr, err := net.ResolveUDPAddr("udp4", r.receiver)
	if err != nil {
		return
	}
	buf := make([]byte, 64<<10)
	for {
		n, from, err := r.udp.ReadFrom(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // the receiver of an earlier datagram was not listening
		}
		l := r.link(from.(*net.UDPAddr).IP)
		if l == nil {
			continue
		}
		lost, delay := l.DrawLoss()
		if lost {
			continue
		}
		r.bytes.Add(int64(n))
		r.storeForReplay(buf[:n])
		if delay <= 0 {
			r.udp.WriteTo(buf[:n], receiverAddr)
			continue
		}
		data := append([]byte(nil), buf[:n]...)
		time.AfterFunc(delay, func() { r.udp.WriteTo(data, receiverAddr) })
	}
}

// maxReplayPackets is the maximum number of datagrams that a relay stores for Replay.
const maxReplayPackets = 2000

func (r *Relay) storeForReplay(b []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recent = append(r.recent, append([]byte(nil), b...))
	r.recent = r.recent[max(0, len(r.recent)-maxReplayPackets):]
}

// Replay resends all stored datagrams to the receiver, unchanged and thus still validly encrypted and signed, and
// returns their number.
func (r *Relay) Replay() (int, error) {
	receiverAddr, err := net.ResolveUDPAddr("udp4", r.receiver)
	if err != nil {
		return 0, fmt.Errorf("relay: %w", err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, b := range r.recent {
		if _, err := r.udp.WriteTo(b, receiverAddr); err != nil {
			return 0, fmt.Errorf("relay: %w", err)
		}
	}
	return len(r.recent), nil
}

func (r *Relay) acceptStreams() {
	for {
		c, err := r.tcp.Accept()
		if err != nil {
			return
		}
		l := r.link(c.RemoteAddr().(*net.TCPAddr).IP)
		if l == nil {
			c.Close()
			continue
		}
		r.wg.Go(func() { r.relayStream(newConn(c, l, fromListener)) })
	}
}

func (r *Relay) relayStream(in *Conn) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	out, err := new(net.Dialer).DialContext(ctx, "tcp4", r.receiver)
	if err != nil {
		in.Abort()
		return
	}
	finished := make(chan struct{})
	var once sync.Once
	finish := func() { once.Do(func() { close(finished) }) }
	go func() {
		n, _ := io.Copy(out, in)
		r.bytes.Add(n)
		out.(*net.TCPConn).CloseWrite()
	}()
	go func() {
		n, _ := io.Copy(in, out)
		r.bytes.Add(n)
		finish()
	}()
	select {
	case <-finished:
		in.Close()
	case <-in.done:
	case <-r.done:
		in.Abort()
	}
	out.Close()
}
