package routing

// Arrival, admission and reading.

import (
	"maps"
	"math"
	"slices"
	"time"
)

func (r *Router) requestArrived(e RequestArrived) {
	if r.requests[e.Request] != nil {
		return
	}
	if e.Class < 0 || e.Class >= len(r.cfg.Classes) {
		r.emit(Fail{e.Request, UnknownClass})
		return
	}
	c := r.cfg.Classes[e.Class]
	q := &request{RequestArrived: e, arrivedAt: r.now, deadline: r.now + e.TimeLeft, selectionStart: r.now}
	q.ttftObjective = c.TTFTObjective + time.Duration(float64(c.TTFTObjectivePer1K)*float64(e.PromptTokens)/1000)
	q.overQuota = r.overQuota(e.Tenant)
	r.requests[e.Request] = q
	r.arrivals.add(r.now, 0)
	if q.SharedPrefix != 0 {
		t := getOrCreate(r.prefixCache, q.SharedPrefix)
		t.requests.timeConstant = popularityTimeConstant
		t.requests.add(r.now, 0)
	}
	if r.now-r.sweptAt >= sweepInterval {
		r.sweptAt = r.now
		old := r.now - 2*popularityTimeConstant
		maps.DeleteFunc(r.prefixCache, func(_ Key, t *prefixEntry) bool { return max(t.updatedAt, t.requests.updatedAt) < old })
	}
	r.advance(q)
}

// overQuota reports whether what this router passed for a tenant has used up its even part of the
// tenant's share. The part of one router among many is small and its traffic uneven, so some seconds of
// it may come at once. Refused requests spend nothing, or clients' retries would use the share up.
func (r *Router) overQuota(id int) bool {
	if id < 0 || id >= len(r.tenantBuckets) || r.cfg.TenantQuotas[id] <= 0 {
		return false
	}
	rate := r.ownFraction(r.cfg.TenantQuotas[id])
	return r.tenantBuckets[id].Fill(r.now, rate, quotaBurstSpan.Seconds()*rate+quotaBurstExtra) < 1
}

// advance moves a request that has no attempt out.
func (r *Router) advance(q *request) {
	if q.attempts >= r.maxAttempts(q) {
		r.rejectOrFail(q, AttemptsExhausted, 0)
		return
	}
	if r.now+answerMargin >= q.deadline {
		r.rejectOrFail(q, DeadlineExceeded, 0)
		return
	}
	if !r.withinRetryBudget(q) {
		r.rejectOrFail(q, RetryBudgetExhausted, toMS(r.cfg.MaxRetryAfter))
		return
	}
	if q.state == awaitingDecode {
		r.startDecode(q)
	} else {
		r.startPrefill(q)
	}
}

// retryLater holds a request for a moment, unless what it holds would be pinned or its time ran out.
func (r *Router) retryLater(q *request, why Reason, limit time.Duration) {
	if r.now+2*selectionRetryInterval >= min(limit, q.deadline-answerMargin) {
		r.rejectOrFail(q, why, 0)
		return
	}
	r.emit(SetTimer{selectionRetryInterval, TimerID(q.Request)})
}

