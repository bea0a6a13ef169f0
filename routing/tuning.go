package routing

import "time"

const ms = time.Millisecond

// Admission: how much estimated latency a request may have and still be admitted.
const (
	// latencyHeadroom is the fraction of its latency objective that a request's estimate may take (the paper's
	// headroom). Raising it admits more requests, of which more are late.
	latencyHeadroom = 0.5
	// criticalHeadroom is the fraction of its latency objective that a critical request's estimate may take. Raising it
	// lets a flood of critical requests make all of them late.
	criticalHeadroom = 0.75
	// overQuotaDivisor divides the latency budget of a request beyond its tenant's quota. Raising it rejects more of
	// these requests.
	overQuotaDivisor = 2
	// quotaBurstSpan gives the burst of a tenant's quota: as many requests as the quota allows in this time may arrive
	// at once. Raising it tolerates more uneven traffic and larger bursts.
	quotaBurstSpan = 5 * time.Second
	// quotaBurstExtra is the number of requests that may arrive at once beyond the burst of quotaBurstSpan. Raising it
	// tolerates more uneven traffic where this router's fraction of the quota is small.
	quotaBurstExtra = 3.0
)

// Latency models: prior values, which are taken from the paper and refit from observed prefills, and the decay of
// samples.
const (
	// initialPrefillBaseMS is the prior fixed cost of a prefill. Raising it makes a new router more cautious.
	initialPrefillBaseMS = 6.91042
	// initialPrefillPerKiloTokenMS is the prior cost of 1,000 uncached tokens where no class's objective grows with the
	// prompt (priorPerKiloTokenMS). Raising it makes a new router favour cached prefixes more.
	initialPrefillPerKiloTokenMS = 17.67
	// initialPerAttemptAheadMS is the prior cost of each unfinished prefill of this router ahead at the replica.
	// Raising it makes a new router spread requests more.
	initialPerAttemptAheadMS = 7.0
	// maxPrefillBaseMS bounds the fitted fixed cost; a larger delay is a wait, not a cost of the prefill. Raising it
	// lets more of a common wait count as a cost.
	maxPrefillBaseMS = 100.0
	// maxMarginalCostMS bounds the other fitted coefficients. Raising it admits more extreme fits.
	maxMarginalCostMS = 1000
	// modelTimeConstant is the time constant of the latency models and of most means. Raising it gives smoother
	// estimates that follow changes later.
	modelTimeConstant = 10 * time.Second
	// priorSamples is the number of samples that a prior or pooled value counts for. Raising it gives a replica's own
	// samples less weight.
	priorSamples = 2.0
	// commonDelayTimeConstant is the time constant of the wait common to all prefill replicas. Raising it keeps
	// rejecting for longer after an overload.
	commonDelayTimeConstant = 3 * time.Second
	// commonDelayPriorSamples is the number of samples that a common wait of zero counts for. Raising it detects an
	// overload later.
	commonDelayPriorSamples = 0.3
	// decodeWaitTimeConstant is the time constant of a decode replica's observed wait. Raising it avoids a replica for
	// a longer time after it was slow.
	decodeWaitTimeConstant = 2 * time.Second
	// initialDelayPerQueuedRequestMS is the prior queue delay per request ahead, for a router that has sent no prefill
	// yet. Raising it makes a new router reject at shorter queues.
	initialDelayPerQueuedRequestMS = 60.0
	// unansweredPollRequests is the number of requests that are assumed to be ahead at a replica which does not answer
	// a load poll in time. Such replicas have two on average; the value is higher because some have many, and a request
	// that waits behind those is late. Raising it sends less to busy replicas, and more to replicas that have not
	// cached the prefix.
	unansweredPollRequests = 4.0
	// minQueueForSample is the least reported queue at which a prefill is a sample of the queue delay per request
	// ahead. Raising it gives fewer and better samples.
	minQueueForSample = 2
	// minCachedTokensForSample is the number of expected cached tokens above which a prefill is a sample of the cache
	// hit ratio. Raising it gives fewer and better samples.
	minCachedTokensForSample = 200
	// outlierMultiple and outlierMarginMS bound a sample: it counts as at most outlierMultiple times the model's
	// prediction plus outlierMarginMS. A prefill that is so fast that the prediction exceeds its duration by the same
	// bound is not a sample. Raising either lets single outliers move the models more.
	outlierMultiple = 4
	outlierMarginMS = 100
)

