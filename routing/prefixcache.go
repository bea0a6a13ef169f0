package routing

import (
	"maps"
	"math"
	"time"
)

// prefixEntry is this router's state of a session or a shared prefix, an entry of Router.prefixTable.
type prefixEntry struct {
	endpoint  EndpointID // replica of the latest prefill
	tokens    int        // tokens that the replica cached; 0 if unknown
	updatedAt time.Duration
	requests  decayedMean // its count is the number of recent requests; its sum is not used
}

// countArrival counts a request towards all arrivals and towards the popularity of its shared prefix.
func (r *Router) countArrival(req *request) {
	r.arrivals.add(r.now, 0)
	if req.SharedPrefix != 0 {
		entry := getOrCreate(r.prefixTable, req.SharedPrefix)
		entry.requests.timeConstant = popularityTimeConstant
		entry.requests.add(r.now, 0)
	}
}

// sweepPrefixTable removes the expired entries every sweepInterval. If there are more than maxPrefixEntries entries, it
// also removes the least recently used ones until at most three quarters of maxPrefixEntries remain.
func (r *Router) sweepPrefixTable() {
	full := len(r.prefixTable) > maxPrefixEntries
	if !full && r.now-r.sweptAt < sweepInterval {
		return
	}
	r.sweptAt = r.now
	maxAge := time.Duration(prefixExpiryMultiple * popularityTimeConstant)
	r.removePrefixesUnusedFor(maxAge)
	for full && len(r.prefixTable) > maxPrefixEntries*3/4 && maxAge > 0 {
		maxAge /= 2
		r.removePrefixesUnusedFor(maxAge)
	}
}

// removePrefixesUnusedFor removes the entries that have not been used for longer than maxAge.
func (r *Router) removePrefixesUnusedFor(maxAge time.Duration) {
	oldest := r.now - maxAge
	maps.DeleteFunc(r.prefixTable, func(_ Key, entry *prefixEntry) bool {
		return max(entry.updatedAt, entry.requests.updatedAt) < oldest
	})
}

// recordPrefix records a prefix as cached from the time when a request with it is sent, so that a burst of requests
// with one prefix goes to the replica that is prefilling it.
func (r *Router) recordPrefix(key Key, id EndpointID, tokens int) {
	if key == 0 {
		return
	}
	entry := getOrCreate(r.prefixTable, key)
	entry.endpoint, entry.tokens, entry.updatedAt = id, tokens, r.now
}

// forgetPrefixes stops expecting that a replica which has failed a request's prefill has cached the request's prefixes.
func (r *Router) forgetPrefixes(req *request, id EndpointID) {
	for _, key := range []Key{req.Session, req.SharedPrefix} {
		if entry := r.prefixTable[key]; entry != nil && entry.endpoint == id {
			entry.tokens = 0
		}
	}
}

// expectedCachedTokens returns how many of the prompt's tokens are expected in a prefill replica's cache: those of the
// prefixes that this router has sent there and, if the replica's rank is below notPrefixReplicaRank, all tokens of the
// shared prefix, since other routers send that prefix to the same replicas. The number is scaled by the recent cache
// hit ratio. For a request whose replica is selected by polling, the second part is left out: this router sees too few
// requests to know whether the prefix is popular, and a rare prefix has not been sent there by any router. Then the
// rank only decides between equal queues.
func (r *Router) expectedCachedTokens(replica *replica, req *request, rank float64) int {
	tokens := max(
		r.recordedTokens(req.Session, req.PromptTokens, replica),
		r.recordedTokens(req.SharedPrefix, req.SharedPrefixTokens, replica),
	)
	if rank < notPrefixReplicaRank && !req.selectsByPoll() {
		tokens = max(tokens, float64(min(req.SharedPrefixTokens, req.PromptTokens)))
	}
	return int(tokens * r.cacheHitRatio.mean(r.now, 1, priorSamples))
}

// recordedTokens returns how many tokens of a prefix, up to limit, this router has sent to a replica, decayed with
// time. There is no entry for key 0.
func (r *Router) recordedTokens(key Key, limit int, replica *replica) float64 {
	entry := r.prefixTable[key]
	if entry == nil || entry.endpoint != replica.ID || entry.updatedAt < replica.cacheValidFrom {
		return 0
	}
	return max(0, decay(r.now-entry.updatedAt, prefixCacheTimeConstant)*float64(min(entry.tokens, limit)))
}

// prefixReplicaCount returns how many prefill replicas should cache the request's shared prefix, based on its share of
// the arrivals. It is a power of two, so that routers whose counts differ slightly agree on it.
func (r *Router) prefixReplicaCount(req *request) float64 {
	share := 0.0
	if entry := r.prefixTable[req.SharedPrefix]; entry != nil {
		share = max(entry.requests.count(r.now)-1, 0) / (r.arrivals.count(r.now) + popularityPriorRequests)
	}
	return math.Exp2(math.Floor(math.Log2(1 + share*float64(r.maxReady[Prefill])/maxPrefixShare)))
}
