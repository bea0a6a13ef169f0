package faultbench

import (
	"context"
	"time"

	"rampspread/internal/admin"
	"rampspread/internal/faultbench/history"
	"rampspread/internal/faultbench/scenario"
	"rampspread/internal/faultbench/timing"
)

const (
	drainCheckAfter  = 4 * time.Second        // after an operator's drain its clients' connections are looked at,
	youngRequest     = 2 * time.Second        // and none may have a request that is younger
	drainCheckSlack  = 150 * time.Millisecond // of both, since the processes share the machine with the rig
	adminTimeout     = time.Second            // for an operator's call
	closePeekTimeout = 2 * time.Millisecond   // for a close that has come to show
)

// operatorDrain drains a dispatcher by an operator's call, looks at its clients' connections when the page says, and ends the drain.
func (r *Run) operatorDrain(ctx context.Context, f scenario.Fault, d int) {
	if _, err := admin.Request(r.addrs.ops(d), "drain-on", adminTimeout); err != nil {
		return // it is not up
	}
	begun := time.Now()
	if timing.Sleep(ctx, drainCheckAfter+drainCheckSlack) != nil {
		return
	}
	for _, why := range r.clients.outlasting(d, begun) {
		r.history.Add(history.Event{Kind: history.ConnectionLingers, Dispatcher: d, Elapsed: time.Since(begun), Class: why,
			LinkHealthy: r.links.clients[d].Sound(begun) && r.dispatchers[d].UpSince(begun)})
	}
	timing.Sleep(ctx, scenario.Seconds(f.Duration)-time.Since(begun))
	if _, err := admin.Request(r.addrs.ops(d), "drain-off", adminTimeout); err != nil {
		r.options.Log.Warn("drain_off", "dispatcher", d, "err", err)
	}
}

// outlasting tells of the connections to a dispatcher that should have ended since its drain began.
func (c *clients) outlasting(d int, begun time.Time) (why []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for k := range c.open {
		switch {
		case k.dispatcher != d || k.blind:
		case k.busy && k.asked.After(begun.Add(youngRequest+drainCheckSlack)) && time.Since(k.asked) > drainCheckSlack:
			why = append(why, "with a young request")
		case !k.busy && time.Since(k.idle) > drainCheckSlack && k.waits():
			why = append(why, "at rest")
		}
	}
	return why
}

// waits tells whether a connection that nobody uses is open on the other side.
func (k *conn) waits() bool {
	k.SetReadDeadline(time.Now().Add(closePeekTimeout))
	defer k.SetReadDeadline(time.Time{})
	_, err := k.r.Peek(1)
	return isTimeout(err)
}
