package app

import (
	"fmt"
	"runtime"
	"slices"
	"strings"

	"rampspread/internal/fleet"
)

// counter is one name and its value in the counters line.
type counter struct{ name, value string }

// count returns a counter with an integer value.
func count[N int | int64 | uint64](name string, n N) counter { return counter{name, fmt.Sprint(n)} }

// decimal returns a counter whose value has the given number of digits after the decimal point.
func decimal(name string, value float64, digits int) counter {
	return counter{name, fmt.Sprintf("%.*f", digits, value)}
}

// writeCounters appends counters to a line, each preceded by a space.
func writeCounters(line *strings.Builder, counters []counter) {
	for _, c := range counters {
		line.WriteString(" " + c.name + "=" + c.value)
	}
}

// countersLine returns one line with all counters of the process. Programs read the line, so its keys must not change.
func (a *application) countersLine() string {
	var line strings.Builder
	line.WriteString("event=counters")
	requests, outcomes := a.requestCounters()
	writeCounters(&line, requests)
	writeCounters(&line, a.connectionCounters())
	writeCounters(&line, []counter{
		count("bad_entries", a.watcher.Malformed()),
		count("beside_failed", a.stores.inFlight.Failures()),
		count("goroutines", runtime.NumGoroutine()),
		count("violations", a.violations.Total()),
	})
	line.WriteString(a.violations.String())
	writeCounters(&line, outcomes)
	writeCounters(&line, a.fleet.counters())
	return line.String()
}

// requestCounters returns the dispatcher's counters, and the numbers of attempts by outcome, sorted by name.
func (a *application) requestCounters() (requests, outcomes []counter) {
	n := a.dispatcher.Counters(a.background.ctx)
	for name, attempts := range n.Outcomes {
		outcomes = append(outcomes, count("outcome_"+name, attempts))
	}
	slices.SortFunc(outcomes, func(a, b counter) int { return strings.Compare(a.name+"="+a.value, b.name+"="+b.value) })
	return []counter{
		count("taken", n.Accepted),
		count("open", n.Open),
		count("servers", n.Endpoints),
		count("sent", n.Attempts),
		count("probed", n.LoadPolls),
		count("heard", n.PeerLoadReports),
		count("released", n.Releases),
		count("released_no_word", n.ExpiredReservations),
		count("served", n.Served),
		count("broken", n.BrokenStreams),
		count("refused", n.Rejected),
		count("failed", n.Failed),
		count("overdue", n.DeadlineFailures),
		count("left", n.ClientGone),
		count("late_answers", n.LateAnswers),
	}, outcomes
}

// connectionCounters returns the counters of the frontends and of the connections to replicas.
func (a *application) connectionCounters() []counter {
	limiterTotals := a.listeners.counts()
	badRequests, badAnswers := a.frontendHandler.Malformed()+limiterTotals.malformed, a.upstream.Malformed()
	if a.chat != nil {
		badRequests, badAnswers = badRequests+a.chat.Malformed(), badAnswers+a.chat.SkippedEvents()
	}
	return []counter{
		count("bad_requests", badRequests),
		count("shed", limiterTotals.rejected),
		count("closed_for_room", limiterTotals.evicted),
		count("stalled_ended", limiterTotals.stalled),
		count("sent_away", limiterTotals.drained),
		count("kept_open", limiterTotals.closeDeferred),
		count("accept_failures", limiterTotals.acceptFailures),
		count("connect_failures_here", a.upstream.LocalFailures()),
		count("bad_answers", badAnswers),
	}
}

// counters returns the fleet's part of the counters line, or nil if the process is not in a fleet.
func (f *fleetRuntime) counters() (counters []counter) {
	node := f.node.Load()
	if node == nil {
		return nil
	}
	status := node.Status()
	if tasks, ok := node.TasksStatus(); ok {
		counters = append(counters, f.taskCounters(tasks)...)
	}
	if quota, ok := node.QuotaStatus(); ok {
		counters = append(counters,
			decimal("share_part", quota.Fraction, 6),
			decimal("share_demand", quota.Demand, 2),
			decimal("share_lent", quota.Outstanding, 6),
			count("share_offers", quota.SharesApplied),
			count("share_dropped", quota.Dropped))
	}
	if f.subset != nil {
		subset := f.subset.Status()
		counters = append(counters, count("subset", len(subset.Subset)), count("subset_times", subset.Updates))
	}
	if bootstrap, ok := node.BootstrapStatus(); ok {
		counters = append(counters,
			count("beliefs_taken", bootstrap.Received),
			count("beliefs_given", bootstrap.Sent),
			count("beliefs_busy", bootstrap.Declined),
			count("beliefs_bad", bootstrap.Malformed))
	}
	if f.filter != nil {
		filter := f.filter.Status()
		counters = append(counters,
			count("lists_told", filter.PeerLists),
			count("lists_held_back", filter.Suppressed),
			count("lists_refused", filter.Rejected))
	}
	return append(counters, membershipCounters(status)...)
}

func (f *fleetRuntime) taskCounters(status fleet.TasksStatus) []counter {
	held := 0
	for _, task := range status.Tasks {
		if task.Held {
			held++
		}
	}
	return []counter{
		count("duties", len(status.Tasks)),
		count("duties_held", held),
		count("duty_acts", status.Executions),
		count("duty_late", status.LateResults),
		count("duty_bytes", status.BytesSent),
		count("lists_renewed", f.tasks.Refreshed()),
	}
}

func membershipCounters(status fleet.Status) []counter {
	states := map[string]int{}
	for _, member := range status.Members {
		states[member.State]++
	}
	return []counter{
		count("fleet_view", status.ViewVersion),
		count("fleet_alive", states["alive"]),
		count("fleet_suspect", states["suspect"]),
		count("fleet_unreachable", states["unreachable"]),
		count("fleet_left", states["left"]),
		count("fleet_conflicts", len(status.Conflicts)),
		count("fleet_bad", status.Malformed),
		count("fleet_stale", status.Stale),
	}
}
