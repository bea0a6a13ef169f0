package app

// The counters that the program prints.

import (
	"context"
	"fmt"
	"runtime"
	"slices"
	"strings"
)

// counters is one line of what was taken in, sent and answered.
func (p *program) counters(ctx context.Context) string {
	n := p.core.Counters(ctx)
	bad, skipped := p.front.Malformed(), p.pool.Malformed()
	shed, closed, away, kept, accepts := int64(0), int64(0), int64(0), int64(0), int64(0)
	for _, g := range p.guards {
		bad, shed, closed = bad+g.Malformed(), shed+g.Rejected(), closed+g.Evicted()
		away, kept, accepts = away+g.Drained(), kept+g.CloseDeferred(), accepts+g.AcceptFailures()
	}
	if p.chat != nil {
		bad, skipped = bad+p.chat.Malformed(), skipped+p.chat.SkippedEvents()
	}
	var outcomes []string
	for name, count := range n.Outcomes {
		outcomes = append(outcomes, fmt.Sprintf(" outcome_%s=%d", name, count))
	}
	slices.Sort(outcomes)
	return fmt.Sprintf("event=counters taken=%d open=%d servers=%d sent=%d probed=%d heard=%d released=%d released_no_word=%d served=%d broken=%d refused=%d failed=%d "+
		"overdue=%d left=%d bad_requests=%d shed=%d closed_for_room=%d sent_away=%d kept_open=%d "+
		"accept_failures=%d connect_failures_here=%d bad_answers=%d bad_entries=%d beside_failed=%d goroutines=%d violations=%d%s", n.Accepted, n.Open, n.Endpoints, n.Attempts, n.LoadPolls, n.PeerLoadReports, n.Releases, n.ExpiredReservations,
		n.Served, n.BrokenStreams, n.Rejected, n.Failed, n.DeadlineForced, n.ClientGone, bad, shed, closed, away, kept,
		accepts, p.pool.LocalFailures(), skipped, p.watch.Malformed(), p.beside.Failed(), runtime.NumGoroutine(), p.audit.Total(),
		p.audit.String()+strings.Join(outcomes, "")+p.fleetCounters())
}
