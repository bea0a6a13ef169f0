package decide

// Estimates: what a read or a wait at a server will take.

import (
	"math"
)

// keptAt is how many of the prompt's tokens are expected to be kept at the reader: by the table, and
// where the reader is a home of the shared beginning, by what other routers will have sent there.
func (r *Router) keptAt(s *server, q *request, home bool) int {
	most := 0.0
	look := func(key Key, limit int) {
		if t := r.table[key]; t != nil && t.reader == s.ID && t.at >= s.voidTill {
			most = max(most, faded(r.now-t.at, tableFade)*float64(min(t.tokens, limit)))
		}
	}
	look(q.Session, q.Prompt) // the table holds no key 0
	look(q.Shared, q.SharedTokens)
	if home {
		most = max(most, float64(min(q.SharedTokens, q.Prompt)))
	}
	return int(most * r.trust.mean(r.now, 1, priorWeight))
}

// homes is how many readers should keep the request's shared beginning, by its part of what arrives,
// in steps that routers with somewhat different counts still agree on.
func (r *Router) homes(q *request) float64 {
	part := 0.0
	if t := r.table[q.Shared]; t != nil {
		part = max(t.asked.count(r.now)-1, 0) / (r.arrivals.count(r.now) + sharePrior)
	}
	return math.Exp2(math.Floor(math.Log2(1 + part*float64(r.most[Reader])/homePart)))
}

const notHome = 1e6 // a rank past those of all homes

// homeRank orders the readers for a request's keys alike at all routers, so that texts are found kept
// without a word between them: among the homes of the shared beginning by the session, then the rest.
// It could do harm where one text asks for more than its homes can read before its part is known.
func (r *Router) homeRank(s *server, q *request, homes float64) float64 {
	pull, _ := r.pull(s.cell)
	weight := r.share(s) * pull
	if q.Shared != 0 {
		if x := draw(q.Shared, s.ID) / weight * float64(r.most[Reader]) / homes; x > 1 {
			return notHome + x
		}
	}
	return draw(q.Session, s.ID) / weight
}

// overdue is how far the oldest attempt out at the server has overstayed, in ms. It guards against
// silent and slowed servers before any time-out fires.
func (r *Router) overdue(s *server) float64 {
	if len(s.waits) == 0 {
		return 0
	}
	return max(toMS(r.now-s.waits[0].due), 0)
}

// readerEstimate is the design's estimate for one reader, in ms. Its queue wait is what own reads or
// reports tell, the wait common to all readers of late, and how far this one's reads lay from that. A
// cold server gets less than its part, so the common wait is not there.
func (r *Router) readerEstimate(s *server, kept int, q *request) (queue, cost float64) {
	missed := float64(max(0, q.Prompt-kept)) / 1000
	queue = r.fit.coef[2] * float64(len(s.waits))
	if s.backlog >= 0 {
		queue = s.backlog * r.fit.coef[1]
	}
	warmth := r.warmth(s)
	common := max(r.fit.coef[0]-startBeta0, 0)
	cost = r.fit.coef[0] + r.fit.coef[1]*missed - common
	if r.cfg.MayProbe && r.now-s.loadAt <= loadFresh {
		return s.load*r.each.mean(r.now, startEach, priorWeight)/warmth + r.overdue(s), cost / warmth
	}
	queue += common + r.lag.mean(r.now, 0, lagPrior)
	queue = max(queue+s.excess.mean(r.now, 0, priorWeight), 0) + r.overdue(s)
	return queue, cost / warmth
}

// writerWait is what a writer adds to the estimate: nothing unless it is near full by its report, by
// having turned us away, or by the first tokens that we wait for there.
func (r *Router) writerWait(s *server) float64 {
	w := s.wait.mean(r.now, 0, priorWeight)
	if len(s.waits) > 0 {
		w = max(w, toMS(r.now-s.waits[0].at), r.fetch.predict([3]float64{1, 0, float64(len(s.waits))}))
	}
	if r.now < s.fullTill || w > nearFullWait || s.memory > nearFullShare && r.told(s) {
		return max(w, toMS(s.fullTill-r.now))
	}
	return 0
}

// cellWait is the least wait among the writers of a reader's cell, else among all.
func (r *Router) cellWait(c *cell) float64 {
	w := min(c.wait, r.every.wait+nearFullWait)
	if math.IsInf(w, 1) {
		return 0
	}
	return w
}
