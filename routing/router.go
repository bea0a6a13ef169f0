// Package routing makes every decision of a router that serves LLM requests by disaggregated prefill and decode
// replicas: admission, replica selection, retries, load polls and reservations.
//
// The main algorithm is predictive TTFT-budget admission control, after the paper "Iteration 14: Predictive TTFT-Budget
// Admission Control" (PredictiveSLOAdmission). Before any prefill, the router estimates the time to first token (TTFT)
// at every prefill replica. It rejects a request whose lowest estimate exceeds its budget; the budget is larger for
// critical classes. It sends any other request to the prefill replica with the lowest estimate and then to the decode
// replica with the most capacity in that replica's cell (replicas with fast transfer between them, such as a rack). The
// router combines this with weighted rendezvous hashing (prefix locality), recursive least squares with exponential
// forgetting (latency models), slow start, outlier ejection and token buckets (quotas, retry and poll budgets).
//
// A router may be one of many and send few requests to any one replica. It therefore pools samples: the estimate of a
// replica with few samples of its own is shrunk towards the estimate of all replicas of its role.
//
// A Router is a deterministic state machine. It takes events with the time at which they happened and returns actions.
// It has no clock, goroutine or I/O of its own, and routers share no memory. It owns the open requests, the learned
// state of the replicas and its random source. It is not safe for concurrent use: one goroutine of its caller (package
// dispatch, or the simulator's adapter) calls it.
package routing

import (
	"math"
	"math/rand/v2"
	"time"

	"rampspread/internal/tokenbucket"
)

// Router makes the decisions of one router instance. Times are durations since an epoch that the host chooses.
type Router struct {
	cfg     Config
	rng     *rand.Rand
	now     time.Duration // time of the current event; never decreases
	actions []Action      // actions of the current event

	critical         []bool         // whether a class is critical, by class; see updateClasses
	tightestBudgetMS float64        // smallest TTFT objective of any class, times latencyHeadroom
	attemptLimits    []attemptLimit // earlier values of Config.MaxAttempts that still limit open requests

	replicas []*replica // sorted by ID
	activeSubset
	byID          map[EndpointID]*replica
	cells         map[int]*cellCapacity
	totalCapacity cellCapacity   // capacity of all active replicas
	maxReady      [roleCount]int // largest number of active replicas that were ready at once, by role

	requests    map[RequestID]*request
	candidates  []candidate          // scratch space of a selection
	prefixTable map[Key]*prefixEntry // replicas that are expected to have a session or shared prefix cached
	sweptAt     time.Duration        // time of the last sweep of prefixTable

	prefillModel          latencyModel // predicts the duration of prefills
	decodeModel           latencyModel // predicts the time to the first token of decode attempts
	commonQueueDelay      decayedMean  // ms by which recent prefills exceeded the model: the wait common to all replicas
	estimateError         decayedMean  // absolute error of prefill estimates, in ms
	cacheHitRatio         decayedMean  // tokens found in the prefix cache per token expected there
	delayPerQueuedRequest decayedMean  // ms of queue delay per request queued ahead
	prefillCost           decayedMean  // ms that prefillModel predicts for prefills without queue delay
	unansweredDelay       decayedMean  // ms of queue delay at replicas that did not answer a load poll in time
	arrivals              decayedMean  // its count is the number of recent requests; its sum is not used

	tenantBuckets []tokenbucket.Bucket
	retryBucket   tokenbucket.Bucket
	quotaShare    QuotaShare // its ValidFor holds the time at which it expires
}

// seedMix is XORed with the seed to give the second word of the random source's seed.
const seedMix = splitMixIncrement

// New returns a Router with an empty endpoint list. It returns the error of Config.Validate if cfg is invalid. Routers
// that have the same configuration and seed and handle the same events make the same decisions.
func New(cfg Config, seed uint64) (*Router, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	r := &Router{
		cfg:                   cfg,
		rng:                   rand.New(rand.NewPCG(seed, seed^seedMix)),
		byID:                  map[EndpointID]*replica{},
		cells:                 map[int]*cellCapacity{},
		requests:              map[RequestID]*request{},
		prefixTable:           map[Key]*prefixEntry{},
		tenantBuckets:         make([]tokenbucket.Bucket, len(cfg.TenantQuotas)),
		commonQueueDelay:      decayedMean{timeConstant: commonDelayTimeConstant},
		estimateError:         decayedMean{timeConstant: modelTimeConstant},
		cacheHitRatio:         decayedMean{timeConstant: modelTimeConstant},
		delayPerQueuedRequest: decayedMean{timeConstant: modelTimeConstant},
		prefillCost:           decayedMean{timeConstant: modelTimeConstant},
		unansweredDelay:       decayedMean{timeConstant: modelTimeConstant},
		arrivals:              decayedMean{timeConstant: popularityTimeConstant},
		prefillModel:          newLatencyModel(cfg.priorPerKiloTokenMS()),
		decodeModel:           newLatencyModel(initialPrefillPerKiloTokenMS),
		tightestBudgetMS:      math.Inf(1),
	}
	r.updateClasses()
	return r, nil
}

// updateClasses recomputes the critical classes and the tightest budget. A class is critical if no class has a higher
// priority weight; if all classes have the same weight, none is critical. The tightest budget never rises: it is the
// smallest that has been in force since the start.
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

// Handle processes one event, which happened at now, and appends the resulting actions to actions. Time never goes
// back: if now is before the time of an earlier event, Handle uses the earlier event's time instead.
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
	return r.detachActions()
}

// emit appends an action to the actions of the current event.
func (r *Router) emit(a Action) { r.actions = append(r.actions, a) }

// detachActions returns the actions of the current event and drops the router's reference to the caller's slice.
func (r *Router) detachActions() []Action {
	out := r.actions
	r.actions = nil
	return out
}

// getOrCreate returns the map's value for a key and creates the value on first use.
func getOrCreate[K comparable, V any](m map[K]*V, key K) *V {
	if m[key] == nil {
		m[key] = new(V)
	}
	return m[key]
}
