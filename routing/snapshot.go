package routing

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Snapshot is a router's learned state. Another router starts with it: a replacement of the router, or an additional
// one. Times refer to a clock that both routers share (see Shift).
type Snapshot struct {
	TakenAt                   time.Duration
	PrefillModel, DecodeModel LatencyModel
	CommonQueueDelay          DecayedMean
	EstimateError             DecayedMean
	CacheHitRatio             DecayedMean
	Arrivals                  DecayedMean
	DelayPerQueuedRequest     DecayedMean
	Prefixes                  []PrefixCacheEntry
	Endpoints                 []EndpointStats
}

// The parts of a Snapshot.
type (
	// LatencyModel holds the sums of a least-squares fit, decayed to the time At: the normal matrix and the moment
	// vector.
	LatencyModel struct {
		Normal  [3][3]float64
		Moments [3]float64
		At      time.Duration
	}
	// DecayedMean holds the sum of samples and their number, decayed to the time At.
	DecayedMean struct {
		Sum, Count float64
		At         time.Duration
	}
	// EWMA holds an exponentially weighted moving average, decayed to the time At.
	EWMA struct {
		Value float64
		At    time.Duration
	}
	// PrefixCacheEntry states where a prefix is cached and how many requests have it.
	PrefixCacheEntry struct {
		Key       Key
		Endpoint  EndpointID
		Tokens    int
		UpdatedAt time.Duration
		Requests  DecayedMean
	}
	// EndpointStats is the learned state of one replica's process. It does not apply after a restart of the replica.
	EndpointStats struct {
		ID              EndpointID
		Started         time.Duration
		CacheValidFrom  time.Duration
		LastResponse    time.Duration
		Health          []EWMA // failure levels: for all classes together, then by class
		QueueDelay      DecayedMean
		FirstTokenDelay DecayedMean
		SlowStartCredit float64
	}
)

// Shift adds a duration to all times of a snapshot, for a machine whose clock differs. It does not change the replicas'
// start times, because they come from the endpoint list.
func (snapshot *Snapshot) Shift(by time.Duration) {
	snapshot.TakenAt += by
	snapshot.PrefillModel.At += by
	snapshot.DecodeModel.At += by
	snapshot.CommonQueueDelay.At += by
	snapshot.EstimateError.At += by
	snapshot.CacheHitRatio.At += by
	snapshot.Arrivals.At += by
	snapshot.DelayPerQueuedRequest.At += by
	for i := range snapshot.Prefixes {
		snapshot.Prefixes[i].UpdatedAt += by
		snapshot.Prefixes[i].Requests.At += by
	}
	for i := range snapshot.Endpoints {
		stats := &snapshot.Endpoints[i]
		stats.CacheValidFrom += by
		stats.LastResponse += by
		stats.QueueDelay.At += by
		stats.FirstTokenDelay.At += by
		for j := range stats.Health {
			stats.Health[j].At += by
		}
	}
}

// Snapshot returns the router's learned state at time now. It contains at most maxPrefixes prefixes, the most recently
// used ones.
func (r *Router) Snapshot(now time.Duration, maxPrefixes int) Snapshot {
	r.now = max(now, r.now)
	snapshot := Snapshot{
		TakenAt:               r.now,
		PrefillModel:          r.prefillModel.snapshot(),
		DecodeModel:           r.decodeModel.snapshot(),
		CommonQueueDelay:      r.commonQueueDelay.snapshot(),
		EstimateError:         r.estimateError.snapshot(),
		CacheHitRatio:         r.cacheHitRatio.snapshot(),
		Arrivals:              r.arrivals.snapshot(),
		DelayPerQueuedRequest: r.delayPerQueuedRequest.snapshot(),
	}
	for _, key := range slices.Sorted(maps.Keys(r.prefixTable)) {
		entry := r.prefixTable[key]
		snapshot.Prefixes = append(snapshot.Prefixes, PrefixCacheEntry{
			Key:       key,
			Endpoint:  entry.endpoint,
			Tokens:    entry.tokens,
			UpdatedAt: entry.updatedAt,
			Requests:  entry.requests.snapshot(),
		})
	}
	if len(snapshot.Prefixes) > maxPrefixes {
		slices.SortStableFunc(snapshot.Prefixes, func(a, b PrefixCacheEntry) int {
			return -cmp.Compare(a.lastUsed(), b.lastUsed())
		})
		snapshot.Prefixes = snapshot.Prefixes[:maxPrefixes]
	}
	for _, replica := range r.replicas {
		snapshot.Endpoints = append(snapshot.Endpoints, replica.snapshot())
	}
	return snapshot
}

// lastUsed returns the time of the latest request with the prefix.
func (e *PrefixCacheEntry) lastUsed() time.Duration { return max(e.UpdatedAt, e.Requests.At) }

func (rep *replica) snapshot() EndpointStats {
	stats := EndpointStats{
		ID:              rep.ID,
		Started:         rep.Started,
		CacheValidFrom:  rep.cacheValidFrom,
		LastResponse:    rep.lastResponse,
		QueueDelay:      rep.queueDelay.snapshot(),
		FirstTokenDelay: rep.firstTokenDelay.snapshot(),
		SlowStartCredit: rep.slowStartCredit,
	}
	for _, level := range rep.health {
		stats.Health = append(stats.Health, EWMA{level.value, level.updatedAt})
	}
	return stats
}

func (m *decayedMean) snapshot() DecayedMean { return DecayedMean{m.sum, m.samples, m.updatedAt} }