// startPrefill applies the admission test and sends the request to the reader with the lowest estimate.
func (r *Router) startPrefill(q *request) {
	if q.attempts+2 > r.maxAttempts(q) {
		r.rejectOrFail(q, AttemptsExhausted, 0)
		return
	}
	if r.pollLoads(q) {
		return
	}
	c, ok := r.bestPrefillReplica(q)
	if !ok {
		if r.cfg.DecodeCanPrefill || r.maxReady[Prefill] == 0 && r.maxReady[Combined] > 0 {
			r.startDecode(q)
			return
		}
		r.retryLater(q, NoPrefillReplica, q.arrivedAt+q.ttftObjective)
		return
	}
	if !r.admit(q, c.queueDelayMS, c.prefillMS) {
		r.rejectOrFail(q, OverLatencyBudget, c.queueDelayMS+c.prefillMS-toMS(q.ttftObjective))
		return
	}
	s, est := c.replica, fromMS(c.queueDelayMS+c.prefillMS)
	q.state, q.prefillEndpoint = prefilling, s.ID
	q.expectedCachedTokens, q.ownAttemptsAhead, q.reportedQueue = r.expectedCachedTokens(s, q, c.rank < notPrefixReplicaRank), float64(len(s.pending)), r.reportedQueueOf(s)
	r.recordPrefix(q.Session, s.ID, q.PromptTokens)
	r.recordPrefix(q.SharedPrefix, s.ID, q.SharedPrefixTokens)
	limit := fromMS(prefillTimeoutFactor*(c.queueDelayMS+c.prefillMS)+r.estimateError.mean(r.now, 0, priorSamples)) + prefillTimeoutGrace
	left := q.deadline - r.now
	limit = min(limit, max(left/2, prefillTimeoutGrace))
	if r.now+limit+est+prefillTimeoutGrace > q.deadline || q.attempts+3 > r.maxAttempts(q) {
		limit = left // no time or attempt for another reader: wait for this one
	}
	r.send(q, s, limit, r.now+time.Duration(1.5*float64(est))+100*ms)
}

// admit is the design's test, made before every read: critical passes, others when the best estimate is
// within the budget; if the read alone is over it, the queue wait is judged alone. A request that comes
// back from a full or silent reader is judged anew, so that it is not pushed on into a jam, where it
// could only be late; it could do harm if one server's trouble looked like all. The queue is shared, so its
// wait is held to the tightest class's budget, lest a long budget shut the short ones out. Critical
// passes only while most of its own aim is left: a flood of it would make all late. Traffic beyond a
// tenant's share has no free pass and half the budget.
func (r *Router) admit(q *request, queue, cost float64) bool {
	budget, most := toMS(q.ttftObjective)*latencyHeadroom, r.tightestBudgetMS
	if q.overQuota {
		budget, most = budget/2, most/2
	} else if r.critical[q.Class] {
		budget = toMS(q.ttftObjective) * criticalHeadroom
		most = budget
	}
	return queue <= min(budget, most) && (cost > budget || queue+cost <= budget)
}

// pollLoads pollLoads the readers that the keys rank first, or two writers of the reader's cell, for their load and
// reports whether the request waits. Ranks keep it where its text is, at all routers alike; loads tell which
// of these few is jammed.
func (r *Router) pollLoads(q *request) bool {
	if !r.cfg.CanPollLoad || q.pollCandidates != nil || r.samplesPerReplica() >= minSamplesPerReplica {
		return false
	}
	r.sumCapacity(q.Class)
	homes, from := r.prefixReplicas(q), r.byID[q.prefillEndpoint]
	r.candidates = r.candidates[:0]
	for _, s := range r.active {
		c, warm := candidate{replica: s, rank: r.rng.Float64()}, r.rampFraction(s) == 1
		ok := warm && s.role != Prefill && from != nil && s.cell == from.cell
		if q.state == awaitingPrefill {
			ok, c.rank = s.role == Prefill && (warm || s.slowStartCredit+r.slowStartAllowance(q) >= 1), r.rendezvousRank(s, q, homes)
		}
		if ok && r.healthy(s, q.Class) {
			r.candidates = append(r.candidates, c)
		}
	}
	for _, c := range r.withinPollBudget(lowestRanked(r.candidates, pollCandidateCount)) {
		q.pollCandidates = append(q.pollCandidates, c.ID)
		if r.now-c.loadReportedAt <= loadMaxAge {
			continue
		}
		q.pendingPolls++
		if c.pollWaiters = append(c.pollWaiters, q.Request); len(c.pollWaiters) == 1 {
			r.emit(PollLoad{c.ID})
		}
	}
	if q.pendingPolls > 0 {
		r.emit(SetTimer{pollTimeout, TimerID(q.Request)})
	}
	return q.pendingPolls > 0
}

