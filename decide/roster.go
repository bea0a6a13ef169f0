package decide

// The list of servers: which there are, what is known of each, and how they add up by cell.

import (
	"cmp"
	"math"
	"slices"
)

func (r *Router) roster(e Roster) {
	if e.Full {
		for _, s := range r.servers {
			s.State = Gone
		}
	}
	for _, in := range e.Servers {
		r.listServer(in)
	}
	r.servers = slices.DeleteFunc(r.servers, func(s *server) bool {
		if s.State != Gone || len(s.waits) > 0 || s.streams > 0 {
			return false
		}
		delete(r.byID, s.ID)
		return true
	})
	r.refocus()
}

func (r *Router) listServer(in Server) {
	s := r.byID[in.ID]
	if s == nil {
		if in.State == Gone {
			return
		}
		s = &server{Server: in}
		s.forget(r)
		r.byID[in.ID] = s
		at, _ := slices.BinarySearchFunc(r.servers, in.ID, func(s *server, id ServerID) int {
			return cmp.Compare(s.ID, id)
		})
		r.servers = slices.Insert(r.servers, at, s)
	}
	if in.Started != s.Started || in.State == Gone {
		s.forget(r)
	}
	s.Server = in
	s.cell = entry(r.cells, in.Cell)
	if in.Kind >= 0 && in.Kind < len(r.cfg.Kinds) {
		s.role = r.cfg.Kinds[in.Kind].Role
	}
	if !(s.Weight > 0) {
		s.Weight = 1
	}
}

// forget drops what was learnt of a server's last process: what it kept is void, its failures are not
// the new one's.
func (s *server) forget(r *Router) {
	s.voidTill, s.fullTill, s.memory, s.backlog = r.now, 0, -1, -1
	s.excess, s.wait, s.turn = evidence{fade: fitFade}, evidence{fade: waitFade}, r.rng.Float64()
	s.health = slices.Repeat([]level{{fade: healthFade}}, 1+len(r.cfg.Classes))
}

// survey sums up the cells for a decision about a class, in two passes over the servers.
func (r *Router) survey(class int) {
	none := cell{wait: math.Inf(1)}
	for _, s := range r.near {
		*s.cell = none
	}
	r.every = none
	r.fit.solve(r.now)
	r.fetch.solve(r.now)
	for _, s := range r.near {
		weight := r.share(s)
		if s.role == Reader && s.State == Ready {
			s.cell.sends += weight
			r.every.sends += weight
		}
		if !r.usable(s, class) {
			continue
		}
		if s.role == Reader {
			s.cell.readers += weight
			r.every.readers += weight
			continue
		}
		s.cell.writers += weight
		r.every.writers += weight
		w := r.writerWait(s)
		s.cell.wait, r.every.wait = min(s.cell.wait, w), min(r.every.wait, w)
	}
	if r.turns() {
		r.survey(class)
	}
}

// pull weighs a cell's readers by what its writers bear; room is the part of its readers' states that
// its writers can then take if all servers are used evenly. Few of a cell's servers are ever seen busy
// by one router among many, so the list must tell that a cell has too few writers. It could do harm
// where weights in the list mean nothing.
func (r *Router) pull(c *cell) (pull, room float64) {
	bears := math.Inf(1)
	if c.readers > 0 && r.every.writers > 0 {
		bears = c.writers / r.every.writers * r.every.readers / c.readers
	}
	pull = clamp(bears, minPull, 1)
	return pull, bears / pull
}
