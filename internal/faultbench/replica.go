package faultbench

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"rampspread/internal/faultbench/deployment"
	"rampspread/internal/faultbench/history"
	"rampspread/internal/faultbench/network"
)

// What the stand-in replicas can do. The deployment's own are about ten times as large; the traffic is too.
const (
	prefillQueueLimit       = 32    // requests that may wait at a reader
	prefixCacheTokens       = 150e3 // of texts a reader keeps
	decodeSlots             = 16
	decodeQueueLimit        = 16
	reservedTokensLimit     = 120e3                  // tokens of read states a reader holds
	TokensPerEvent          = 4                      // tokens an event
	transferTokensPerSecond = 250e3                  // tokens a second, of a state within a zone
	crossZoneTransferFactor = 2.0                    // times as long to another
	reservationTimeout      = 10 * time.Second       // then a state that nobody asked for is dropped
	SlowStartDuration       = 6 * time.Second        // after a cold start
	loadReportInterval      = 300 * time.Millisecond // load reports are refreshed no more often
)

// Replica is a stand-in for one reader or writer, after the protocol page.
type Replica struct {
	cluster          *Cluster
	Name             string
	Index            int
	Zone             int
	Decode           bool
	Listeners        []*network.Listener // one for each dispatcher
	Connections      ConnectionStats
	configuredWeight float64 // weight; 0: 1

	ListingFault sync.Mutex // held while a fault changes what the list says of it, or ends its process
	HangFault    sync.Mutex // held while it hangs

	mu                sync.Mutex
	dead              bool
	processContext    context.Context // ends when it dies
	endProcess        context.CancelFunc
	slowStart         *history.SlowStartBudget // nil: warm since long
	slowdown          float64
	resumed           chan struct{} // closed once it answers again; nil: it does
	corruptionRate    float64       // the part of its calls that it answers with what makes no sense
	errorRate         float64       // the part of its calls that it answers with 500
	queueEmptyAt      time.Time     // a reader's queue is worked off by then
	waiting           int           // requests waiting, and at a reader being read
	active            int           // answers being written
	slots             chan struct{}
	cachedTokens      map[string]int // tokens kept, by text
	totalCachedTokens int
	loadReport        string
	reportedAt        time.Time
}

// Kill ends a replica's process: connections are reset, states and texts are lost, calls refused.
func (r *Replica) Kill() {
	r.mu.Lock()
	r.dead = true
	r.endProcess()
	r.cachedTokens, r.totalCachedTokens, r.queueEmptyAt = map[string]int{}, 0, time.Time{}
	r.mu.Unlock()
	for _, l := range r.Listeners {
		l.SetDown(true)
	}
	r.resetConnections()
	r.cluster.mu.Lock()
	var lost []string
	for id, s := range r.cluster.states {
		if s.holder == r {
			lost = append(lost, id)
		}
	}
	r.cluster.mu.Unlock()
	for _, id := range lost {
		r.cluster.takeState(id, false)
	}
}

// Restart starts it again, cold.
func (r *Replica) Restart() {
	now := r.cluster.history.Now()
	start := history.Event{At: now, Kind: history.ReplicaStarted, Replica: r.Name, Until: now + SlowStartDuration, Weight: 1, Dispatcher: -1}
	r.cluster.history.Add(start)
	r.mu.Lock()
	r.dead = false
	r.processContext, r.endProcess = context.WithCancel(context.Background())
	r.slowStart = &history.SlowStartBudget{Rules: r.cluster.rules, Start: start}
	r.mu.Unlock()
	for _, l := range r.Listeners {
		l.SetDown(false)
	}
}

func (r *Replica) SetSlowdown(factor float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.slowdown = factor
}

// Hang makes it accept calls and answer none.
func (r *Replica) Hang() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.resumed = make(chan struct{})
}

// Resume makes it answer again.
func (r *Replica) Resume() {
	r.mu.Lock()
	defer r.mu.Unlock()
	close(r.resumed)
	r.resumed = nil
}

