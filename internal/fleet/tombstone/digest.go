package tombstone

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"rampspread/routing"
)

// MaxReplicas is the maximum number of replicas in a Digest.
const MaxReplicas = 4096

// Digest is the form in which an endpoint list is sent to peers: its version and the hashes of the replicas' names.
type Digest struct {
	Version         uint64
	Ready, Draining []uint64 // sorted hashes of the replicas in that state
}

// Hash returns the hash that stands for a replica's name in a Digest.
func Hash(name string) uint64 { return xxhash.Sum64String(name) }

// state returns the state of a replica according to the digest: a replica that is missing from it is gone.
func (d *Digest) state(hash uint64) routing.EndpointState {
	if _, ok := slices.BinarySearch(d.Ready, hash); ok {
		return routing.Ready
	}
	if _, ok := slices.BinarySearch(d.Draining, hash); ok {
		return routing.Draining
	}
	return routing.Gone
}

// Digest returns the digest of the own list, to be sent to peers.
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
