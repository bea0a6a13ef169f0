package routing

// The ordinary path is predictive TTFT-budget admission control: the best time to first token
// over all readers is estimated before any read; a non-critical request whose best estimate exceeds
// its budget is refused; the others go to the reader with the lowest estimate and then to the
// writer with most room in that reader's cell.
// A router may be one of many and hear little of any one server. Evidence is therefore pooled: a
// server's figure leans on that of all servers of its role as far as its own evidence is thin.

import (
	"math"
	"math/rand/v2"
	"time"

	"rampspread/internal/tokenbucket"
)

const (
	ms = time.Millisecond

	// From the paper: starting values, refit from what reads report.
	latencyHeadroom              = 0.5
	criticalHeadroom             = 0.75    // critical's headroom: it passes when others are refused, but not into a jam
	initialPrefillBaseMS         = 6.91042 // ms a read
	initialPrefillPerKiloTokenMS = 17.67   // ms for 1,000 tokens not kept
	initialStepMS                = 7.0     // ms for each own unfinished read ahead
	maxPrefillBaseMS             = 100.0   // ms; beyond it a wait is no cost of the read
	prefixCacheTimeConstant      = 30 * time.Second
	modelTimeConstant            = 10 * time.Second
	priorSamples                 = 2.0 // samples that the starting values, or a pool's value, count for

	commonDelayTimeConstant = 3 * time.Second  // of the wait common to all readers,
	commonDelayPriorSamples = 0.3              // which leans on none by so many samples
	decodeWaitTimeConstant  = 2 * time.Second  // of a writer's observed wait, so that it is tried again
	popularityTimeConstant  = 60 * time.Second // of the arrivals that tell how much asked for a text is
	popularityPriorRequests = 10.0             // arrivals that asked for something else
	maxPrefixShare          = 0.3              // of a reader's even part: the most that one text takes at one home
	minEstimateToleranceMS  = 20.0             // ms between estimates that count as equal,
	estimateErrorTolerance  = 0.8              // or this part of what estimates are usually off by
	minCellPreference       = 0.7              // least weight of a reader by what its cell's writers bear
	crossZonePenaltyMS      = 60.0             // ms that a reader in another zone must be better by
	slowStartShare          = 0.45             // of what the rule lets a cold server take, at an even load
	newPrefixAllowance      = 4.0              // sends of a new text that all may be ahead of that: chance, at N of 1
	slowStartWeightFactor   = 1.5              // weight of a cold reader for each part of its warmth
	nearFullMemoryFraction  = 0.90             // of reported memory: a writer adds wait past this
	nearFullWaitMS          = 150.0            // ms to the first token: a writer adds wait past this
	queueFullBackoff        = 300 * ms         // a writer that turned us away has no room for this long
	quotaBurstSpan          = 5 * time.Second  // of a tenant's even part that may come at once,
	quotaBurstExtra         = 3.0              // and so many requests more
	sweepInterval           = 5 * time.Second  // tables are swept this often
	selectionRetryInterval  = 30 * ms          // between looks for a server while a request is held
	answerMargin            = 15 * ms          // a held request is answered this long before its deadline

	prefillTimeoutGrace       = 900 * ms // a read attempt may take this plus patience times its estimate
	prefillTimeoutFactor      = 3.0
	minSamplesPerReplica      = 1.0      // recent reads seen of each reader, under which a router asks for loads,
	pollCandidateCount        = 2        // of so many readers
	pollTimeout               = 40 * ms  // for the answers
	loadMaxAge                = 250 * ms // a report is used for this long
	queuedPerFullSlots        = 4.0      // requests in work that a busy reader's report stands for
	initialPerQueuedRequestMS = 60.0     // ms that a request ahead of one takes, until reads have told
	minDecodeTimeout          = 800 * ms // the least time-out of a writer attempt that may be repeated

	ejectionThreshold      = 0.45 // failure level past which a server is ejected; half of it allows one attempt
	errorWeight            = 0.25 // weight of an error in the failure level
	transportFailureWeight = 0.5  // weight of a failed connect, reset or time-out
	successWeight          = 0.3  // weight of a success
	aliveFailureWeight     = 0.2  // weight of one that breaks at a server that has answered so lately: it stays in
	aliveWindow            = 500 * ms
	healthTimeConstant     = 10 * time.Second
)

// New returns a Router that knows no servers yet.
func New(cfg Config, seed uint64) (*Router, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	r := &Router{
		cfg: cfg, rng: rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15)),
		byID: map[EndpointID]*replica{}, cells: map[int]*cellCapacity{},
		requests: map[RequestID]*request{}, prefixCache: map[Key]*prefixEntry{},
		tenantBuckets:    make([]tokenbucket.Bucket, len(cfg.TenantQuotas)),
		commonQueueDelay: decayedMean{timeConstant: commonDelayTimeConstant}, estimateError: decayedMean{timeConstant: modelTimeConstant}, cacheHitRatio: decayedMean{timeConstant: modelTimeConstant},
		arrivals: decayedMean{timeConstant: popularityTimeConstant}, perQueuedRequest: decayedMean{timeConstant: modelTimeConstant},
	}
	r.prefillModel = latencyModel{
		prior: [3]float64{initialPrefillBaseMS, initialPrefillPerKiloTokenMS, initialStepMS}, maxCoefficients: [3]float64{maxPrefillBaseMS, 1000, 1000},
		priorSamples: priorSamples, timeConstant: modelTimeConstant,
	}
	r.prefillModel.coefficients = r.prefillModel.prior
	r.decodeModel = r.prefillModel
	// Critical is the highest worth; a tie makes each of its classes critical, unless all tie.
	top, low := math.Inf(-1), math.Inf(1)
	r.tightestBudgetMS = math.Inf(1)
	for _, c := range cfg.Classes {
		top, low = math.Max(top, c.Weight), math.Min(low, c.Weight)
		r.tightestBudgetMS = min(r.tightestBudgetMS, toMS(c.TTFTObjective)*latencyHeadroom)
	}
	for _, c := range cfg.Classes {
		r.critical = append(r.critical, c.Weight == top && top > low)
	}
	return r, nil
}

// Handle takes one event and appends the actions that follow from it.
func (r *Router) Handle(now time.Duration, ev Event, actions []Action) []Action {
	r.now, r.actions = max(now, r.now), actions
	switch e := ev.(type) {
	case EndpointUpdate:
		r.updateEndpoints(e)
	case RequestArrived:
		r.requestArrived(e)
	case FirstToken:
		r.firstToken(e)
	case AttemptEnded:
		r.attemptEnded(e)
	case ClientGone:
		r.clientDisconnected(e.Request)
	case LoadPolled:
		r.loadPolled(e)
	case PeerLoadReport:
		r.peerLoadReport(e)
	case QuotaShare:
		r.quotaShare = QuotaShare{e.Fraction, r.now + e.Duration}
	case SubsetAssigned:
		r.assignSubset(e)
	case SnapshotReceived:
		r.restore(e.Snapshot)
	case TimerFired:
		r.timerFired(e.ID)
	}
	return r.takeActions()
}

// timerFired goes on with a request that was paused, or looks after what it holds.
func (r *Router) timerFired(id TimerID) {
	q := r.requests[RequestID(id&^releaseTimerFlag)]
	switch {
	case q == nil:
	case id&releaseTimerFlag != 0:
		r.releaseIfExpired(q)
	case q.state == awaitingPrefill || q.state == awaitingDecode:
		if q.pendingPolls > 0 { // what it asked for is missing
			q.pendingPolls, q.selectionStart = 0, r.now
		}
		r.advance(q)
	}
}
