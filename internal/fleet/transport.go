package fleet

import (
	"fmt"
	"log"
	"net"
	"net/netip"
	"time"

	"github.com/hashicorp/memberlist"
)

// transport is memberlist's NetTransport, except that outgoing connections also come from the member's address, so that
// other members, a firewall and the test bench can identify the member by the source address.
type transport struct {
	*memberlist.NetTransport
	source net.IP
}

func newTransport(listen string, logger *log.Logger) (*transport, error) {
	address, err := netip.ParseAddrPort(listen)
	if err != nil {
		return nil, fmt.Errorf("fleet: listen: %w", err)
	}
	inner, err := memberlist.NewNetTransport(&memberlist.NetTransportConfig{BindAddrs: []string{address.Addr().String()},
		BindPort: int(address.Port()), Logger: logger})
	if err != nil {
		return nil, fmt.Errorf("fleet: listen %s: %w", listen, err)
	}
	return &transport{inner, address.Addr().AsSlice()}, nil
}

// DialTimeout implements memberlist.Transport.
func (t *transport) DialTimeout(address string, timeout time.Duration) (net.Conn, error) {
	dialer := net.Dialer{Timeout: timeout, LocalAddr: &net.TCPAddr{IP: t.source}}
	return dialer.Dial("tcp", address)
}

// DialAddressTimeout implements memberlist.NodeAwareTransport.
func (t *transport) DialAddressTimeout(address memberlist.Address, timeout time.Duration) (net.Conn, error) {
	return t.DialTimeout(address.Addr, timeout)
}
