// Package replica simulates the replicas behind the dispatchers as the protocol page specifies them: prefill replicas
// with a queue, a prefix cache and reserved KV states, decode replicas with slots, load reports, slow start, and the
// faults of both. The replicas record in the bench's history what arrives on their sockets. All types are safe for
// concurrent use; a Cluster's exported fields must be set before the first call and not changed afterwards.
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

// Cluster holds all replicas of a run, and the requests and reserved states that they share.
type Cluster struct {
	Replicas   []*Replica
	Deployment *deployment.Deployment
	// ResolveUnregistered returns the request for a call whose ID was not passed to Register. If ResolveUnregistered or
	// its result is nil, the replica responds with 400.
	ResolveUnregistered func(*http.Request, []byte) *deployment.Request

	history *history.Recorder
	rules   history.Rules

	mu                sync.Mutex
	requests          map[string]*deployment.Request // registered requests by ID
	states            map[string]*reservedState      // reserved states by request ID
	decodesInProgress map[string]int                 // number of decode attempts in progress, by request ID
	eventWrittenAt    map[eventKey]time.Time         // kept until EventDelay reads it
	rng               *rand.Rand
}

// reservedState is the KV state of a computed prompt, which its prefill replica holds until a decode replica fetches
// it.
type reservedState struct {
	holder *Replica
	tokens int
	expiry *time.Timer // removes the state after reservationTimeout
}

// eventKey identifies one event of a streamed response by its request and the number of tokens before the event.
type eventKey struct {
	request string
	tokens  int
}

// randomStream selects the stream of the random generator that draws the replicas' faults.
const randomStream = 0xc1

// NewCluster returns a cluster with the replicas of a scenario. They record in r, which may be nil if nothing calls
// them.
func NewCluster(r *history.Recorder, rules history.Rules, s *scenario.Scenario, seed uint64) *Cluster {
	c := &Cluster{history: r, rules: rules, requests: map[string]*deployment.Request{}, states: map[string]*reservedState{},
		decodesInProgress: map[string]int{}, eventWrittenAt: map[eventKey]time.Time{}, rng: rand.New(rand.NewPCG(seed, randomStream))}
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

// ReplicaByName returns the replica with the given name, which must be one of the cluster's replicas.
func (c *Cluster) ReplicaByName(name string) *Replica {
	i := slices.IndexFunc(c.Replicas, func(r *Replica) bool { return r.Name == name })
	return c.Replicas[i]
}

// Register adds a request before its client sends it.
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

// EventDelay returns the time since a replica wrote an event that a client has just received, or 0 if it is unknown.
// Each event's delay can be read only once.
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

// recordEventWrite records that an event is being written now.
func (c *Cluster) recordEventWrite(id string, tokens int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.eventWrittenAt[eventKey{id, tokens}] = time.Now()
}

// random returns a random number in [0, 1).
func (c *Cluster) random() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rng.Float64()
}

// reserveState holds a request's state until it is removed or expires.
func (c *Cluster) reserveState(id string, holder *Replica, tokens, dispatcher int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.states[id] = &reservedState{holder: holder, tokens: tokens,
		expiry: time.AfterFunc(reservationTimeout, func() { c.removeState(id, true) })}
	c.history.Add(history.Event{Kind: history.StateReserved, Request: id, Replica: holder.Name, Dispatcher: dispatcher})
}

// removeState removes and returns the state of a request, or returns nil if there is none. linkHealthy is recorded: it
// is false if the call to remove the state arrived over a link with a fault, or if the replica's process ended.
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

// releaseState removes the state of a request unless a decode attempt for the request is in progress.
func (c *Cluster) releaseState(id string, linkHealthy bool) {
	c.mu.Lock()
	inProgress := c.decodesInProgress[id] > 0
	c.mu.Unlock()
	if !inProgress {
		c.removeState(id, linkHealthy)
	}
}

// trackDecode counts a decode attempt for a request as in progress until done is called.
func (c *Cluster) trackDecode(id string) (done func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.decodesInProgress[id]++
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.decodesInProgress[id]--; c.decodesInProgress[id] == 0 {
			delete(c.decodesInProgress, id)
		}
	}
}

// removeStatesOf removes all states of a replica whose process ends.
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

// reservedTokens returns the total number of tokens of the states that a prefill replica holds.
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
