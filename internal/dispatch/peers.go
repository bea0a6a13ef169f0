package dispatch

import (
	"context"
	"time"

	"rampspread/routing"
)

// PeerLoad is the result of a load poll by another dispatcher.
type PeerLoad struct {
	Name string              // the endpoint's
	Load *routing.LoadReport // nil: the endpoint did not answer the poll in time
	Age  time.Duration       // since the poll
}

// ApplyPeerLoads passes load reports of other dispatchers to the Router; reports on endpoints that are not listed are
// ignored. It never waits: while the mailbox is full the reports are dropped, since they would be stale by the time
// a slot is free, and false is returned.
func (d *Dispatcher) ApplyPeerLoads(reports []PeerLoad) bool {
	receivedAt := time.Now()
	return d.tryPost(func() {
		for _, report := range reports {
			if endpoint := d.endpointsByName[report.Name]; endpoint != nil {
				d.counters.PeerLoadReports++
				d.handleEvent(routing.PeerLoadReport{
					Endpoint: endpoint.ID, Load: report.Load, Age: report.Age + time.Since(receivedAt),
				})
			}
		}
	})
}

// SetQuotaShare sets this dispatcher's fraction (0 to 1) of what all dispatchers may do together, for the given
// duration from now. Once it is in force applied is called from the owner, which it must not block. It never waits:
// false is returned while the mailbox is full.
func (d *Dispatcher) SetQuotaShare(fraction float64, duration time.Duration, applied func()) bool {
	receivedAt := time.Now()
	return d.tryPost(func() {
		d.handleEvent(routing.QuotaShare{Fraction: fraction, ValidFor: duration - time.Since(receivedAt)})
		applied()
	})
}

// SetSubset restricts the Router to the endpoints of these names while enough of them are healthy; no names: no
// restriction. Names that are not listed are ignored. It never waits: false is returned while the mailbox is full.
func (d *Dispatcher) SetSubset(names []string) bool {
	return d.tryPost(func() {
		var ids []routing.EndpointID
		for _, name := range names {
			if endpoint := d.endpointsByName[name]; endpoint != nil {
				ids = append(ids, endpoint.ID)
			}
		}
		d.handleEvent(routing.SubsetAssigned{Endpoints: ids})
	})
}

// Snapshot is what the Router has learned, with at most maxPrefixes prefixes. It reports false if the context or the
// dispatcher ended first.
func (d *Dispatcher) Snapshot(ctx context.Context, maxPrefixes int) (routing.Snapshot, bool) {
	snapshot, err := query(ctx, d, func() routing.Snapshot { return d.router.Snapshot(d.now(), maxPrefixes) })
	return snapshot, err == nil
}

// Restore gives the Router what another process of this machine has learned. Both have the same clock.
func (d *Dispatcher) Restore(snapshot routing.Snapshot) {
	d.post(func() { d.handleEvent(routing.SnapshotReceived{Snapshot: snapshot}) })
}

// RestoreFromPeer is Restore for a snapshot that a process of another machine has just taken: the time at which it was
// taken by that machine's clock is equated with this dispatcher's current time.
func (d *Dispatcher) RestoreFromPeer(snapshot routing.Snapshot) {
	d.post(func() {
		snapshot.Shift(d.now() - snapshot.TakenAt)
		d.handleEvent(routing.SnapshotReceived{Snapshot: snapshot})
	})
}
