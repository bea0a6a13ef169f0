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
	// maxReleaseTargets is the maximum number of endpoints to which one release is sent, one after the other until one
	// answers. Upstream pauses between two endpoints; with this number the release still reaches the last one in time.
	maxReleaseTargets = 24
	// secondReleaseDelay is the time between the first release and the second one, which follows an attempt whose end
	// was not observed. A prefill that succeeds just as its connection is closed may make its reservation after the
	// first release has arrived. When the second release arrives, the endpoint has certainly detected the close.
	secondReleaseDelay = 120 * time.Millisecond
	// lostAttemptReleaseInterval is the time between two releases after an attempt whose connection was closed while its
	// endpoint or the connection was silent. A prefill may succeed and make its reservation long afterwards, since the
	// endpoint does not receive the close either.
	lostAttemptReleaseInterval = 400 * time.Millisecond
	// lostAttemptReleasePeriod is the time after which these releases stop. They stop earlier if the endpoint responds, but
	// not before minLostAttemptReleasePeriod: its other connections may work while the attempt's is silent.
	lostAttemptReleasePeriod    = 5 * time.Second
	minLostAttemptReleasePeriod = 2 * time.Second
	// lostAttemptMinAge is the time without a response after which an attempt's connection may be silent.
	lostAttemptMinAge = 500 * time.Millisecond
)

// PendingReleases returns the number of second releases that are scheduled. It may be called from any goroutine.
func (d *Dispatcher) PendingReleases() int64 { return d.pendingReleases.Load() }

// releaseReservation releases the reservations of a request whose answer is not a stream. If the end of an attempt was
// not observed, it releases them a second time after secondReleaseDelay, provided that the request then has its final
// answer.
func (d *Dispatcher) releaseReservation(id routing.RequestID, reason routing.ReleaseReason) {
	req := d.requests[id]
	if req == nil || req.state == requestServed {
		return // after the first token the endpoints release the reservations without a release call
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

// mayRunUnnoticed reports whether the endpoint of an attempt that ends with an outcome of its own may go on with it, since
// the close of the connection may not have reached it.
func (d *Dispatcher) mayRunUnnoticed(a *attempt, outcome routing.Outcome) bool {
	if a.request.state == requestServed && a.executes() {
		return false // the endpoints have released the reservation with the first token
	}
	age := d.now() - a.sentAt
	return outcome == routing.TimedOut || a.endpoint.lastResponse < a.sentAt || age > lostAttemptMinAge
}

// startLostAttemptReleases starts periodic releases for an attempt whose end was not observed, while its endpoint is
// silent. The endpoint of a prefill may still make a reservation. That of a decode may still count as one that uses the
// prefill's result, which no release takes away until the endpoint has noticed the close. No release is sent before the
// request has its final answer.
func (d *Dispatcher) startLostAttemptReleases(a *attempt) { d.scheduleLostAttemptRelease(a, d.now()) }

// scheduleLostAttemptRelease schedules the next periodic release for an attempt whose connection was closed at endedAt.
func (d *Dispatcher) scheduleLostAttemptRelease(a *attempt, endedAt time.Duration) {
	release := func() {
		req := a.request
		if req.answered() && (a.endpoint.prefillOnly || req.state != requestServed) {
			d.sendRelease(req, routing.LateOutcome)
		}
		period := lostAttemptReleasePeriod
		if a.endpoint.lastResponse > endedAt {
			period = minLostAttemptReleasePeriod
		}
		if d.now()-endedAt < period {
			d.scheduleLostAttemptRelease(a, endedAt)
		}
	}
	time.AfterFunc(lostAttemptReleaseInterval, func() { d.post(release) })
}

// sendRelease sends one release to the endpoints that have responded most recently.
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

// interleaveByZoneAndRole sorts endpoints in place so that endpoints of different zones and roles alternate: all
// endpoints of a zone or of a role may just have become unreachable. It keeps the order within a zone and role.
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

// mostRecentlyResponsive returns at most limit endpoints that are not gone, sorted by the time of their last response,
// latest first. It selects them without sorting the full endpoint list, which may be large.
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
