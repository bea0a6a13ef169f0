package endpointfilter

import (
	"slices"
	"testing"
	"time"

	"rampspread/internal/dispatch"
	"rampspread/internal/fleet/tombstone"
	"rampspread/routing"
)

// publishingFilter holds a filter and the list that results from its published updates.
type publishingFilter struct {
	filter    *Filter
	version   uint64 // version of the own list
	now       time.Time
	published map[string]dispatch.Endpoint
}

func newPublishingFilter() *publishingFilter {
	p := &publishingFilter{version: 4, now: time.Unix(1000, 0), published: map[string]dispatch.Endpoint{}}
	p.filter = New(func(full bool, entries []dispatch.Endpoint) {
		if full {
			clear(p.published)
		}
		for _, e := range entries {
			if p.published[e.Name] = e; e.State == routing.Gone {
				delete(p.published, e.Name)
			}
		}
	}, func() uint64 { return p.version }, func() time.Time { return p.now })
	return p
}

// wantReady checks which endpoints are published as ready with the address from the own list.
func (p *publishingFilter) wantReady(t *testing.T, when string, names ...string) {
	t.Helper()
	var got []string
	for name, e := range p.published {
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
	p := newPublishingFilter()
	f := p.filter
	f.UpdateOwn(true, readyEndpoints("a", "b", "c", "d"))
	p.wantReady(t, "the own list", "a", "b", "c", "d")
	f.UpdatePeer("n1", tombstone.Digest{Version: 6, Ready: hashes("a", "c", "e"), Draining: hashes("b")})
	p.wantReady(t, "a newer peer list", "a", "c")
	if p.published["b"].State != routing.Draining {
		t.Errorf("b is not published as draining: %+v", p.published)
	}
	f.UpdateOwn(true, readyEndpoints("a", "b", "c", "d"))
	p.wantReady(t, "the same own list again", "a", "c")
	p.version = 5
	f.UpdateOwn(false, readyEndpoints("e"))
	p.wantReady(t, "a change that is older than the peer list", "a", "c", "e")
	p.version = 7
	f.UpdateOwn(false, readyEndpoints("b"))
	p.wantReady(t, "a change that is newer than the peer list", "a", "b", "c", "d", "e")
	f.UpdatePeer("n1", tombstone.Digest{Version: 9, Ready: hashes("b", "c", "d", "e")})
	p.wantReady(t, "another newer peer list", "b", "c", "d", "e")
	p.now = p.now.Add(tombstone.DefaultLimits.PeerDigestTTL + time.Second)
	f.Tick()
	p.wantReady(t, "after the peer list expired", "a", "b", "c", "d", "e")
	s := f.Status()
	if s.PeerLists != 2 || s.Suppressed != 0 || s.ListVersion != 7 || f.Version() != 7 || len(f.Digest().Ready) != 5 {
		t.Errorf("status %+v", s)
	}
}
