package fleet

import (
	"log/slog"
	"net/netip"

	"github.com/hashicorp/memberlist"
)

// receive handles a message from another member, whose first byte is its kind. Heartbeats are handled at any time, the
// other kinds only after the node has joined.
func (n *Node) receive(message []byte) {
	if len(message) == 0 {
		n.malformed.Add(1)
		return
	}
	kind, payload := message[0], message[1:]
	switch {
	case kind == kindHeartbeat:
		n.receiveHeartbeat(payload)
	case !n.joined.Load(): // the node cannot send responses yet
	case kind == kindIdempotency:
		if n.self.HandleIdempotency != nil {
			n.self.HandleIdempotency(payload)
		}
	default:
		n.dispatch(kind, payload)
	}
}

// dispatch decodes a message and calls the handler of its kind. A message without a handler is ignored, but still
// counts as malformed if it cannot be decoded or its sender is not configured.
func (n *Node) dispatch(kind byte, payload []byte) {
	m, err := decodeMessage(payload, n.now())
	if err != nil {
		n.malformed.Add(1)
		return
	}
	if requiresSender(kind) && !n.isOtherMember(m.from) {
		n.malformed.Add(1)
		return
	}
	if handle := n.handlers[kind]; handle != nil {
		handle(m)
	}
}

// requiresSender reports whether a message of the kind must name a configured member other than this one as its sender.
// Lease replies and quota grants are checked against the request that they answer instead, and task results against
// their fencing tokens.
func requiresSender(kind byte) bool {
	switch kind {
	case kindLeaseRequest, kindQuotaClaim, kindBootstrapRequest, kindLearnedState, kindEndpointDigest:
		return true
	}
	return false
}

func (n *Node) isOtherMember(name string) bool {
	return name != n.self.Name && n.cfg.address(name) != ""
}

// send sends a message to a member in one datagram, which may get lost. It uses the configured address, since
// memberlist changes the nodes that it returns while they are read.
func (n *Node) send(name string, message []byte) {
	if address := n.cfg.address(name); address != "" {
		n.gossip.SendToAddress(memberlist.Address{Addr: address, Name: name}, message)
	}
}

// sendReliable sends a message that is too large for a datagram over TCP. It waits for a connection, at most for
// TCPTimeout. The message may still get lost.
func (n *Node) sendReliable(name string, message []byte) {
	address, err := netip.ParseAddrPort(n.cfg.address(name))
	if err != nil {
		return // the name is not configured
	}
	to := &memberlist.Node{Name: name, Addr: address.Addr().AsSlice(), Port: address.Port()}
	if err := n.gossip.SendReliable(to, message); err != nil {
		slog.Debug("fleet_send_failed", "to", name, "err", err)
	}
}

// SendIdempotency sends a message of package idempotencyquorum to a member without blocking. A large message is sent
// over TCP, any other in a datagram; either may get lost. The signature is given by idempotencyquorum.Config.Send.
func (n *Node) SendIdempotency(name string, message []byte, large bool) { //revive:disable-line:flag-parameter fixed
	if !n.joined.Load() {
		return
	}
	message = append([]byte{kindIdempotency}, message...)
	if !large {
		n.send(name, message)
		return
	}
	go n.sendReliable(name, message)
}
