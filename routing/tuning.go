package routing

import "time"

const ms = time.Millisecond

// Admission: how much estimated latency a request may have and still be admitted.
const (
	// latencyHeadroom is the fraction of its latency objective that a request's estimate may take (the paper's
	// headroom). Raising it admits more requests, of which more are late.
	latencyHeadroom = 0.5
	// criticalHeadroom is the same for critical classes. Raising it lets a flood of critical requests make all late.
	criticalHeadroom = 0.75
	// overQuotaDivisor divides the budget of a request beyond its tenant's quota. Raising it rejects more of these.
	overQuotaDivisor = 2
	// quotaBurstSpan is the time for whose part of a tenant's quota requests may arrive at once. Raising it tolerates
	// more uneven traffic and larger bursts.
	quotaBurstSpan = 5 * time.Second
	// quotaBurstExtra is the number of requests that may arrive at once in addition. Raising it tolerates more
	// uneven traffic where this router's part of the quota is small.
	quotaBurstExtra = 3.0
)

// Latency models: prior values, taken from the paper and refit from observed prefills, and how fast they are forgotten.
const (
	// initialPrefillBaseMS is the prior cost of a prefill. Raising it makes a new router more cautious.
	initialPrefillBaseMS = 6.91042
	// initialPrefillPerKiloTokenMS is the prior cost of 1,000 uncached tokens where no class's objective grows with the
	// prompt (priorPerKiloTokenMS). Raising it makes a new router favour cached prefixes more.
	initialPrefillPerKiloTokenMS = 17.67
	// initialStepMS is the prior cost of each own unfinished prefill ahead. Raising it makes a new router spread more.
	initialStepMS = 7.0
	// maxPrefillBaseMS bounds the fitted base; beyond it a delay is a wait, not a cost of the prefill. Raising it lets
	// a common wait pass for a cost.
	maxPrefillBaseMS = 100.0
	// maxMarginalCostMS bounds the other fitted coefficients. Raising it admits wilder fits.
	maxMarginalCostMS = 1000
	// modelTimeConstant is the time constant of the models and of most means. Raising it gives smoother estimates that
	// follow changes later.
	modelTimeConstant = 10 * time.Second
	// priorSamples is the number of samples that a prior or pooled value counts for. Raising it makes a replica's own
	// samples count later.
	priorSamples = 2.0
	// commonDelayTimeConstant is that of the wait common to all prefill replicas. Raising it keeps rejecting longer
	// after a jam.
	commonDelayTimeConstant = 3 * time.Second
	// commonDelayPriorSamples is the number of samples that a common wait of zero counts for. Raising it makes a jam
	// show later.
	commonDelayPriorSamples = 0.3
	// decodeWaitTimeConstant is that of a decode replica's observed wait. Raising it keeps a replica that was slow out
	// of use for longer before it is tried again.
	decodeWaitTimeConstant = 2 * time.Second
	// initialPerQueuedRequestMS is the prior wait per request ahead of a router that has sent no prefill yet. Raising it
	// makes a new router reject at shorter queues.
	initialPerQueuedRequestMS = 60.0
	// unansweredPollRequests is the number of requests that are assumed ahead at a replica which does not answer a load
	// poll in time: more than the two that such replicas have in the mean, since some have many and a request that waits
	// for those is late. Raising it sends less to busy replicas, and more to ones that have not cached the prefix.
	unansweredPollRequests = 4.0
	// minQueueForSample is the reported queue from which on a prefill is a sample of the wait per request ahead.
	// Raising it gives fewer and better samples.
	minQueueForSample = 2
	// minCachedTokensForSample is the number of expected cached tokens beyond which a prefill is a sample of the cache
	// hit ratio. Raising it gives fewer and better samples.
	minCachedTokensForSample = 200
	// outlierMultiple and outlierMarginMS bound a sample: to this multiple of the model's value plus this margin. A
	// prefill that is faster than the model's value by as much is no sample. Raising either lets single outliers move the
	// models more.
	outlierMultiple = 4
	outlierMarginMS = 100
)

