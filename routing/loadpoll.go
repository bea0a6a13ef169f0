package routing

// pollLoads polls the prefill replicas of the lowest rendezvous ranks, or some replicas that decode in the prefill
// replica's cell, for their load, and reports whether the request has to wait for the answers. Ranks keep a request
// where its prefix is cached, at all routers alike; loads tell which of these few replicas is overloaded (the power of
// two choices). A router that sees enough prefills of each replica does not poll.
func (r *Router) pollLoads(q *request) bool {
	if !r.cfg.CanPollLoad || q.pollCandidates != nil || r.samplesPerReplica() >= minSamplesPerReplica {
		return false
	}
	r.sumCapacity(q.Class)
	replicaCount, origin := r.prefixReplicaCount(q), r.byID[q.prefillEndpoint]
	r.candidates = r.candidates[:0]
	for _, s := range r.active {
		rank, ok := r.pollRank(s, q, replicaCount, origin)
		if ok && r.healthy(s, q.Class) {
			r.candidates = append(r.candidates, candidate{replica: s, rank: rank})
		}
	}
	for _, c := range r.withinPollBudget(lowestRanked(r.candidates, pollCandidateCount)) {
		q.pollCandidates = append(q.pollCandidates, c.ID)
		if r.loadFresh(c.replica) {
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

// pollRank returns a replica's rank among those that may be polled for a request, and whether it is one of them. It
// always makes one random draw, whether the rank is random or not.
func (r *Router) pollRank(s *replica, q *request, replicaCount float64, origin *replica) (rank float64, ok bool) {
	random := r.rng.Float64()
	atFullCapacity := r.rampFraction(s) == 1
	if q.state != awaitingPrefill {
		return random, atFullCapacity && s.role != Prefill && origin != nil && s.cell == origin.cell
	}
	if s.role != Prefill || !atFullCapacity && s.slowStartCredit+r.slowStartAllowance(q) < 1 {
		return 0, false
	}
	return r.rendezvousRank(s, q, replicaCount), true
}

// lowestRanked moves the count candidates of the lowest ranks, or all, to the front, in their order, and returns them.
// It does not sort the list, which is large, for the sake of a few.
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

// loadPolled takes a replica's load, and goes on with the requests that waited for no other.
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
	waiters := s.pollWaiters
	s.pollWaiters = nil
	for _, id := range waiters {
		if q := r.requests[id]; q != nil && q.pendingPolls > 0 {
			if q.pendingPolls--; q.pendingPolls == 0 {
				q.selectionStart = r.now
				r.advance(q)
			}
		}
	}
}

// peerLoadReport takes what another router learned of a replica, as evidence that fades with its age. Own evidence
// takes precedence: a router that sees enough prefills of its own knows which replicas are slow, which a load alone
// does not tell, so a report is used only where this router would poll. It never makes a replica count as alive here:
// the path from here may be cut although the peer's is not.
func (r *Router) peerLoadReport(e PeerLoadReport) {
	s := r.byID[e.Endpoint]
	reportedAt := r.now - e.Age
	switch {
	case s == nil || e.Age < 0 || e.Age > peerLoadMaxAge:
	case e.Load == nil || e.Load.QueuedRequests < 0:
		if s.lastResponse < reportedAt {
			freshness := float64(peerLoadMaxAge-e.Age) / float64(peerLoadMaxAge)
			s.health[0].update(r.now, 1, peerFailureWeight*freshness)
		}
	case r.samplesPerReplica() < minSamplesPerReplica:
		if reportedAt > s.loadReportedAt {
			s.applyLoad(e.Load, reportedAt)
		}
	}
}

// loadFresh reports whether a replica's load report is recent enough for use.
func (r *Router) loadFresh(s *replica) bool { return r.now-s.loadReportedAt <= loadMaxAge }

// loadKnown reports whether a replica's load report may be used: where loads are not polled, reports come with
// outcomes and the latest one counts whatever its age.
func (r *Router) loadKnown(s *replica) bool { return !r.cfg.CanPollLoad || r.loadFresh(s) }

// reportedQueueOf returns how many requests are ahead of a new one by a replica's load report, or 0 without one.
func (r *Router) reportedQueueOf(s *replica) float64 {
	if r.loadKnown(s) {
		return s.reportedQueue
	}
	return 0
}

// samplesPerReplica returns how many recent prefills this router has seen per prefill replica.
func (r *Router) samplesPerReplica() float64 {
	return r.estimateError.count(r.now) / float64(max(r.maxReady[Prefill], 1))
}
