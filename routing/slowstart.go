package routing

// Slow start (as in NGINX and Envoy): how many requests a replica that has just started may be sent.

// rampFraction returns the least fraction of its full capacity that a replica has. It rises linearly from
// Config.SlowStartInitial to 1 during Config.SlowStartDuration. It is always 1 if Config.OverloadMultiple is 0.
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

// effectiveWeight returns a replica's weight relative to other replicas of its role. A prefill replica in slow start
// has a higher weight than its ramp fraction, because Config.OverloadMultiple allows it more load than that.
func (r *Router) effectiveWeight(replica *replica) float64 {
	if replica.role == Prefill {
		return replica.Weight * min(slowStartWeightFactor*r.rampFraction(replica), 1)
	}
	return replica.Weight * r.rampFraction(replica)
}

// accrueSlowStartCredit adds the credit that one request earns a replica in slow start, and reports whether the request
// may use the replica. It prevents all routers together from overloading such replicas: the credit limits the requests
// that this router sends to the replica to a fixed fraction of the replica's even share of the router's requests. Only
// offeredFraction of all requests are offered to the replica, so each of these earns correspondingly more credit. Each
// router's credit starts at a random value (resetStats), so that the sends of many routers add up to the same fraction.
// The router may send allowance requests ahead of its credit. The limit does harm if few replicas remain that are not
// in slow start.
func (r *Router) accrueSlowStartCredit(replica *replica, req *request, offeredFraction, allowance float64) bool {
	firstOfStage := req.attempts == 0 || req.attempts == 1 && req.state == awaitingDecode
	if !firstOfStage || r.now != req.selectionStart {
		return false // retries and repeated selections earn no credit and may not use the replica
	}
	replicaCount := float64(max(r.maxReady[replica.role], 1))
	evenShare := slowStartShare * r.cfg.OverloadMultiple * r.rampFraction(replica) / replicaCount
	replica.slowStartCredit = min(replica.slowStartCredit+evenShare/offeredFraction, maxSlowStartCredit-allowance)
	return replica.slowStartCredit+allowance >= 1
}

// slowStartAllowance returns how many requests this router may send to a prefill replica in slow start ahead of its
// credit. If the request has no shared prefix or a known one, it is 1, since the ranks limit what all routers send to
// the replica at once. If the prefix is new, it is this router's fraction of newPrefixAllowance, at most 1.
func (r *Router) slowStartAllowance(req *request) float64 {
	if entry := r.prefixTable[req.SharedPrefix]; entry == nil || entry.requests.count(r.now) > knownPrefixRequests {
		return 1
	}
	return min(r.ownFraction(newPrefixAllowance), 1)
}