// Prefix locality: which prefill replicas have a prompt's prefix in their cache.
const (
	// prefixCacheTimeConstant is the time constant with which the probability decays that a prefix is still cached.
	// Raising it sends more requests to replicas that may have evicted their prefix.
	prefixCacheTimeConstant = 30 * time.Second
	// popularityTimeConstant is the time constant of the arrivals from which a prefix's share of requests is counted.
	// Raising it follows changes of popularity later.
	popularityTimeConstant = 60 * time.Second
	// popularityPriorRequests is the number of assumed arrivals without the prefix in its share of requests. Raising it
	// makes a prefix count as popular later.
	popularityPriorRequests = 10.0
	// prefixExpiryMultiple is the number of popularityTimeConstants after which an unused prefix is forgotten. Raising
	// it takes more memory.
	prefixExpiryMultiple = 2
	// sweepInterval is the time between sweeps of the prefix table. Raising it takes more memory and less CPU time.
	sweepInterval = 5 * time.Second
	// maxPrefixEntries bounds the prefix table, at about 200 bytes per entry. Raising it lets a router remember more
	// prefixes if more than this many are used before they expire.
	maxPrefixEntries = 1 << 16
	// maxPrefixShare is the largest fraction of a replica's even share of requests that one prefix may take at one
	// replica. Raising it gives a prefix fewer replicas.
	maxPrefixShare = 0.3
	// minCellPreference is the least factor by which a cell with too few decode replicas reduces the weight of its
	// prefill replicas. Raising it keeps more prefills in such cells.
	minCellPreference = 0.7
)

// Selection of a prefill replica: which estimates count as equal, and penalties.
const (
	// minEstimateToleranceMS is the least tolerance: estimates that differ by less count as equal. Raising it favours
	// prefix locality over estimates.
	minEstimateToleranceMS = 20.0
	// estimateErrorTolerance is the tolerance as a fraction of the usual error of estimates. Raising it favours prefix
	// locality over estimates where estimates are inaccurate.
	estimateErrorTolerance = 0.8
	// crossZonePenaltyMS is the penalty for a replica in another zone. Raising it keeps more requests in the zone.
	crossZonePenaltyMS = 60.0
	// failedBeforePenaltyMS is the penalty for a replica at which the request has failed. Raising it makes a retry at
	// the same replica less likely.
	failedBeforePenaltyMS = 1000
	// failureLevelPenaltyMS is the penalty per unit of failure level when only unhealthy replicas remain. Raising it
	// gives health more weight against the estimate.
	failureLevelPenaltyMS = 1000
)

// Selection of a decode replica: when one counts as full.
const (
	// nearFullMemoryFraction is the reported fraction of memory above which a decode replica's wait counts in the
	// estimate. Raising it fills replicas more before requests are rejected.
	nearFullMemoryFraction = 0.90
	// nearFullWaitMS is the time to the first token above which a decode replica's wait counts in the estimate. Raising
	// it tolerates slower replicas.
	nearFullWaitMS = 150.0
	// queueFullBackoff is the time for which a replica counts as full after QueueFull. Raising it leaves capacity
	// unused; lowering it sends more requests to full queues.
	queueFullBackoff = 300 * ms
	// otherZoneSpreadFactor multiplies the spread position of replicas in another zone when a request leaves its cell;
	// a lower position is better. Raising it keeps more of these requests in the zone.
	otherZoneSpreadFactor = 3
	// ownLoadDivisor scales down the router's own load at a replica that reports its memory, so that it only breaks
	// ties. Raising it gives that load less weight.
	ownLoadDivisor = 1000
)

