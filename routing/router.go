// Package routing makes every decision of a router that serves LLM requests by disaggregated prefill and decode
// replicas: admission, replica selection, retries, load polls and reservations.
//
// The main algorithm is predictive TTFT-budget admission control, after the paper "Iteration 14: Predictive TTFT-Budget
// Admission Control" (PredictiveSLOAdmission): the best time to first token (TTFT) over all prefill replicas is
// estimated before any prefill; a request whose best estimate exceeds its budget, which is larger for critical classes,
// is rejected; the others go to the prefill replica with the lowest estimate and then to the decode replica with most
// capacity in that replica's cell (replicas with fast transfer between them, such as a rack). Around it stand weighted rendezvous hashing (prefix locality), recursive least
// squares with exponential forgetting (latency models), slow start, outlier ejection and token buckets (quotas, retry
// and poll budgets).
//
// A router may be one of many and see little of any one replica. Samples are therefore pooled: a replica's estimate
// is shrunk towards that of all replicas of its role as long as it has few samples of its own.
//
// A Router is a deterministic state machine. It takes events with the time at which they happened and returns
// actions. It has no clock, goroutine or I/O of its own, and routers share no memory. It owns the open requests, what
// it has learned of replicas, and its random source. It is not safe for concurrent use: one goroutine of
// its caller (package dispatch, or the simulator's adapter) calls it.
package routing

import (
	"math"
	"math/rand/v2"
	"time"

	"rampspread/internal/tokenbucket"
)

// Router decides for one router instance. Times are durations since an epoch of the host's choice.
type Router struct {
	cfg     Config
	rng     *rand.Rand
	now     time.Duration // time of the event in hand; never goes back
	actions []Action      // of the event in hand

	critical         []bool         // by class: it has the highest priority weight
	tightestBudgetMS float64        // the smallest latency objective of a class, times latencyHeadroom
	attemptLimits    []attemptLimit // earlier values of Config.MaxAttempts that bind open requests

	replicas []*replica // in order of ID
	activeSubset
	byID          map[EndpointID]*replica
	cells         map[int]*cellCapacity
	totalCapacity cellCapacity   // of all active replicas
	maxReady      [roleCount]int // most active replicas that were ready at once, by role

	requests    map[RequestID]*request
	candidates  []candidate // scratch space of a selection
	prefixCache map[Key]*prefixEntry
	sweptAt     time.Duration // time of the last sweep of prefixCache

	prefillModel     latencyModel // of prefills
	decodeModel      latencyModel // of the first tokens of decode attempts
	commonQueueDelay decayedMean  // ms that recent prefills took beyond prefillModel: the wait common to all replicas
	estimateError    decayedMean  // ms, absolute error of prefill estimates
	cacheHitRatio    decayedMean  // tokens found in the prefix cache per token expected there
	perQueuedRequest decayedMean  // ms of wait per request ahead
	prefillCost      decayedMean  // ms that prefills take by prefillModel, without a wait
	unansweredDelay  decayedMean  // ms of wait at replicas that did not answer a load poll in time
	arrivals         decayedMean  // its count is the number of recent requests

	tenantBuckets []tokenbucket.Bucket
	retryBucket   tokenbucket.Bucket
	quotaShare    QuotaShare // Duration is the time until which it is valid
}

// seedMix derives the second word of the random source's seed from the first.
const seedMix = splitMixIncrement

// New returns a Router with an empty endpoint list. It returns the error of Config.Validate. Routers of the same
// configuration and seed that handle the same events decide alike.
func New(cfg Config, seed uint64) (*Router, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	r := &Router{
		cfg:              cfg,
		rng:              rand.New(rand.NewPCG(seed, seed^seedMix)),
		byID:             map[EndpointID]*replica{},
		cells:            map[int]*cellCapacity{},
		requests:         map[RequestID]*request{},
		prefixCache:      map[Key]*prefixEntry{},
		tenantBuckets:    make([]tokenbucket.Bucket, len(cfg.TenantQuotas)),
		commonQueueDelay: decayedMean{timeConstant: commonDelayTimeConstant},
		estimateError:    decayedMean{timeConstant: modelTimeConstant},
		cacheHitRatio:    decayedMean{timeConstant: modelTimeConstant},
		perQueuedRequest: decayedMean{timeConstant: modelTimeConstant},
		prefillCost:      decayedMean{timeConstant: modelTimeConstant},
		unansweredDelay:  decayedMean{timeConstant: modelTimeConstant},
		arrivals:         decayedMean{timeConstant: popularityTimeConstant},
		prefillModel:     newLatencyModel(cfg.priorPerKiloTokenMS()),
		decodeModel:      newLatencyModel(initialPrefillPerKiloTokenMS),
		tightestBudgetMS: math.Inf(1),
	}
	r.updateClasses()
	return r, nil
}

// updateClasses derives what depends on the classes. Critical classes are those of the highest priority weight; where
// several tie for it each of them is critical, unless all classes tie. The tightest budget is the smallest that has
// been in force since the start.
func (r *Router) updateClasses() {
	highest, lowest := math.Inf(-1), math.Inf(1)
	for _, c := range r.cfg.Classes {
		highest, lowest = math.Max(highest, c.Weight), math.Min(lowest, c.Weight)
		r.tightestBudgetMS = min(r.tightestBudgetMS, toMS(c.TTFTObjective)*latencyHeadroom)
	}
	r.critical = r.critical[:0]
	for _, c := range r.cfg.Classes {
		r.critical = append(r.critical, c.Weight == highest && highest > lowest)
	}
}

// Handle takes one event, which happened at now, and appends the actions that follow from it to actions. A time before
// that of an earlier event counts as that one's.
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
		e.Load = e.Load.sanitized()
		r.attemptEnded(e)
	case ClientGone:
		r.clientDisconnected(e.Request)
	case LoadPolled:
		e.Load = e.Load.sanitized()
		r.loadPolled(e)
	case PeerLoadReport:
		e.Load = e.Load.sanitized()
		r.peerLoadReport(e)
	case QuotaShare:
		r.quotaShare = QuotaShare{e.Fraction, r.now + e.ValidFor}
	case SubsetAssigned:
		r.assignSubset(e)
	case SnapshotReceived:
		r.restore(e.Snapshot)
	case TimerFired:
		r.timerFired(e.ID)
	}
	return r.takeActions()
}

// emit appends an action to those of the event in hand.
func (r *Router) emit(a Action) { r.actions = append(r.actions, a) }

// takeActions returns the actions of the event in hand and lets go of the caller's slice.
func (r *Router) takeActions() []Action {
	out := r.actions
	r.actions = nil
	return out
}

// getOrCreate returns the map's value for a key, which it creates on first use.
func getOrCreate[K comparable, V any](m map[K]*V, key K) *V {
	if m[key] == nil {
		m[key] = new(V)
	}
	return m[key]
}
