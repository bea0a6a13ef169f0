package tombstone

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"rampspread/internal/testkit/play"
	"rampspread/routing"
)

func listOf(names string, draining string) (out []Endpoint) {
	for _, n := range names {
		out = append(out, Endpoint{string(n), routing.Ready})
	}
	for _, n := range draining {
		out = append(out, Endpoint{string(n), routing.Draining})
	}
	return out
}

// A list that is older than others' revives nothing that theirs has ended; the own list has the last word once it is as new.
func TestOlderList(t *testing.T) {
	ahead, behind := New(DefaultLimits), New(DefaultLimits)
	ahead.UpdateOwn(0, 5, true, listOf("abcd", ""))
	ahead.UpdateOwn(0, 6, false, []Endpoint{{"a", routing.Gone}})
	ahead.UpdateOwn(0, 7, false, []Endpoint{{"b", routing.Draining}, {"e", routing.Ready}})
	behind.UpdatePeer(0, "n1", ahead.Digest()) // before its first list
	behind.UpdateOwn(0, 5, true, listOf("abcd", ""))
	if behind.State("a") != routing.Gone || behind.State("b") != routing.Draining || behind.State("c") != routing.Ready || behind.Suppressed() != 2 {
		t.Errorf("%v, %v", behind.State("a"), behind.State("b"))
	}
	if behind.State("e") != routing.Gone {
		t.Error("it took a replica from another's word")
	}
	if changed := behind.UpdateOwn(0, 6, false, []Endpoint{{"a", routing.Gone}}); len(changed) != 0 || behind.State("b") != routing.Draining {
		t.Errorf("%v", changed)
	}
	if changed := behind.UpdateOwn(0, 8, false, []Endpoint{{"c", routing.Draining}}); !slices.Equal(changed, []string{"b", "c"}) || behind.State("b") != routing.Ready {
		t.Errorf("%v: at 8 its list has the last word", changed)
	}
	// One's own older list, after a newer one, is no different; it is believed again after a while.
	ahead.UpdateOwn(0, 5, true, listOf("abcd", ""))
	if ahead.State("a") != routing.Gone || ahead.State("c") != routing.Ready {
		t.Error("its own older list revived a replica")
	}
	if changed := ahead.Tick(DefaultLimits.PeerReportTTL + 1); !slices.Equal(changed, []string{"a", "b"}) {
		t.Errorf("%v", changed)
	}
	// Nor does another's newer word undo it.
	behind = New(DefaultLimits)
	behind.UpdateOwn(0, 5, true, listOf("abcd", ""))
	behind.UpdatePeer(0, "n1", Digest{Version: 6, Ready: []uint64{Hash("b"), Hash("c"), Hash("d")}})
	behind.UpdatePeer(0, "liar", Digest{Version: math.MaxUint64, Ready: []uint64{Hash("a"), Hash("b"), Hash("c"), Hash("d")}})
	if behind.State("a") != routing.Gone {
		t.Error("one's word revived what another's list had ended")
	}
}

// What others say never ends most of a list, whoever says it, and holds no longer than its teller is there.
func TestLiar(t *testing.T) {
	behind := New(DefaultLimits)
	behind.UpdateOwn(0, 5, true, listOf("abcdefghij", ""))
	if changed := behind.UpdatePeer(0, "n1", Digest{Version: math.MaxUint64, Ready: []uint64{Hash("a")}}); len(changed) != 0 || behind.Rejected() != 1 || behind.Suppressed() != 0 {
		t.Errorf("%v held back by one's word", changed)
	}
	var most []uint64
	for _, n := range "abcdef" {
		most = append(most, Hash(string(n)))
	}
	if behind.UpdatePeer(0, "n1", Digest{Version: math.MaxUint64, Draining: nil, Ready: most}); behind.Suppressed() != 4 {
		t.Errorf("%d held back", behind.Suppressed())
	}
	if changed := behind.Tick(DefaultLimits.PeerReportTTL + 1); len(changed) != 4 || behind.Suppressed() != 0 {
		t.Errorf("%v", changed)
	}
	if behind.UpdatePeer(0, "n1", Digest{Version: 9, Ready: make([]uint64, MaxReplicas+1)}); behind.Suppressed() != 0 {
		t.Error("a list without bound was taken")
	}
}

// mutant spoils what a member does.
type mutant struct {
	limits Limits
	tell   func(Digest) Digest
	late   bool // the newer word of one undoes another's
}