// awaitResumed returns once it answers, or its caller has gone.
func (r *Replica) awaitResumed(ctx context.Context) {
	r.mu.Lock()
	hung := r.resumed
	r.mu.Unlock()
	if hung == nil {
		return
	}
	select {
	case <-hung:
	case <-ctx.Done():
	}
}

func (r *Replica) SetErrorRate(part float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.errorRate = part
}

// Weight is what discovery tells of it: its capacity against others'.
func (r *Replica) Weight() float64 { return cmp.Or(r.configuredWeight, 1) }

func (r *Replica) FlushCache() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cachedTokens, r.totalCachedTokens = map[string]int{}, 0
}

// relativeSpeed is what it can do now, as a part of its warm capacity; the caller holds the lock.
func (r *Replica) relativeSpeed() float64 {
	part := r.Weight() / r.slowdown
	if r.slowStart != nil {
		part *= r.cluster.rules.CapacityFraction(r.slowStart.Start, r.cluster.history.Now())
	}
	return part
}

// Serve answers calls on a link's listener; the dispatcher that calls there is the given one.
func (r *Replica) Serve(l *network.Listener, link *network.Link, dispatcher int) *http.Server {
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		r.mu.Lock()
		life := r.processContext
		r.mu.Unlock()
		ctx, cancel := context.WithCancel(q.Context())
		defer cancel()
		defer context.AfterFunc(life, cancel)()
		r.handle(w, q.WithContext(ctx), link, dispatcher)
		if life.Err() != nil {
			panic(http.ErrAbortHandler) // the process is gone
		}
	}), ErrorLog: network.DiscardLog, ConnState: r.Connections.track, ConnContext: func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connectionKey{}, c)
	}}
	go s.Serve(l)
	return s
}

// LeasedPoll is the class of a probe on behalf of the fleet; its lease's number is the event's weight.
const LeasedPoll = "duty"

// connectionKey finds the connection of a call.
type connectionKey struct{}

// resetConnections breaks all connections to it.
func (r *Replica) resetConnections() {
	for _, l := range r.Listeners {
		l.Link().Reset()
	}
}

func respondNotExecuted(w http.ResponseWriter, status int) {
	w.Header().Set("X-Never-Ran", "1")
	w.WriteHeader(status)
}

