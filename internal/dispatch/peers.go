package dispatch

import (
	"context"
	"time"

	"rampspread/routing"
)

// PeerLoad is the result of a load poll that another dispatcher made.
type PeerLoad struct {
	Name string              // name of the endpoint
	Load *routing.LoadReport // nil if the endpoint did not answer the poll in time
	Age  time.Duration       // time since the poll
}

// ApplyPeerLoads passes load reports of other dispatchers to the Router. It ignores reports on endpoints that are not
// listed. It never waits: if the mailbox is full, it drops the reports and returns false, since the reports would be
// stale by the time a slot is free.
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

// SetQuotaShare sets this dispatcher's fraction (0 to 1) of the quotas and budgets that all dispatchers share, for the
// given duration from now. Once the Router uses the fraction, the owner calls applied, which must not block.
// SetQuotaShare never waits: it returns false if the mailbox is full.
func (d *Dispatcher) SetQuotaShare(fraction float64, duration time.Duration, applied func()) bool {
	receivedAt := time.Now()
	return d.tryPost(func() {
		d.handleEvent(routing.QuotaShare{Fraction: fraction, ValidFor: duration - time.Since(receivedAt)})
		applied()
	})
}

// SetSubset restricts the Router to the endpoints with the given names while enough of them are healthy. An empty list
// removes the restriction. Names that are not in the endpoint list are ignored. SetSubset never waits: it returns false
// if the mailbox is full.
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

// Snapshot returns a snapshot of the Router's learned state with at most maxPrefixes prefixes. It returns false if the
// context is done or Run has ended first.
func (d *Dispatcher) Snapshot(ctx context.Context, maxPrefixes int) (routing.Snapshot, bool) {
	snapshot, err := query(ctx, d, func() routing.Snapshot { return d.router.Snapshot(d.now(), maxPrefixes) })
	return snapshot, err == nil
}

// Restore passes the Router a snapshot that another process on this machine has taken. The snapshot's times need no
// conversion, since both processes have the same clock.
func (d *Dispatcher) Restore(snapshot routing.Snapshot) {
	d.post(func() { d.handleEvent(routing.SnapshotReceived{Snapshot: snapshot}) })
}

// RestoreFromPeer passes the Router a snapshot that a process on another machine has just taken. The clocks of the two
// machines may differ, so all times in the snapshot are shifted as if it had been taken now by this dispatcher's clock.
func (d *Dispatcher) RestoreFromPeer(snapshot routing.Snapshot) {
	d.post(func() {
		snapshot.Shift(d.now() - snapshot.TakenAt)
		d.handleEvent(routing.SnapshotReceived{Snapshot: snapshot})
	})
}
