package routing

// Health: which servers may be sent work, by what became of earlier attempts.

// healthy reports whether a server may be sent this class of work. It guards against servers that die,
// go silent or fail fast, for all classes or for one: a high level ejects, and one safe attempt at a
// time leads back.
func (r *Router) healthy(s *replica, class int) bool {
	if s.State != Ready {
		return false
	}
	failed := max(s.health[0].current(r.now), s.health[1+class].current(r.now))
	trial := len(s.pending) == 0 && (s.role == Prefill || r.cfg.Classes[class].Idempotency == Idempotent)
	return failed < ejectionThreshold/2 || failed < ejectionThreshold && trial
}

// recordFailure counts against a server for one class, and unless it has answered since, for all.
func (r *Router) recordFailure(s *replica, class int, weight float64, all bool) {
	s.health[1+class].update(r.now, 1, weight)
	if all {
		s.health[0].update(r.now, 1, weight)
	}
}

func (r *Router) recordSuccess(s *replica, class int) {
	s.lastResponse = r.now
	s.health[0].update(r.now, 0, successWeight)
	s.health[1+class].update(r.now, 0, successWeight)
}
