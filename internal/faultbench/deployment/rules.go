package deployment

import (
	"time"

	"rampspread/internal/faultbench/history"
)

// Those parameters of the rules that are equal in all deployments.
const (
	// InitialCapacity is the fraction of its capacity that a replica has at the beginning of its slow start.
	InitialCapacity = 0.34
	// OverloadMultiple is the multiple of its capacity, over OverloadWindow, that overloads a replica in slow start.
	OverloadMultiple = 2.5
	OverloadWindow   = 2 * time.Second

	answerSlack      = 58 * time.Millisecond
	drainNoticeSlack = 50 * time.Millisecond
	releaseSlack     = 300 * time.Millisecond
	measurementSlack = 150 * time.Millisecond
)

// Rules returns the parameters of the rules that the checker applies to the dispatchers. The function zoneOf returns
// the zone of the replica with a name.
func (d *Deployment) Rules(zoneOf func(replica string) int) history.Rules {
	r := history.Rules{AnswerSlack: answerSlack, DrainWithin: d.DrainNotice + drainNoticeSlack,
		ReleaseAfter: d.ReleaseTimeout + releaseSlack, OverloadMultiple: OverloadMultiple, OverloadWindow: OverloadWindow,
		InitialCapacity: InitialCapacity, Slack: measurementSlack, Deduplicated: map[string]history.Deduplication{}}
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

// sameDedupDomain reports whether replicas of two zones drop each other's repeats of a class. Each zone of the bench is
// one cell.
func (d *Deployment) sameDedupDomain(c *Class, zoneA, zoneB int) bool {
	return c.DedupScope == allReplicas || len(d.Zones) == 0 && c.DedupScope == sameZone || zoneA == zoneB
}
