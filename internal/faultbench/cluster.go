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

	"rampspread/internal/faultbench/history"
)

// state is a prompt that was read and waits at its reader.
type state struct {
	reader *replica
	tokens int
	drop   *time.Timer
}

// cluster is all replicas, and what they hold of requests.
type cluster struct {
	history    *history.Recorder
	rules      history.Rules
	replicas   []*replica
	deployment *deployment
	stranger   func(*http.Request, []byte) *spec // makes a request of one that is not known; nil: of none

	mu     sync.Mutex
	specs  map[string]*spec // requests that clients have sent, by id
	states map[string]*state
	waits  map[string]int      // writers that have a request and have not fetched its state yet
	writes map[event]time.Time // when events were written
	rng    *rand.Rand
}

// event is one event of an answer, by the tokens before it.
type event struct {
	request string
	tokens  int
}

// wrote notes that an event is being written.
func (c *cluster) wrote(id string, tokens int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writes[event{id, tokens}] = time.Now()
}

// lag is how long an event that has just come was on its way; it is asked once.
func (c *cluster) lag(id string, tokens int) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	at, ok := c.writes[event{id, tokens}]
	if !ok {
		return 0
	}
	delete(c.writes, event{id, tokens})
	return time.Since(at)
}

// told reads the time that an attempt tells a replica, such as 4800m.
func told(text string) (time.Duration, error) {
	ms, err := strconv.Atoi(strings.TrimSuffix(text, "m"))
	return time.Duration(ms) * time.Millisecond, err
}

// draw is a number from 0 up to 1.
func (c *cluster) draw() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rng.Float64()
}

func newCluster(r *history.Recorder, rules history.Rules, s *Scenario, seed uint64) *cluster {
	c := &cluster{history: r, rules: rules, specs: map[string]*spec{}, states: map[string]*state{}, waits: map[string]int{}, writes: map[event]time.Time{}, rng: rand.New(rand.NewPCG(seed, 0xc1))}
	for i := range s.Readers + s.Writers {
		p := &replica{cluster: c, index: i, writer: i >= s.Readers, slow: 1, kept: map[string]int{},
			slots: make(chan struct{}, writerSlots)}
		p.zone = i % s.Zones
		p.name = fmt.Sprintf("reader-%d", i)
		if p.writer {
			p.zone = (i - s.Readers) % s.Zones
			p.name = fmt.Sprintf("writer-%d", i-s.Readers)
		}
		if len(s.Weights) > 0 {
			p.onList = s.Weights[i%len(s.Weights)]
		}
		p.life, p.end = context.WithCancel(context.Background())
		c.replicas = append(c.replicas, p)
	}
	return c
}

// named is the replica of a name.
func (c *cluster) named(name string) *replica {
	i := slices.IndexFunc(c.replicas, func(r *replica) bool { return r.name == name })
	return c.replicas[i]
}

// know registers a request before its client sends it; replicas answer 400 to any other.
func (c *cluster) know(id string, s *spec) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.specs[id] = s
}

func (c *cluster) spec(id string) *spec {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.specs[id]
}

// take removes what is held for a request; sound tells whether the call for it came over a link without a fault.
func (c *cluster) take(id string, sound bool) *state {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.states[id]
	if s == nil {
		return nil
	}
	delete(c.states, id)
	s.drop.Stop()
	c.history.Add(history.Event{Kind: history.StateReleased, Request: id, Replica: s.reader.name, Dispatcher: -1, LinkHealthy: sound})
	return s
}

// release lets go of what is held for a request and no attempt waits for.
func (c *cluster) release(id string, sound bool) {
	c.mu.Lock()
	waited := c.waits[id] > 0
	c.mu.Unlock()
	if !waited {
		c.take(id, sound)
	}
}

// await counts a writer that waits for a request's state, until done is called.
func (c *cluster) await(id string) (done func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waits[id]++
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.waits[id]--; c.waits[id] == 0 {
			delete(c.waits, id)
		}
	}
}

// hold keeps a state until it is taken.
func (c *cluster) hold(id string, r *replica, tokens, dispatcher int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.states[id] = &state{reader: r, tokens: tokens, drop: time.AfterFunc(heldMost, func() { c.take(id, true) })}
	c.history.Add(history.Event{Kind: history.StateReserved, Request: id, Replica: r.name, Dispatcher: dispatcher})
}

// heldAt is how many tokens of states wait at a reader.
func (c *cluster) heldAt(r *replica) (tokens int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.states {
		if s.reader == r {
			tokens += s.tokens
		}
	}
	return tokens
}