func (r *Replica) handle(w http.ResponseWriter, q *http.Request, link *network.Link, dispatcher int) {
	h := r.cluster.history
	came := h.Now()
	if id, ok := strings.CutPrefix(q.URL.Path, "/bootstrap/rooms/"); ok {
		if q.Method == http.MethodDelete {
			r.awaitResumed(q.Context())
			r.cluster.releaseState(id, link.Sound(time.Now().Add(-time.Second)))
			w.WriteHeader(http.StatusNoContent)
			return
		}
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if q.Method == http.MethodGet && (q.URL.Path == "/load" || q.URL.Path == "/healthz") {
		e := history.Event{Kind: history.LoadPolled, Replica: r.Name, Dispatcher: dispatcher}
		if _, number, ok := strings.Cut(q.Header.Get("X-Duty"), " "); ok {
			e.Class = LeasedPoll
			e.Weight, _ = strconv.ParseFloat(number, 64)
		}
		h.Add(e)
		if !r.cluster.Deployment.LoadPolls {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		r.awaitResumed(q.Context())
		if r.cluster.Deployment.LoadReports {
			io.WriteString(w, r.currentLoadReport())
		}
		return
	}
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return // cut before its last byte: it never began
	}
	id := q.Header.Get("X-Trace-Id")
	s := r.cluster.request(id)
	if s == nil && r.cluster.Unregistered != nil {
		s = r.cluster.Unregistered(q, body)
	}
	if s == nil || string(body) != s.Body {
		h.Add(history.Event{Kind: history.ForeignResponseReceived, Request: id, Replica: r.Name, Dispatcher: dispatcher})
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	began := time.Now()
	event := history.Event{At: came, LastByteAt: h.Now(), Kind: history.AttemptArrived, Request: id, Group: s.Group, Class: s.Class.Name, Replica: r.Name,
		Dispatcher: dispatcher, LinkHealthy: link.Sound(began.Add(-time.Second)), Weight: r.work(s)}
	if told, err := parseTimeout(q.Header.Get("X-Expires-In")); err == nil {
		event.AnnouncedTimeout = told
	}
	if c, ok := q.Context().Value(connectionKey{}).(*network.Conn); ok {
		event.SentAt = max(min(h.At(c.Sent()), came), 1)
	}
	h.Add(event)
	r.mu.Lock()
	over := false
	if r.slowStart != nil {
		_, _, over = r.slowStart.Add(event)
	}
	r.mu.Unlock()
	defer func() {
		h.Add(history.Event{Kind: history.AttemptEnded, Request: id, Replica: r.Name, Dispatcher: dispatcher, LinkHealthy: link.Sound(began)})
	}()
	if over {
		h.Add(history.Event{Kind: history.ReplicaOverloaded, Replica: r.Name, Dispatcher: -1})
		r.Kill()
		return
	}
	r.awaitResumed(q.Context())
	if r.corrupt(w, q) {
		return
	}
	r.mu.Lock()
	fails := r.errorRate
	r.mu.Unlock()
	failing := fails > 0 && r.cluster.random() < fails
	if failing && (!r.Decode || r.cluster.random() < 0.5) {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	if r.Decode {
		defer r.cluster.awaitState(id)()
		r.decode(w, q, s, id, dispatcher, failing)
	} else {
		r.prefill(w, q, s, id, dispatcher)
	}
}

// work is a request's work as a part of what the replica does in a second, by the mean of its class.
func (r *Replica) work(s *deployment.Request) float64 {
	if r.Decode {
		return float64(s.Class.OutputTokens) * deployment.DecodeTokenTime.Seconds() * 1.25 / decodeSlots / r.Weight()
	}
	return float64(s.Class.PromptTokens) * deployment.UncachedFraction / deployment.PrefillTokensPerSecond / r.Weight()
}

// prefill reads the prompt from where the kept texts end; requests are prefill one after the other.
func (r *Replica) prefill(w http.ResponseWriter, q *http.Request, s *deployment.Request, id string, dispatcher int) {
	r.mu.Lock()
	if r.waiting >= prefillQueueLimit || float64(r.cluster.reservedTokens(r)) > reservedTokensLimit {
		r.mu.Unlock()
		respondNotExecuted(w, http.StatusServiceUnavailable)
		return
	}
	kept := min(max(r.cachedTokens[s.Prefix], r.cachedTokens[s.Session]), s.PromptTokens)
	work := time.Duration(float64(s.PromptTokens-kept) / (deployment.PrefillTokensPerSecond * r.relativeSpeed()) * float64(time.Second))
	now := time.Now()
	if r.queueEmptyAt.Before(now) {
		r.queueEmptyAt = now
	}
	r.queueEmptyAt = r.queueEmptyAt.Add(work + 3*time.Millisecond)
	due := r.queueEmptyAt
	r.waiting++
	r.mu.Unlock()
	timer := time.NewTimer(time.Until(due))
	defer timer.Stop()
	var err error
	select {
	case <-timer.C:
	case <-q.Context().Done():
		err = q.Context().Err()
	}
	r.mu.Lock()
	r.waiting--
	if err == nil {
		r.cachePrefix(s.Prefix, s.PrefixTokens)
		r.cachePrefix(s.Session, s.PromptTokens)
	}
	r.mu.Unlock()
	if err != nil {
		return
	}
	r.cluster.reserveState(id, r, s.PromptTokens, dispatcher)
	w.WriteHeader(http.StatusAccepted)
	fmt.Fprintf(w, `{"cached_tokens":%d}`, kept)
}

// cachePrefix notes a text; the caller holds the lock. When there is no room others go, whichever come first.
func (r *Replica) cachePrefix(text string, tokens int) {
	if text == "" || r.cachedTokens[text] >= tokens {
		return
	}
	r.totalCachedTokens += tokens - r.cachedTokens[text]
	r.cachedTokens[text] = tokens
	for other, n := range r.cachedTokens {
		if r.totalCachedTokens <= prefixCacheTokens {
			return
		}
		if other != text {
			delete(r.cachedTokens, other)
			r.totalCachedTokens -= n
		}
	}
}

// decode waits for a slot, fetches the state and streams the answer. One that fails does so once it has begun.
func (r *Replica) decode(w http.ResponseWriter, q *http.Request, s *deployment.Request, id string, dispatcher int, fails bool) {
	r.mu.Lock()
	if r.waiting+r.active >= decodeSlots+decodeQueueLimit {
		r.mu.Unlock()
		respondNotExecuted(w, http.StatusServiceUnavailable)
		return
	}
	r.waiting++
	r.mu.Unlock()
	ctx := q.Context()
	free := false
	select {
	case r.slots <- struct{}{}:
		free = true
	case <-ctx.Done():
	}
	r.mu.Lock()
	r.waiting--
	if free {
		r.active++
	}
	r.mu.Unlock()
	if !free {
		return
	}
	defer func() {
		<-r.slots
		r.mu.Lock()
		r.active--
		r.mu.Unlock()
	}()
	state := r.cluster.takeState(id, true)
	if state == nil {
		respondNotExecuted(w, http.StatusGone)
		return
	}
	r.cluster.history.Add(history.Event{Kind: history.ExecutionStarted, Request: id, Group: s.Group, Class: s.Class.Name,
		Replica: r.Name, Dispatcher: dispatcher})
	if fails {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	move := float64(state.tokens) / transferTokensPerSecond
	if state.holder.Zone != r.Zone {
		move *= crossZoneTransferFactor
	}
	if sleep(ctx, time.Duration(move*float64(time.Second))) != nil {
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	rc := http.NewResponseController(w)
	for n := 0; n < s.OutputTokens; n += TokensPerEvent {
		r.awaitResumed(ctx)
		r.mu.Lock()
		step := float64(deployment.DecodeTokenTime) * (1 + float64(r.active)/decodeSlots/2) / r.relativeSpeed()
		r.mu.Unlock()
		if sleep(ctx, time.Duration(step*float64(min(TokensPerEvent, s.OutputTokens-n)))) != nil {
			return
		}
		if linkHealthy(q) {
			r.cluster.eventWritten(id, n)
		}
		finish := "null"
		if n+TokensPerEvent >= s.OutputTokens {
			finish = `"stop"`
		}
		fmt.Fprintf(w, "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":%q},\"finish_reason\":%s}]}\n\n", EventMark(id, n), finish)
		if rc.Flush() != nil {
			return
		}
	}
	fmt.Fprintf(w, "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":%d,\"completion_tokens\":%d,"+
		"\"prompt_tokens_details\":{\"cached_tokens\":%d}}}\n\ndata: [DONE]\n\n", s.PromptTokens, s.OutputTokens, s.PromptTokens)
}

// linkHealthy tells whether what is written to a call's connection now leaves this machine: what a fault of the link holds back is not held
// back by the dispatcher.
func linkHealthy(q *http.Request) bool {
	c, ok := q.Context().Value(connectionKey{}).(*network.Conn)
	return ok && c.Link().Sound(time.Now())
}

// EventMark is the content of an event: it tells which request it was made for.
func EventMark(id string, n int) string { return fmt.Sprintf("%s.%d ", id, n) }

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// currentLoadReport is the report, as old as reportEvery.
func (r *Replica) currentLoadReport() string {
	held := 0
	if !r.Decode {
		held = r.cluster.reservedTokens(r)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if now := time.Now(); now.Sub(r.reportedAt) >= loadReportInterval {
		r.reportedAt = now
		util, queue, share := math.Min(float64(r.waiting)/4, 1), max(r.waiting-4, 0), float64(held)/reservedTokensLimit
		if r.Decode {
			util, queue, share = float64(r.active)/decodeSlots, r.waiting, float64(r.active)/decodeSlots
		}
		r.loadReport = fmt.Sprintf("TEXT util=%.3f, queue=%d, x0=%.3f", util, queue, share)
	}
	return r.loadReport
}
