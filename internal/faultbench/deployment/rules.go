package deployment

import (
	"time"

	"rampspread/internal/faultbench/history"
)

// Figures of the rules that hold in each deployment.
const (
	// InitialCapacity is the part of its capacity that a replica has at a cold start.
	InitialCapacity = 0.34
	// OverloadMultiple is how many times its capacity, over OverloadWindow, makes a replica in slow start fall over.
	OverloadMultiple = 2.5
	OverloadWindow   = 2 * time.Second

	answerSlack       = 58 * time.Millisecond
	drainNoticeSlack  = 50 * time.Millisecond
	releaseSlack      = 300 * time.Millisecond
	measurementsSlack = 150 * time.Millisecond
)

// Rules are the figures that the checker holds the dispatchers to; zoneOf gives a replica's zone by its name.
func (d *Deployment) Rules(zoneOf func(replica string) int) history.Rules {
	r := history.Rules{AnswerSlack: answerSlack, DrainWithin: d.DrainNotice + drainNoticeSlack,
		ReleaseAfter: d.ReleaseTimeout + releaseSlack, OverloadMultiple: OverloadMultiple, OverloadWindow: OverloadWindow,
		InitialCapacity: InitialCapacity, Slack: measurementsSlack, Deduplicated: map[string]history.Deduplication{}}
	r.LongestDeadline = d.LongestDeadline()
	for _, c := range d.Classes {
		switch c.Effect {
		case Fragile:
			r.NonIdempotent = append(r.NonIdempotent, c.Name)
		case Deduplicated:
			r.Deduplicated[c.Name] = history.Deduplication{Window: c.DedupWindow, AllReplicas: c.DedupScope == allReplicas,
				SameDomain: func(a, b string) bool { return d.sameDedupDomain(c, zoneOf(a), zoneOf(b)) }}
		}
	}
	return r
}

// sameDedupDomain tells whether replicas of two zones drop each other's repeats of a class. A zone of the bench is one cell.
func (d *Deployment) sameDedupDomain(c *Class, zoneA, zoneB int) bool {
	return c.DedupScope == allReplicas || len(d.Zones) == 0 && c.DedupScope == sameZone || zoneA == zoneB
}
