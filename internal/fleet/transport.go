package fleet

import (
	"fmt"
	"log"
	"net"
	"net/netip"
	"time"

	"github.com/hashicorp/memberlist"
)

// transport is memberlist's own, but that its calls too go out from the member's address: so the others, a firewall
// and the rig can tell by the source who calls.
type transport struct {
	*memberlist.NetTransport
	from net.IP
}

func newTransport(listen string, logger *log.Logger) (*transport, error) {
	at, err := netip.ParseAddrPort(listen)
	if err != nil {
		return nil, fmt.Errorf("fleet: listen: %w", err)
	}
	n, err := memberlist.NewNetTransport(&memberlist.NetTransportConfig{BindAddrs: []string{at.Addr().String()},
		BindPort: int(at.Port()), Logger: logger})
	if err != nil {
		return nil, fmt.Errorf("fleet: listen %s: %w", listen, err)
	}
	return &transport{n, at.Addr().AsSlice()}, nil
}

// DialTimeout implements memberlist.Transport.
func (t *transport) DialTimeout(addr string, timeout time.Duration) (net.Conn, error) {
	d := net.Dialer{Timeout: timeout, LocalAddr: &net.TCPAddr{IP: t.from}}
	return d.Dial("tcp", addr)
}

// DialAddressTimeout implements memberlist.NodeAwareTransport.
func (t *transport) DialAddressTimeout(a memberlist.Address, timeout time.Duration) (net.Conn, error) {
	return t.DialTimeout(a.Addr, timeout)
}
