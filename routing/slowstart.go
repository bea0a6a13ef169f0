package routing

// Slow start: what a server that has just started may be sent.

// rampFraction is the share of its capacity that a server surely has by now.
func (r *Router) rampFraction(s *replica) float64 {
	age := r.now - s.Started
	if s.Started <= 0 || age >= r.cfg.SlowStartDuration || r.cfg.OverloadMultiple <= 0 {
		return 1
	}
	from := min(max(r.cfg.SlowStartInitial, 0.05), 1)
	return from + (1-from)*max(float64(age), 0)/float64(r.cfg.SlowStartDuration)
}

// effectiveWeight is what a server takes of its role's work, against others; the rule leaves a cold reader room for
// more than its warmth.
func (r *Router) effectiveWeight(s *replica) float64 {
	if s.role == Prefill {
		return s.Weight * min(slowStartWeightFactor*r.rampFraction(s), 1)
	}
	return s.Weight * r.rampFraction(s)
}

// takeSlowStartTurn guards against cold servers being pushed over by all routers together: of the requests that
// come to ask, flow of all, a set part may use the cold one. Each router counts that part from a start drawn
// from the seed, so all together stay at a set part of the server's even share of all sends; ahead is how
// many it may use before their time. It could do harm when few but cold servers are left.
func (r *Router) takeSlowStartTurn(s *replica, q *request, flow, ahead float64) bool {
	if first := q.attempts == 0 || q.attempts == 1 && q.state == awaitingDecode; !first || r.now != q.selectionStart {
		return false // further attempts and looks ask for no more than the first
	}
	even := slowStartShare * r.cfg.OverloadMultiple * r.rampFraction(s) / float64(max(r.maxReady[s.role], 1))
	s.slowStartCredit = min(s.slowStartCredit+even/flow, 2-ahead)
	return s.slowStartCredit+ahead >= 1
}

// slowStartAllowance is how many sends this router may make to a cold reader before their time: one for texts that it
// knows, whose ranks bound what all send there at once; of one that is new its part of what chance may add.
func (r *Router) slowStartAllowance(q *request) float64 {
	if t := r.prefixCache[q.SharedPrefix]; t == nil || t.requests.count(r.now) > 1.5 {
		return 1
	}
	return min(r.ownFraction(newPrefixAllowance), 1)
}