// Prefix locality: which prefill replicas have a prompt's prefix in their cache.
const (
	// prefixCacheTimeConstant is that of the probability that a prefix is still cached. Raising it sends requests
	// after prefixes that may have been evicted.
	prefixCacheTimeConstant = 30 * time.Second
	// popularityTimeConstant is that of the arrivals from which a prefix's share of requests is counted. Raising it
	// follows changes of popularity later.
	popularityTimeConstant = 60 * time.Second
	// popularityPriorRequests is a number of arrivals with another prefix that is assumed. Raising it makes a prefix
	// count as popular later.
	popularityPriorRequests = 10.0
	// prefixExpiryMultiple is the number of popularityTimeConstants after which an unused prefix is forgotten. Raising
	// it takes more memory.
	prefixExpiryMultiple = 2
	// sweepInterval is the time between sweeps of the prefix table. Raising it takes more memory and less time.
	sweepInterval = 5 * time.Second
	// maxPrefixEntries bounds the prefix table, at some 200 bytes an entry. Raising it remembers more prefixes of a router
	// that has more requests than this within the time for which a prefix is remembered.
	maxPrefixEntries = 1 << 16
	// maxPrefixShare is the largest part of a replica's even share of requests that one prefix may take at one replica.
	// Raising it gives a prefix fewer replicas.
	maxPrefixShare = 0.3
	// minCellPreference is the least weight of a prefill replica by the capacity of its cell's decode replicas.
	// Raising it keeps more prefills at cells that have too few decode replicas.
	minCellPreference = 0.7
)

// Selection of a prefill replica: which estimates count as equal, and handicaps.
const (
	// minEstimateToleranceMS is a difference of estimates that counts as none. Raising it favours prefix locality over
	// estimates.
	minEstimateToleranceMS = 20.0
	// estimateErrorTolerance is the part of the usual error of estimates that counts as no difference. Raising it
	// does the same where estimates are bad.
	estimateErrorTolerance = 0.8
	// crossZonePenaltyMS is the handicap of a replica in another zone. Raising it keeps more requests in the zone.
	crossZonePenaltyMS = 60.0
	// failedBeforePenaltyMS is the handicap of a replica that has failed the request. Raising it tries the same replica
	// again later.
	failedBeforePenaltyMS = 1000
	// failureLevelPenaltyMS is the handicap, per unit of failure level, where only unhealthy replicas remain. Raising
	// it makes health count for more than the estimate.
	failureLevelPenaltyMS = 1000
)

// Selection of a decode replica: when one counts as full.
const (
	// nearFullMemoryFraction is the reported memory beyond which a decode replica adds to the wait. Raising it fills
	// replicas more before requests are rejected.
	nearFullMemoryFraction = 0.90
	// nearFullWaitMS is the time to the first token beyond which a decode replica adds to the wait. Raising it
	// tolerates slower replicas.
	nearFullWaitMS = 150.0
	// queueFullBackoff is the time for which a replica counts as full after QueueFull. Raising it leaves capacity
	// unused; lowering it runs into more full queues.
	queueFullBackoff = 300 * ms
	// otherZoneSpread is the handicap of another zone's replicas when a request leaves its cell. Raising it keeps
	// more of these in the zone.
	otherZoneSpread = 3
	// ownLoadDivisor scales the own streams of a replica that reports its memory, so that they only break ties.
	// Raising it makes them count less.
	ownLoadDivisor = 1000
)

// Slow start: what a replica that has just started is sent.
const (
	// minSlowStartInitial bounds Config.SlowStartInitial from below. Raising it sends more to a replica at its start.
	minSlowStartInitial = 0.05
	// slowStartShare is the part of what the overload rule allows that a replica in slow start gets at an even load.
	// Raising it fills new replicas sooner and risks to overload them.
	slowStartShare = 0.45
	// newPrefixAllowance is the number of requests with a new prefix by which all routers together may be ahead of
	// that part, for chance. Raising it sends more of a new prefix to a replica in slow start at once.
	newPrefixAllowance = 4.0
	// knownPrefixRequests is the number of recent requests beyond which a prefix is known. Raising it holds more
	// requests to newPrefixAllowance.
	knownPrefixRequests = 1.5
	// maxSlowStartCredit is the most credit, allowance included, that a replica collects. Raising it allows larger
	// bursts to a replica in slow start.
	maxSlowStartCredit = 2
	// slowStartWeightFactor is the weight of a prefill replica in slow start per unit of its ramp fraction. Raising it
	// gives it more prefixes.
	slowStartWeightFactor = 1.5
)

// Load polling: asking replicas for their load where a router sees too few prefills of its own.
const (
	// minSamplesPerReplica is the number of recent prefills per replica below which a router polls. Raising it polls
	// more.
	minSamplesPerReplica = 1.0
	// pollCandidateCount is the number of replicas polled for a request. Raising it finds shorter queues and loses
	// prefix locality.
	pollCandidateCount = 2
	// maxPollRounds is how often replicas are polled for one prefill while all that were polled are busy. Raising it
	// spreads popular prefixes further, and delays requests while all replicas are busy.
	maxPollRounds = 2
	// pollTimeout is the time that a request waits for the answers. Raising it delays requests behind dead replicas.
	pollTimeout = 40 * ms
	// loadMaxAge is the age up to which a report is used. Raising it polls less and herds more.
	loadMaxAge = 250 * ms
	// peerLoadMaxAge is the age up to which a peer's report is used: no longer than an own one. With an older one all
	// routers would send to where the queue was short. Raising it herds more.
	peerLoadMaxAge = loadMaxAge
	// queuedPerFullSlots is the number of queued requests that full slots stand for. Raising it avoids busy replicas
	// more.
	queuedPerFullSlots = 4.0
)

