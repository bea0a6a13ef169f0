package dispatch

import (
	"cmp"
	"log/slog"
	"slices"
	"strings"
	"time"

	"rampspread/routing"
)

// maxReleaseTargets is how many servers a release may go through: with the pool's pauses the last of them is still asked in time.
const maxReleaseTargets = 24

// releaseReservation lets go of what is held, through servers that have answered of late first.
func (c *Dispatcher) releaseReservation(id routing.RequestID, why routing.ReleaseReason) {
	q := c.requests[id]
	if q == nil || q.streamStarted {
		return // with the first event all else goes by itself, and nothing more is sent
	}
	c.sendRelease(q, why)
	if !q.lostAttempt {
		return
	}
	c.pendingReleases.Add(1)
	time.AfterFunc(secondReleaseDelay, func() {
		again := func() {
			defer c.pendingReleases.Add(-1)
			if q.answer == nil {
				c.sendRelease(q, why)
			}
		}
		if !c.post(again) {
			c.pendingReleases.Add(-1)
		}
	})
}

const (
	// A read that is given up while its server says nothing may end well long after that, since the close does not reach it either. What
	// it leaves is let go so often,
	lostPrefillReleaseInterval = 400 * time.Millisecond
	// and for so long, or until the server is heard again.
	lostPrefillReleasePeriod = 5 * time.Second
)

// followLostPrefill lets go of what a lost attempt may leave behind later, once its request has its answer.
func (c *Dispatcher) followLostPrefill(a *attempt) {
	ended := c.now()
	var again func()
	wait := func() { time.AfterFunc(lostPrefillReleaseInterval, func() { c.post(again) }) }
	again = func() {
		if a.request.answer == nil {
			c.sendRelease(a.request, routing.LateOutcome)
		}
		if a.endpoint.lastResponse <= ended && c.now()-ended < lostPrefillReleasePeriod {
			wait()
		}
	}
	wait()
}

// PendingReleases is how many releases are to be made once more, from any goroutine.
func (c *Dispatcher) PendingReleases() int64 { return c.pendingReleases.Load() }

func (c *Dispatcher) sendRelease(q *request, why routing.ReleaseReason) {
	c.counters.Releases++
	if why == routing.ReservationExpired {
		c.counters.ExpiredReservations++
		slog.Info("released", "id", q.Call.ID, "why", why, "attempts", len(q.attempts), "server", q.lastEndpointName())
	}
	var through []Target
	for _, l := range interleaveByZoneAndRole(c.mostRecentlyResponsive(maxReleaseTargets)) {
		through = append(through, l.Target)
	}
	c.upstream.Release(q.Call, through)
}

// lastEndpointName names the server of the last attempt, in logs.
func (q *request) lastEndpointName() string {
	if len(q.attempts) == 0 {
		return "none"
	}
	return q.attempts[len(q.attempts)-1].endpointName()
}

// interleaveByZoneAndRole puts servers in an order in which those of other zones and roles come early: a part of the network, or all servers of a role,
// may have fallen silent a moment ago.
func interleaveByZoneAndRole(servers []*endpointRecord) []*endpointRecord {
	type kind struct {
		zone  int
		reads bool
	}
	turns, turn := map[kind]int{}, map[*endpointRecord]int{}
	for _, l := range servers {
		of := kind{l.zone, l.prefillOnly}
		turn[l] = turns[of]
		turns[of]++
	}
	slices.SortStableFunc(servers, func(a, b *endpointRecord) int { return cmp.Compare(turn[a], turn[b]) })
	return servers
}

// mostRecentlyResponsive lists the servers that run, by the list, and answered last, that one first: so many at the most. A large list is not sorted
// for the sake of a few.
func (c *Dispatcher) mostRecentlyResponsive(most int) []*endpointRecord {
	order := func(a, b *endpointRecord) int {
		return cmp.Or(cmp.Compare(b.lastResponse, a.lastResponse), strings.Compare(a.Name, b.Name))
	}
	var out []*endpointRecord
	for _, l := range c.endpoints {
		if l.state == routing.Gone || len(out) == most && order(out[most-1], l) <= 0 {
			continue
		}
		at, _ := slices.BinarySearchFunc(out, l, order)
		out = slices.Insert(out, at, l)
		out = out[:min(len(out), most)]
	}
	return out
}
