package tombstone

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"
	"time"

	"rampspread/internal/testutil/simtest"
	"rampspread/routing"
)

const (
	simSeeds     = 40
	stepsPerSeed = 2000 // number of random events that the simulation runs with each seed
	simMembers   = 5
	simReplicas  = 12
	// maxNotReady limits how many replicas are not ready at the same time, so that digests are never ignored because
	// they would suppress too many.
	maxNotReady = 3
)

// mutant is a deliberate fault in the behaviour of the members that the checker has to detect.
type mutant struct {
	name           string
	limits         Limits
	corruptDigest  func(Digest) Digest
	singlePeerName bool // all digests are applied under one peer name, so a newer one replaces other peers' digests
}

type endpointStates map[string]routing.EndpointState

// receivedDigest is the checker's record of a digest that a member received.
type receivedDigest struct {
	version    uint64 // true version of the sender's list
	receivedAt time.Duration
}

// sim simulates members with lists of different versions, which send each other digests over a network that loses some
// of them, and which restart with older lists.
type sim struct {
	rng      *rand.Rand
	mutant   mutant
	now      time.Duration
	versions []endpointStates // true list of each version
	tables   []*Table
	received []map[int]receivedDigest // latest digest by receiver and sender
}

func newSim(seed uint64, m mutant) *sim {
	s := &sim{
		rng:      rand.New(rand.NewPCG(seed, 1)),
		mutant:   m,
		versions: []endpointStates{nil, {}},
		tables:   make([]*Table, simMembers),
		received: make([]map[int]receivedDigest, simMembers),
	}
	for i := range simReplicas {
		s.versions[1][fmt.Sprint(i)] = routing.Ready
	}
	for i := range s.tables {
		s.start(i, 1)
	}
	return s
}

func (s *sim) newestVersion() uint64 { return uint64(len(s.versions) - 1) }

// start replaces a member's table by an empty one, as in a restart, and gives it the list of a version.
func (s *sim) start(i int, version uint64) {
	s.tables[i], s.received[i] = New(s.mutant.limits), map[int]receivedDigest{}
	s.updateOwn(i, version)
}

// updateOwn gives a member the list of a version, in full or as changes.
func (s *sim) updateOwn(i int, version uint64) {
	var entries []Endpoint
	t := s.tables[i]
	full := t.Version() == 0 || version < t.Version() || s.rng.IntN(4) == 0
	for name, state := range s.versions[version] {
		if full || s.versions[t.Version()][name] != state {
			entries = append(entries, Endpoint{name, state})
		}
	}
	if !full {
		for name := range s.versions[t.Version()] {
			if _, listed := s.versions[version][name]; !listed {
				entries = append(entries, Endpoint{name, routing.Gone})
			}
		}
	}
	t.UpdateOwn(s.now, version, full, entries)
}

// changeList creates a new version of the true list, and reports whether it did.
func (s *sim) changeList() bool {
	next := maps.Clone(s.versions[s.newestVersion()])
	name, ready := fmt.Sprint(s.rng.IntN(simReplicas)), 0
	for _, state := range next {
		if state == routing.Ready {
			ready++
		}
	}
	switch {
	case next[name] != routing.Ready:
		next[name] = routing.Ready
	case ready <= simReplicas-maxNotReady:
		return false
	default:
		next[name] = routing.Draining
		if s.rng.IntN(2) == 0 {
			delete(next, name)
		}
	}
	s.versions = append(s.versions, next)
	return true
}

// sendDigest sends a member's digest to another member if that one has an older list, and reports whether it was
// delivered.
func (s *sim) sendDigest(from int) bool {
	to := s.rng.IntN(simMembers)
	if to == from || s.rng.IntN(4) == 0 || s.tables[to].Version() >= s.tables[from].Version() {
		return false
	}
	d := s.tables[from].Digest()
	if s.mutant.corruptDigest != nil {
		d = s.mutant.corruptDigest(d)
	}
	peer := fmt.Sprint(from)
	if s.mutant.singlePeerName {
		peer = "one"
		d.Version = max(d.Version, s.tables[to].peers[peer].Version)
	}
	s.tables[to].UpdatePeer(s.now, peer, d)
	s.received[to][from] = receivedDigest{s.tables[from].Version(), s.now}
	return true
}

