package endpointfilter

import (
	"slices"
	"testing"
	"time"

	"rampspread/internal/dispatch"
	"rampspread/internal/fleet/tombstone"
	"rampspread/routing"
)

// testBench holds a filter and the list that results from its published updates.
type testBench struct {
	filter    *Filter
	version   uint64 // version of the own list
	now       time.Time
	published map[string]dispatch.Endpoint
}

func newTestBench() *testBench {
	b := &testBench{version: 4, now: time.Unix(1000, 0), published: map[string]dispatch.Endpoint{}}
	b.filter = New(func(full bool, entries []dispatch.Endpoint) {
		if full {
			clear(b.published)
		}
		for _, e := range entries {
			if b.published[e.Name] = e; e.State == routing.Gone {
				delete(b.published, e.Name)
			}
		}
	}, func() uint64 { return b.version }, func() time.Time { return b.now })
	return b
}

// wantReady checks which endpoints are published as ready with the address from the own list.
func (b *testBench) wantReady(t *testing.T, when string, names ...string) {
	t.Helper()
	var got []string
	for name, e := range b.published {
		if e.State == routing.Ready && e.Addr == addressOf(name) {
			got = append(got, name)
		}
	}
	slices.Sort(got)
	if !slices.Equal(got, names) {
		t.Errorf("%s: %v are published as ready", when, got)
	}
}

func addressOf(name string) string { return "at-" + name }

func readyEndpoints(names ...string) (out []dispatch.Endpoint) {
	for _, n := range names {
		out = append(out, dispatch.Endpoint{Name: n, Addr: addressOf(n), State: routing.Ready})
	}
	return out
}

func hashes(names ...string) (out []uint64) {
	for _, n := range names {
		out = append(out, tombstone.Hash(n))
	}
	return out
}

func TestPublishedIsTheOwnListWithoutWhatNewerPeerListsEnded(t *testing.T) {
	b := newTestBench()
	f := b.filter
	f.UpdateOwn(true, readyEndpoints("a", "b", "c", "d"))
	b.wantReady(t, "the own list", "a", "b", "c", "d")
	f.UpdatePeer("n1", tombstone.Digest{Version: 6, Ready: hashes("a", "c", "e"), Draining: hashes("b")})
	b.wantReady(t, "a newer peer list", "a", "c")
	if b.published["b"].State != routing.Draining {
		t.Errorf("b is not published as draining: %+v", b.published)
	}
	f.UpdateOwn(true, readyEndpoints("a", "b", "c", "d"))
	b.wantReady(t, "the same own list again", "a", "c")
	b.version = 5
	f.UpdateOwn(false, readyEndpoints("e"))
	b.wantReady(t, "a change that is older than the peer list", "a", "c", "e")
	b.version = 7
	f.UpdateOwn(false, readyEndpoints("b"))
	b.wantReady(t, "a change that is newer than the peer list", "a", "b", "c", "d", "e")
	f.UpdatePeer("n1", tombstone.Digest{Version: 9, Ready: hashes("b", "c", "d", "e")})
	b.wantReady(t, "another newer peer list", "b", "c", "d", "e")
	b.now = b.now.Add(tombstone.DefaultLimits.PeerDigestTTL + time.Second)
	f.Tick()
	b.wantReady(t, "after the peer list expired", "a", "b", "c", "d", "e")
	s := f.Status()
	if s.PeerLists != 2 || s.Suppressed != 0 || s.ListVersion != 7 || f.Version() != 7 || len(f.Digest().Ready) != 5 {
		t.Errorf("status %+v", s)
	}
}
