package endpointfilter

import (
	"slices"
	"testing"
	"time"

	"rampspread/internal/dispatch"
	"rampspread/internal/fleet/tombstone"
	"rampspread/routing"
)

// What is handed on is the own list without what others' newer ones have ended, at each step; an address only ever comes from
// the own one.
func TestGuard(t *testing.T) {
	version, now := uint64(4), time.Unix(1000, 0)
	acts := map[string]dispatch.Endpoint{}
	g := New(func(full bool, entries []dispatch.Endpoint) {
		if full {
			clear(acts)
		}
		for _, e := range entries {
			if acts[e.Name] = e; e.State == routing.Gone {
				delete(acts, e.Name)
			}
		}
	}, func() uint64 { return version }, func() time.Time { return now })
	ready := func() (out []string) {
		for name, e := range acts {
			if e.State == routing.Ready && e.Addr == "at-"+name {
				out = append(out, name)
			}
		}
		slices.Sort(out)
		return out
	}
	want := func(when string, names ...string) {
		t.Helper()
		if got := ready(); !slices.Equal(got, names) {
			t.Errorf("%s: %v", when, got)
		}
	}
	list := func(names ...string) (out []dispatch.Endpoint) {
		for _, n := range names {
			out = append(out, dispatch.Endpoint{Name: n, Addr: "at-" + n, State: routing.Ready})
		}
		return out
	}
	hashes := func(names ...string) (out []uint64) {
		for _, n := range names {
			out = append(out, tombstone.Hash(n))
		}
		return out
	}
	g.UpdateOwn(true, list("a", "b", "c", "d"))
	want("its list", "a", "b", "c", "d")
	g.UpdatePeer("n1", tombstone.Digest{Version: 6, Ready: hashes("a", "c", "e"), Draining: hashes("b")})
	want("another's", "a", "c")
	if acts["b"].State != routing.Draining {
		t.Errorf("%+v", acts)
	}
	g.UpdateOwn(true, list("a", "b", "c", "d"))
	want("the same list again", "a", "c")
	version = 5
	g.UpdateOwn(false, list("e"))
	want("a change", "a", "c", "e")
	version = 7
	g.UpdateOwn(false, list("b"))
	want("a newer one than the other's", "a", "b", "c", "d", "e")
	g.UpdatePeer("n1", tombstone.Digest{Version: 9, Ready: hashes("b", "c", "d", "e")})
	want("another's again", "b", "c", "d", "e")
	now = now.Add(tombstone.DefaultLimits.PeerReportTTL + time.Second)
	g.Tick()
	want("after long silence", "a", "b", "c", "d", "e")
	if s := g.Status(); s.PeerLists != 2 || s.Suppressed != 0 || s.List != 7 || g.Version() != 7 || len(g.Digest().Ready) != 5 {
		t.Errorf("%+v", s)
	}
}
