package routing

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// decodeSelection is what a selection of a decode replica goes by.
type decodeSelection struct {
	origin *replica // the prefill replica; nil: the request has not been prefilled, or the replica is unknown
	zone   int      // the preferred zone
	spill  bool     // the request leaves origin's cell for one with decode capacity to spare
}

// Parts of the first element of a decodeCost. A replica whose cost is higher by one of them is chosen only if there is
// no other.
const (
	otherCellCost    = 1
	otherZoneCost    = 2
	waitCost         = 4
	failedBeforeCost = 4
	unhealthyCost    = 8
)

// decodeCost orders decode replicas, lexicographically: the sum of the costs above, the wait in ms, the random order
// in which spilled requests spread over cells, and the fill level.
type decodeCost [4]float64

// decodeChoice is the best replica so far. Each of several with the same cost is chosen with the same probability
// (reservoir sampling).
type decodeChoice struct {
	replica *replica
	cost    decodeCost
	ties    int
}

// offer takes a replica into the choice.
func (c *decodeChoice) offer(s *replica, cost decodeCost, rng *rand.Rand) {
	order := slices.Compare(cost[:], c.cost[:])
	switch {
	case c.replica == nil || order < 0:
		c.replica, c.cost, c.ties = s, cost, 1
	case order == 0:
		if c.ties++; rng.IntN(c.ties) == 0 {
			c.replica = s
		}
	}
}

// bestDecodeReplica returns a decode replica for a request, or nil. It prefers one with capacity in the prefill
// replica's cell, then one elsewhere, then any. The part of the requests that the cell's decode replicas cannot bear
// goes to cells that have decode capacity to spare. A replica in slow start whose turn it is comes first.
func (r *Router) bestDecodeReplica(q *request) *replica {
	r.sumCapacity(q.Class)
	selection := r.newDecodeSelection(q)
	best := decodeChoice{cost: decodeCost{math.Inf(1)}}
	for _, s := range r.active {
		if !r.canDecode(s, q) {
			continue
		}
		if r.inSlowStart(s) {
			if !r.takeDecodeSlowStartTurn(s, q, selection) {
				continue
			}
			s.slowStartCredit--
			if r.healthy(s, q.Class) {
				return s
			}
		}
		best.offer(s, r.decodeCostOf(s, q, selection), r.rng)
	}
	return best.replica
}

// newDecodeSelection draws whether a request leaves the cell of its prefill replica.
func (r *Router) newDecodeSelection(q *request) decodeSelection {
	origin := r.byID[q.prefillEndpoint]
	if q.state != awaitingDecode || origin == nil {
		return decodeSelection{zone: r.cfg.Zone}
	}
	_, bearable := r.cellPreference(origin.cell)
	return decodeSelection{origin: origin, zone: origin.Zone, spill: r.rng.Float64() > bearable}
}

// inOriginCell reports whether a replica is in the cell of the prefill replica.
func (d decodeSelection) inOriginCell(s *replica) bool {
	return d.origin != nil && s.cell == d.origin.cell
}

// canDecode reports whether a replica may be sent the request's decode attempt.
func (r *Router) canDecode(s *replica, q *request) bool {
	if s.role == Prefill || s.State != Ready || q.mayHaveRun && !r.canRetryOn(q, s) {
		return false
	}
	if q.state == awaitingPrefill && s.role == Decode && !r.cfg.DecodeCanPrefill {
		return false
	}
	fullForRequest := r.now < s.fullUntil && slices.Contains(q.failedEndpoints, s.ID)
	return !fullForRequest
}

// takeDecodeSlowStartTurn is takeSlowStartTurn for a decode replica. Only requests that stay in its cell are offered
// to it, unless no prefill replica of the cell is ready.
func (r *Router) takeDecodeSlowStartTurn(s *replica, q *request, selection decodeSelection) bool {
	if s.cell.readyPrefillCapacity <= 0 {
		return r.takeSlowStartTurn(s, q, 1, 0)
	}
	if !selection.inOriginCell(s) || selection.spill {
		return false
	}
	// The fraction of all requests that the cell's prefill replicas send, also if those of other cells do not respond.
	ready := s.cell.readyPrefillCapacity / r.totalCapacity.readyPrefillCapacity
	healthy := s.cell.prefillCapacity / max(r.totalCapacity.prefillCapacity, minCapacity)
	return r.takeSlowStartTurn(s, q, max(ready, healthy), 0)
}

// decodeCostOf returns the cost of a replica for the request. For a spilled request it draws the replica's place in
// the order in which such requests spread: weighted by what the replica's cell has to spare.
func (r *Router) decodeCostOf(s *replica, q *request, selection decodeSelection) decodeCost {
	cost, waitMS, spread := 0.0, r.decodeWaitMS(s), 0.0
	switch {
	case !r.healthy(s, q.Class):
		cost = unhealthyCost
	case waitMS > 0:
		cost = waitCost
	}
	if slices.Contains(q.failedEndpoints, s.ID) {
		cost += failedBeforeCost
	}
	switch {
	case selection.spill:
		_, bearable := r.cellPreference(s.cell)
		spread = r.rng.ExpFloat64() / (s.Weight * max(1-1/bearable, minCapacity))
		if s.Zone != selection.zone {
			spread *= otherZoneSpread
		}
	case s.Zone != selection.zone:
		cost += otherZoneCost
	case !selection.inOriginCell(s):
		cost += otherCellCost
	}
	return decodeCost{cost, waitMS, spread, r.fillLevel(s)}
}

// fillLevel returns how full a decode replica is: its reported memory where there is a report, plus own streams
// relative to its capacity.
func (r *Router) fillLevel(s *replica) float64 {
	ownLoad := float64(s.streams+len(s.pending)+1) / (s.Weight * r.rampFraction(s))
	if s.reportedMemory >= 0 && r.loadKnown(s) {
		return s.reportedMemory + ownLoad/ownLoadDivisor
	}
	return ownLoad
}

// decodeTimeout returns the timeout of a decode attempt. A silent replica is given up while there is time for another
// one, where a retry is allowed; otherwise it has all the time until the deadline.
func (r *Router) decodeTimeout(q *request) time.Duration {
	remaining := q.deadline - r.now
	retryable := r.cfg.Classes[q.Class].Idempotency == Idempotent && q.attempts+1 < r.maxAttempts(q)
	if retryable && remaining > 2*minDecodeTimeout {
		return max(remaining/2, minDecodeTimeout)
	}
	return remaining
}

// canRetryOn reports whether a request that may have run may be sent to a replica.
func (r *Router) canRetryOn(q *request, s *replica) bool {
	c := r.cfg.Classes[q.Class]
	if c.Idempotency == Idempotent {
		return true
	}
	ranOn := r.byID[q.mayHaveRunOn]
	if c.Idempotency == NonIdempotent || ranOn == nil || r.now+maxProcessStall >= q.mayHaveRunAt+c.DedupWindow {
		return false
	}
	return c.DedupScope == ScopeAll ||
		c.DedupScope == ScopeZone && s.Zone == ranOn.Zone ||
		c.DedupScope == ScopeCell && s.Cell == ranOn.Cell
}
