// Package tombstone stops a member whose endpoint list is stale from sending to replicas that newer lists of other
// members have removed or set to draining.
//
// The algorithm uses tombstones as replicated stores do ("death certificates" in Demers et al., "Epidemic algorithms
// for replicated database maintenance", PODC 1987): the record that an entry was deleted overrides older copies of the
// entry for a bounded time (Limits.PeerDigestTTL). Here a peer sends a digest of its whole list, the hashes of the
// names on it, rather than the entries deleted since some version, because a process that has just started has the
// current list but not its history. A name that is missing from a newer digest is a tombstone.
//
// A member takes the properties and the address of a replica from discovery alone. From peers it takes only which of
// its replicas are gone or draining in a newer version. So peers can stop a member from using a replica, but cannot
// make it use another one.
//
// The package does no I/O and reads no clock. A Table is not safe for concurrent use.
package tombstone

import (
	"slices"
	"time"

	"rampspread/routing"
)

// ownPreviousList is the peer name under which a Table stores the digest of its own list from before the list's version
// went back.
const ownPreviousList = ""

// Limits bounds the effect of peers' digests.
type Limits struct {
	// PeerDigestTTL is the time for which a peer's digest is valid after it was last received. A running peer repeats
	// its digest as long as this member's list is older, so a digest expires only after its peer has stopped, or after
	// discovery's version count has started over.
	PeerDigestTTL time.Duration
	// MaxSuppressedFraction is the largest fraction of the own list that peers may suppress. If their digests would
	// suppress more, all digests are ignored: either the peers use another list or one digest is wrong, and neither
	// justifies giving up most replicas.
	MaxSuppressedFraction float64
}

// DefaultLimits are the limits that members use.
var DefaultLimits = Limits{PeerDigestTTL: 60 * time.Second, MaxSuppressedFraction: 0.5}

// Endpoint is a replica on an endpoint list.
type Endpoint struct {
	Name  string
	State routing.EndpointState
}

// Table holds a member's own endpoint list and the digests of its peers' lists. It is not safe for concurrent use.
type Table struct {
	limits      Limits
	version     uint64 // version of the own list, or 0 before the first list
	own         map[string]routing.EndpointState
	peers       map[string]peerDigest // latest digest of each peer
	ignorePeers bool                  // whether the peers' digests would suppress more than MaxSuppressedFraction
	rejected    int                   // number of times that ignorePeers became true
}

// peerDigest is a digest from a peer with the time at which it was received.
type peerDigest struct {
	Digest
	receivedAt time.Duration
}

// New returns a table without a list.
func New(limits Limits) *Table {
	return &Table{limits: limits, own: map[string]routing.EndpointState{}, peers: map[string]peerDigest{}}
}

// Version returns the version of the own list, or 0 before the first list.
func (t *Table) Version() uint64 { return t.version }

// Rejections returns how many times the peers' digests began to suppress too many replicas and were therefore ignored.
func (t *Table) Rejections() int { return t.rejected }

// Suppressed returns the number of replicas that peers suppress now.
func (t *Table) Suppressed() (n int) {
	for name, state := range t.own {
		if t.State(name) != state {
			n++
		}
	}
	return n
}

// State returns the state of a replica that this member is to act on.
func (t *Table) State(name string) routing.EndpointState {
	if t.ignorePeers {
		return t.own[name]
	}
	return t.worstState(name)
}

// worstState returns a replica's state by the own list and all newer digests. A digest that lists a replica as ready
// does not override another peer's digest that does not, whichever is newer, so no peer can revive a replica that
// another peer has removed. Each peer sends its latest digest repeatedly, which replaces its earlier one.
func (t *Table) worstState(name string) routing.EndpointState {
	state, hash := t.own[name], Hash(name)
	for _, received := range t.peers {
		if received.Version > t.version && state != routing.Gone {
			if s := received.state(hash); s != routing.Ready {
				state = s
			}
		}
	}
	return state
}

// UpdateOwn applies a list from discovery, or the changes to the last list if full is false, and returns the names
// whose State has changed, sorted. A lower version than the last one means either an old list or a version count that
// has started over, and the two cannot be told apart. Such a list is accepted, and what the list before it had removed
// or set to draining stays so for PeerDigestTTL, as if a peer had sent that list.
//
//revive:disable-next-line:flag-parameter full comes with discovery's event and is passed on by endpointfilter
func (t *Table) UpdateOwn(now time.Duration, version uint64, full bool, entries []Endpoint) (changed []string) {
	return t.update(func() {
		if version < t.version {
			t.peers[ownPreviousList] = peerDigest{t.Digest(), now}
		}
		if full {
			t.own = make(map[string]routing.EndpointState, len(entries))
		}
		for _, e := range entries {
			t.own[e.Name] = e.State
			if e.State == routing.Gone {
				delete(t.own, e.Name)
			}
		}
		t.version = version
	})
}

// UpdatePeer applies the digest of the list that a peer acts on, and returns the names whose State has changed, sorted.
// A digest that is not newer than the own list, or that has more than MaxReplicas replicas, is ignored.
func (t *Table) UpdatePeer(now time.Duration, peer string, d Digest) (changed []string) {
	if d.Version <= t.version || len(d.Ready)+len(d.Draining) > MaxReplicas {
		return nil
	}
	return t.update(func() {
		sorted := Digest{d.Version, slices.Sorted(slices.Values(d.Ready)), slices.Sorted(slices.Values(d.Draining))}
		t.peers[peer] = peerDigest{sorted, now}
	})
}

// Tick drops digests that have expired or are no longer newer than the own list, and returns the names whose State has
// changed, sorted.
func (t *Table) Tick(now time.Duration) (changed []string) {
	return t.update(func() {
		for peer, received := range t.peers {
			if now-received.receivedAt > t.limits.PeerDigestTTL || received.Version <= t.version {
				delete(t.peers, peer)
			}
		}
	})
}

// update applies a change, decides again whether the peers' digests are ignored, and returns the names whose State has
// changed, sorted.
func (t *Table) update(apply func()) (changed []string) {
	before := make(map[string]routing.EndpointState, len(t.own))
	for name := range t.own {
		before[name] = t.State(name)
	}
	apply()
	tooMany := float64(t.suppressible()) > t.limits.MaxSuppressedFraction*float64(len(t.own))
	if tooMany && !t.ignorePeers {
		t.rejected++
	}
	t.ignorePeers = tooMany
	for name := range t.own {
		if was, ok := before[name]; ok && was != t.State(name) {
			changed = append(changed, name)
		}
	}
	slices.Sort(changed)
	return changed
}

// suppressible returns the number of ready replicas on the own list that the peers' digests would suppress.
func (t *Table) suppressible() (n int) {
	for name, state := range t.own {
		if state == routing.Ready && t.worstState(name) != routing.Ready {
			n++
		}
	}
	return n
}
