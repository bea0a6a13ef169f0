package routing

import (
	"fmt"
	"hash/fnv"
	"io"
	"testing"
	"time"
)

// The golden hashes cover every action of a run: its kind, order, time and arguments. They are computed over numbers,
// which no renaming of a Go type or field changes. Moving or renaming code therefore leaves the hashes unchanged; a
// change of a decision changes them, and its commit says so.

// writeAction writes one action with its time as numbers: the kind, whose number must never change, and the arguments
// in a fixed order. Reasons are omitted, since they only reach logs.
func writeAction(w io.Writer, now time.Duration, a Action) {
	switch a := a.(type) {
	case Send:
		writeNumbers(w, now, 1, a.Request, a.Endpoint, int64(a.Timeout))
	case PollLoad:
		writeNumbers(w, now, 2, a.Endpoint)
	case Release:
		writeNumbers(w, now, 3, a.Request)
	case Reject:
		writeNumbers(w, now, 4, a.Request, int64(a.RetryAfter))
	case Fail:
		writeNumbers(w, now, 5, a.Request)
	case Cancel:
		writeNumbers(w, now, 6, a.Request, a.Attempt)
	case SetTimer:
		writeNumbers(w, now, 7, int64(a.After), a.Timer)
	default:
		panic("writeAction: action type without a number")
	}
}

func writeNumbers(w io.Writer, now time.Duration, kind int, arguments ...any) {
	fmt.Fprintf(w, "%d %d", int64(now), kind)
	for _, argument := range arguments {
		fmt.Fprintf(w, " %d", argument)
	}
	fmt.Fprintln(w)
}

// goldenHashes are the hashes, by seed, of runs of the driver without options.
var goldenHashes = map[uint64]uint64{1: 0xafe66201a5a4bfa0, 2: 0x5671eae8bac94f16, 3: 0x12985e7b85055b4c, 4: 0xdfec1f0f77f0fcba}

func TestGoldenDecisions(t *testing.T) {
	for seed := uint64(1); seed <= 4; seed++ {
		hash, actions := fnv.New64a(), 0
		d := newDriver(t, seed)
		d.intercept = func(a Action) []Action {
			actions++
			writeAction(hash, d.now, a)
			return []Action{a}
		}
		d.run(d.now + 40*time.Second)
		if got := hash.Sum64(); got != goldenHashes[seed] || actions < 1000 {
			t.Errorf("seed %d: %d actions hash to %#x, want %#x", seed, actions, got, goldenHashes[seed])
		}
	}
}

// goldenHashesWithAllOptions are the hashes, by seed, of runs with every option: load polls and their answers, budgets
// and quota shares, a subset, peers' load reports, a second router's snapshot, and a new configuration. The hash
// includes the learned state at the end.
var goldenHashesWithAllOptions = map[uint64]uint64{1: 0xdf174f0c96fcafa3, 2: 0xb91cad0fb4094f18, 3: 0xa6f40bdb6cb74da1, 4: 0x9e3f7b5da0eb769}

func TestGoldenDecisionsWithAllOptions(t *testing.T) {
	for seed := uint64(1); seed <= 4; seed++ {
		hash, actions := fnv.New64a(), 0
		d := newDriver(t, seed)
		d.cfg.CanPollLoad, d.cfg.CanCancel = true, seed%2 == 0
		d.cfg.Budgets = Budgets{Fraction: 0.25, PollsPerReplica: 8, RetriesPerRequest: 0.2, RetriesPerSecond: 2}
		d.restart()
		d.intercept = func(a Action) []Action {
			actions++
			writeAction(hash, d.now, a)
			if poll, ok := a.(PollLoad); ok {
				d.answerPoll(poll.Endpoint)
			}
			return []Action{a}
		}
		d.after(2*time.Second, d.injectFleetEvent)
		d.run(d.now + 40*time.Second)
		fmt.Fprintf(hash, "%v", d.r.Snapshot(d.now, 100))
		if got := hash.Sum64(); got != goldenHashesWithAllOptions[seed] || actions < 1000 {
			t.Errorf("seed %d: %d actions hash to %#x, want %#x", seed, actions, got, goldenHashesWithAllOptions[seed])
		}
	}
}

// drawLoad draws a load report, which may lack some values. It returns nil for a replica that did not report its load.
func (d *driver) drawLoad() *LoadReport {
	if d.rng.IntN(8) == 0 {
		return nil
	}
	load := &LoadReport{Memory: d.rng.Float64(), QueuedKiloTokens: -1, QueuedRequests: float64(d.rng.IntN(6)), SlotUtilization: d.rng.Float64()}
	if d.rng.IntN(3) == 0 {
		load.QueuedKiloTokens = 20 * d.rng.Float64()
	}
	return load
}

// answerPoll draws when and how a replica answers a load poll.
func (d *driver) answerPoll(id EndpointID) {
	load := d.drawLoad()
	d.after(time.Duration(1+d.rng.IntN(60))*ms, func() { d.handle(LoadPolled{Endpoint: id, Load: load}) })
}

// injectFleetEvent draws one of the events that only a router of a fleet receives.
func (d *driver) injectFleetEvent() {
	d.after(time.Duration(200+d.rng.IntN(800))*ms, d.injectFleetEvent)
	endpoints := d.endpointList()
	switch d.rng.IntN(6) {
	case 0:
		d.handle(QuotaShare{Fraction: d.rng.Float64(), ValidFor: time.Second})
	case 1:
		subset := SubsetAssigned{}
		for _, endpoint := range endpoints {
			if d.rng.IntN(3) > 0 {
				subset.Endpoints = append(subset.Endpoints, endpoint.ID)
			}
		}
		d.handle(subset)
	case 2, 3:
		age := time.Duration(d.rng.IntN(400)) * ms
		d.handle(PeerLoadReport{Endpoint: endpoints[d.rng.IntN(len(endpoints))].ID, Load: d.drawLoad(), Age: age})
	case 4:
		snapshot := d.r.Snapshot(d.now, 20)
		for i := range snapshot.Prefixes {
			snapshot.Prefixes[i].UpdatedAt = d.now
			snapshot.Prefixes[i].Requests.Count++
		}
		d.handle(SnapshotReceived{Snapshot: snapshot})
	case 5:
		d.cfg.MaxAttempts = 4 + d.rng.IntN(2)
		if err := d.r.Reconfigure(d.now, d.cfg); err != nil {
			d.t.Fatal(err)
		}
	}
}
