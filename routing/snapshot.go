package routing

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Snapshot are what a router has learnt, for another to begin with: one that takes its place, or one that starts. Times are of the
// clock that both share.
type Snapshot struct {
	TakenAt          time.Duration
	Prefill, Decode  LatencyModel
	CommonQueueDelay DecayedMean
	EstimateError    DecayedMean
	CacheHitRatio    DecayedMean
	Arrivals         DecayedMean
	PerQueuedRequest DecayedMean
	Prefixes         []PrefixCacheEntry
	Endpoints        []EndpointStats
}

// Fit is a fading fit of times, Evidence a fading mean, Level a fading average, as this package sums them up.
type (
	// LatencyModel holds the sums of a fit.
	LatencyModel struct {
		A  [3][3]float64
		B  [3]float64
		At time.Duration
	}
	// DecayedMean holds a sum of samples and their number.
	DecayedMean struct {
		Sum, Count float64
		At         time.Duration
	}
	// EWMA holds a value.
	EWMA struct {
		Value float64
		At    time.Duration
	}
	// PrefixCacheEntry is where a text is kept.
	PrefixCacheEntry struct {
		Key       Key
		Endpoint  EndpointID
		Tokens    int
		UpdatedAt time.Duration
		Requests  DecayedMean
	}
	// EndpointStats is what is known of one server's process: it is void for another start of it.
	EndpointStats struct {
		ID              EndpointID
		Started         time.Duration
		CacheValidFrom  time.Duration
		LastResponse    time.Duration
		Health          []EWMA
		QueueDelay      DecayedMean
		FirstTokenDelay DecayedMean
		SlowStartCredit float64
	}
)

// Shift moves all times of beliefs but servers' starts, which the list tells: another machine's clock may differ.
func (b *Snapshot) Shift(by time.Duration) {
	b.TakenAt += by
	b.Prefill.At += by
	b.Decode.At += by
	for _, e := range []*DecayedMean{&b.CommonQueueDelay, &b.EstimateError, &b.CacheHitRatio, &b.Arrivals, &b.PerQueuedRequest} {
		e.At += by
	}
	for i := range b.Prefixes {
		b.Prefixes[i].UpdatedAt += by
		b.Prefixes[i].Requests.At += by
	}
	for i := range b.Endpoints {
		s := &b.Endpoints[i]
		s.CacheValidFrom += by
		s.LastResponse += by
		s.QueueDelay.At += by
		s.FirstTokenDelay.At += by
		for j := range s.Health {
			s.Health[j].At += by
		}
	}
}

func (e *decayedMean) snapshot() DecayedMean { return DecayedMean{e.sum, e.samples, e.updatedAt} }

// restore takes another's evidence where it is more than its own.
func (e *decayedMean) restore(now time.Duration, o DecayedMean) {
	if plausible(o.Sum, o.Count) && o.Count >= 0 && o.At <= now && o.Count*decay(now-o.At, e.timeConstant) > e.count(now) {
		e.sum, e.samples, e.updatedAt = o.Sum, o.Count, o.At
	}
}

func (f *latencyModel) snapshot() LatencyModel { return LatencyModel{f.normal, f.moments, f.updatedAt} }

func (f *latencyModel) restore(now time.Duration, o LatencyModel) {
	ok := o.At <= now && plausible(o.B[:]...)
	for i := range o.A {
		ok = ok && plausible(o.A[i][:]...) && o.A[i][i] >= 0
	}
	// A[0][0] is the number of samples, since the first input is 1.
	if ok && o.A[0][0]*decay(now-o.At, f.timeConstant) > f.normal[0][0]*decay(now-f.updatedAt, f.timeConstant) {
		f.normal, f.moments, f.updatedAt = o.A, o.B, o.At
		f.solve(now)
	}
}

// plausible reports whether figures are such as a router may have.
func plausible(x ...float64) bool {
	return !slices.ContainsFunc(x, func(v float64) bool { return !(v > -maxPlausible && v < maxPlausible) })
}

