package faultbench

import (
	"time"

	"rampspread/internal/faultbench/history"
	"rampspread/internal/faultbench/replica"
)

// detectionTimes is how long after each end or pause of a process the views of others that were up all the while showed
// it as unreachable or left, in seconds, and how often one showed another as suspect or worse that was up.
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

// downtimes are the ProcessDown events of each dispatcher, by name.
type downtimes map[string][]history.Event

// downSettleTime is how long after a process is back what was said of the one before may still arrive.
const downSettleTime = 3 * time.Second

// at is the downtime that a dispatcher had at a time, or just before; nil: none.
func (d downtimes) at(name string, at time.Duration) *history.Event {
	for i, e := range d[name] {
		if e.At <= at && (e.Until == 0 || at <= e.Until+downSettleTime) {
			return &d[name][i]
		}
	}
	return nil
}

// leasedPolls is the longest time in which a reachable replica was not polled on behalf of the fleet, from settle on, how
// many polls arrived for a lease after another had followed it, and how many arrived in all.
func leasedPolls(events []history.Event, settle, end time.Duration) (gap float64, doubled, all int) {
	last, most := map[string]time.Duration{}, map[string]float64{}
	away := map[string]bool{}
	look := func(replica string, at time.Duration) {
		if l, ok := last[replica]; ok && !away[replica] && at > settle {
			gap = max(gap, (at - max(l, settle)).Seconds())
		}
		last[replica] = at
	}
	for _, e := range events {
		switch {
		case e.At > end:
		case e.Kind == history.LoadPolled && e.Class == replica.LeasedPoll:
			all++
			look(e.Replica, e.At)
			away[e.Replica] = false
			if e.Weight < most[e.Replica] {
				doubled++
			}
			most[e.Replica] = max(most[e.Replica], e.Weight)
		case e.Kind == history.EndpointWithdrawn || e.Kind == history.ReplicaStarted:
			away[e.Replica] = true // until its first probe again
		}
	}
	for replica := range last {
		look(replica, end)
	}
	return gap, doubled, all
}
