package routing

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// decodeSelection holds the parameters of the selection of a decode replica for one request.
type decodeSelection struct {
	origin *replica // the prefill replica; nil if the request has not been prefilled or the replica is unknown
	zone   int      // the preferred zone
	spill  bool     // the request leaves origin's cell for a cell with spare decode capacity
}

// Terms of the first element of a decodeCost. A replica whose cost is higher by one of them is chosen only if there is
// no other.
const (
	otherCellCost    = 1
	otherZoneCost    = 2
	waitCost         = 4
	failedBeforeCost = 4
	unhealthyCost    = 8
)

// decodeCost orders decode replicas lexicographically by the sum of the terms above, the wait in ms, the random order
// in which spilled requests spread over cells, and the fill level.
type decodeCost [4]float64

// decodeChoice holds the best replica so far. Among several replicas with the same cost, each is chosen with the same
// probability (reservoir sampling).
type decodeChoice struct {
	replica *replica
	cost    decodeCost
	ties    int
}

// consider makes a replica the choice if its cost is lower, or at random if its cost is equal.
func (c *decodeChoice) consider(replica *replica, cost decodeCost, rng *rand.Rand) {
	order := slices.Compare(cost[:], c.cost[:])
	switch {
	case c.replica == nil || order < 0:
		c.replica, c.cost, c.ties = replica, cost, 1
	case order == 0:
		if c.ties++; rng.IntN(c.ties) == 0 {
			c.replica = replica
		}
	}
}

// bestDecodeReplica returns a decode replica for a request, or nil. It prefers a replica with capacity in the prefill
// replica's cell, then one with capacity elsewhere, then any. The requests that exceed the capacity of the cell's
// decode replicas spill to cells with spare decode capacity. A healthy replica in slow start comes first if its credit
// allows the request.
func (r *Router) bestDecodeReplica(req *request) *replica {
	r.sumCapacity(req.Class)
	selection := r.newDecodeSelection(req)
	best := decodeChoice{cost: decodeCost{math.Inf(1)}}
	for _, replica := range r.active {
		if !r.canDecode(replica, req) {
			continue
		}
		if r.inSlowStart(replica) {
			if !r.accrueDecodeSlowStartCredit(replica, req, selection) {
				continue
			}
			replica.slowStartCredit--
			if r.healthy(replica, req.Class) {
				return replica
			}
		}
		best.consider(replica, r.decodeCostOf(replica, req, selection), r.rng)
	}
	return best.replica
}

// newDecodeSelection returns the parameters of a request's selection. For a prefilled request it decides at random
// whether the request leaves the cell of its prefill replica.
func (r *Router) newDecodeSelection(req *request) decodeSelection {
	origin := r.byID[req.prefillEndpoint]
	if req.state != awaitingDecode || origin == nil {
		return decodeSelection{zone: r.cfg.Zone}
	}
	_, decodeCapacityRatio := r.cellPreference(origin.cell)
	return decodeSelection{origin: origin, zone: origin.Zone, spill: r.rng.Float64() > decodeCapacityRatio}
}

// inOriginCell reports whether a replica is in the cell of the prefill replica.
func (d decodeSelection) inOriginCell(replica *replica) bool {
	return d.origin != nil && replica.cell == d.origin.cell
}

// canDecode reports whether a replica may be sent the request's decode attempt.
func (r *Router) canDecode(replica *replica, req *request) bool {
	if replica.role == Prefill || replica.State != Ready || req.mayHaveRun && !r.canRetryOn(req, replica) {
		return false
	}
	if req.state == awaitingPrefill && replica.role == Decode && !r.cfg.DecodeCanPrefill {
		return false
	}
	fullForRequest := r.now < replica.fullUntil && slices.Contains(req.failedEndpoints, replica.ID)
	return !fullForRequest
}