// Slow start: how many requests a replica that has just started is sent.
const (
	// minSlowStartInitial bounds Config.SlowStartInitial from below. Raising it sends more to a replica at its start.
	minSlowStartInitial = 0.05
	// slowStartShare is the fraction of the load allowed by Config.OverloadMultiple that a replica in slow start gets
	// when load is even. Raising it fills new replicas sooner and is more likely to overload them.
	slowStartShare = 0.45
	// newPrefixAllowance is the number of requests with a new prefix by which all routers together may exceed
	// slowStartShare, to allow for random variation. Raising it sends more requests with a new prefix to a replica in
	// slow start at once.
	newPrefixAllowance = 4.0
	// knownPrefixRequests is the number of recent requests above which a prefix counts as known. Raising it makes
	// newPrefixAllowance apply to more requests.
	knownPrefixRequests = 1.5
	// maxSlowStartCredit is the most credit, allowance included, that a replica accumulates. Raising it allows larger
	// bursts to a replica in slow start.
	maxSlowStartCredit = 2
	// slowStartWeightFactor is the weight of a prefill replica in slow start per unit of its ramp fraction. Raising it
	// assigns more prefixes to the replica.
	slowStartWeightFactor = 1.5
)

// Load polling: when a router that sees few prefills of its own asks replicas for their load.
const (
	// minSamplesPerReplica is the number of recent prefills per replica below which a router polls. Raising it polls
	// more often.
	minSamplesPerReplica = 1.0
	// pollCandidateCount is the number of replicas polled for a request. Raising it finds shorter queues and loses
	// prefix locality.
	pollCandidateCount = 2
	// maxPollRounds is the number of times that replicas are polled for one prefill while all polled replicas are busy.
	// Raising it spreads popular prefixes over more replicas, and delays requests while all replicas are busy.
	maxPollRounds = 2
	// pollTimeout is the time that a request waits for the answers. Raising it delays requests when replicas are dead.
	pollTimeout = 40 * ms
	// loadMaxAge is the age up to which a report is used. Raising it polls less, and sends more requests at once to
	// replicas that reported a short queue (herding).
	loadMaxAge = 250 * ms
	// peerLoadMaxAge is the age up to which a peer's report is used. It is no longer than loadMaxAge: with an older
	// report all routers would send to the replica whose queue was short then. Raising it causes more herding.
	peerLoadMaxAge = loadMaxAge
	// queuedPerFullSlots is the number of queued requests that fully used slots count as. Raising it avoids busy
	// replicas more.
	queuedPerFullSlots = 4.0
)

// Timers and timeouts of requests and attempts.
const (
	// selectionRetryInterval is the time after which a selection that found no replica is repeated. Raising it delays
	// such requests.
	selectionRetryInterval = 30 * ms
	// answerMargin is how long before its deadline a waiting request is answered. Raising it gives up sooner.
	answerMargin = 15 * ms
	// prefillTimeoutFactor and prefillTimeoutGrace give a prefill's timeout: the factor times its estimate plus the
	// grace time. Raising either gives up on a silent replica later.
	prefillTimeoutFactor = 3.0
	prefillTimeoutGrace  = 900 * ms
	// expectedPrefillFactor and expectedPrefillGrace give the time after which a prefill counts as overdue: the factor
	// times its estimate plus the grace time. Raising either detects a slow replica later.
	expectedPrefillFactor = 1.5
	expectedPrefillGrace  = 100 * ms
	// minDecodeTimeout is the least timeout of a decode attempt that may be retried. Raising it gives up on a silent
	// replica later.
	minDecodeTimeout = 800 * ms
	// maxProcessStall is the time before the end of a deduplication window from which the window counts as over. A
	// process may stall for 0.15 s between a decision and writing the bytes that follow from it, and a connection may
	// have to be idle for a moment before its next call. Raising it rules out more retries that would have been safe.
	maxProcessStall = 200 * ms
	// reservationReleaseFraction is the fraction of Config.ReservationTTL after which a reservation is released; the
	// rest of the time allows the release to arrive. Raising it risks that reservations outlast their TTL.
	reservationReleaseFraction = 0.8
)

