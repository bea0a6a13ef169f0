package faultbench

import (
	"context"
	"time"

	"rampspread/internal/admin"
	"rampspread/internal/faultbench/history"
	"rampspread/internal/faultbench/loadgen"
	"rampspread/internal/faultbench/scenario"
	"rampspread/internal/faultbench/timing"
)

// drainCheckAfter is the time from an operator's drain to the check of the client connections, without slack.
const drainCheckAfter = 4 * time.Second

// operatorDrain drains a dispatcher by an admin call. After drainCheckAfter and loadgen.DrainSlack it records the
// client connections that should have ended but are still open. It ends the drain when the fault is over.
func (r *Run) operatorDrain(ctx context.Context, f scenario.Fault, d int) {
	if _, err := admin.Request(r.addrs.admin(d), "drain-on", adminTimeout); err != nil {
		return // the process is not up
	}
	began := time.Now()
	if timing.Sleep(ctx, drainCheckAfter+loadgen.DrainSlack) != nil {
		return
	}
	for _, reason := range r.clients.Lingering(d, began) {
		r.history.Add(history.Event{Kind: history.ConnectionLingers, Dispatcher: d, Elapsed: time.Since(began), Class: reason,
			LinkHealthy: r.links.clients[d].Healthy(began) && r.dispatchers[d].UpSince(began)})
	}
	timing.Sleep(ctx, scenario.Seconds(f.Duration)-time.Since(began))
	if _, err := admin.Request(r.addrs.admin(d), "drain-off", adminTimeout); err != nil {
		r.options.Log.Warn("drain_off_failed", "dispatcher", d, "err", err)
	}
}
