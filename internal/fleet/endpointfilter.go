package fleet

import (
	"sync"
	"time"

	"rampspread/internal/fleet/lease"
	"rampspread/internal/fleet/membership"
	"rampspread/internal/fleet/tombstone"
)

const (
	// digestInterval is the interval at which each sender sends its digest to a member whose endpoint list is older.
	digestInterval = 200 * time.Millisecond
	// digestSenders is the number of members that send their digest to the same member. With two, a sender that is slow
	// or stopped causes no delay.
	digestSenders = 2
	// maxDatagramBytes is the size up to which a datagram is not fragmented. Larger messages are sent over TCP.
	maxDatagramBytes = 1200
)

// EndpointFilter suppresses endpoints that newer lists of other members have removed or set to draining, and provides
// the digest of this process's own list. Its methods must not block.
type EndpointFilter interface {
	// Version returns the version of this process's list.
	Version() uint64
	// Digest returns the digest of this process's list.
	Digest() tombstone.Digest
	// UpdatePeer applies the digest of another member's list.
	UpdatePeer(from string, d tombstone.Digest)
	// Tick drops digests that have expired.
	Tick()
}

// endpointSync is the component that sends the digest of this member's endpoint list to members whose list is older.
type endpointSync struct {
	node     *Node
	filter   EndpointFilter
	nextSend time.Duration // used only by tick's goroutine

	mu      sync.Mutex
	sending map[string]bool // members to which a digest is being sent over TCP
}

func newEndpointSync(n *Node, filter EndpointFilter) *endpointSync {
	return &endpointSync{node: n, filter: filter, sending: map[string]bool{}}
}

// handlers implements component.
func (e *endpointSync) handlers() map[byte]messageHandler {
	return map[byte]messageHandler{
		kindEndpointDigest: func(m peerMessage) {
			e.filter.UpdatePeer(m.from, tombstone.Digest{Version: m.seq, Ready: m.ready, Draining: m.draining})
		},
	}
}

// tick implements component. Every digestInterval it drops expired digests and sends this member's digest to members
// whose list is older.
func (e *endpointSync) tick(now time.Duration) {
	if now < e.nextSend {
		return
	}
	e.nextSend = now + digestInterval
	e.filter.Tick()
	version := e.filter.Version()
	var message []byte
	members := e.node.View().ActiveMembers()
	for _, m := range members {
		if m.Name == e.node.self.Name || m.ListVersion >= version || !e.isSender(m, members) {
			continue
		}
		if message == nil {
			message = encodeEndpointDigest(e.node.self.Name, e.filter.Digest())
		}
		e.send(m.Name, message)
	}
}

// stop implements component. There is nothing to release.
func (e *endpointSync) stop() {}

// isSender reports whether this member is one of the digestSenders for the receiver. All members whose list is newer
// than the receiver's are ranked by rendezvous hashing, so that they agree on the senders without messages.
func (e *endpointSync) isSender(receiver membership.Member, members []membership.Member) bool {
	self := e.node.self.Name
	key := lease.TaskOf(receiver.Name)
	rank := 0
	for _, m := range members {
		if m.ListVersion > receiver.ListVersion && m.Name != self && lease.Score(key, m.Name) > lease.Score(key, self) {
			rank++
		}
	}
	return rank < digestSenders
}

// send sends a digest to a member. While a transmission to the member over TCP is in progress, further digests that are
// too large for a datagram are skipped.
func (e *endpointSync) send(name string, message []byte) {
	if len(message) <= maxDatagramBytes {
		e.node.send(name, message)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.sending[name] {
		return
	}
	e.sending[name] = true
	go func() {
		e.node.sendReliable(name, message)
		e.mu.Lock()
		defer e.mu.Unlock()
		delete(e.sending, name)
	}()
}
