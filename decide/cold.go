package decide

// Slow start: what a server that has just started may be sent.

// warmth is the share of its capacity that a server surely has by now.
func (r *Router) warmth(s *server) float64 {
	age := r.now - s.Started
	if s.Started <= 0 || age >= r.cfg.ColdFor || r.cfg.FallMultiple <= 0 {
		return 1
	}
	from := min(max(r.cfg.ColdFrom, 0.05), 1)
	return from + (1-from)*max(float64(age), 0)/float64(r.cfg.ColdFor)
}

// share is what a server takes of its role's work, against others; the rule leaves a cold reader room for
// more than its warmth.
func (r *Router) share(s *server) float64 {
	if s.role == Reader {
		return s.Weight * min(coldPull*r.warmth(s), 1)
	}
	return s.Weight * r.warmth(s)
}

// coldTurn guards against cold servers being pushed over by all routers together: of the requests that
// come to ask, flow of all, a set part may use the cold one. Each router counts that part from a start drawn
// from the seed, so all together stay at a set part of the server's even share of all sends; ahead is how
// many it may use before their time. It could do harm when few but cold servers are left.
func (r *Router) coldTurn(s *server, q *request, flow, ahead float64) bool {
	if first := q.sends == 0 || q.sends == 1 && q.phase == read; !first || r.now != q.lookAt {
		return false // further attempts and looks ask for no more than the first
	}
	even := coldPart * r.cfg.FallMultiple * r.warmth(s) / float64(max(r.most[s.role], 1))
	s.turn = min(s.turn+even/flow, 2-ahead)
	return s.turn+ahead >= 1
}

// ahead is how many sends this router may make to a cold reader before their time: one for texts that it
// knows, whose ranks bound what all send there at once; of one that is new its part of what chance may add.
func (r *Router) ahead(q *request) float64 {
	if t := r.table[q.Shared]; t == nil || t.asked.count(r.now) > 1.5 {
		return 1
	}
	return min(r.own(coldAhead), 1)
}
