package fleet

import (
	"sync"
	"time"

	"rampspread/internal/fleet/lease"
	"rampspread/internal/fleet/membership"
	"rampspread/internal/fleet/tombstone"
)

const (
	// digestInterval is how often each sender sends its digest to a member whose endpoint list is older.
	digestInterval = 200 * time.Millisecond
	// digestSenders is how many send their digest to one member: two, so that one that is slow or stopped delays
	// nothing.
	digestSenders = 2
	// maxDatagramBytes is what a datagram holds unfragmented; a larger message goes over TCP.
	maxDatagramBytes = 1200
)

// EndpointFilter suppresses endpoints that others' newer lists have removed, and gives the digest of this process's
// own list. Its methods must not block.
type EndpointFilter interface {
	// Version is the version of this process's list.
	Version() uint64
	// Digest is the digest of this process's list.
	Digest() tombstone.Digest
	// UpdatePeer takes the digest of another member's list.
	UpdatePeer(from string, d tombstone.Digest)
	// Tick drops digests that have expired.
	Tick()
}

// endpointSync is the component that sends the digest of this member's endpoint list to members whose list is older.
type endpointSync struct {
	node     *Node
	filter   EndpointFilter
	nextSend time.Duration // used by tick's goroutine alone

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

// tick implements component: it sends the digest to members whose list is older, if it is time.
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

// stop implements component; nothing is held.
func (e *endpointSync) stop() {}

// isSender tells whether this member is one of the digestSenders for another. All that have a newer list than the
// receiver are ranked by rendezvous hashing, so that they agree without a message.
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

// send sends a digest. While a transmission over TCP to the member is under way, further ones are skipped.
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
