package routing

import (
	"math"
	"slices"
	"time"
)

// candidate is a replica in a selection, with its estimate. Score and rank only order the candidates and do not affect
// admission.
type candidate struct {
	*replica
	queueDelayMS float64
	prefillMS    float64
	scoreMS      float64 // the estimate with penalties; lower is better
	rank         float64 // rendezvous rank, which decides between nearly equal scores; lower is better
}

// healthFilter selects the replicas that a selection considers.
type healthFilter uint8

const (
	healthyOnly healthFilter = iota
	anyHealth                // poor health only adds a penalty
)

// bestPrefillReplica returns the prefill replica with the lowest estimate; rank decides between nearly equal ones. If
// no healthy replica is eligible, it considers the unhealthy ones, so that poor health alone never leaves a request
// without a replica. It returns false if none of those is eligible either. A returned replica in slow start spends one
// credit.
func (r *Router) bestPrefillReplica(req *request) (candidate, bool) {
	r.sumCapacity(req.Class)
	replicaCount := r.prefixReplicaCount(req)
	for _, filter := range []healthFilter{healthyOnly, anyHealth} {
		best := r.lowestPrefillEstimate(req, filter, replicaCount)
		if best.replica == nil {
			continue
		}
		if r.inSlowStart(best.replica) {
			best.slowStartCredit--
		}
		return best, true
	}
	return candidate{}, false
}

// lowestPrefillEstimate returns the candidate of lowest rank among those whose score is nearly the lowest, considering
// the replicas that pass the filter. It returns a candidate without a replica if none passes.
func (r *Router) lowestPrefillEstimate(req *request, filter healthFilter, replicaCount float64) candidate {
	lowestMS := math.Inf(1)
	r.candidates = r.candidates[:0]
	for _, replica := range r.active {
		if !r.canPrefill(replica, req, filter) {
			continue
		}
		r.candidates = append(r.candidates, candidate{replica: replica})
		c := &r.candidates[len(r.candidates)-1]
		r.estimateCandidate(c, req, filter, replicaCount)
		lowestMS = min(lowestMS, c.scoreMS)
	}
	toleranceMS := minEstimateToleranceMS
	if filter == anyHealth || !req.selectsByPoll() { // the usual error of estimates does not apply to polled loads
		toleranceMS = max(toleranceMS, r.estimateToleranceMS())
	}
	best := &candidate{rank: math.Inf(1)}
	for i := range r.candidates {
		c := &r.candidates[i]
		if c.scoreMS <= lowestMS+toleranceMS && c.rank < best.rank {
			best = c
		}
	}
	return *best
}

// canPrefill reports whether a replica may be sent the request's prefill. For a replica in slow start it accrues the
// request's slow-start credit if the filter is healthyOnly, and returns false if it is anyHealth.
func (r *Router) canPrefill(replica *replica, req *request, filter healthFilter) bool {
	if replica.role != Prefill || replica.State != Ready {
		return false
	}
	if filter == anyHealth {
		return !r.inSlowStart(replica)
	}
	if !r.healthy(replica, req.Class) {
		return false
	}
	if req.selectsByPoll() && !r.polledFor(replica, req) {
		return false
	}
	return !r.inSlowStart(replica) || r.accrueSlowStartCredit(replica, req, 1, r.slowStartAllowance(req))
}

// polledFor reports whether a replica is among the request's poll candidates and either its load is known or it has not
// answered a load poll in time.
func (r *Router) polledFor(replica *replica, req *request) bool {
	return slices.Contains(req.pollCandidates, replica.ID) && (r.loadFresh(replica) || r.pollUnanswered(replica))
}

// selectsByPoll reports whether the request's next attempt goes to one of its poll candidates. Only the first attempt
// does.
func (req *request) selectsByPoll() bool { return req.pollCandidates != nil && req.attempts == 0 }

// estimateCandidate sets the estimate, score and rank of a candidate's replica.
func (r *Router) estimateCandidate(c *candidate, req *request, filter healthFilter, replicaCount float64) {
	replica := c.replica
	c.rank = r.rendezvousRank(replica, req, replicaCount)
	c.queueDelayMS, c.prefillMS = r.prefillEstimate(replica, r.expectedCachedTokens(replica, req, c.rank), req)
	c.queueDelayMS += r.cellDecodeWaitMS(replica.cell)
	c.scoreMS = c.queueDelayMS + c.prefillMS
	if replica.Zone != r.cfg.Zone {
		c.scoreMS += crossZonePenaltyMS
	}
	if filter == anyHealth {
		c.scoreMS += failureLevelPenaltyMS * replica.health[0].current(r.now)
	}
	if slices.Contains(req.failedEndpoints, replica.ID) {
		c.scoreMS += failedBeforePenaltyMS
	}
}

// estimateToleranceMS returns the difference up to which estimates count as equal, in ms. It is a fraction of the usual
// error and shrinks as this router sees more prefills of each replica.
func (r *Router) estimateToleranceMS() float64 {
	confidence := 1 + r.samplesPerReplica()/priorSamples
	return estimateErrorTolerance * r.estimateError.mean(r.now, 0, priorSamples) / confidence
}

// prefillTimeout returns the timeout of a prefill attempt, based on its estimate. If no time or attempt remains for
// another replica, it is the time until the deadline.
func (r *Router) prefillTimeout(req *request, estimateMS float64) time.Duration {
	remaining := req.deadline - r.now
	errorMS := r.estimateError.mean(r.now, 0, priorSamples)
	timeout := fromMS(prefillTimeoutFactor*estimateMS+errorMS) + prefillTimeoutGrace
	timeout = min(timeout, max(remaining/2, prefillTimeoutGrace))
	noTimeForRetry := r.now+timeout+fromMS(estimateMS)+prefillTimeoutGrace > req.deadline
	if noTimeForRetry || req.attempts+1+attemptsFromPrefill > r.maxAttempts(req) {
		return remaining
	}
	return timeout
}
