// Package replica simulates the replicas behind the dispatchers, after the protocol page: prefill replicas with a queue,
// a prefix cache and reserved KV states, decode replicas with slots, load reports, slow start, and the faults of both.
// The replicas record what arrives on their sockets into the bench's history. All types are safe for concurrent use;
// a Cluster's exported fields are set before the first call and not changed afterwards.
package replica

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"rampspread/internal/faultbench/deployment"
	"rampspread/internal/faultbench/history"
	"rampspread/internal/faultbench/scenario"
)

// Cluster is all replicas of a run, and what they hold of requests.
type Cluster struct {
	Replicas   []*Replica
	Deployment *deployment.Deployment
	// Unregistered makes a request of a call that Register does not know; nil, or a nil result: it is answered with 400.
	Unregistered func(*http.Request, []byte) *deployment.Request

	history *history.Recorder
	rules   history.Rules

	mu             sync.Mutex
	requests       map[string]*deployment.Request // that clients have sent, by ID
	states         map[string]*reservedState      // by request ID
	waitingDecodes map[string]int                 // decode attempts that have not fetched their request's state yet
	eventWrittenAt map[eventKey]time.Time
	rng            *rand.Rand
}

// reservedState is the KV state of a computed prompt, which waits at its prefill replica.
type reservedState struct {
	holder *Replica
	tokens int
	expiry *time.Timer
}

// eventKey names one event of an answer, by the tokens before it.
type eventKey struct {
	request string
	tokens  int
}

// randomStream is the stream of the random generator that draws the replicas' faults.
const randomStream = 0xc1

// NewCluster makes a scenario's replicas. They record into r, which may be nil while nothing calls them.
func NewCluster(r *history.Recorder, rules history.Rules, s *scenario.Scenario, seed uint64) *Cluster {
	c := &Cluster{history: r, rules: rules, requests: map[string]*deployment.Request{}, states: map[string]*reservedState{},
		waitingDecodes: map[string]int{}, eventWrittenAt: map[eventKey]time.Time{}, rng: rand.New(rand.NewPCG(seed, randomStream))}
	for i := range s.PrefillReplicas + s.DecodeReplicas {
		p := &Replica{Name: fmt.Sprintf("reader-%d", i), Index: i, Zone: i % s.Zones, cluster: c, slowdown: 1,
			cachedTokens: map[string]int{}, slots: make(chan struct{}, decodeSlots)}
		if i >= s.PrefillReplicas {
			p.Decode = true
			p.Zone = (i - s.PrefillReplicas) % s.Zones
			p.Name = fmt.Sprintf("writer-%d", i-s.PrefillReplicas)
		}
		if len(s.Weights) > 0 {
			p.configuredWeight = s.Weights[i%len(s.Weights)]
		}
		p.processContext, p.endProcess = context.WithCancel(context.Background())
		c.Replicas = append(c.Replicas, p)
	}
	return c
}

// Named is the replica of a name, which must be one of the cluster's.
func (c *Cluster) Named(name string) *Replica {
	i := slices.IndexFunc(c.Replicas, func(r *Replica) bool { return r.Name == name })
	return c.Replicas[i]
}

// Register makes a request known before its client sends it.
func (c *Cluster) Register(id string, r *deployment.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests[id] = r
}

func (c *Cluster) request(id string) *deployment.Request {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.requests[id]
}

// EventDelay is how long an event that a client has just received was on its way; it can be read once. 0: not known.
func (c *Cluster) EventDelay(id string, tokens int) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := eventKey{id, tokens}
	at, ok := c.eventWrittenAt[key]
	if !ok {
		return 0
	}
	delete(c.eventWrittenAt, key)
	return time.Since(at)
}

// recordEventWrite notes that an event is being written.
func (c *Cluster) recordEventWrite(id string, tokens int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.eventWrittenAt[eventKey{id, tokens}] = time.Now()
}

// random is a number from 0 up to 1.
func (c *Cluster) random() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rng.Float64()
}

// reserveState keeps a request's state until it is taken or expires.
func (c *Cluster) reserveState(id string, holder *Replica, tokens, dispatcher int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.states[id] = &reservedState{holder: holder, tokens: tokens,
		expiry: time.AfterFunc(reservationTimeout, func() { c.removeState(id, true) })}
	c.history.Add(history.Event{Kind: history.StateReserved, Request: id, Replica: holder.Name, Dispatcher: dispatcher})
}

// removeState removes the state of a request; linkHealthy tells whether the call for it came over a link without a fault.
func (c *Cluster) removeState(id string, linkHealthy bool) *reservedState {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.states[id]
	if s == nil {
		return nil
	}
	delete(c.states, id)
	s.expiry.Stop()
	c.history.Add(history.Event{Kind: history.StateReleased, Request: id, Replica: s.holder.Name, Dispatcher: -1, LinkHealthy: linkHealthy})
	return s
}

// releaseState drops the state of a request unless a decode attempt waits for it.
func (c *Cluster) releaseState(id string, linkHealthy bool) {
	c.mu.Lock()
	waiting := c.waitingDecodes[id] > 0
	c.mu.Unlock()
	if !waiting {
		c.removeState(id, linkHealthy)
	}
}

// addWaitingDecode counts a decode attempt that waits for a request's state, until done is called.
func (c *Cluster) addWaitingDecode(id string) (done func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waitingDecodes[id]++
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.waitingDecodes[id]--; c.waitingDecodes[id] == 0 {
			delete(c.waitingDecodes, id)
		}
	}
}

// removeStatesOf releases all states of a replica whose process ends.
func (c *Cluster) removeStatesOf(holder *Replica) {
	c.mu.Lock()
	var lost []string
	for id, s := range c.states {
		if s.holder == holder {
			lost = append(lost, id)
		}
	}
	c.mu.Unlock()
	for _, id := range lost {
		c.removeState(id, false)
	}
}

// reservedTokens is how many tokens of states a prefill replica holds.
func (c *Cluster) reservedTokens(r *Replica) (tokens int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.states {
		if s.holder == r {
			tokens += s.tokens
		}
	}
	return tokens
}
