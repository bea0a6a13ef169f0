package tombstone

import (
	"math"
	"slices"
	"testing"

	"rampspread/routing"
)

// endpoints returns replicas with the names of one letter each that are given.
func endpoints(ready, draining string) (list []Endpoint) {
	for _, n := range ready {
		list = append(list, Endpoint{string(n), routing.Ready})
	}
	for _, n := range draining {
		list = append(list, Endpoint{string(n), routing.Draining})
	}
	return list
}

// hashes returns the hashes of the names of one letter each that are given.
func hashes(names string) (list []uint64) {
	for _, n := range names {
		list = append(list, Hash(string(n)))
	}
	return list
}

// newTableWithList returns a table with a list of version 5 of the ready replicas that are given.
func newTableWithList(ready string) *Table {
	table := New(DefaultLimits)
	table.UpdateOwn(0, 5, true, endpoints(ready, ""))
	return table
}

// A list that is older than a peer's revives nothing that the peer's has ended; the own list decides once it is newer.
func TestStaleListRevivesNothingThatNewerPeerListEnded(t *testing.T) {
	newer, stale := newTableWithList("abcd"), New(DefaultLimits)
	newer.UpdateOwn(0, 6, false, []Endpoint{{"a", routing.Gone}})
	newer.UpdateOwn(0, 7, false, []Endpoint{{"b", routing.Draining}, {"e", routing.Ready}})
	stale.UpdatePeer(0, "n1", newer.Digest()) // before its first list
	stale.UpdateOwn(0, 5, true, endpoints("abcd", ""))
	if stale.State("a") != routing.Gone || stale.State("b") != routing.Draining || stale.State("c") != routing.Ready ||
		stale.Suppressed() != 2 {
		t.Errorf("%v, %v", stale.State("a"), stale.State("b"))
	}
	if stale.State("e") != routing.Gone {
		t.Error("it took a replica from a peer's list")
	}
	changed := stale.UpdateOwn(0, 6, false, []Endpoint{{"a", routing.Gone}})
	if len(changed) != 0 || stale.State("b") != routing.Draining {
		t.Errorf("%v", changed)
	}
	changed = stale.UpdateOwn(0, 8, false, []Endpoint{{"c", routing.Draining}})
	if !slices.Equal(changed, []string{"b", "c"}) || stale.State("b") != routing.Ready {
		t.Errorf("%v: at version 8 the own list decides", changed)
	}
}

// The own older list, after a newer one, is no different; it decides again after the TTL.
func TestOwnOlderListRevivesNothingUntilTTL(t *testing.T) {
	table := newTableWithList("abcd")
	table.UpdateOwn(0, 6, false, []Endpoint{{"a", routing.Gone}})
	table.UpdateOwn(0, 7, false, []Endpoint{{"b", routing.Draining}, {"e", routing.Ready}})
	table.UpdateOwn(0, 5, true, endpoints("abcd", ""))
	if table.State("a") != routing.Gone || table.State("c") != routing.Ready {
		t.Error("its own older list revived a replica")
	}
	if changed := table.Tick(DefaultLimits.PeerDigestTTL + 1); !slices.Equal(changed, []string{"a", "b"}) {
		t.Errorf("%v", changed)
	}
}

func TestPeerCannotReviveWhatAnotherPeerEnded(t *testing.T) {
	table := newTableWithList("abcd")
	table.UpdatePeer(0, "n1", Digest{Version: 6, Ready: hashes("bcd")})
	table.UpdatePeer(0, "wrong", Digest{Version: math.MaxUint64, Ready: hashes("abcd")})
	if table.State("a") != routing.Gone {
		t.Error("one peer's digest revived what another's list had ended")
	}
}

// Peers never suppress most of a list, whichever peers they are, and no longer than for the TTL.
func TestPeersSuppressBoundedFractionForBoundedTime(t *testing.T) {
	table := newTableWithList("abcdefghij")
	changed := table.UpdatePeer(0, "n1", Digest{Version: math.MaxUint64, Ready: hashes("a")})
	if len(changed) != 0 || table.Rejections() != 1 || table.Suppressed() != 0 {
		t.Errorf("%v suppressed by one peer", changed)
	}
	table.UpdatePeer(0, "n1", Digest{Version: math.MaxUint64, Draining: nil, Ready: hashes("abcdef")})
	if table.Suppressed() != 4 {
		t.Errorf("%d suppressed", table.Suppressed())
	}
	if changed := table.Tick(DefaultLimits.PeerDigestTTL + 1); len(changed) != 4 || table.Suppressed() != 0 {
		t.Errorf("%v", changed)
	}
	table.UpdatePeer(0, "n1", Digest{Version: 9, Ready: make([]uint64, MaxReplicas+1)})
	if table.Suppressed() != 0 {
		t.Error("a digest beyond the bound was accepted")
	}
}
