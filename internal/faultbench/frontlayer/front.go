// Package frontlayer simulates the load balancer in front of the dispatchers as the protocol page specifies it: it
// polls the dispatchers' health and distributes the clients' new connections over the healthy ones. A Front is safe for
// concurrent use.
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
	// HealthPollInterval is the interval at which each dispatcher's health is polled.
	HealthPollInterval = 100 * time.Millisecond
	healthTimeout      = time.Second
	// unhealthyAfter is the time without a response after which a dispatcher gets no new connections.
	unhealthyAfter = 2 * time.Second
)

// Config configures a Front. The functions take the index of a dispatcher.
type Config struct {
	Dispatchers int
	Zones       int
	// HotFactor is how many times as many connections the first dispatcher gets as any other one; 0 means 1.
	HotFactor int
	HealthURL func(dispatcher int) string
	Link      func(dispatcher int) *network.Link
	// ShuttingDown reports whether a dispatcher is shutting down. If so, it gets no new connections although its health
	// is good.
	ShuttingDown func(dispatcher int) bool
}

// Front distributes connections round robin, preferably over the dispatchers of the client's zone.
type Front struct {
	config   Config
	rotation []int // round-robin order of the dispatchers; the first dispatcher occurs HotFactor times

	mu         sync.Mutex
	healthy    []bool      // by dispatcher
	answeredAt []time.Time // time of the last status 200, by dispatcher
	next       []int       // position in rotation, by zone
}

// New returns a Front that considers each dispatcher unhealthy until a poll shows that it is healthy.
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

// PollHealth polls the health of dispatcher d until the context ends.
func (f *Front) PollHealth(ctx context.Context, d int) {
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

// recordPoll records the result of a health poll. Any status but 200 makes the dispatcher unhealthy immediately, a
// failed poll only if the last status of 200 is more than unhealthyAfter ago.
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

// Pick returns the dispatcher for a new connection of a client in a zone. It picks one of another zone if the zone has
// none that accepts connections, and returns -1 if no zone has one.
func (f *Front) Pick(zone int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	inZone := func(d int) bool { return d%f.config.Zones == zone }
	anywhere := func(int) bool { return true }
	for _, eligible := range []func(int) bool{inZone, anywhere} {
		for range f.rotation {
			f.next[zone]++
			d := f.rotation[f.next[zone]%len(f.rotation)]
			if f.receivesConnectionsLocked(d) && eligible(d) {
				return d
			}
		}
	}
	return -1
}

// ReceivesConnections reports whether a dispatcher gets new connections.
func (f *Front) ReceivesConnections(d int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.receivesConnectionsLocked(d)
}

// receivesConnectionsLocked reports whether a dispatcher gets new connections. The caller must hold the lock.
func (f *Front) receivesConnectionsLocked(d int) bool {
	return f.healthy[d] && !f.config.ShuttingDown(d)
}
