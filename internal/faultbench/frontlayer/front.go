// Package frontlayer simulates the layer in front of the dispatchers: it polls their health and spreads the clients'
// new connections over those that it takes for healthy, after the protocol page. A Front is safe for concurrent use.
package frontlayer

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"rampspread/internal/faultbench/network"
)

const (
	// HealthPollInterval is how often each dispatcher's health is polled.
	HealthPollInterval = 100 * time.Millisecond
	healthTimeout      = time.Second
	// unhealthyAfter is how long a dispatcher may not answer before it gets no new connections.
	unhealthyAfter = 2 * time.Second
)

// Config says which dispatchers a Front has. The functions take a dispatcher's number, from 0.
type Config struct {
	Dispatchers int
	Zones       int
	// HotFactor is how many times as many connections as any other the first dispatcher gets; 0: as many.
	HotFactor int
	HealthURL func(dispatcher int) string
	Link      func(dispatcher int) *network.Link
	// Leaving tells whether a dispatcher that answers its health polls gets no new connections, since it shuts down.
	Leaving func(dispatcher int) bool
}

// Front spreads connections round robin, first over the dispatchers of the client's zone.
type Front struct {
	config   Config
	rotation []int // the dispatchers in turn, the hot one several times

	mu         sync.Mutex
	healthy    []bool
	answeredAt []time.Time
	next       []int // position in order, by zone
}

// New makes a Front that takes no dispatcher for healthy yet.
func New(c Config) *Front {
	f := &Front{config: c, healthy: make([]bool, c.Dispatchers), answeredAt: make([]time.Time, c.Dispatchers), next: make([]int, c.Zones)}
	for d := range c.Dispatchers {
		f.rotation = append(f.rotation, d)
		if d == 0 {
			for range c.HotFactor - 1 {
				f.rotation = append(f.rotation, 0)
			}
		}
	}
	return f
}

// Watch polls one dispatcher's health until the context ends.
func (f *Front) Watch(ctx context.Context, d int) {
	client := &http.Client{Timeout: healthTimeout, Transport: &http.Transport{DisableKeepAlives: true,
		DialContext: func(ctx context.Context, _, addr string) (net.Conn, error) {
			return network.Dial(ctx, addr, f.config.Link(d))
		}}}
	tick := time.NewTicker(HealthPollInterval)
	defer tick.Stop()
	for {
		resp, err := client.Get(f.config.HealthURL(d))
		f.recordPoll(d, resp, err)
		if err == nil {
			resp.Body.Close()
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// recordPoll takes in a health poll's result: a refusal counts at once, a missing answer after unhealthyAfter.
func (f *Front) recordPoll(d int, resp *http.Response, err error) {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case err == nil && resp.StatusCode == http.StatusOK:
		f.healthy[d], f.answeredAt[d] = true, now
	case err == nil:
		f.healthy[d] = false
	case now.Sub(f.answeredAt[d]) > unhealthyAfter:
		f.healthy[d] = false
	}
}

// Pick is the dispatcher for a new connection of a zone's client; where the zone has none, others serve it. -1: there is
// none.
func (f *Front) Pick(zone int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	inZone := func(d int) bool { return d%f.config.Zones == zone }
	anywhere := func(int) bool { return true }
	for _, eligible := range []func(int) bool{inZone, anywhere} {
		for range f.rotation {
			f.next[zone]++
			d := f.rotation[f.next[zone]%len(f.rotation)]
			if f.servesLocked(d) && eligible(d) {
				return d
			}
		}
	}
	return -1
}

// Serves tells whether a dispatcher gets new connections.
func (f *Front) Serves(d int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.servesLocked(d)
}

// servesLocked is Serves with the lock held.
func (f *Front) servesLocked(d int) bool { return f.healthy[d] && !f.config.Leaving(d) }
