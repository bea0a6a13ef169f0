package routing

// Estimates: what a read or a wait at a server will take.

import (
	"math"
)

// expectedCachedTokens is how many of the prompt's tokens are expected to be kept at the reader: by the table, and
// where the reader is a home of the shared beginning, by what other routers will have sent there.
func (r *Router) expectedCachedTokens(s *replica, q *request, home bool) int {
	most := 0.0
	look := func(key Key, limit int) {
		if t := r.prefixCache[key]; t != nil && t.endpoint == s.ID && t.updatedAt >= s.cacheValidFrom {
			most = max(most, decay(r.now-t.updatedAt, prefixCacheTimeConstant)*float64(min(t.tokens, limit)))
		}
	}
	look(q.Session, q.PromptTokens) // the table holds no key 0
	look(q.SharedPrefix, q.SharedPrefixTokens)
	if home {
		most = max(most, float64(min(q.SharedPrefixTokens, q.PromptTokens)))
	}
	return int(most * r.cacheHitRatio.mean(r.now, 1, priorSamples))
}

// prefixReplicas is how many readers should keep the request's shared beginning, by its part of what arrives,
// in steps that routers with somewhat different counts still agree on.
func (r *Router) prefixReplicas(q *request) float64 {
	part := 0.0
	if t := r.prefixCache[q.SharedPrefix]; t != nil {
		part = max(t.requests.count(r.now)-1, 0) / (r.arrivals.count(r.now) + popularityPriorRequests)
	}
	return math.Exp2(math.Floor(math.Log2(1 + part*float64(r.maxReady[Prefill])/maxPrefixShare)))
}

const notPrefixReplicaRank = 1e6 // a rank past those of all homes

// rendezvousRank orders the readers for a request's keys alike at all routers, so that texts are found kept
// without a word between them: among the homes of the shared beginning by the session, then the rest.
// It could do harm where one text asks for more than its homes can read before its part is known.
func (r *Router) rendezvousRank(s *replica, q *request, homes float64) float64 {
	pull, _ := r.cellPreference(s.cell)
	weight := r.effectiveWeight(s) * pull
	if q.SharedPrefix != 0 {
		if x := exponentialDraw(q.SharedPrefix, s.ID) / weight * float64(r.maxReady[Prefill]) / homes; x > 1 {
			return notPrefixReplicaRank + x
		}
	}
	return exponentialDraw(q.Session, s.ID) / weight
}

// overdueMS is how far the oldest attempt out at the server has overstayed, in ms. It guards against
// silent and slowed servers before any time-out fires.
func (r *Router) overdueMS(s *replica) float64 {
	if len(s.pending) == 0 {
		return 0
	}
	return max(toMS(r.now-s.pending[0].expectedBy), 0)
}

// prefillEstimate is the design's estimate for one reader, in ms. Its queue wait is what own reads or
// reports tell, the wait common to all readers of late, and how far this one's reads lay from that. A
// cold server gets less than its part, so the common wait is not there.
func (r *Router) prefillEstimate(s *replica, kept int, q *request) (queue, cost float64) {
	missed := float64(max(0, q.PromptTokens-kept)) / 1000
	queue = r.prefillModel.coefficients[2] * float64(len(s.pending))
	if s.reportedBacklog >= 0 {
		queue = s.reportedBacklog * r.prefillModel.coefficients[1]
	}
	warmth := r.rampFraction(s)
	common := max(r.prefillModel.coefficients[0]-initialPrefillBaseMS, 0)
	cost = r.prefillModel.coefficients[0] + r.prefillModel.coefficients[1]*missed - common
	if r.cfg.CanPollLoad && r.now-s.loadReportedAt <= loadMaxAge {
		return s.reportedQueue*r.perQueuedRequest.mean(r.now, initialPerQueuedRequestMS, priorSamples)/warmth + r.overdueMS(s), cost / warmth
	}
	queue += common + r.commonQueueDelay.mean(r.now, 0, commonDelayPriorSamples)
	queue = max(queue+s.queueDelay.mean(r.now, 0, priorSamples), 0) + r.overdueMS(s)
	return queue, cost / warmth
}

// decodeWaitMS is what a writer adds to the estimate: nothing unless it is near full by its report, by
// having turned us away, or by the first tokens that we wait for there.
func (r *Router) decodeWaitMS(s *replica) float64 {
	w := s.firstTokenDelay.mean(r.now, 0, priorSamples)
	if len(s.pending) > 0 {
		w = max(w, toMS(r.now-s.pending[0].sentAt), r.decodeModel.predict([3]float64{1, 0, float64(len(s.pending))}))
	}
	if r.now < s.fullUntil || w > nearFullWaitMS || s.reportedMemory > nearFullMemoryFraction && r.loadKnown(s) {
		return max(w, toMS(s.fullUntil-r.now))
	}
	return 0
}

// cellDecodeWaitMS is the least wait among the writers of a reader's cell, else among all.
func (r *Router) cellDecodeWaitMS(c *cellCapacity) float64 {
	w := min(c.minDecodeWaitMS, r.totalCapacity.minDecodeWaitMS+nearFullWaitMS)
	if math.IsInf(w, 1) {
		return 0
	}
	return w
}

// exponentialDraw is an exponential variate that hangs on the key and the server alone.
func exponentialDraw(key Key, id EndpointID) float64 {
	x := uint64(key) ^ (uint64(id)+1)*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return -math.Log((float64((x^x>>31)>>11) + 0.5) / (1 << 53))
}
