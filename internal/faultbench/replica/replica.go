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

// SlowStartDuration is how long after a cold start a replica has less than its capacity.
const SlowStartDuration = 6 * time.Second

// Replica simulates one prefill or decode replica. Name, Index, Zone and Decode don't change.
type Replica struct {
	Name        string
	Index       int
	Zone        int
	Decode      bool // otherwise prefill
	Connections ConnectionStats
	// ListingFault is held while a fault changes what the endpoint list says of it, or ends its process; HangFault while
	// it hangs.
	ListingFault sync.Mutex
	HangFault    sync.Mutex

	cluster          *Cluster
	configuredWeight float64             // 0: 1
	listeners        []*network.Listener // one for each dispatcher
	slots            chan struct{}       // of a decode replica

	mu                sync.Mutex
	processContext    context.Context // ends when its process does
	endProcess        context.CancelFunc
	slowStart         *history.SlowStartBudget // nil: it was warm from the start
	slowdown          float64                  // factor
	resumed           chan struct{}            // closed once it answers again; nil: it does
	corruptionRate    float64                  // the part of its calls that it answers with a corrupt response
	errorRate         float64                  // the part of its calls that it answers with 500
	queueEmptyAt      time.Time                // of a prefill replica
	waiting           int                      // attempts waiting, and at a prefill replica the one in progress
	active            int                      // answers in progress at a decode replica
	cachedTokens      map[string]int           // by prefix or session
	totalCachedTokens int
	loadReport        string
	reportedAt        time.Time
}

// Weight is its capacity relative to others', as discovery lists it.
func (r *Replica) Weight() float64 { return cmp.Or(r.configuredWeight, 1) }

// Kill ends its process: connections are reset, states and the prefix cache are lost, calls are refused.
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

// Restart starts its process again, cold.
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

// SetSlowdown makes it a factor slower; 1: as fast as usual.
func (r *Replica) SetSlowdown(factor float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.slowdown = factor
}

// SetErrorRate sets the part of its calls that it answers with 500.
func (r *Replica) SetErrorRate(rate float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.errorRate = rate
}

// SetCorruptionRate sets the part of its calls that it answers with a corrupt response.
func (r *Replica) SetCorruptionRate(rate float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.corruptionRate = rate
}

// Hang makes it accept calls and answer none.
func (r *Replica) Hang() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.resumed = make(chan struct{})
}

// Resume makes it answer again after Hang.
func (r *Replica) Resume() {
	r.mu.Lock()
	defer r.mu.Unlock()
	close(r.resumed)
	r.resumed = nil
}

// awaitResumed returns once it does not hang, or its caller has gone.
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

// FlushCache loses its prefix cache.
func (r *Replica) FlushCache() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cachedTokens, r.totalCachedTokens = map[string]int{}, 0
}

// relativeSpeed is its speed now, relative to a warm replica of weight 1; the caller holds the lock.
func (r *Replica) relativeSpeed() float64 {
	speed := r.Weight() / r.slowdown
	if r.slowStart != nil {
		speed *= r.cluster.rules.CapacityFraction(r.slowStart.Start, r.cluster.history.Now())
	}
	return speed
}

// meanWork is a request's mean meanWork, by its class, as a part of what the replica does in a second.
func (r *Replica) meanWork(request *deployment.Request) float64 {
	if r.Decode {
		return float64(request.Class.OutputTokens) * deployment.DecodeTokenTime.Seconds() * meanBatchSlowdown / decodeSlots / r.Weight()
	}
	return float64(request.Class.PromptTokens) * deployment.UncachedFraction / deployment.PrefillTokensPerSecond / r.Weight()
}

// connectionKey finds the connection of a call in its context.
type connectionKey struct{}

// Serve answers the calls of one dispatcher on its link's listener.
func (r *Replica) Serve(l *network.Listener, dispatcher int) *http.Server {
	r.listeners = append(r.listeners, l)
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		r.mu.Lock()
		process := r.processContext
		r.mu.Unlock()
		ctx, cancel := context.WithCancel(q.Context())
		defer cancel()
		defer context.AfterFunc(process, cancel)()
		r.handle(w, q.WithContext(ctx), call{link: l.Link(), dispatcher: dispatcher, arrivedAt: r.cluster.history.Now()})
		if process.Err() != nil {
			panic(http.ErrAbortHandler) // the process has ended
		}
	}), ErrorLog: network.DiscardLog, ConnState: r.Connections.trackConnState, ConnContext: func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connectionKey{}, c)
	}}
	go s.Serve(l)
	return s
}
