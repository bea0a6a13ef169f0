package tombstone

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"rampspread/routing"
)

// MaxReplicas bounds a Digest.
const MaxReplicas = 4096

// Digest is a list as it is sent to peers: the hashes of the names on it.
type Digest struct {
	Version         uint64
	Ready, Draining []uint64 // sorted
}

// Hash is a replica's name in a Digest.
func Hash(name string) uint64 { return xxhash.Sum64String(name) }

// state is a replica's state by the digest.
func (d *Digest) state(name uint64) routing.EndpointState {
	if _, ok := slices.BinarySearch(d.Ready, name); ok {
		return routing.Ready
	}
	if _, ok := slices.BinarySearch(d.Draining, name); ok {
		return routing.Draining
	}
	return routing.Gone
}

// Digest is the own list as it is to be sent to peers.
func (t *Table) Digest() Digest {
	d := Digest{Version: t.version}
	for name, state := range t.own {
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
