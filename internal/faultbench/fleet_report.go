package faultbench

import (
	"time"

	"rampspread/internal/faultbench/history"
	"rampspread/internal/faultbench/replica"
)

// detectionTimes returns how long after each end or pause of a process the views of other dispatchers showed it as
// unreachable or left, in seconds, and how often a view showed a running dispatcher as suspect or unreachable. It
// ignores the views of dispatchers that were themselves down.
func detectionTimes(events []history.Event, names []string) (seconds []float64, falselySuspected int) {
	downs := downtimes{}
	for _, e := range events {
		if e.Kind == history.ProcessDown {
			downs[names[e.Dispatcher]] = append(downs[names[e.Dispatcher]], e)
		}
	}
	for _, e := range events {
		if e.Kind != history.MembershipView || e.Request == "alive" || e.Request == "joining" || e.Request == "unknown" {
			continue
		}
		if downs.at(names[e.Dispatcher], e.At) != nil {
			continue
		}
		switch down := downs.at(e.Replica, e.At); {
		case down == nil && e.Request != "left":
			falselySuspected++
		case down != nil && e.Request != "suspect":
			seconds = append(seconds, max(e.At-down.At, 0).Seconds())
		}
	}
	return seconds, falselySuspected
}

// downtimes maps the name of a dispatcher to its ProcessDown events.
type downtimes map[string][]history.Event

// downSettleTime is how long after a restart other members may still report the state of the previous process.
const downSettleTime = 3 * time.Second

// at returns the downtime of a dispatcher that covers a time or ended at most downSettleTime before it, or nil if there
// is none.
func (d downtimes) at(name string, at time.Duration) *history.Event {
	for i, e := range d[name] {
		if e.At <= at && (e.Until == 0 || at <= e.Until+downSettleTime) {
			return &d[name][i]
		}
	}
	return nil
}

// leasedPolls evaluates the load polls that replicas received under a lease. It returns the longest time in seconds,
// between settled and end, in which a listed replica was not polled, the number of polls under a lower fencing token
// than an earlier poll of the same replica, and the number of all polls.
func leasedPolls(events []history.Event, settled, end time.Duration) (gap float64, stale, total int) {
	lastPoll, maxToken := map[string]time.Duration{}, map[string]float64{}
	withdrawn := map[string]bool{}
	updateGap := func(replica string, at time.Duration) {
		if l, ok := lastPoll[replica]; ok && !withdrawn[replica] && at > settled {
			gap = max(gap, (at - max(l, settled)).Seconds())
		}
		lastPoll[replica] = at
	}
	for _, e := range events {
		switch {
		case e.At > end:
		case e.Kind == history.LoadPolled && e.Class == replica.LeasedPoll:
			total++
			updateGap(e.Replica, e.At)
			withdrawn[e.Replica] = false
			if e.Weight < maxToken[e.Replica] {
				stale++
			}
			maxToken[e.Replica] = max(maxToken[e.Replica], e.Weight)
		case e.Kind == history.EndpointWithdrawn || e.Kind == history.ReplicaStarted:
			withdrawn[e.Replica] = true // until its next load poll
		}
	}
	for replica := range lastPoll {
		updateGap(replica, end)
	}
	return gap, stale, total
}
