package replica

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"rampspread/internal/faultbench/deployment"
	"rampspread/internal/faultbench/history"
	"rampspread/internal/faultbench/network"
)

// SlowStartDuration is the duration of slow start: how long after a restart a replica has less than its full capacity.
const SlowStartDuration = 6 * time.Second

// Replica simulates one prefill or decode replica. Name, Index, Zone and Decode don't change.
type Replica struct {
	Name        string
	Index       int
	Zone        int
	Decode      bool // the replica is a decode replica, otherwise a prefill replica
	Connections ConnectionStats
	// ListingFault must be held while a fault changes the replica's entry on the endpoint list or ends its process.
	ListingFault sync.Mutex
	// HangFault must be held while the replica hangs.
	HangFault sync.Mutex

	cluster          *Cluster
	configuredWeight float64             // weight set by the scenario, or 0 for the default of 1
	listeners        []*network.Listener // one listener for each dispatcher
	slots            chan struct{}       // semaphore of a decode replica's slots

	mu                sync.Mutex
	processContext    context.Context // ends when the simulated process ends
	endProcess        context.CancelFunc
	slowStart         *history.SlowStartBudget // budget since the last restart, or nil if the replica never restarted
	slowdown          float64                  // factor by which execution takes longer
	resumed           chan struct{}            // closed when a hang ends, or nil if the replica does not hang
	corruptionRate    float64                  // fraction of calls with a corrupt response
	errorRate         float64                  // fraction of calls with status 500
	queueEmptyAt      time.Time                // time when a prefill replica will have processed its queue
	waiting           int                      // waiting attempts; at a prefill replica also the one in progress
	active            int                      // attempts that hold a slot of a decode replica
	cachedTokens      map[string]int           // cached tokens by prefix or session
	totalCachedTokens int
	loadReport        string    // latest load report
	reportedAt        time.Time // time of loadReport
}

// Weight returns the replica's capacity relative to other replicas, as discovery lists it.
func (r *Replica) Weight() float64 { return cmp.Or(r.configuredWeight, 1) }

// Kill ends the simulated process: connections are reset, states and the prefix cache are lost, and new connections are
// refused.
func (r *Replica) Kill() {
	r.mu.Lock()
	r.endProcess()
	r.cachedTokens, r.totalCachedTokens, r.queueEmptyAt = map[string]int{}, 0, time.Time{}
	r.mu.Unlock()
	for _, l := range r.listeners {
		l.SetDown(true)
	}
	for _, l := range r.listeners {
		l.Link().Reset()
	}
	r.cluster.removeStatesOf(r)
}

// Restart starts the simulated process again. The replica is then in slow start for SlowStartDuration.
func (r *Replica) Restart() {
	now := r.cluster.history.Now()
	start := history.Event{At: now, Kind: history.ReplicaStarted, Replica: r.Name, Until: now + SlowStartDuration, Weight: 1, Dispatcher: -1}
	r.cluster.history.Add(start)
	r.mu.Lock()
	r.processContext, r.endProcess = context.WithCancel(context.Background())
	r.slowStart = &history.SlowStartBudget{Rules: r.cluster.rules, Start: start}
	r.mu.Unlock()
	for _, l := range r.listeners {
		l.SetDown(false)
	}
}

// SetSlowdown sets the factor by which execution takes longer. A factor of 1 is the normal speed.
func (r *Replica) SetSlowdown(factor float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.slowdown = factor
}

// SetErrorRate sets the fraction of calls to which the replica responds with 500.
func (r *Replica) SetErrorRate(rate float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.errorRate = rate
}

// SetCorruptionRate sets the fraction of calls to which the replica sends a corrupt response.
func (r *Replica) SetCorruptionRate(rate float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.corruptionRate = rate
}

// Hang makes the replica accept calls without responding.
func (r *Replica) Hang() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.resumed = make(chan struct{})
}

// Resume makes the replica respond again after Hang.
func (r *Replica) Resume() {
	r.mu.Lock()
	defer r.mu.Unlock()
	close(r.resumed)
	r.resumed = nil
}

// awaitResumed returns once the replica does not hang, or ctx ends because the caller disconnected.
func (r *Replica) awaitResumed(ctx context.Context) {
	r.mu.Lock()
	resumed := r.resumed
	r.mu.Unlock()
	if resumed == nil {
		return
	}
	select {
	case <-resumed:
	case <-ctx.Done():
	}
}

// FlushCache empties the replica's prefix cache.
func (r *Replica) FlushCache() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cachedTokens, r.totalCachedTokens = map[string]int{}, 0
}

// relativeSpeed returns the replica's current speed, relative to a replica of weight 1 that is not in slow start. The
// caller must hold the lock.
func (r *Replica) relativeSpeed() float64 {
	speed := r.Weight() / r.slowdown
	if r.slowStart != nil {
		speed *= r.cluster.rules.CapacityFraction(r.slowStart.Start, r.cluster.history.Now())
	}
	return speed
}

// meanWork returns the mean work of requests of a request's class, as a fraction of the replica's capacity per second.
func (r *Replica) meanWork(request *deployment.Request) float64 {
	if r.Decode {
		return float64(request.Class.OutputTokens) * deployment.DecodeTokenTime.Seconds() * meanBatchSlowdown / decodeSlots / r.Weight()
	}
	return float64(request.Class.PromptTokens) * deployment.UncachedFraction / deployment.PrefillTokensPerSecond / r.Weight()
}

// connectionKey is the context key of a call's connection.
type connectionKey struct{}

// Serve starts and returns a server that handles the calls of one dispatcher on its link's listener.
func (r *Replica) Serve(l *network.Listener, dispatcher int) *http.Server {
	r.listeners = append(r.listeners, l)
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		r.mu.Lock()
		process := r.processContext
		r.mu.Unlock()
		ctx, cancel := context.WithCancel(req.Context())
		defer cancel()
		defer context.AfterFunc(process, cancel)()
		r.handle(w, req.WithContext(ctx), call{link: l.Link(), dispatcher: dispatcher, arrivedAt: r.cluster.history.Now()})
		if process.Err() != nil {
			panic(http.ErrAbortHandler) // the simulated process has ended, so the connection must break
		}
	}), ErrorLog: network.DiscardLog, ConnState: r.Connections.trackConnState, ConnContext: func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connectionKey{}, c)
	}}
	go s.Serve(l)
	return s
}
