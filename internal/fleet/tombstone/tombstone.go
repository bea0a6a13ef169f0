// Package tombstone keeps a member whose endpoint list is stale from sending to replicas that the newer lists of other
// members have ended.
//
// The algorithm is that of tombstones in replicated stores (Demers et al., "Epidemic algorithms for replicated database
// maintenance", PODC 1987: death certificates): the knowledge that an entry was deleted overrides older copies of it
// for a bounded time (Limits.PeerReportTTL). Here a peer sends a digest of its whole list, the hashes of the names on
// it, rather than what was deleted since some version: a process that has just started knows the list and nothing of
// what was before. A name that is missing from a newer digest is a tombstone.
//
// A member takes what a replica is, and its address, from discovery alone; from peers it takes only which of its
// replicas are gone or draining by a newer version. So peers can keep a member from a replica, and never make it send
// anywhere.
//
// The package does no I/O and has no clock. A Table is not safe for concurrent use.
package tombstone

import (
	"slices"
	"time"

	"rampspread/routing"
)

// ownPast is the peer name under which a Table remembers its own list from before its version went back.
const ownPast = ""

// Limits bound what is taken from peers.
type Limits struct {
	// PeerDigestTTL is for how long a peer's digest holds after it was last received. A peer that runs sends it again
	// for as long as this member is behind, so it ends only with its peer, or with discovery's version count, if that
	// starts over.
	PeerDigestTTL time.Duration
	// MaxSuppressedFraction is the largest fraction of the own list that peers may suppress. Beyond it their digests
	// are all ignored: they act on another list, or one of them is wrong, and most replicas aren't given up for that.
	MaxSuppressedFraction float64
}

// DefaultLimits are the limits that members use.
var DefaultLimits = Limits{PeerDigestTTL: 60 * time.Second, MaxSuppressedFraction: 0.5}

// Endpoint is a replica on a list.
type Endpoint struct {
	Name  string
	State routing.EndpointState
}

// Table is what one member knows of its own list and of its peers' lists. It is not safe for concurrent use.
type Table struct {
	limits      Limits
	version     uint64 // of the own list; 0: none yet
	own         map[string]routing.EndpointState
	peers       map[string]peerReport // the last of each peer
	ignorePeers bool                  // the peers' digests would suppress too much
	rejected    int
}

// peerReport is a peer's digest and when it was received.
type peerReport struct {
	Digest
	at time.Duration
}

// New returns a table that knows no list yet.
func New(limits Limits) *Table {
	return &Table{limits: limits, own: map[string]routing.EndpointState{}, peers: map[string]peerReport{}}
}

// Version is that of the own list; 0 means that there is none yet.
func (t *Table) Version() uint64 { return t.version }

// Rejections counts how many times the peers' digests began to suppress too much and were ignored.
func (t *Table) Rejections() int { return t.rejected }

// Suppressed is the number of replicas that peers suppress now.
func (t *Table) Suppressed() (n int) {
	for name, state := range t.own {
		if t.State(name) != state {
			n++
		}
	}
	return n
}

// State is the state that this member is to act on for a replica.
func (t *Table) State(name string) routing.EndpointState {
	if t.ignorePeers {
		return t.own[name]
	}
	return t.worstState(name)
}

// worstState is a replica's state by the own list and all newer digests. One peer's newer digest does not undo
// another's, so none can revive what others have ended; each sends its newest again and again.
func (t *Table) worstState(name string) routing.EndpointState {
	state, hash := t.own[name], Hash(name)
	for _, report := range t.peers {
		if report.Version > t.version && state != routing.Gone {
			if s := report.state(hash); s != routing.Ready {
				state = s
			}
		}
	}
	return state
}

// UpdateOwn takes a list from discovery, or with full unset the changes to the last one, and returns the names whose
// State has changed, in order. An older version than the last may be an old list or a version count that has started
// over, and these can't be told apart: it is taken, and what the list before it had ended stays ended for PeerReportTTL,
// as if a peer had sent that list.
//
//revive:disable-next-line:flag-parameter full comes with discovery's event and is passed on by endpointfilter
func (t *Table) UpdateOwn(now time.Duration, version uint64, full bool, entries []Endpoint) (changed []string) {
	return t.update(func() {
		if version < t.version {
			t.peers[ownPast] = peerReport{t.Digest(), now}
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

// UpdatePeer takes the digest of the list that a peer acts on, and returns the names whose State has changed, in order.
// A digest that is no newer than the own list, or beyond MaxReplicas, is ignored.
func (t *Table) UpdatePeer(now time.Duration, peer string, d Digest) (changed []string) {
	if d.Version <= t.version || len(d.Ready)+len(d.Draining) > MaxReplicas {
		return nil
	}
	return t.update(func() {
		sorted := Digest{d.Version, slices.Sorted(slices.Values(d.Ready)), slices.Sorted(slices.Values(d.Draining))}
		t.peers[peer] = peerReport{sorted, now}
	})
}

// Tick drops digests that have ended or are no longer newer than the own list, and returns the names whose State has
// changed, in order.
func (t *Table) Tick(now time.Duration) (changed []string) {
	return t.update(func() {
		for peer, report := range t.peers {
			if now-report.at > t.limits.PeerDigestTTL || report.Version <= t.version {
				delete(t.peers, peer)
			}
		}
	})
}

// update applies a change, decides anew whether the peers' digests are ignored, and returns the names whose State has
// changed, in order.
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

// suppressible is the number of ready replicas on the own list that the peers' digests would suppress.
func (t *Table) suppressible() (n int) {
	for name, state := range t.own {
		if state == routing.Ready && t.worstState(name) != routing.Ready {
			n++
		}
	}
	return n
}
