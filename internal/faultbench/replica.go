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

	"rampspread/internal/faultbench/history"
	"rampspread/internal/faultbench/network"
)

// What the stand-in replicas can do. The deployment's own are about ten times as large; the traffic is too.
const (
	readRate    = 9000.0 // prompt tokens a second
	readerPlace = 32     // requests that may wait at a reader
	keptTokens  = 150e3  // of texts a reader keeps
	writerSlots = 16
	writerPlace = 16
	memory      = 120e3                  // tokens of read states a reader holds
	tokenTime   = 18 * time.Millisecond  // a writer's step with one answer in it, and half as much again when full
	eventTokens = 4                      // tokens an event
	moveRate    = 250e3                  // tokens a second, of a state within a zone
	moveFar     = 2.0                    // times as long to another
	heldMost    = 10 * time.Second       // then a state that nobody asked for is dropped
	warmAfter   = 6 * time.Second        // after a cold start
	reportEvery = 300 * time.Millisecond // load reports are refreshed no more often
)

// replica is a stand-in for one reader or writer, after the protocol page.
type replica struct {
	cluster   *cluster
	name      string
	index     int
	zone      int
	writer    bool
	listeners []*network.Listener // one for each dispatcher
	calls     calls
	onList    float64 // weight; 0: 1

	listing sync.Mutex // held while a fault changes what the list says of it, or ends its process
	hanging sync.Mutex // held while it hangs

	mu      sync.Mutex
	dead    bool
	life    context.Context // ends when it dies
	end     context.CancelFunc
	cold    *history.SlowStartBudget // nil: warm since long
	slow    float64
	hung    chan struct{} // closed once it answers again; nil: it does
	spoils  float64       // the part of its calls that it answers with what makes no sense
	fails   float64       // the part of its calls that it answers with 500
	free    time.Time     // a reader's queue is worked off by then
	waiting int           // requests waiting, and at a reader being read
	active  int           // answers being written
	slots   chan struct{}
	kept    map[string]int // tokens kept, by text
	keptAll int
	report  string
	told    time.Time
}

// kill ends a replica's process: connections are reset, states and texts are lost, calls refused.
func (r *replica) kill() {
	r.mu.Lock()
	r.dead = true
	r.end()
	r.kept, r.keptAll, r.free = map[string]int{}, 0, time.Time{}
	r.mu.Unlock()
	for _, l := range r.listeners {
		l.SetDown(true)
	}
	r.reset()
	r.cluster.mu.Lock()
	var lost []string
	for id, s := range r.cluster.states {
		if s.reader == r {
			lost = append(lost, id)
		}
	}
	r.cluster.mu.Unlock()
	for _, id := range lost {
		r.cluster.take(id, false)
	}
}

// revive starts it again, cold.
func (r *replica) revive() {
	now := r.cluster.history.Now()
	start := history.Event{At: now, Kind: history.ReplicaStarted, Replica: r.name, Until: now + warmAfter, Weight: 1, Dispatcher: -1}
	r.cluster.history.Add(start)
	r.mu.Lock()
	r.dead = false
	r.life, r.end = context.WithCancel(context.Background())
	r.cold = &history.SlowStartBudget{Rules: r.cluster.rules, Start: start}
	r.mu.Unlock()
	for _, l := range r.listeners {
		l.SetDown(false)
	}
}

func (r *replica) setSlow(factor float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.slow = factor
}

// setHung lets it take calls and answer none.
func (r *replica) setHung(hung bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if hung {
		r.hung = make(chan struct{})
	} else {
		close(r.hung)
		r.hung = nil
	}
}

// hang returns once it answers, or its caller has gone.
func (r *replica) hang(ctx context.Context) {
	r.mu.Lock()
	hung := r.hung
	r.mu.Unlock()
	if hung == nil {
		return
	}
	select {
	case <-hung:
	case <-ctx.Done():
	}
}

func (r *replica) setFails(part float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fails = part
}

// weightOnList is what discovery tells of it: its capacity against others'.
func (r *replica) weightOnList() float64 { return cmp.Or(r.onList, 1) }

func (r *replica) flush() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.kept, r.keptAll = map[string]int{}, 0
}

// speed is what it can do now, as a part of its warm capacity; the caller holds the lock.
func (r *replica) speed() float64 {
	part := r.weightOnList() / r.slow
	if r.cold != nil {
		part *= r.cluster.rules.CapacityFraction(r.cold.Start, r.cluster.history.Now())
	}
	return part
}

