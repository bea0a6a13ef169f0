package replica

import (
	"fmt"
	"net/http"
	"time"

	"rampspread/internal/faultbench/deployment"
	"rampspread/internal/faultbench/timing"
)

// Capacity and limits of a prefill replica.
const (
	prefillQueueLimit   = 32    // maximum number of waiting attempts
	prefixCacheTokens   = 150e3 // capacity of the prefix cache, in tokens
	reservedTokensLimit = 120e3 // tokens of reserved states above which attempts are rejected
	prefillOverhead     = 3 * time.Millisecond
	reservationTimeout  = 10 * time.Second // time after which an unused state is removed
)

// prefill simulates the computation of the prompt after its cached tokens. Attempts are processed one after the other.
func (r *Replica) prefill(w http.ResponseWriter, req *http.Request, a attempt) {
	r.mu.Lock()
	if r.waiting >= prefillQueueLimit || float64(r.cluster.reservedTokens(r)) > reservedTokensLimit {
		r.mu.Unlock()
		respondNotExecuted(w, http.StatusServiceUnavailable)
		return
	}
	cached := min(max(r.cachedTokens[a.request.Prefix], r.cachedTokens[a.request.Session]), a.request.PromptTokens)
	work := time.Duration(float64(a.request.PromptTokens-cached) / (deployment.PrefillTokensPerSecond * r.relativeSpeed()) * float64(time.Second))
	now := time.Now()
	if r.queueEmptyAt.Before(now) {
		r.queueEmptyAt = now
	}
	r.queueEmptyAt = r.queueEmptyAt.Add(work + prefillOverhead)
	due := r.queueEmptyAt
	r.waiting++
	r.mu.Unlock()
	err := timing.Sleep(req.Context(), time.Until(due))
	r.mu.Lock()
	r.waiting--
	if err == nil {
		r.cachePrefix(a.request.Prefix, a.request.PrefixTokens)
		r.cachePrefix(a.request.Session, a.request.PromptTokens)
	}
	r.mu.Unlock()
	if err != nil {
		return
	}
	r.cluster.reserveState(a.id, r, a.request.PromptTokens, a.dispatcher)
	w.WriteHeader(http.StatusAccepted)
	fmt.Fprintf(w, `{"cached_tokens":%d}`, cached)
}

// cachePrefix adds a prefix to the cache, and evicts others in arbitrary order if the cache is full. The caller must
// hold the lock.
func (r *Replica) cachePrefix(prefix string, tokens int) {
	if prefix == "" || r.cachedTokens[prefix] >= tokens {
		return
	}
	r.totalCachedTokens += tokens - r.cachedTokens[prefix]
	r.cachedTokens[prefix] = tokens
	for other, n := range r.cachedTokens {
		if r.totalCachedTokens <= prefixCacheTokens {
			return
		}
		if other != prefix {
			delete(r.cachedTokens, other)
			r.totalCachedTokens -= n
		}
	}
}