// Timers and timeouts of requests and attempts.
const (
	// selectionRetryInterval is the time after which a request that found no replica looks again. Raising it delays
	// such requests.
	selectionRetryInterval = 30 * ms
	// answerMargin is how long before its deadline a waiting request is answered. Raising it gives up sooner.
	answerMargin = 15 * ms
	// prefillTimeoutFactor and prefillTimeoutGrace make a prefill's timeout: this multiple of its estimate plus this
	// grace. Raising either leaves a silent replica later.
	prefillTimeoutFactor = 3.0
	prefillTimeoutGrace  = 900 * ms
	// expectedPrefillFactor and expectedPrefillGrace make the time after which a prefill counts as overdue. Raising
	// either notices a slow replica later.
	expectedPrefillFactor = 1.5
	expectedPrefillGrace  = 100 * ms
	// minDecodeTimeout is the least timeout of a decode attempt that may be retried. Raising it leaves a silent replica
	// later.
	minDecodeTimeout = 800 * ms
	// maxProcessStall is how much sooner than its end a deduplication window counts as over: a process may stall for
	// 0.15 s between a decision and the bytes that follow from it, and its connection may have to settle. Raising it
	// gives up more retries that would have been safe.
	maxProcessStall = 200 * ms
	// reservationReleaseFraction is the part of Config.ReservationTTL after which a reservation is released; the rest
	// is for the release to arrive. Raising it risks reservations that outlast their time.
	reservationReleaseFraction = 0.8
)

// Outlier ejection: when a replica counts as unhealthy. A failure level is between 0 and 1.
const (
	// ejectionThreshold is the failure level from which on a replica is ejected; from half of it on it gets one attempt
	// at a time. Raising it keeps failing replicas in use for longer.
	ejectionThreshold = 0.45
	// errorWeight is the weight of an error response in the failure level. Raising it ejects sooner.
	errorWeight = 0.25
	// transportFailureWeight is that of a failed connect, a reset or a timeout. Raising it ejects sooner.
	transportFailureWeight = 0.5
	// peerFailureWeight is that of a peer's report that a replica is silent, against this router's own experience.
	// Raising it believes peers more.
	peerFailureWeight = transportFailureWeight / 2
	// aliveFailureWeight is that of a broken connection at a replica that has responded within aliveWindow. Raising it
	// ejects live replicas whose connections break one by one.
	aliveFailureWeight = 0.2
	// aliveWindow is the time for which a response shows that a replica is alive. Raising it ejects later.
	aliveWindow = 500 * ms
	// successWeight is the weight of a success. Raising it readmits sooner.
	successWeight = 0.3
	// healthTimeConstant is that of the failure level. Raising it readmits later.
	healthTimeConstant = 10 * time.Second
)

// Budgets that all routers share: bursts.
const (
	// pollBurstSpan is the time for whose part of the poll budget polls may be sent at once, since a router that starts
	// knows no load. Raising it allows larger bursts.
	pollBurstSpan = 10 * time.Second
	// pollBurstExtra is the number of polls in addition, however small the part: the least that can be polled. Raising
	// it allows larger bursts.
	pollBurstExtra = 1.0
	// retryBurstSpan is the time for whose part of the retry budget retries may be sent at once. Raising it allows
	// larger bursts.
	retryBurstSpan = 5 * time.Second
	// retryBurstExtra is the number of retries in addition. Raising it allows larger bursts.
	retryBurstExtra = 1.0
	// criticalRetryShare is the part of the burst that is reserved for critical requests. Raising it rejects more
	// retries of others.
	criticalRetryShare = 0.5
)

// Subsetting: when a router uses all replicas instead of its subset.
const (
	// minHealthyFraction is the healthy part of a subset's capacity below which the router uses all replicas. Raising
	// it leaves the subset sooner.
	minHealthyFraction = 0.5
	// fallbackDuration is the time after which it looks at its subset again. Raising it returns later.
	fallbackDuration = time.Second
)

// Snapshots of learned state.
const (
	// snapshotMaxAge is the age up to which a snapshot is restored: most of what it holds has decayed by then. Raising
	// it restores older state.
	snapshotMaxAge = 30 * time.Second
	// maxClockSkew is how far in the future a snapshot may be: clocks of one machine differ by less. Raising it
	// tolerates worse clocks.
	maxClockSkew = 100 * ms
	// maxPlausible bounds the restored figures. Raising it accepts more corrupt ones.
	maxPlausible = 1e9
)