// accrueDecodeSlowStartCredit calls accrueSlowStartCredit for a decode replica. Only requests that stay in the
// replica's cell may use the replica, unless no prefill replica of the cell is ready.
func (r *Router) accrueDecodeSlowStartCredit(replica *replica, req *request, selection decodeSelection) bool {
	if replica.cell.readyPrefillCapacity <= 0 {
		return r.accrueSlowStartCredit(replica, req, 1, 0)
	}
	if !selection.inOriginCell(replica) || selection.spill {
		return false
	}
	// The fraction of all requests that the cell's prefill replicas send. If the prefill replicas of other cells do not
	// respond, the fraction by healthy capacity is the larger one.
	ready := replica.cell.readyPrefillCapacity / r.totalCapacity.readyPrefillCapacity
	healthy := replica.cell.prefillCapacity / max(r.totalCapacity.prefillCapacity, minCapacity)
	return r.accrueSlowStartCredit(replica, req, max(ready, healthy), 0)
}

// decodeCostOf returns the cost of a replica for the request. For a spilled request it draws the replica's random
// position in the spread, weighted by the spare decode capacity of the replica's cell.
func (r *Router) decodeCostOf(replica *replica, req *request, selection decodeSelection) decodeCost {
	cost, waitMS, spread := 0.0, r.decodeWaitMS(replica), 0.0
	switch {
	case !r.healthy(replica, req.Class):
		cost = unhealthyCost
	case waitMS > 0:
		cost = waitCost
	}
	if slices.Contains(req.failedEndpoints, replica.ID) {
		cost += failedBeforeCost
	}
	switch {
	case selection.spill:
		_, decodeCapacityRatio := r.cellPreference(replica.cell)
		spread = r.rng.ExpFloat64() / (replica.Weight * max(1-1/decodeCapacityRatio, minCapacity))
		if replica.Zone != selection.zone {
			spread *= otherZoneSpreadFactor
		}
	case replica.Zone != selection.zone:
		cost += otherZoneCost
	case !selection.inOriginCell(replica):
		cost += otherCellCost
	}
	return decodeCost{cost, waitMS, spread, r.fillLevel(replica)}
}

// fillLevel returns how full a decode replica is. If the replica has reported its memory, that is the reported memory
// plus a small term for this router's own load; otherwise it is that load relative to the replica's capacity.
func (r *Router) fillLevel(replica *replica) float64 {
	ownLoad := float64(replica.streams+len(replica.pending)+1) / (replica.Weight * r.rampFraction(replica))
	if replica.reportedMemory >= 0 && r.loadKnown(replica) {
		return replica.reportedMemory + ownLoad/ownLoadDivisor
	}
	return ownLoad
}

// decodeTimeout returns the timeout of a decode attempt. Where a retry is allowed and enough time remains, the timeout
// leaves time for a retry at another replica if this one is silent; otherwise it is the time until the deadline.
func (r *Router) decodeTimeout(req *request) time.Duration {
	remaining := req.deadline - r.now
	retryable := r.cfg.Classes[req.Class].Idempotency == Idempotent && req.attempts+1 < r.maxAttempts(req)
	if retryable && remaining > 2*minDecodeTimeout {
		return max(remaining/2, minDecodeTimeout)
	}
	return remaining
}

// canRetryOn reports whether a request that may have run may be sent to a replica.
func (r *Router) canRetryOn(req *request, replica *replica) bool {
	class := r.cfg.Classes[req.Class]
	if class.Idempotency == Idempotent {
		return true
	}
	ranOn := r.byID[req.mayHaveRunOn]
	if class.Idempotency == NonIdempotent || ranOn == nil || r.now+maxProcessStall >= req.mayHaveRunAt+class.DedupWindow {
		return false
	}
	return class.DedupScope == DedupScopeAll ||
		class.DedupScope == DedupScopeZone && replica.Zone == ranOn.Zone ||
		class.DedupScope == DedupScopeCell && replica.Cell == ranOn.Cell
}
