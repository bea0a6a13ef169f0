package idempotencyquorum

import (
	"time"

	"rampspread/internal/fleet/idempotency"
)

// Status is the state of a Coordinator as shown to operators. Counters start at zero with the process.
type Status struct {
	Self        string   `json:"self"`             // name of this member
	Replicas    []string `json:"keepers"`          // names of the fleet's replicas
	IsReplica   bool     `json:"keeps"`            // this process is a replica and its store is open
	RecoveringS float64  `json:"mute_s,omitempty"` // seconds until this replica votes, while it is recovering
	Keys        int      `json:"keys"`             // number of keys stored by this replica
	Granted     int64    `json:"granted"`          // claims that were granted
	Rejected    int64    `json:"refused"`          // claims that were rejected
	NoQuorum    int64    `json:"no_majority"`      // claims that got no majority, without a rejection
	GrantMS     float64  `json:"grant_ms"`         // mean time in ms that granted claims waited
	Dropped     int64    `json:"dropped"`          // messages that did not fit into this replica's queue
	StoreErrors int64    `json:"errors"`           // errors of the store
	Malformed   int64    `json:"bad"`              // malformed messages received
}

// Status returns the current state and counters.
func (c *Coordinator) Status() Status {
	out := Status{
		Self:        c.cfg.Name,
		Replicas:    c.cfg.Replicas,
		Granted:     c.outcomes[idempotency.Granted].Load(),
		Rejected:    c.outcomes[idempotency.Rejected].Load(),
		NoQuorum:    c.outcomes[idempotency.NoQuorum].Load(),
		Dropped:     c.dropped.Load(),
		StoreErrors: c.storeErrors.Load(),
		Malformed:   c.malformed.Load(),
	}
	if out.Granted > 0 {
		out.GrantMS = float64(c.grantWait.Load()) / float64(out.Granted) / float64(time.Millisecond)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.store == nil {
		return out
	}
	out.IsReplica, out.Keys = true, c.store.Keys()
	if _, remaining := c.store.Complete(c.cfg.Limits.Retention); c.startedRecovering {
		out.RecoveringS = remaining.Seconds()
	}
	return out
}
