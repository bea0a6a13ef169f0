package faultbench

import (
	"context"
	"time"

	"rampspread/internal/admin"
	"rampspread/internal/faultbench/history"
)

const (
	drainLooked = 4 * time.Second        // after an operator's drain its clients' connections are looked at,
	drainRecent = 2 * time.Second        // and none may have a request that is younger
	drainSlack  = 150 * time.Millisecond // of both, since the processes share the machine with the rig
	opsWait     = time.Second            // for an operator's call
	peekWait    = 2 * time.Millisecond   // for a close that has come to show
)

// operatorDrain drains a dispatcher by an operator's call, looks at its clients' connections when the page says, and ends the drain.
func (r *Run) operatorDrain(ctx context.Context, f Fault, d int) {
	if _, err := admin.Request(r.addrs.ops(d), "drain-on", opsWait); err != nil {
		return // it is not up
	}
	begun := time.Now()
	if sleep(ctx, drainLooked+drainSlack) != nil {
		return
	}
	for _, why := range r.asking.outlasting(d, begun) {
		r.history.Add(history.Event{Kind: history.ConnectionLingers, Dispatcher: d, Elapsed: time.Since(begun), Class: why,
			LinkHealthy: r.links.clients[d].Sound(begun) && r.procs[d].upSince(begun)})
	}
	sleep(ctx, seconds(f.For)-time.Since(begun))
	if _, err := admin.Request(r.addrs.ops(d), "drain-off", opsWait); err != nil {
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
		case k.busy && k.asked.After(begun.Add(drainRecent+drainSlack)) && time.Since(k.asked) > drainSlack:
			why = append(why, "with a young request")
		case !k.busy && time.Since(k.idle) > drainSlack && k.waits():
			why = append(why, "at rest")
		}
	}
	return why
}

// waits tells whether a connection that nobody uses is open on the other side.
func (k *conn) waits() bool {
	k.SetReadDeadline(time.Now().Add(peekWait))
	defer k.SetReadDeadline(time.Time{})
	_, err := k.r.Peek(1)
	return isTimeout(err)
}