// Outlier ejection: when a replica counts as unhealthy. A failure level is between 0 and 1.
const (
	// ejectionThreshold is the failure level at which a replica is ejected; from half of it the replica gets one
	// attempt at a time. Raising it keeps failing replicas in use for longer.
	ejectionThreshold = 0.45
	// errorWeight is the weight of an error response in the failure level. Raising it ejects sooner.
	errorWeight = 0.25
	// transportFailureWeight is the weight of a failed connect, a reset or a timeout in the failure level. Raising it
	// ejects sooner.
	transportFailureWeight = 0.5
	// peerFailureWeight is the weight of a peer's report that a replica is silent. It is lower than the weight of this
	// router's own observation. Raising it relies more on peers.
	peerFailureWeight = transportFailureWeight / 2
	// aliveFailureWeight is the weight of a broken connection at a replica that has responded within aliveWindow.
	// Raising it ejects more live replicas whose connections break one at a time.
	aliveFailureWeight = 0.2
	// aliveWindow is the time for which a response shows that a replica is alive. Raising it ejects later.
	aliveWindow = 500 * ms
	// successWeight is the weight of a success in the failure level. Raising it readmits sooner.
	successWeight = 0.3
	// healthTimeConstant is the time constant of the failure level's decay. Raising it readmits later.
	healthTimeConstant = 10 * time.Second
)

// Budgets that all routers share: bursts.
const (
	// pollBurstSpan gives the burst of the poll budget: as many polls as the budget allows in this time may be sent at
	// once, since a router that starts has no load reports. Raising it allows larger bursts.
	pollBurstSpan = 10 * time.Second
	// pollBurstExtra is the number of polls that may be sent at once beyond the burst of pollBurstSpan, so that a
	// router with a small fraction of the budget can poll at all. Raising it allows larger bursts.
	pollBurstExtra = 1.0
	// retryBurstSpan gives the burst of the retry budget: as many retries as the budget allows in this time may be sent
	// at once. Raising it allows larger bursts.
	retryBurstSpan = 5 * time.Second
	// retryBurstExtra is the number of retries that may be sent at once beyond the burst of retryBurstSpan. Raising it
	// allows larger bursts.
	retryBurstExtra = 1.0
	// criticalRetryShare is the fraction of the burst that is reserved for critical requests. Raising it rejects more
	// retries of other requests.
	criticalRetryShare = 0.5
)

// Subsetting: when a router uses all replicas instead of its subset.
const (
	// minHealthyFraction is the healthy fraction of a subset's capacity below which the router uses all replicas.
	// Raising it leaves the subset sooner.
	minHealthyFraction = 0.5
	// fallbackDuration is the time after which the router checks its subset again. Raising it returns to the subset
	// later.
	fallbackDuration = time.Second
)

// Snapshots of learned state.
const (
	// snapshotMaxAge is the age up to which a snapshot is restored: most of its content has decayed by then. Raising it
	// restores older state.
	snapshotMaxAge = 30 * time.Second
	// maxClockSkew is how far in the future a snapshot's time may lie, and by how much two start times of one process
	// may differ: the clocks of two processes on one machine differ by less. Raising it tolerates larger clock
	// differences.
	maxClockSkew = 100 * ms
	// maxPlausible bounds the values of snapshots and load reports. Raising it accepts more corrupt values.
	maxPlausible = 1e9
)
