package tombstone

import (
	"math"
	"slices"
	"testing"

	"rampspread/routing"
)

// endpoints returns one replica for each letter of ready and draining, named by that letter.
func endpoints(ready, draining string) (list []Endpoint) {
	for _, n := range ready {
		list = append(list, Endpoint{string(n), routing.Ready})
	}
	for _, n := range draining {
		list = append(list, Endpoint{string(n), routing.Draining})
	}
	return list
}

// hashes returns the hash of each letter of names.
func hashes(names string) (list []uint64) {
	for _, n := range names {
		list = append(list, Hash(string(n)))
	}
	return list
}

// newTableWithList returns a table whose own list has version 5 and one ready replica for each letter.
func newTableWithList(ready string) *Table {
	table := New(DefaultLimits)
	table.UpdateOwn(0, 5, true, endpoints(ready, ""))
	return table
}

// An own list that is older than a peer's must not revive replicas that the peer's list has removed or set to draining.
// Once the own list is newer, it decides again.
func TestStaleListRevivesNothingThatNewerPeerListEnded(t *testing.T) {
	newer, stale := newTableWithList("abcd"), New(DefaultLimits)
	newer.UpdateOwn(0, 6, false, []Endpoint{{"a", routing.Gone}})
	newer.UpdateOwn(0, 7, false, []Endpoint{{"b", routing.Draining}, {"e", routing.Ready}})
	stale.UpdatePeer(0, "n1", newer.Digest()) // received before the first own list
	stale.UpdateOwn(0, 5, true, endpoints("abcd", ""))
	if stale.State("a") != routing.Gone || stale.State("b") != routing.Draining || stale.State("c") != routing.Ready ||
		stale.Suppressed() != 2 {
		t.Errorf("a is %v, b is %v, want gone and draining", stale.State("a"), stale.State("b"))
	}
	if stale.State("e") != routing.Gone {
		t.Error("a replica was added from a peer's list")
	}
	changed := stale.UpdateOwn(0, 6, false, []Endpoint{{"a", routing.Gone}})
	if len(changed) != 0 || stale.State("b") != routing.Draining {
		t.Errorf("changed %v, want nothing: version 6 is still older than the peer's list", changed)
	}
	changed = stale.UpdateOwn(0, 8, false, []Endpoint{{"c", routing.Draining}})
	if !slices.Equal(changed, []string{"b", "c"}) || stale.State("b") != routing.Ready {
		t.Errorf("changed %v, want b and c: at version 8 the own list decides", changed)
	}
}

// If discovery sends an older list after a newer one, replicas that the newer list had removed or set to draining stay
// so until the TTL has passed.
func TestOwnOlderListRevivesNothingUntilTTL(t *testing.T) {
	table := newTableWithList("abcd")
	table.UpdateOwn(0, 6, false, []Endpoint{{"a", routing.Gone}})
	table.UpdateOwn(0, 7, false, []Endpoint{{"b", routing.Draining}, {"e", routing.Ready}})
	table.UpdateOwn(0, 5, true, endpoints("abcd", ""))
	if table.State("a") != routing.Gone || table.State("c") != routing.Ready {
		t.Error("the own older list revived a replica")
	}
	if changed := table.Tick(DefaultLimits.PeerDigestTTL + 1); !slices.Equal(changed, []string{"a", "b"}) {
		t.Errorf("changed %v after the TTL, want a and b", changed)
	}
}

func TestPeerCannotReviveWhatAnotherPeerEnded(t *testing.T) {
	table := newTableWithList("abcd")
	table.UpdatePeer(0, "n1", Digest{Version: 6, Ready: hashes("bcd")})
	table.UpdatePeer(0, "wrong", Digest{Version: math.MaxUint64, Ready: hashes("abcd")})
	if table.State("a") != routing.Gone {
		t.Error("one peer's digest revived a replica that another peer's digest had removed")
	}
}

// Peers suppress at most MaxSuppressedFraction of a list, and for at most the TTL. A digest that would suppress more or
// has more than MaxReplicas replicas has no effect.
func TestPeersSuppressBoundedFractionForBoundedTime(t *testing.T) {
	table := newTableWithList("abcdefghij")
	changed := table.UpdatePeer(0, "n1", Digest{Version: math.MaxUint64, Ready: hashes("a")})
	if len(changed) != 0 || table.Rejections() != 1 || table.Suppressed() != 0 {
		t.Errorf("one peer suppressed %v", changed)
	}
	table.UpdatePeer(0, "n1", Digest{Version: math.MaxUint64, Draining: nil, Ready: hashes("abcdef")})
	if table.Suppressed() != 4 {
		t.Errorf("%d replicas suppressed, want 4", table.Suppressed())
	}
	if changed := table.Tick(DefaultLimits.PeerDigestTTL + 1); len(changed) != 4 || table.Suppressed() != 0 {
		t.Errorf("changed %v after the TTL, want four replicas", changed)
	}
	table.UpdatePeer(0, "n1", Digest{Version: 9, Ready: make([]uint64, MaxReplicas+1)})
	if table.Suppressed() != 0 {
		t.Error("a digest beyond the bound was accepted")
	}
}
