package dispatch

import (
	"cmp"
	"log/slog"
	"slices"
	"strings"
	"time"

	"rampspread/routing"
)

// releaseThrough is how many servers a release may go through: with the pool's pauses the last of them is still asked in time.
const releaseThrough = 24

// release lets go of what is held, through servers that have answered of late first.
func (c *Dispatcher) release(id routing.RequestID, why routing.ReleaseReason) {
	q := c.requests[id]
	if q == nil || q.streamed {
		return // with the first event all else goes by itself, and nothing more is sent
	}
	c.releaseNow(q, why)
	if !q.loose {
		return
	}
	c.releasing.Add(1)
	time.AfterFunc(releaseAgain, func() {
		again := func() {
			defer c.releasing.Add(-1)
			if q.answer == nil {
				c.releaseNow(q, why)
			}
		}
		if !c.post(again) {
			c.releasing.Add(-1)
		}
	})
}

const (
	// A read that is given up while its server says nothing may end well long after that, since the close does not reach it either. What
	// it leaves is let go so often,
	followEvery = 400 * time.Millisecond
	// and for so long, or until the server is heard again.
	followFor = 5 * time.Second
)

// follow lets go of what a lost attempt may leave behind later, once its request has its answer.
func (c *Dispatcher) follow(a *attempt) {
	ended := c.now()
	var again func()
	wait := func() { time.AfterFunc(followEvery, func() { c.post(again) }) }
	again = func() {
		if a.req.answer == nil {
			c.releaseNow(a.req, routing.LateOutcome)
		}
		if a.to.heard <= ended && c.now()-ended < followFor {
			wait()
		}
	}
	wait()
}

// PendingReleases is how many releases are to be made once more, from any goroutine.
func (c *Dispatcher) PendingReleases() int64 { return c.releasing.Load() }

func (c *Dispatcher) releaseNow(q *request, why routing.ReleaseReason) {
	c.counters.Releases++
	if why == routing.ReservationExpired {
		c.counters.ExpiredReservations++
		slog.Info("released", "id", q.Call.ID, "why", why, "attempts", len(q.attempts), "server", q.lastServer())
	}
	var through []Target
	for _, l := range mixed(c.lastHeard(releaseThrough)) {
		through = append(through, l.Target)
	}
	c.servers.Release(q.Call, through)
}

// lastServer names the server of the last attempt, in logs.
func (q *request) lastServer() string {
	if len(q.attempts) == 0 {
		return "none"
	}
	return q.attempts[len(q.attempts)-1].name()
}

// mixed puts servers in an order in which those of other zones and roles come early: a part of the network, or all servers of a role,
// may have fallen silent a moment ago.
func mixed(servers []*listed) []*listed {
	type kind struct {
		zone  int
		reads bool
	}
	turns, turn := map[kind]int{}, map[*listed]int{}
	for _, l := range servers {
		of := kind{l.zone, l.reads}
		turn[l] = turns[of]
		turns[of]++
	}
	slices.SortStableFunc(servers, func(a, b *listed) int { return cmp.Compare(turn[a], turn[b]) })
	return servers
}

// lastHeard lists the servers that run, by the list, and answered last, that one first: so many at the most. A large list is not sorted
// for the sake of a few.
func (c *Dispatcher) lastHeard(most int) []*listed {
	order := func(a, b *listed) int {
		return cmp.Or(cmp.Compare(b.heard, a.heard), strings.Compare(a.Name, b.Name))
	}
	var out []*listed
	for _, l := range c.list {
		if l.state == routing.Gone || len(out) == most && order(out[most-1], l) <= 0 {
			continue
		}
		at, _ := slices.BinarySearchFunc(out, l, order)
		out = slices.Insert(out, at, l)
		out = out[:min(len(out), most)]
	}
	return out
}
