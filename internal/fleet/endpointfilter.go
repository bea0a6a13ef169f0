package fleet

import (
	"sync"
	"time"

	"rampspread/internal/fleet/lease"
	"rampspread/internal/fleet/tombstone"
)

// EndpointFilter holds this process back from what others' newer lists have ended, and tells them of its own.
type EndpointFilter interface {
	Version() uint64
	Digest() tombstone.Digest
	UpdatePeer(from string, d tombstone.Digest)
	Tick()
}

const (
	// tellListEvery is how often a member that is behind is told, by each of tellers.
	tellListEvery = 200 * time.Millisecond
	// tellers is how many tell one member: two, so that one that is slow or stopped holds nothing up.
	tellers = 2
	// datagramMost is what a datagram carries whole; a larger message goes by a call.
	datagramMost = 1200
)

// endpointSync tells members whose list is older what this one's has.
type endpointSync struct {
	node   *Node
	filter EndpointFilter
	next   time.Duration

	mu    sync.Mutex
	calls map[string]bool // under way
}

// step tells those that are behind, if it is time.
func (e *endpointSync) step(now time.Duration) {
	if now < e.next {
		return
	}
	e.next = now + tellListEvery
	e.filter.Tick()
	own := e.filter.Version()
	var message []byte
	members := e.node.View().ActiveMembers()
	for _, m := range members {
		if m.Name == e.node.self.Name || m.ListVersion >= own {
			continue
		}
		// Those that have a newer list rank themselves for it; by rendezvous, so that all agree.
		to, before := lease.TaskOf(m.Name), 0
		for _, o := range members {
			if o.ListVersion > m.ListVersion && o.Name != e.node.self.Name && lease.Score(to, o.Name) > lease.Score(to, e.node.self.Name) {
				before++
			}
		}
		if before >= tellers {
			continue
		}
		if message == nil {
			message = encodeEndpointDigest(e.node.self.Name, e.filter.Digest())
		}
		e.tell(m.Name, message)
	}
}

// tell sends a list; a call that is under way stands for the next ones too.
func (e *endpointSync) tell(name string, message []byte) {
	if len(message) <= datagramMost {
		e.node.send(name, message)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.calls[name] {
		return
	}
	e.calls[name] = true
	go func() {
		e.node.call(name, message)
		e.mu.Lock()
		defer e.mu.Unlock()
		delete(e.calls, name)
	}()
}