// simulate lets members with lists of different age tell each other over a net that loses and delays, start anew with older lists, and
// returns what was wrong: a replica that is ready at one although a member that it heard from had a newer list without it,
// or one held back where the own list is the newest, or everybody has been silent for long.
func simulate(seed uint64, steps int, m mutant) error {
	rng := rand.New(rand.NewPCG(seed, 1))
	const members, replicas = 5, 12
	truth := []map[string]routing.EndpointState{nil, {}} // by version
	for i := range replicas {
		truth[1][fmt.Sprint(i)] = routing.Ready
	}
	newest := func() uint64 { return uint64(len(truth) - 1) }
	tables := make([]*Table, members)
	type word struct {
		version uint64
		at      time.Duration
	}
	heard := make([]map[int]word, members)
	now := time.Duration(0)
	list := func(i int, version uint64) {
		var entries []Endpoint
		t := tables[i]
		full := t.Version() == 0 || version < t.Version() || rng.IntN(4) == 0
		for name, s := range truth[version] {
			if full || truth[t.Version()][name] != s {
				entries = append(entries, Endpoint{name, s})
			}
		}
		if !full {
			for name := range truth[t.Version()] {
				if _, still := truth[version][name]; !still {
					entries = append(entries, Endpoint{name, routing.Gone})
				}
			}
		}
		t.UpdateOwn(now, version, full, entries)
	}
	start := func(i int, version uint64) {
		tables[i], heard[i] = New(m.limits), map[int]word{}
		list(i, version)
	}
	for i := range tables {
		start(i, 1)
	}
	for step := range steps {
		now += time.Duration(rng.Int64N(int64(time.Second)))
		switch i := rng.IntN(members); rng.IntN(8) {
		case 0, 1: // few are out at once, so that others' word is never past its part
			next := map[string]routing.EndpointState{}
			for name, s := range truth[newest()] {
				next[name] = s
			}
			name, ready := fmt.Sprint(rng.IntN(replicas)), 0
			for _, s := range next {
				if s == routing.Ready {
					ready++
				}
			}
			if next[name] != routing.Ready {
				next[name] = routing.Ready
			} else if ready <= replicas-3 {
				continue
			} else if next[name] = routing.Draining; rng.IntN(2) == 0 {
				delete(next, name)
			}
			truth = append(truth, next)
		case 2, 3: // its list goes on by some
			if next := tables[i].Version() + uint64(rng.IntN(3)); next <= newest() && next > tables[i].Version() {
				list(i, next)
			}
		case 4: // it starts anew, with a list that may be old
			if rng.IntN(6) == 0 {
				start(i, newest()-uint64(rng.IntN(int(min(newest(), 3)))))
			}
		default: // one tells another, at times without being heard
			to := rng.IntN(members)
			if to == i || rng.IntN(4) == 0 || tables[to].Version() >= tables[i].Version() {
				continue
			}
			d := tables[i].Digest()
			if m.tell != nil {
				d = m.tell(d)
			}
			teller := fmt.Sprint(i)
			if m.late {
				teller = "one"
				d.Version = max(d.Version, tables[to].told[teller].Version)
			}
			tables[to].UpdatePeer(now, teller, d)
			heard[to][i] = word{tables[i].Version(), now}
		}
		for i, t := range tables {
			t.Tick(now)
			ends, silent := map[string]bool{}, true
			for _, w := range heard[i] {
				silent = silent && now-w.at > DefaultLimits.PeerReportTTL
				if w.version > t.Version() && now-w.at < DefaultLimits.PeerReportTTL {
					for name := range truth[t.Version()] {
						if truth[w.version][name] != routing.Ready {
							ends[name] = true
						}
					}
				}
			}
			for name, s := range truth[t.Version()] {
				got := t.State(name)
				switch {
				case got == routing.Ready && ends[name] && len(ends) <= replicas/3:
					return fmt.Errorf("step %d: member %d, list %d: %s is ready", step, i, t.Version(), name)
				case got != s && t.Version() == newest():
					return fmt.Errorf("step %d: member %d has the newest list, and holds %s back", step, i, name)
				case got != s && silent:
					return fmt.Errorf("step %d: member %d holds %s back, and nobody told it of late", step, i, name)
				}
			}
		}
	}
	return nil
}

func TestPlay(t *testing.T) {
	const seeds = 40
	for seed := range uint64(seeds) {
		if err := simulate(seed, 2000, mutant{limits: DefaultLimits}); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
	}
	forever := DefaultLimits
	forever.PeerReportTTL = 1 << 60
	for name, m := range map[string]mutant{
		"a list without its version": {limits: DefaultLimits, tell: func(d Digest) Digest { d.Version = 1 << 50; return d }},
		"drains are not told":        {limits: DefaultLimits, tell: func(d Digest) Digest { d.Ready = append(d.Ready, d.Draining...); d.Draining = nil; return d }},
		"a word that never ends":     {limits: forever},
		"no word of others holds":    {limits: Limits{PeerReportTTL: DefaultLimits.PeerReportTTL}},
		"one's word undoes others'":  {limits: DefaultLimits, late: true},
	} {
		play.Caught(t, name, 0, seeds, func(seed uint64) string {
			if err := simulate(seed, 2000, m); err != nil {
				return err.Error()
			}
			return ""
		})
	}
}
