package core

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"rampspread/decide"
)

// releaseThrough is how many servers a release may go through.
const releaseThrough = 8

// release lets go of what is held, through servers that have answered of late first.
func (c *Core) release(id decide.RequestID) {
	q := c.requests[id]
	if q == nil || q.streamed {
		return // with the first event all else goes by itself, and nothing more is sent
	}
	c.releaseNow(q)
	if q.loose {
		time.AfterFunc(releaseAgain, func() {
			c.post(func() {
				if q.answer == nil {
					c.releaseNow(q)
				}
			})
		})
	}
}

func (c *Core) releaseNow(q *request) {
	var through []Target
	for _, l := range c.lastHeard(releaseThrough) {
		through = append(through, l.Target)
	}
	c.counters.Released++
	c.servers.Release(q.Call, through)
}

// lastHeard lists the servers that run, by the list, and answered last, that one first: so many at the most. A large list is not sorted
// for the sake of a few.
func (c *Core) lastHeard(most int) []*listed {
	order := func(a, b *listed) int {
		return cmp.Or(cmp.Compare(b.heard, a.heard), strings.Compare(a.Name, b.Name))
	}
	var out []*listed
	for _, l := range c.list {
		if l.state == decide.Gone || len(out) == most && order(out[most-1], l) <= 0 {
			continue
		}
		at, _ := slices.BinarySearchFunc(out, l, order)
		out = slices.Insert(out, at, l)
		out = out[:min(len(out), most)]
	}
	return out
}
