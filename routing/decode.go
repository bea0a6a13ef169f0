package routing

// Writing: which writer gets a request that has been read.

import (
	"math"
	"slices"
)

// startDecode sends a read request to the writer with most room in its reader's cell.
func (r *Router) startDecode(q *request) {
	if r.pollLoads(q) {
		return
	}
	s := r.bestDecodeReplica(q)
	if s == nil {
		r.retryLater(q, NoDecodeReplica, r.releaseDeadline(q))
		return
	}
	left := q.deadline - r.now
	limit := left
	// A silent writer is left while there is time for another, where a repeat is allowed.
	if r.cfg.Classes[q.Class].Idempotency == Idempotent && left > 2*minDecodeTimeout && q.attempts+1 < r.maxAttempts(q) {
		limit = max(left/2, minDecodeTimeout)
	}
	q.state, q.ownAttemptsAhead = decoding, float64(len(s.pending))
	r.send(q, s, limit, r.now+minDecodeTimeout)
}

// bestDecodeReplica prefers a writer with room in the reader's cell, then one elsewhere, then any. The part of
// the states that a cell's writers cannot bear goes to cells that have writers to spare.
func (r *Router) bestDecodeReplica(q *request) *replica {
	r.sumCapacity(q.Class)
	from := r.byID[q.prefillEndpoint]
	if q.state != awaitingDecode {
		from = nil
	}
	zone, spill := r.cfg.Zone, false
	if from != nil {
		_, room := r.cellPreference(from.cell)
		zone, spill = from.Zone, r.rng.Float64() > room
	}
	var best *replica
	low, ties := [4]float64{math.Inf(1)}, 0
	for _, s := range r.active {
		if s.role == Prefill || s.State != Ready || q.mayHaveRun && !r.canRetryOn(q, s) {
			continue
		}
		if q.state == awaitingPrefill && s.role == Decode && !r.cfg.DecodeCanPrefill {
			continue
		}
		tried, usable := slices.Contains(q.failedEndpoints, s.ID), r.healthy(s, q.Class)
		if tried && r.now < s.fullUntil {
			continue
		}
		near := from != nil && s.cell == from.cell
		if r.rampFraction(s) < 1 {
			flow := 1.0 // the part of all states that the cell's readers send, also if others do not answer
			if s.cell.readyPrefillCapacity > 0 {
				flow = max(s.cell.readyPrefillCapacity/r.totalCapacity.readyPrefillCapacity, s.cell.prefillCapacity/max(r.totalCapacity.prefillCapacity, 1e-9))
			}
			if s.cell.readyPrefillCapacity > 0 && (!near || spill) || !r.takeSlowStartTurn(s, q, flow, 0) {
				continue
			}
			s.slowStartCredit--
			if usable {
				return s
			}
		}
		tier, wait, spread := 0.0, r.decodeWaitMS(s), 0.0
		switch {
		case !usable:
			tier = 8
		case wait > 0:
			tier = 4
		}
		if tried {
			tier += 4
		}
		if spill {
			_, room := r.cellPreference(s.cell)
			spread = r.rng.ExpFloat64() / (s.Weight * max(1-1/room, 1e-9))
			if s.Zone != zone {
				spread *= 3
			}
		} else if s.Zone != zone {
			tier += 2
		} else if !near {
			tier++
		}
		key := [4]float64{tier, wait, spread, r.fillLevel(s)}
		switch d := slices.Compare(key[:], low[:]); {
		case best == nil || d < 0:
			best, low, ties = s, key, 1
		case d == 0:
			if ties++; r.rng.IntN(ties) == 0 {
				best = s
			}
		}
	}
	return best
}

// fillLevel is how full a writer is: reported memory where there is a report, plus own streams by size.
func (r *Router) fillLevel(s *replica) float64 {
	f := float64(s.streams+len(s.pending)+1) / (s.Weight * r.rampFraction(s))
	if s.reportedMemory >= 0 && r.loadKnown(s) {
		return s.reportedMemory + f/1000
	}
	return f
}

// canRetryOn reports whether a request that may have run may go to the server.
func (r *Router) canRetryOn(q *request, s *replica) bool {
	c := r.cfg.Classes[q.Class]
	if c.Idempotency == Idempotent {
		return true
	}
	on := r.byID[q.mayHaveRunOn]
	if c.Idempotency == NonIdempotent || on == nil || r.now+maxProcessStall >= q.mayHaveRunAt+c.DedupWindow {
		return false
	}
	return c.DedupScope == ScopeAll || c.DedupScope == ScopeZone && s.Zone == on.Zone ||
		c.DedupScope == ScopeCell && s.Cell == on.Cell
}