// serve answers calls on a link's listener; the dispatcher that calls there is the given one.
func (r *replica) serve(l *network.Listener, link *network.Link, dispatcher int) *http.Server {
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		r.mu.Lock()
		life := r.life
		r.mu.Unlock()
		ctx, cancel := context.WithCancel(q.Context())
		defer cancel()
		defer context.AfterFunc(life, cancel)()
		r.answer(w, q.WithContext(ctx), link, dispatcher)
		if life.Err() != nil {
			panic(http.ErrAbortHandler) // the process is gone
		}
	}), ErrorLog: quietLog, ConnState: r.calls.state, ConnContext: func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, c)
	}}
	go s.Serve(l)
	return s
}

// dutyProbe is the class of a probe on behalf of the fleet; its lease's number is the event's weight.
const dutyProbe = "duty"

// connKey finds the connection of a call.
type connKey struct{}

// reset breaks all connections to it.
func (r *replica) reset() {
	for _, l := range r.listeners {
		l.Link().Reset()
	}
}

func neverRan(w http.ResponseWriter, status int) {
	w.Header().Set("X-Never-Ran", "1")
	w.WriteHeader(status)
}

func (r *replica) answer(w http.ResponseWriter, q *http.Request, link *network.Link, dispatcher int) {
	h := r.cluster.history
	came := h.Now()
	if id, ok := strings.CutPrefix(q.URL.Path, "/bootstrap/rooms/"); ok {
		if q.Method == http.MethodDelete {
			r.hang(q.Context())
			r.cluster.release(id, link.Sound(time.Now().Add(-time.Second)))
			w.WriteHeader(http.StatusNoContent)
			return
		}
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if q.Method == http.MethodGet && (q.URL.Path == "/load" || q.URL.Path == "/healthz") {
		e := history.Event{Kind: history.LoadPolled, Replica: r.name, Dispatcher: dispatcher}
		if _, number, ok := strings.Cut(q.Header.Get("X-Duty"), " "); ok {
			e.Class = dutyProbe
			e.Weight, _ = strconv.ParseFloat(number, 64)
		}
		h.Add(e)
		if !r.cluster.deployment.probes {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		r.hang(q.Context())
		if r.cluster.deployment.reports {
			io.WriteString(w, r.load())
		}
		return
	}
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return // cut before its last byte: it never began
	}
	id := q.Header.Get("X-Trace-Id")
	s := r.cluster.spec(id)
	if s == nil && r.cluster.stranger != nil {
		s = r.cluster.stranger(q, body)
	}
	if s == nil || string(body) != s.body {
		h.Add(history.Event{Kind: history.ForeignResponseReceived, Request: id, Replica: r.name, Dispatcher: dispatcher})
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	began := time.Now()
	event := history.Event{At: came, LastByteAt: h.Now(), Kind: history.AttemptArrived, Request: id, Group: s.group, Class: s.class.name, Replica: r.name,
		Dispatcher: dispatcher, LinkHealthy: link.Sound(began.Add(-time.Second)), Weight: r.weight(s)}
	if told, err := told(q.Header.Get("X-Expires-In")); err == nil {
		event.AnnouncedTimeout = told
	}
	if c, ok := q.Context().Value(connKey{}).(*network.Conn); ok {
		event.SentAt = max(min(h.At(c.Sent()), came), 1)
	}
	h.Add(event)
	r.mu.Lock()
	over := false
	if r.cold != nil {
		_, _, over = r.cold.Add(event)
	}
	r.mu.Unlock()
	defer func() {
		h.Add(history.Event{Kind: history.AttemptEnded, Request: id, Replica: r.name, Dispatcher: dispatcher, LinkHealthy: link.Sound(began)})
	}()
	if over {
		h.Add(history.Event{Kind: history.ReplicaOverloaded, Replica: r.name, Dispatcher: -1})
		r.kill()
		return
	}
	r.hang(q.Context())
	if r.spoil(w, q) {
		return
	}
	r.mu.Lock()
	fails := r.fails
	r.mu.Unlock()
	failing := fails > 0 && r.cluster.draw() < fails
	if failing && (!r.writer || r.cluster.draw() < 0.5) {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	if r.writer {
		defer r.cluster.await(id)()
		r.write(w, q, s, id, dispatcher, failing)
	} else {
		r.read(w, q, s, id, dispatcher)
	}
}

// weight is a request's work as a part of what the replica does in a second, by the mean of its class.
func (r *replica) weight(s *spec) float64 {
	if r.writer {
		return float64(s.class.output) * tokenTime.Seconds() * 1.25 / writerSlots / r.weightOnList()
	}
	return float64(s.class.prompt) * missedPart / readRate / r.weightOnList()
}

// read reads the prompt from where the kept texts end; requests are read one after the other.
func (r *replica) read(w http.ResponseWriter, q *http.Request, s *spec, id string, dispatcher int) {
	r.mu.Lock()
	if r.waiting >= readerPlace || float64(r.cluster.heldAt(r)) > memory {
		r.mu.Unlock()
		neverRan(w, http.StatusServiceUnavailable)
		return
	}
	kept := min(max(r.kept[s.prefix], r.kept[s.session]), s.prompt)
	work := time.Duration(float64(s.prompt-kept) / (readRate * r.speed()) * float64(time.Second))
	now := time.Now()
	if r.free.Before(now) {
		r.free = now
	}
	r.free = r.free.Add(work + 3*time.Millisecond)
	due := r.free
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
		r.keep(s.prefix, s.prefixTokens)
		r.keep(s.session, s.prompt)
	}
	r.mu.Unlock()
	if err != nil {
		return
	}
	r.cluster.hold(id, r, s.prompt, dispatcher)
	w.WriteHeader(http.StatusAccepted)
	fmt.Fprintf(w, `{"cached_tokens":%d}`, kept)
}

// keep notes a text; the caller holds the lock. When there is no room others go, whichever come first.
func (r *replica) keep(text string, tokens int) {
	if text == "" || r.kept[text] >= tokens {
		return
	}
	r.keptAll += tokens - r.kept[text]
	r.kept[text] = tokens
	for other, n := range r.kept {
		if r.keptAll <= keptTokens {
			return
		}
		if other != text {
			delete(r.kept, other)
			r.keptAll -= n
		}
	}
}

// write waits for a slot, fetches the state and streams the answer. One that fails does so once it has begun.
func (r *replica) write(w http.ResponseWriter, q *http.Request, s *spec, id string, dispatcher int, fails bool) {
	r.mu.Lock()
	if r.waiting+r.active >= writerSlots+writerPlace {
		r.mu.Unlock()
		neverRan(w, http.StatusServiceUnavailable)
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
	state := r.cluster.take(id, true)
	if state == nil {
		neverRan(w, http.StatusGone)
		return
	}
	r.cluster.history.Add(history.Event{Kind: history.ExecutionStarted, Request: id, Group: s.group, Class: s.class.name,
		Replica: r.name, Dispatcher: dispatcher})
	if fails {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	move := float64(state.tokens) / moveRate
	if state.reader.zone != r.zone {
		move *= moveFar
	}
	if sleep(ctx, time.Duration(move*float64(time.Second))) != nil {
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	rc := http.NewResponseController(w)
	for n := 0; n < s.output; n += eventTokens {
		r.hang(ctx)
		r.mu.Lock()
		step := float64(tokenTime) * (1 + float64(r.active)/writerSlots/2) / r.speed()
		r.mu.Unlock()
		if sleep(ctx, time.Duration(step*float64(min(eventTokens, s.output-n)))) != nil {
			return
		}
		if passes(q) {
			r.cluster.wrote(id, n)
		}
		finish := "null"
		if n+eventTokens >= s.output {
			finish = `"stop"`
		}
		fmt.Fprintf(w, "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":%q},\"finish_reason\":%s}]}\n\n", mark(id, n), finish)
		if rc.Flush() != nil {
			return
		}
	}
	fmt.Fprintf(w, "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":%d,\"completion_tokens\":%d,"+
		"\"prompt_tokens_details\":{\"cached_tokens\":%d}}}\n\ndata: [DONE]\n\n", s.prompt, s.output, s.prompt)
}

// passes tells whether what is written to a call's connection now leaves this machine: what a fault of the link holds back is not held
// back by the dispatcher.
func passes(q *http.Request) bool {
	c, ok := q.Context().Value(connKey{}).(*network.Conn)
	return ok && c.Link().Sound(time.Now())
}

// mark is the content of an event: it tells which request it was made for.
func mark(id string, n int) string { return fmt.Sprintf("%s.%d ", id, n) }

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

// load is the report, as old as reportEvery.
func (r *replica) load() string {
	held := 0
	if !r.writer {
		held = r.cluster.heldAt(r)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if now := time.Now(); now.Sub(r.told) >= reportEvery {
		r.told = now
		util, queue, share := math.Min(float64(r.waiting)/4, 1), max(r.waiting-4, 0), float64(held)/memory
		if r.writer {
			util, queue, share = float64(r.active)/writerSlots, r.waiting, float64(r.active)/writerSlots
		}
		r.report = fmt.Sprintf("TEXT util=%.3f, queue=%d, x0=%.3f", util, queue, share)
	}
	return r.report
}
