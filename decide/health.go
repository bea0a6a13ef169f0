package decide

// Health: which servers may be sent work, by what became of earlier attempts.

// usable reports whether a server may be sent this class of work. It guards against servers that die,
// go silent or fail fast, for all classes or for one: a high level ejects, and one safe attempt at a
// time leads back.
func (r *Router) usable(s *server, class int) bool {
	if s.State != Ready {
		return false
	}
	failed := max(s.health[0].now(r.now), s.health[1+class].now(r.now))
	trial := len(s.waits) == 0 && (s.role == Reader || r.cfg.Classes[class].Effect == Safe)
	return failed < ejectAt/2 || failed < ejectAt && trial
}

// failure counts against a server for one class, and unless it has answered since, for all.
func (r *Router) failure(s *server, class int, weight float64, all bool) {
	s.health[1+class].move(r.now, 1, weight)
	if all {
		s.health[0].move(r.now, 1, weight)
	}
}

func (r *Router) success(s *server, class int) {
	s.heard = r.now
	s.health[0].move(r.now, 0, healWeight)
	s.health[1+class].move(r.now, 0, healWeight)
}
