package routing

import "slices"

// pollLoads polls the prefill replicas with the lowest rendezvous ranks, or some replicas that decode in the prefill
// replica's cell, for their load, and reports whether the request has to wait for the answers. Ranks, which are the
// same at all routers, keep a request where its prefix is cached; loads show which of these few replicas is overloaded
// (the power of two choices). If all of them are busy, the replicas with the next ranks are polled, so that a prefix
// that is popular with all routers together spreads over as many replicas as it needs. A router that sees enough
// prefills of each replica does not poll.
func (r *Router) pollLoads(req *request) bool {
	if !r.cfg.CanPollLoad || !r.needsLoadPoll(req) || r.samplesPerReplica() >= minSamplesPerReplica {
		return false
	}
	r.sumCapacity(req.Class)
	replicaCount, origin := r.prefixReplicaCount(req), r.byID[req.prefillEndpoint]
	r.candidates = r.candidates[:0]
	for _, replica := range r.active {
		rank, ok := r.pollRank(replica, req, replicaCount, origin)
		if ok && r.healthy(replica, req.Class) && !slices.Contains(req.pollCandidates, replica.ID) {
			r.candidates = append(r.candidates, candidate{replica: replica, rank: rank})
		}
	}
	req.pollRounds++
	req.pollDeadline = r.now + pollTimeout
	for _, c := range r.withinPollBudget(lowestRanked(r.candidates, pollCandidateCount)) {
		req.pollCandidates = append(req.pollCandidates, c.ID)
		if r.loadFresh(c.replica) {
			continue
		}
		req.pendingPolls++
		if c.pollWaiters = append(c.pollWaiters, req.Request); len(c.pollWaiters) == 1 {
			c.pollSentAt = r.now
			r.emit(PollLoad{c.ID})
		}
	}
	if req.pendingPolls > 0 {
		r.emit(SetTimer{pollTimeout, TimerID(req.Request)})
	}
	return req.pendingPolls > 0
}

// needsLoadPoll reports whether the request needs another round of polls: it has polled no replica yet, or it awaits a
// prefill and each replica that it polled is busy for longer than an average prefill takes.
func (r *Router) needsLoadPoll(req *request) bool {
	if req.pollCandidates == nil {
		return true
	}
	if req.pollRounds >= maxPollRounds || req.state != awaitingPrefill || !req.selectsByPoll() {
		return false
	}
	busyThresholdMS := r.meanPrefillMS()
	return !slices.ContainsFunc(req.pollCandidates, func(id EndpointID) bool {
		replica := r.byID[id]
		return replica != nil && r.loadFresh(replica) && replica.reportedQueue*r.delayPerQueuedRequestMS() <= busyThresholdMS
	})
}

// pollRank returns a replica's rank among the replicas that may be polled for a request, and whether it is one of them.
// It always makes one random draw, even if the rank is not random.
func (r *Router) pollRank(replica *replica, req *request, replicaCount float64, origin *replica) (rank float64, ok bool) {
	random := r.rng.Float64()
	atFullCapacity := r.rampFraction(replica) == 1
	if req.state != awaitingPrefill {
		return random, atFullCapacity && replica.role != Prefill && origin != nil && replica.cell == origin.cell
	}
	if replica.role != Prefill || !atFullCapacity && replica.slowStartCredit+r.slowStartAllowance(req) < 1 {
		return 0, false
	}
	return r.rendezvousRank(replica, req, replicaCount), true
}

// lowestRanked moves the count candidates with the lowest ranks, or all if there are fewer, to the front in order of
// rank and returns them. It does not sort the whole list, which is long compared with count.
func lowestRanked(candidates []candidate, count int) []candidate {
	count = min(count, len(candidates))
	for i := range count {
		lowest := i
		for j := i + 1; j < len(candidates); j++ {
			if candidates[j].rank < candidates[lowest].rank {
				lowest = j
			}
		}
		candidates[i], candidates[lowest] = candidates[lowest], candidates[i]
	}
	return candidates[:count]
}

// loadPolled stores a replica's load, or counts a failure of the replica if it has not reported its load. It then
// continues the requests that were not waiting for any other answer.
func (r *Router) loadPolled(event LoadPolled) {
	replica := r.byID[event.Endpoint]
	if replica == nil {
		return
	}
	if event.Load == nil || event.Load.QueuedRequests < 0 {
		replica.health[0].update(r.now, 1, transportFailureWeight)
		replica.silentUntil = r.now + loadMaxAge
	} else {
		replica.lastResponse, replica.silentUntil = r.now, 0
		replica.applyLoad(event.Load, r.now)
	}
	waiters := replica.pollWaiters
	replica.pollWaiters = nil
	for _, id := range waiters {
		if req := r.requests[id]; req != nil && req.pendingPolls > 0 {
			if req.pendingPolls--; req.pendingPolls == 0 {
				req.selectionStart = r.now
				r.advance(req)
			}
		}
	}
}

// peerLoadReport applies another router's observation of a replica, with less weight the older it is. This router's own
// observations take precedence: a router that sees enough prefills of its own measures which replicas are slow, which a
// load report does not show, so a peer's report is used only where this router would poll. It never makes a replica
// count as alive here, because the path from this router may be cut although the peer's path is not.
func (r *Router) peerLoadReport(event PeerLoadReport) {
	replica := r.byID[event.Endpoint]
	reportedAt := r.now - event.Age
	switch {
	case replica == nil || event.Age < 0 || event.Age > peerLoadMaxAge:
	case event.Load == nil || event.Load.QueuedRequests < 0:
		if replica.lastResponse < reportedAt {
			freshness := float64(peerLoadMaxAge-event.Age) / float64(peerLoadMaxAge)
			replica.health[0].update(r.now, 1, peerFailureWeight*freshness)
		}
	case r.samplesPerReplica() < minSamplesPerReplica:
		if reportedAt > replica.loadReportedAt {
			replica.applyLoad(event.Load, reportedAt)
		}
	}
}

// loadFresh reports whether a replica's load report is recent enough for use.
func (r *Router) loadFresh(replica *replica) bool { return r.now-replica.loadReportedAt <= loadMaxAge }

// pollUnanswered reports whether a replica has not answered the latest load poll for pollTimeout, or whether an
// unanswered poll ended less than loadMaxAge ago.
func (r *Router) pollUnanswered(replica *replica) bool {
	overdue := len(replica.pollWaiters) > 0 && r.now-replica.pollSentAt >= pollTimeout
	return overdue || r.now < replica.silentUntil
}

// loadKnown reports whether a replica's load report may be used. Where loads are not polled, reports arrive with
// outcomes and the latest one counts whatever its age.
func (r *Router) loadKnown(replica *replica) bool { return !r.cfg.CanPollLoad || r.loadFresh(replica) }

// reportedQueueOf returns how many requests are ahead of a new one according to a replica's load report, or 0 without a
// report.
func (r *Router) reportedQueueOf(replica *replica) float64 {
	if r.loadKnown(replica) {
		return replica.reportedQueue
	}
	return 0
}

// samplesPerReplica returns how many recent prefills this router has seen per prefill replica.
func (r *Router) samplesPerReplica() float64 {
	return r.estimateError.count(r.now) / float64(max(r.maxReady[Prefill], 1))
}
