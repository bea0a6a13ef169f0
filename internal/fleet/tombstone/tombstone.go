// Package tombstone keeps what a fleet's members tell each other of the list that they act on, so that a member whose own is older sends
// nothing to a replica that theirs has ended. It does no I/O and has no clock.
//
// What a replica is, and where, a member takes from discovery alone; from others it takes only which of its replicas are gone or drain
// by a newer version. So others can hold a member back from a replica, and never make it send anywhere. A whole list's names are told,
// as hashes, and not what ended since some version: one that has just started knows the list and nothing of what was before.
package tombstone

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"rampspread/routing"
)

// Limits bound what is taken.
type Limits struct {
	// PeerReportTTL is for how long a teller's word holds after it came last. One that is there tells it anew for as long as this member is
	// behind, so it ends only with its teller, or with discovery's count, if that begins anew.
	PeerReportTTL time.Duration
	// MaxSuppressedFraction is the largest part of the own list that others' word may end. Beyond it none of it holds: the others go by another
	// list, or one of them lies, and most replicas are not given up for that.
	MaxSuppressedFraction float64
}

// DefaultLimits are the limits that members go by.
var DefaultLimits = Limits{PeerReportTTL: 60 * time.Second, MaxSuppressedFraction: 0.5}

// MaxReplicas bounds a Digest.
const MaxReplicas = 4096

// Digest is a list as it is told: hashes of the names of what is on it.
type Digest struct {
	Version         uint64
	Ready, Draining []uint64 // in order
}

// Hash is a replica's name in a Digest.
func Hash(name string) uint64 { return xxhash.Sum64String(name) }

// state is a replica's by the digest.
func (d *Digest) state(name uint64) routing.EndpointState {
	if _, ok := slices.BinarySearch(d.Ready, name); ok {
		return routing.Ready
	}
	if _, ok := slices.BinarySearch(d.Draining, name); ok {
		return routing.Draining
	}
	return routing.Gone
}

// Endpoint is a replica on a list.
type Endpoint struct {
	Name  string
	State routing.EndpointState
}

// Table is what one member knows of its own list and others'. It is not safe for use by several goroutines at once.
type Table struct {
	limits  Limits
	version uint64 // of the own list; 0: none yet
	held    map[string]routing.EndpointState
	told    map[string]heard // by teller, the last
	over    bool             // the others' word would end too much
	refused int
}

type heard struct {
	Digest
	at time.Duration
}

// New returns a table that knows no list yet.
func New(limits Limits) *Table {
	return &Table{limits: limits, held: map[string]routing.EndpointState{}, told: map[string]heard{}}
}

// Version is that of the own list.
func (t *Table) Version() uint64 { return t.version }

// Rejected is how many times others' word began to end too much, and was passed over.
func (t *Table) Rejected() int { return t.refused }

// Suppressed is how many replicas others' word holds back now.
func (t *Table) Suppressed() (n int) {
	for name, state := range t.held {
		if t.State(name) != state {
			n++
		}
	}
	return n
}

// State is what a replica is to be taken as.
func (t *Table) State(name string) routing.EndpointState {
	if t.over {
		return t.held[name]
	}
	return t.worst(name)
}

// worst is a replica's state by the own list and all newer ones that were told. One teller's newer word does not undo another's, so
// none can bring back what others have ended; each tells its newest again and again.
func (t *Table) worst(name string) routing.EndpointState {
	state, hash := t.held[name], Hash(name)
	for _, d := range t.told {
		if d.Version > t.version && state != routing.Gone {
			if s := d.state(hash); s != routing.Ready {
				state = s
			}
		}
	}
	return state
}

// UpdateOwn notes a list from discovery, whole or changes to it, and returns the names that are to be taken otherwise from now on.
// Whether an older version than the last is an old list or a new count cannot be told: it is taken, and what the list before it
// had ended stays ended for a while, as if another had told it.
func (t *Table) UpdateOwn(now time.Duration, version uint64, full bool, entries []Endpoint) (changed []string) {
	return t.change(func() {
		if version < t.version {
			t.told[""] = heard{t.Digest(), now}
		}
		if full {
			t.held = make(map[string]routing.EndpointState, len(entries))
		}
		for _, e := range entries {
			if t.held[e.Name] = e.State; e.State == routing.Gone {
				delete(t.held, e.Name)
			}
		}
		t.version = version
	})
}

// UpdatePeer notes the list that another member acts on, and returns the names that are to be taken otherwise from now on.
func (t *Table) UpdatePeer(now time.Duration, teller string, d Digest) (changed []string) {
	if d.Version <= t.version || len(d.Ready)+len(d.Draining) > MaxReplicas {
		return nil
	}
	return t.change(func() {
		d = Digest{d.Version, slices.Sorted(slices.Values(d.Ready)), slices.Sorted(slices.Values(d.Draining))}
		t.told[teller] = heard{d, now}
	})
}

// Tick lets go of what has held for long enough, and returns the names that are to be taken otherwise from now on.
func (t *Table) Tick(now time.Duration) (changed []string) {
	return t.change(func() {
		for name, d := range t.told {
			if now-d.at > t.limits.PeerReportTTL || d.Version <= t.version {
				delete(t.told, name)
			}
		}
	})
}

// Digest is what to tell others of the own list.
func (t *Table) Digest() Digest {
	d := Digest{Version: t.version}
	for name, state := range t.held {
		if state == routing.Ready {
			d.Ready = append(d.Ready, Hash(name))
		} else {
			d.Draining = append(d.Draining, Hash(name))
		}
	}
	slices.Sort(d.Ready)
	slices.Sort(d.Draining)
	return d
}

// change does something and returns whom it changed, in order.
func (t *Table) change(do func()) (changed []string) {
	before := make(map[string]routing.EndpointState, len(t.held))
	for name := range t.held {
		before[name] = t.State(name)
	}
	do()
	ends := 0
	for name, state := range t.held {
		if state == routing.Ready && t.worst(name) != routing.Ready {
			ends++
		}
	}
	over := float64(ends) > t.limits.MaxSuppressedFraction*float64(len(t.held))
	if over && !t.over {
		t.refused++
	}
	t.over = over
	for name := range t.held {
		if was, ok := before[name]; ok && was != t.State(name) {
			changed = append(changed, name)
		}
	}
	slices.Sort(changed)
	return changed
}