func (f *latencyModel) snapshot() LatencyModel { return LatencyModel{f.normal, f.moments, f.updatedAt} }

// restore adopts another router's learned state if it is recent.
func (r *Router) restore(snapshot Snapshot) {
	if age := r.now - snapshot.TakenAt; age > snapshotMaxAge || age < -maxClockSkew {
		return
	}
	r.prefillModel.restore(r.now, snapshot.PrefillModel)
	r.decodeModel.restore(r.now, snapshot.DecodeModel)
	r.commonQueueDelay.restore(r.now, snapshot.CommonQueueDelay)
	r.estimateError.restore(r.now, snapshot.EstimateError)
	r.cacheHitRatio.restore(r.now, snapshot.CacheHitRatio)
	r.arrivals.restore(r.now, snapshot.Arrivals)
	r.delayPerQueuedRequest.restore(r.now, snapshot.DelayPerQueuedRequest)
	restored := map[EndpointID]bool{}
	for _, stats := range snapshot.Endpoints {
		if replica := r.byID[stats.ID]; replica != nil && r.sameIncarnation(replica, stats) {
			restored[stats.ID] = true
			r.restoreStats(replica, stats)
		}
	}
	for _, entry := range snapshot.Prefixes {
		if restored[entry.Endpoint] {
			r.restorePrefix(entry)
		}
	}
}

// sameIncarnation reports whether stats belong to the replica's current process. Each router gets the replica's start
// time from the endpoint list and converts it to its own clock, so two start times of one process differ only by clock
// skew.
func (r *Router) sameIncarnation(replica *replica, stats EndpointStats) bool {
	skew := max(replica.Started-stats.Started, stats.Started-replica.Started)
	return skew <= maxClockSkew && stats.CacheValidFrom <= r.now
}

// restorePrefix adopts an entry that is plausible and not expired. If both routers have a replica for the prefix, the
// one that was recorded later counts.
func (r *Router) restorePrefix(entry PrefixCacheEntry) {
	oldest := r.now - prefixExpiryMultiple*popularityTimeConstant
	if entry.Key == 0 || entry.Tokens < 0 || entry.UpdatedAt > r.now || entry.lastUsed() < oldest {
		return
	}
	own := getOrCreate(r.prefixTable, entry.Key)
	own.requests.timeConstant = popularityTimeConstant
	own.requests.restore(r.now, entry.Requests)
	if entry.UpdatedAt > own.updatedAt {
		own.endpoint, own.tokens, own.updatedAt = entry.Endpoint, entry.Tokens, entry.UpdatedAt
	}
}

// restoreStats adopts another router's learned state of a replica where it is plausible and either rests on more
// samples or is more recent than this router's own. Of two slow-start credits or two values of cacheValidFrom, the
// lower one counts.
func (r *Router) restoreStats(replica *replica, stats EndpointStats) {
	replica.cacheValidFrom = min(replica.cacheValidFrom, stats.CacheValidFrom)
	replica.queueDelay.restore(r.now, stats.QueueDelay)
	replica.firstTokenDelay.restore(r.now, stats.FirstTokenDelay)
	if stats.LastResponse <= r.now {
		replica.lastResponse = max(replica.lastResponse, stats.LastResponse)
	}
	if r.inSlowStart(replica) && plausible(stats.SlowStartCredit) {
		// The lower credit counts, because it includes what the other router has sent.
		replica.slowStartCredit = min(replica.slowStartCredit, stats.SlowStartCredit)
	}
	for i := range min(len(replica.health), len(stats.Health)) {
		replica.health[i].restore(r.now, stats.Health[i])
	}
}

// restore adopts another router's average if it is plausible and more recent than its own.
func (a *ewma) restore(now time.Duration, other EWMA) {
	if other.Value >= 0 && other.Value <= 1 && other.At > a.updatedAt && other.At <= now {
		a.value, a.updatedAt = other.Value, other.At
	}
}

// restore adopts another router's samples if they are plausible and more than its own.
func (m *decayedMean) restore(now time.Duration, other DecayedMean) {
	if !plausible(other.Sum, other.Count) || other.Count < 0 || other.At > now {
		return
	}
	if other.Count*decay(now-other.At, m.timeConstant) > m.count(now) {
		m.sum, m.samples, m.updatedAt = other.Sum, other.Count, other.At
	}
}

// restore adopts another router's samples if they are plausible and more than its own.
func (f *latencyModel) restore(now time.Duration, other LatencyModel) {
	if other.At > now || !other.plausible() {
		return
	}
	// The element for the base input, which is always 1, is the number of samples.
	samples := other.Normal[baseInput][baseInput] * decay(now-other.At, f.timeConstant)
	if samples > f.normal[baseInput][baseInput]*decay(now-f.updatedAt, f.timeConstant) {
		f.normal, f.moments, f.updatedAt = other.Normal, other.Moments, other.At
		f.solve(now)
	}
}

// plausible reports whether all sums are plausible and the elements on the diagonal, which are sums of squares, are not
// negative.
func (m *LatencyModel) plausible() bool {
	for i := range m.Normal {
		if !plausible(m.Normal[i][:]...) || m.Normal[i][i] < 0 {
			return false
		}
	}
	return plausible(m.Moments[:]...)
}

// plausible reports whether no value is NaN or too large for a router to have learned it.
func plausible(figures ...float64) bool {
	return !slices.ContainsFunc(figures, func(x float64) bool { return !(x > -maxPlausible && x < maxPlausible) })
}
