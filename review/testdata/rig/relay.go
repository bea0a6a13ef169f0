package main

import (
	"io"
	"net"
	"sync"
	"time"
)

// network relays the messages between dispatchers. Each has a relay, whose address the others know; it forwards to the
// dispatcher's own address. Dispatchers send from loopback addresses of their own, which identify them.
type network struct {
	rig *rig
	mu  sync.Mutex
	cut map[string]bool // IPs of dispatchers that are cut off from all others
}

func newNetwork(r *rig) *network { return &network{rig: r, cut: map[string]bool{}} }

// setCut cuts a dispatcher off from all others, or ends that.
func (n *network) setCut(ip string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[ip] = cut
}

func (n *network) passes(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.cut[from] && !n.cut[to]
}

// relay starts the relay of one dispatcher, which receives at ip:port.
func (n *network) relay(public, ip, addr string) {
	udp, err := net.ListenPacket("udp4", public)
	n.rig.must(err, "relay")
	n.rig.closeAtEnd(udp)
	tcp, err := net.Listen("tcp4", public)
	n.rig.must(err, "relay")
	n.rig.closeAtEnd(tcp)
	to, err := net.ResolveUDPAddr("udp4", addr)
	n.rig.must(err, "relay")
	go func() {
		buf := make([]byte, 64<<10)
		for {
			size, from, err := udp.ReadFrom(buf)
			if err != nil {
				if _, ok := err.(net.Error); ok && from == nil && n.closed(udp) {
					return
				}
				continue
			}
			if n.passes(from.(*net.UDPAddr).IP.String(), ip) {
				udp.WriteTo(buf[:size], to)
			}
		}
	}()
	go func() {
		for {
			in, err := tcp.Accept()
			if err != nil {
				return
			}
			go n.stream(in, ip, addr)
		}
	}()
}

func (n *network) closed(c net.PacketConn) bool { return c.SetDeadline(time.Time{}) != nil }

// stream relays one connection. It is reset if the link is cut.
func (n *network) stream(in net.Conn, ip, addr string) {
	defer in.Close()
	from := in.RemoteAddr().(*net.TCPAddr).IP.String()
	if !n.passes(from, ip) {
		return
	}
	out, err := net.DialTimeout("tcp4", addr, time.Second)
	if err != nil {
		return
	}
	defer out.Close()
	done := make(chan struct{}, 2)
	pass := func(to, from net.Conn) {
		io.Copy(to, from)
		to.(*net.TCPConn).CloseWrite()
		done <- struct{}{}
	}
	go pass(out, in)
	go pass(in, out)
	for ends := 0; ends < 2; {
		select {
		case <-done:
			ends++
		case <-time.After(50 * time.Millisecond):
			if !n.passes(from, ip) {
				return
			}
		}
	}
}
