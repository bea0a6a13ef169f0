package dispatch

import (
	"cmp"
	"log/slog"
	"slices"
	"strings"
	"time"

	"rampspread/routing"
)

const (
	// maxReleaseTargets is how many endpoints one release may be tried through. With the pauses that Upstream makes
	// between them the last one is still reached in time.
	maxReleaseTargets = 24
	// secondReleaseDelay is when a release is repeated after an attempt whose end was not observed: a prefill that
	// succeeds just as its connection is given up leaves a reservation that the first release may have overtaken. By
	// the second release the prefill has certainly noticed the close.
	secondReleaseDelay = 120 * time.Millisecond
	// lostPrefillReleaseInterval and lostPrefillReleasePeriod: a prefill that is given up while its endpoint is silent
	// may succeed long after that, since the close does not reach the endpoint either. What it reserves is released
	// again at each interval, until the period is over or the endpoint responds.
	lostPrefillReleaseInterval = 400 * time.Millisecond
	lostPrefillReleasePeriod   = 5 * time.Second
)

// PendingReleases is the number of second releases that are scheduled. It may be called from any goroutine.
func (d *Dispatcher) PendingReleases() int64 { return d.pendingReleases.Load() }

// releaseReservation releases what is reserved for a request, and once more after secondReleaseDelay if an attempt's
// end was not observed.
func (d *Dispatcher) releaseReservation(id routing.RequestID, reason routing.ReleaseReason) {
	req := d.requests[id]
	if req == nil || req.state == requestServed {
		return // from the first token on the endpoints release by themselves, and nothing more is sent
	}
	d.sendRelease(req, reason)
	if !req.unobservedEnd {
		return
	}
	d.pendingReleases.Add(1)
	time.AfterFunc(secondReleaseDelay, func() {
		posted := d.post(func() {
			defer d.pendingReleases.Add(-1)
			if req.answered() {
				d.sendRelease(req, reason)
			}
		})
		if !posted {
			d.pendingReleases.Add(-1)
		}
	})
}

// startLostPrefillReleases releases again and again what a lost prefill may reserve later, once its request is answered.
func (d *Dispatcher) startLostPrefillReleases(a *attempt) { d.scheduleLostPrefillRelease(a, d.now()) }

func (d *Dispatcher) scheduleLostPrefillRelease(a *attempt, endedAt time.Duration) {
	release := func() {
		if a.request.answered() {
			d.sendRelease(a.request, routing.LateOutcome)
		}
		if a.endpoint.lastResponse <= endedAt && d.now()-endedAt < lostPrefillReleasePeriod {
			d.scheduleLostPrefillRelease(a, endedAt)
		}
	}
	time.AfterFunc(lostPrefillReleaseInterval, func() { d.post(release) })
}

// sendRelease sends one release, through endpoints that have responded lately.
func (d *Dispatcher) sendRelease(req *request, reason routing.ReleaseReason) {
	d.counters.Releases++
	if reason == routing.ReservationExpired {
		d.counters.ExpiredReservations++
		slog.Info("released", "id", req.Call.ID, "reason", reason, "attempts", len(req.attempts),
			"server", req.lastEndpointName())
	}
	var targets []EndpointAddress
	for _, record := range interleaveByZoneAndRole(d.mostRecentlyResponsive(maxReleaseTargets)) {
		targets = append(targets, record.EndpointAddress)
	}
	d.upstream.Release(req.Call, targets)
}

// interleaveByZoneAndRole sorts endpoints in place so that those of different zones and roles alternate: a zone, or all
// endpoints of a role, may have become unreachable a moment ago. Within a zone and role the order stays.
func interleaveByZoneAndRole(endpoints []*endpointRecord) []*endpointRecord {
	type group struct {
		zone        int
		prefillOnly bool
	}
	groupSizes, rankInGroup := map[group]int{}, map[*endpointRecord]int{}
	for _, record := range endpoints {
		key := group{record.zone, record.prefillOnly}
		rankInGroup[record] = groupSizes[key]
		groupSizes[key]++
	}
	slices.SortStableFunc(endpoints, func(a, b *endpointRecord) int { return cmp.Compare(rankInGroup[a], rankInGroup[b]) })
	return endpoints
}

// mostRecentlyResponsive returns at most limit endpoints that the list does not have as gone, the one that responded
// last first. It selects instead of sorting a large list for the sake of a few.
func (d *Dispatcher) mostRecentlyResponsive(limit int) []*endpointRecord {
	compareRecency := func(a, b *endpointRecord) int {
		return cmp.Or(cmp.Compare(b.lastResponse, a.lastResponse), strings.Compare(a.Name, b.Name))
	}
	var selected []*endpointRecord
	for _, record := range d.endpoints {
		if record.state == routing.Gone || len(selected) == limit && compareRecency(selected[limit-1], record) <= 0 {
			continue
		}
		index, _ := slices.BinarySearchFunc(selected, record, compareRecency)
		selected = slices.Insert(selected, index, record)
		selected = selected[:min(len(selected), limit)]
	}
	return selected
}