// event simulates one random event, and reports whether anything may have changed.
func (s *sim) event() bool {
	switch i := s.rng.IntN(simMembers); s.rng.IntN(8) {
	case 0, 1:
		return s.changeList()
	case 2, 3: // the member receives a newer list
		if next := s.tables[i].Version() + uint64(s.rng.IntN(3)); next <= s.newestVersion() && next > s.tables[i].Version() {
			s.updateOwn(i, next)
		}
	case 4: // the member restarts, with a list that may be old
		if s.rng.IntN(6) == 0 {
			s.start(i, s.newestVersion()-uint64(s.rng.IntN(int(min(s.newestVersion(), 3)))))
		}
	default:
		return s.sendDigest(i)
	}
	return true
}

// check returns an error if a replica is ready at a member although a newer list whose digest it received does not list
// it as ready, or if a replica is suppressed although the own list is the newest or all digests are older than the TTL.
func (s *sim) check(i int) error {
	t := s.tables[i]
	ended, allExpired := map[string]bool{}, true
	for _, r := range s.received[i] {
		allExpired = allExpired && s.now-r.receivedAt > DefaultLimits.PeerDigestTTL
		if r.version <= t.Version() || s.now-r.receivedAt >= DefaultLimits.PeerDigestTTL {
			continue
		}
		for name := range s.versions[t.Version()] {
			if s.versions[r.version][name] != routing.Ready {
				ended[name] = true
			}
		}
	}
	for name, state := range s.versions[t.Version()] {
		got := t.State(name)
		switch {
		case got == routing.Ready && ended[name] && len(ended) <= simReplicas/3:
			return fmt.Errorf("member %d with list version %d: replica %s is ready, but not in a newer list", i, t.Version(),
				name)
		case got != state && t.Version() == s.newestVersion():
			return fmt.Errorf("member %d has the newest list, but suppresses replica %s", i, name)
		case got != state && allExpired:
			return fmt.Errorf("member %d suppresses replica %s, but no peer has sent a digest within the TTL", i, name)
		}
	}
	return nil
}

// simulate runs stepsPerSeed random events and returns the first violation.
func simulate(seed uint64, m mutant) error {
	s := newSim(seed, m)
	for step := range stepsPerSeed {
		s.now += time.Duration(s.rng.Int64N(int64(time.Second)))
		if !s.event() {
			continue
		}
		for i, t := range s.tables {
			t.Tick(s.now)
			if err := s.check(i); err != nil {
				return fmt.Errorf("step %d: %w", step, err)
			}
		}
	}
	return nil
}

// Members whose lists are stale, lost digests and restarts must not make a member send to a replica that a newer list
// has removed, nor suppress a replica without a valid digest.
func TestStaleMembersNeverUseWhatTheyKnowEnded(t *testing.T) {
	for seed := range uint64(simSeeds) {
		if err := simulate(seed, mutant{limits: DefaultLimits}); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
	}
}

// The checker of the simulation detects each deliberate fault.
func TestCheckerCatchesMutants(t *testing.T) {
	withoutTTL := DefaultLimits
	withoutTTL.PeerDigestTTL = 1 << 60
	wrongVersion := func(d Digest) Digest {
		d.Version = 1 << 50
		return d
	}
	drainingAsReady := func(d Digest) Digest {
		d.Ready = append(d.Ready, d.Draining...)
		d.Draining = nil
		return d
	}
	for _, m := range []mutant{
		{name: "digest without its version", limits: DefaultLimits, corruptDigest: wrongVersion},
		{name: "draining is not sent", limits: DefaultLimits, corruptDigest: drainingAsReady},
		{name: "digest without a TTL", limits: withoutTTL},
		{name: "peers are always ignored", limits: Limits{PeerDigestTTL: DefaultLimits.PeerDigestTTL}},
		{name: "one peer's digest undoes another's", limits: DefaultLimits, singlePeerName: true},
	} {
		simtest.RequireDetected(t, m.name, 0, simSeeds, func(seed uint64) string {
			if err := simulate(seed, m); err != nil {
				return err.Error()
			}
			return ""
		})
	}
}
