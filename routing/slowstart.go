package routing

// Slow start (as in NGINX and Envoy): what a replica that has just started may be sent.

// rampFraction returns the fraction of its capacity that a replica surely has by now: it rises linearly from
// Config.SlowStartInitial to 1 during Config.SlowStartDuration.
func (r *Router) rampFraction(replica *replica) float64 {
	age := r.now - replica.Started
	if replica.Started <= 0 || age >= r.cfg.SlowStartDuration || r.cfg.OverloadMultiple <= 0 {
		return 1
	}
	initial := min(max(r.cfg.SlowStartInitial, minSlowStartInitial), 1)
	return initial + (1-initial)*max(float64(age), 0)/float64(r.cfg.SlowStartDuration)
}

// inSlowStart reports whether a replica has less than its full capacity.
func (r *Router) inSlowStart(replica *replica) bool { return r.rampFraction(replica) < 1 }

// effectiveWeight returns a replica's weight against others of its role. The overload rule leaves a prefill replica in
// slow start capacity for more than its ramp fraction.
func (r *Router) effectiveWeight(replica *replica) float64 {
	if replica.role == Prefill {
		return replica.Weight * min(slowStartWeightFactor*r.rampFraction(replica), 1)
	}
	return replica.Weight * r.rampFraction(replica)
}

// takeSlowStartTurn reports whether a request may use a replica in slow start. It protects such replicas from being
// overloaded by all routers together: of the requests that are offered to it, which are the fraction offered of all
// requests, a fixed part may use it. Each router counts that part from a random start, so that all together stay at a
// fixed part of the replica's even share of all requests. The router may send allowance requests ahead of that. It
// could do harm when few replicas except those in slow start remain.
func (r *Router) takeSlowStartTurn(replica *replica, req *request, offered, allowance float64) bool {
	firstOfStage := req.attempts == 0 || req.attempts == 1 && req.state == awaitingDecode
	if !firstOfStage || r.now != req.selectionStart {
		return false // further attempts and repeated selections get no more turns than the first
	}
	replicaCount := float64(max(r.maxReady[replica.role], 1))
	evenShare := slowStartShare * r.cfg.OverloadMultiple * r.rampFraction(replica) / replicaCount
	replica.slowStartCredit = min(replica.slowStartCredit+evenShare/offered, maxSlowStartCredit-allowance)
	return replica.slowStartCredit+allowance >= 1
}

// slowStartAllowance returns how many requests this router may send to a prefill replica in slow start ahead of its
// part: one with a prefix that is known, since the ranks bound what all routers send there at once; of one with a new
// prefix this router's part of what chance may add.
func (r *Router) slowStartAllowance(req *request) float64 {
	if entry := r.prefixCache[req.SharedPrefix]; entry == nil || entry.requests.count(r.now) > knownPrefixRequests {
		return 1
	}
	return min(r.ownFraction(newPrefixAllowance), 1)
}