// lowestRanked moves the choices of the lowestRanked ranks to the front, in their order, and returns these: so many, or
// all. A large list is not sorted for the sake of two.
func lowestRanked(choices []candidate, many int) []candidate {
	many = min(many, len(choices))
	for i := range many {
		least := i
		for j := i + 1; j < len(choices); j++ {
			if choices[j].rank < choices[least].rank {
				least = j
			}
		}
		choices[i], choices[least] = choices[least], choices[i]
	}
	return choices[:many]
}

// loadPolled takes a server's load, and goes on with the requests that waited for no other.
func (r *Router) loadPolled(e LoadPolled) {
	s := r.byID[e.Endpoint]
	if s == nil {
		return
	}
	if e.Load == nil || e.Load.QueuedRequests < 0 {
		s.health[0].update(r.now, 1, transportFailureWeight)
	} else {
		s.lastResponse = r.now
		s.applyLoad(e.Load, r.now)
	}
	askers := s.pollWaiters
	s.pollWaiters = nil
	for _, id := range askers {
		if q := r.requests[id]; q != nil && q.pendingPolls > 0 {
			if q.pendingPolls--; q.pendingPolls == 0 {
				q.selectionStart = r.now
				r.advance(q)
			}
		}
	}
}

// bestPrefillReplica returns the reader with the lowest estimate; near-equal ones go by rank. Bad health alone
// never leaves a request without a reader.
func (r *Router) bestPrefillReplica(q *request) (candidate, bool) {
	r.sumCapacity(q.Class)
	homes := r.prefixReplicas(q)
	for _, healthy := range []bool{true, false} {
		low := math.Inf(1)
		r.candidates = r.candidates[:0]
		asked := healthy && q.pollCandidates != nil && q.attempts == 0
		for _, s := range r.active {
			if s.role != Prefill || s.State != Ready || healthy && !r.healthy(s, q.Class) {
				continue
			}
			if asked && (!slices.Contains(q.pollCandidates, s.ID) || r.now-s.loadReportedAt > loadMaxAge) {
				continue
			}
			cold, tried := r.rampFraction(s) < 1, slices.Contains(q.failedEndpoints, s.ID)
			if cold && !(healthy && r.takeSlowStartTurn(s, q, 1, r.slowStartAllowance(q))) {
				continue
			}
			c := candidate{replica: s, rank: r.rendezvousRank(s, q, homes)}
			c.queueDelayMS, c.prefillMS = r.prefillEstimate(s, r.expectedCachedTokens(s, q, c.rank < notPrefixReplicaRank), q)
			c.queueDelayMS += r.cellDecodeWaitMS(s.cell)
			c.scoreMS = c.queueDelayMS + c.prefillMS
			if s.Zone != r.cfg.Zone {
				c.scoreMS += crossZonePenaltyMS
			}
			if !healthy {
				c.scoreMS += 1000 * s.health[0].current(r.now)
			}
			if tried {
				c.scoreMS += 1000
			}
			low = min(low, c.scoreMS)
			r.candidates = append(r.candidates, c)
		}
		sure := 1 + r.samplesPerReplica()/priorSamples
		off := estimateErrorTolerance * r.estimateError.mean(r.now, 0, priorSamples) / sure
		if asked {
			off = 0 // what was told is no guess
		}
		near := low + max(minEstimateToleranceMS, off)
		best := candidate{rank: math.Inf(1)}
		for _, c := range r.candidates {
			if c.scoreMS <= near && c.rank < best.rank {
				best = c
			}
		}
		if best.replica != nil {
			if r.rampFraction(best.replica) < 1 {
				best.slowStartCredit--
			}
			return best, true
		}
	}
	return candidate{}, false
}

// send makes an attempt; every Send leaves here.
func (r *Router) send(q *request, s *replica, limit, due time.Duration) {
	r.chargeBudgets(q)
	q.endpoint, q.sentAt = s.ID, r.now
	q.attempts++
	s.pending = append(s.pending, pendingAttempt{q.Request, r.now, due})
	r.emit(Send{q.Request, s.ID, limit})
}
