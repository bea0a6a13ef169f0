package idempotencyquorum

import (
	"time"

	"rampspread/internal/fleet/idempotency"
)

// Status is what operators are shown of a Coordinator. The counts are since the start of the process.
type Status struct {
	Self        string   `json:"self"`
	Replicas    []string `json:"keepers"`
	IsReplica   bool     `json:"keeps"`            // this process is a replica, with its store open
	RecoveringS float64  `json:"mute_s,omitempty"` // seconds for which it does not vote yet
	Keys        int      `json:"keys"`             // stored by this replica
	Granted     int64    `json:"granted"`          // claims
	Rejected    int64    `json:"refused"`          // claims
	NoQuorum    int64    `json:"no_majority"`      // claims
	GrantMS     float64  `json:"grant_ms"`         // mean time that a claim waited for its grant
	Dropped     int64    `json:"dropped"`          // messages that did not fit into this replica's queue
	StoreErrors int64    `json:"errors"`           // of the store
	Malformed   int64    `json:"bad"`              // malformed messages
}

// Status returns the present counts.
func (c *Coordinator) Status() Status {
	out := Status{
		Self:        c.cfg.Name,
		Replicas:    c.cfg.Replicas,
		Granted:     c.outcomes[idempotency.Granted].Load(),
		Rejected:    c.outcomes[idempotency.Rejected].Load(),
		NoQuorum:    c.outcomes[idempotency.NoQuorum].Load(),
		Dropped:     c.dropped.Load(),
		StoreErrors: c.errs.Load(),
		Malformed:   c.bad.Load(),
	}
	if out.Granted > 0 {
		out.GrantMS = float64(c.waited.Load()) / float64(out.Granted) / float64(time.Millisecond)
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