// Snapshot returns what the router has learnt, with so many texts at the most, the youngest.
func (r *Router) Snapshot(now time.Duration, texts int) Snapshot {
	r.now = max(now, r.now)
	b := Snapshot{TakenAt: r.now, Prefill: r.prefillModel.snapshot(), Decode: r.decodeModel.snapshot(), CommonQueueDelay: r.commonQueueDelay.snapshot(), EstimateError: r.estimateError.snapshot(),
		CacheHitRatio: r.cacheHitRatio.snapshot(), Arrivals: r.arrivals.snapshot(), PerQueuedRequest: r.perQueuedRequest.snapshot()}
	for _, key := range slices.Sorted(maps.Keys(r.prefixCache)) {
		t := r.prefixCache[key]
		b.Prefixes = append(b.Prefixes, PrefixCacheEntry{key, t.endpoint, t.tokens, t.updatedAt, t.requests.snapshot()})
	}
	if len(b.Prefixes) > texts {
		slices.SortStableFunc(b.Prefixes, func(a, b PrefixCacheEntry) int {
			return -cmp.Compare(max(a.UpdatedAt, a.Requests.At), max(b.UpdatedAt, b.Requests.At))
		})
		b.Prefixes = b.Prefixes[:texts]
	}
	for _, s := range r.replicas {
		k := EndpointStats{ID: s.ID, Started: s.Started, CacheValidFrom: s.cacheValidFrom, LastResponse: s.lastResponse, QueueDelay: s.queueDelay.snapshot(), FirstTokenDelay: s.firstTokenDelay.snapshot(), SlowStartCredit: s.slowStartCredit}
		for _, h := range s.health {
			k.Health = append(k.Health, EWMA{h.value, h.updatedAt})
		}
		b.Endpoints = append(b.Endpoints, k)
	}
	return b
}

// restore takes what another router has learnt.
func (r *Router) restore(b Snapshot) {
	if age := r.now - b.TakenAt; age > snapshotMaxAge || age < -maxClockSkew {
		return
	}
	r.prefillModel.restore(r.now, b.Prefill)
	r.decodeModel.restore(r.now, b.Decode)
	for e, o := range map[*decayedMean]DecayedMean{&r.commonQueueDelay: b.CommonQueueDelay, &r.estimateError: b.EstimateError, &r.cacheHitRatio: b.CacheHitRatio, &r.arrivals: b.Arrivals, &r.perQueuedRequest: b.PerQueuedRequest} {
		e.restore(r.now, o)
	}
	known := map[EndpointID]bool{}
	for _, k := range b.Endpoints {
		// A start is told by each process's list, and so the same but for the clocks that they turn it into.
		if s := r.byID[k.ID]; s != nil && max(s.Started-k.Started, k.Started-s.Started) <= maxClockSkew && k.CacheValidFrom <= r.now {
			known[k.ID] = true
			r.restoreStats(s, k)
		}
	}
	for _, k := range b.Prefixes {
		if k.Key == 0 || !known[k.Endpoint] || k.Tokens < 0 || k.UpdatedAt > r.now || max(k.UpdatedAt, k.Requests.At) < r.now-2*popularityTimeConstant {
			continue
		}
		t := getOrCreate(r.prefixCache, k.Key)
		t.requests.timeConstant = popularityTimeConstant
		t.requests.restore(r.now, k.Requests)
		if k.UpdatedAt > t.updatedAt {
			t.endpoint, t.tokens, t.updatedAt = k.Endpoint, k.Tokens, k.UpdatedAt
		}
	}
}

func (r *Router) restoreStats(s *replica, k EndpointStats) {
	s.cacheValidFrom = min(s.cacheValidFrom, k.CacheValidFrom)
	s.queueDelay.restore(r.now, k.QueueDelay)
	s.firstTokenDelay.restore(r.now, k.FirstTokenDelay)
	if k.LastResponse <= r.now {
		s.lastResponse = max(s.lastResponse, k.LastResponse)
	}
	if r.rampFraction(s) < 1 && plausible(k.SlowStartCredit) {
		s.slowStartCredit = min(s.slowStartCredit, k.SlowStartCredit) // what the other has sent counts
	}
	for i := range min(len(s.health), len(k.Health)) {
		if h := k.Health[i]; h.Value >= 0 && h.Value <= 1 && h.At > s.health[i].updatedAt && h.At <= r.now {
			s.health[i].value, s.health[i].updatedAt = h.Value, h.At
		}
	}
}
