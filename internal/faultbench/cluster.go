package faultbench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"rampspread/internal/faultbench/deployment"
	"rampspread/internal/faultbench/history"
	"rampspread/internal/faultbench/scenario"
)

// reservedState is a prompt that was read and waits at its reader.
type reservedState struct {
	holder *Replica
	tokens int
	expiry *time.Timer
}

// Cluster is all replicas, and what they hold of requests.
type Cluster struct {
	history      *history.Recorder
	rules        history.Rules
	Replicas     []*Replica
	Deployment   *deployment.Deployment
	Unregistered func(*http.Request, []byte) *deployment.Request // makes a request of one that is not known; nil: of none

	mu             sync.Mutex
	requests       map[string]*deployment.Request // requests that clients have sent, by id
	states         map[string]*reservedState
	waitingDecodes map[string]int         // writers that have a request and have not fetched its state yet
	eventWrittenAt map[eventKey]time.Time // when events were written
	rng            *rand.Rand
}

// eventKey is one eventKey of an answer, by the tokens before it.
type eventKey struct {
	request string
	tokens  int
}

// eventWritten notes that an event is being written.
func (c *Cluster) eventWritten(id string, tokens int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.eventWrittenAt[eventKey{id, tokens}] = time.Now()
}

// EventDelay is how long an event that has just come was on its way; it is asked once.
func (c *Cluster) EventDelay(id string, tokens int) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	at, ok := c.eventWrittenAt[eventKey{id, tokens}]
	if !ok {
		return 0
	}
	delete(c.eventWrittenAt, eventKey{id, tokens})
	return time.Since(at)
}

// parseTimeout reads the time that an attempt tells a replica, such as 4800m.
func parseTimeout(text string) (time.Duration, error) {
	ms, err := strconv.Atoi(strings.TrimSuffix(text, "m"))
	return time.Duration(ms) * time.Millisecond, err
}

// random is a number from 0 up to 1.
func (c *Cluster) random() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rng.Float64()
}

func NewCluster(r *history.Recorder, rules history.Rules, s *scenario.Scenario, seed uint64) *Cluster {
	c := &Cluster{history: r, rules: rules, requests: map[string]*deployment.Request{}, states: map[string]*reservedState{}, waitingDecodes: map[string]int{}, eventWrittenAt: map[eventKey]time.Time{}, rng: rand.New(rand.NewPCG(seed, 0xc1))}
	for i := range s.PrefillReplicas + s.DecodeReplicas {
		p := &Replica{cluster: c, Index: i, Decode: i >= s.PrefillReplicas, slowdown: 1, cachedTokens: map[string]int{},
			slots: make(chan struct{}, decodeSlots)}
		p.Zone = i % s.Zones
		p.Name = fmt.Sprintf("reader-%d", i)
		if p.Decode {
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

// Named is the replica of a name.
func (c *Cluster) Named(name string) *Replica {
	i := slices.IndexFunc(c.Replicas, func(r *Replica) bool { return r.Name == name })
	return c.Replicas[i]
}

// Register registers a request before its client sends it; replicas answer 400 to any other.
func (c *Cluster) Register(id string, s *deployment.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests[id] = s
}

func (c *Cluster) request(id string) *deployment.Request {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.requests[id]
}

// takeState removes what is held for a request; sound tells whether the call for it came over a link without a fault.
func (c *Cluster) takeState(id string, sound bool) *reservedState {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.states[id]
	if s == nil {
		return nil
	}
	delete(c.states, id)
	s.expiry.Stop()
	c.history.Add(history.Event{Kind: history.StateReleased, Request: id, Replica: s.holder.Name, Dispatcher: -1, LinkHealthy: sound})
	return s
}

// releaseState lets go of what is held for a request and no attempt waits for.
func (c *Cluster) releaseState(id string, sound bool) {
	c.mu.Lock()
	waited := c.waitingDecodes[id] > 0
	c.mu.Unlock()
	if !waited {
		c.takeState(id, sound)
	}
}

// awaitState counts a writer that waits for a request's state, until done is called.
func (c *Cluster) awaitState(id string) (done func()) {
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

// reserveState keeps a state until it is taken.
func (c *Cluster) reserveState(id string, r *Replica, tokens, dispatcher int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.states[id] = &reservedState{holder: r, tokens: tokens, expiry: time.AfterFunc(reservationTimeout, func() { c.takeState(id, true) })}
	c.history.Add(history.Event{Kind: history.StateReserved, Request: id, Replica: r.Name, Dispatcher: dispatcher})
}

// reservedTokens is how many tokens of states wait at a reader.
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
