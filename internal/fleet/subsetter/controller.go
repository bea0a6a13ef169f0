// Package subsetter applies a dispatcher's subset of the replicas: its Controller follows discovery's endpoint list and the
// fleet's members, and passes the dispatcher what package subset computes from them.
//
// The Controller owns the list of replicas that subsets are computed from. UpdateEndpoints and Status may be called from any
// goroutine; the computation runs in the goroutine of Run.
package subsetter

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"rampspread/internal/dispatch"
	"rampspread/internal/fleet/membership"
	"rampspread/internal/fleet/subset"
	"rampspread/routing"
)

const (
	// updateInterval is how often the controller looks for changes. A new replica gets work from the dispatchers whose
	// subsets it is in after this time at the latest.
	updateInterval = 500 * time.Millisecond
	// departedMemberGrace is how long a member that is gone still counts. Most are back after a restart, and each change of
	// the members moves some replicas of the others' subsets.
	departedMemberGrace = 10 * time.Second
	// trafficTolerance is how much the traffic fraction must change for a new subset, relative to the last one.
	trafficTolerance = 0.25
	// defaultWeight replaces a weight that is not positive, as in package routing.
	defaultWeight = 1
)

// FleetView is the fleet as this process sees it.
type FleetView struct {
	View            membership.View
	Now             time.Duration // on the view's clock
	TrafficFraction float64       // this process's fraction of all traffic; 0 stands for an even one
	Usable          bool          // the view may be acted on
}

// Controller keeps one dispatcher's subset up to date.
type Controller struct {
	limits    subset.Limits
	self      string
	zoneOf    func(name string) int
	roles     []routing.Role // by kind
	view      func() FleetView
	setSubset func(names []string) bool

	mu       sync.Mutex
	replicas map[string]subset.Replica // the ready ones, by name
	changed  bool                      // the replicas, since the last computation
	status   Status
	// What the last subset was computed for.
	members         []subset.Dispatcher
	trafficFraction float64
}

// Status is what operators are shown of a Controller.
type Status struct {
	Self      string   `json:"self"`
	Subset    []string `json:"kept"`    // names of its replicas; none: all
	Endpoints int      `json:"of"`      // replicas on the list
	Members   int      `json:"members"` // among which they are divided
	Updates   int      `json:"times"`   // subsets that were passed to the dispatcher
	TookMS    float64  `json:"took_ms"` // to compute the last one
}

// NewController returns a Controller that Run must drive. zoneOf returns the number of a zone in the settings, and roles are the
// settings' roles by kind. setSubset takes the names of a subset, none for all replicas; it must not block, and returns
// false if the dispatcher could not take them.
func NewController(limits subset.Limits, self string, zoneOf func(name string) int, roles []routing.Role,
	view func() FleetView, setSubset func(names []string) bool) *Controller {
	return &Controller{
		limits:    limits,
		self:      self,
		zoneOf:    zoneOf,
		roles:     roles,
		view:      view,
		setSubset: setSubset,
		replicas:  map[string]subset.Replica{},
		status:    Status{Self: self},
	}
}

// UpdateEndpoints applies discovery's endpoint list, full or as changes, like the dispatcher does.
//
//revive:disable-next-line:flag-parameter updates have this form at every consumer of the endpoint list
func (c *Controller) UpdateEndpoints(full bool, entries []dispatch.Endpoint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if full {
		clear(c.replicas)
	}
	for _, e := range entries {
		if e.State != routing.Ready || e.Kind < 0 || e.Kind >= len(c.roles) {
			delete(c.replicas, e.Name)
			continue
		}
		c.replicas[e.Name] = replicaOf(e, c.roles[e.Kind])
	}
	c.changed = true
}

func replicaOf(e dispatch.Endpoint, role routing.Role) subset.Replica {
	weight := e.Weight
	if !(weight > 0) { // also if it is not a number
		weight = defaultWeight
	}
	return subset.Replica{
		Name:       e.Name,
		Zone:       e.Zone,
		Cell:       e.Cell,
		CanPrefill: role != routing.Decode,
		CanDecode:  role != routing.Prefill,
		Weight:     weight,
	}
}

// Run updates the subset at intervals until the context ends.
func (c *Controller) Run(ctx context.Context) {
	t := time.NewTicker(updateInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			c.update()
		case <-ctx.Done():
			return
		}
	}
}

// dispatchers are the members among which replicas are divided: the active ones, and those that are gone for less than
// departedMemberGrace.
func (c *Controller) dispatchers(v FleetView) (out []subset.Dispatcher) {
	for _, m := range v.View.Members {
		gone := m.State == membership.Unreachable || m.State == membership.Left
		if m.Active() || gone && v.Now-m.StateSince < departedMemberGrace {
			out = append(out, subset.Dispatcher{Name: m.Name, Zone: c.zoneOf(m.Zone)})
		}
	}
	return out
}

// update passes the dispatcher a new subset if the list, the members or this member's traffic fraction have changed. While
// the view may not be acted on, it changes nothing.
func (c *Controller) update() {
	view := c.view()
	if !view.Usable {
		return
	}
	members := c.dispatchers(view)
	replicas, changed := c.takeChanges(members, view.TrafficFraction)
	if !changed {
		return
	}
	started := time.Now()
	names := c.compute(replicas, members, view.TrafficFraction)
	took := time.Since(started)
	accepted := c.setSubset(names)
	c.mu.Lock()
	defer c.mu.Unlock()
	if !accepted {
		c.changed = true
		return
	}
	c.members, c.trafficFraction = members, view.TrafficFraction
	c.status = Status{
		Self:      c.self,
		Subset:    names,
		Endpoints: len(replicas),
		Members:   len(members),
		Updates:   c.status.Updates + 1,
		TookMS:    float64(took) / float64(time.Millisecond),
	}
}

// takeChanges returns the present replicas, and whether anything differs from what the last subset was computed for.
func (c *Controller) takeChanges(members []subset.Dispatcher, trafficFraction float64) (
	replicas []subset.Replica, changed bool,
) {
	c.mu.Lock()
	defer c.mu.Unlock()
	sameTraffic := trafficFraction >= c.trafficFraction*(1-trafficTolerance) &&
		trafficFraction <= c.trafficFraction*(1+trafficTolerance)
	if !c.changed && slices.Equal(members, c.members) && sameTraffic {
		return nil, false
	}
	replicas = make([]subset.Replica, 0, len(c.replicas))
	for _, r := range c.replicas {
		replicas = append(replicas, r)
	}
	c.changed = false
	return replicas, true
}

// compute returns the names of this dispatcher's replicas; none means all.
func (c *Controller) compute(replicas []subset.Replica, members []subset.Dispatcher, trafficFraction float64) []string {
	assignment := subset.Assign(replicas, members, c.limits)
	if assignment == nil {
		return nil
	}
	names, err := assignment.Of(c.self, trafficFraction)
	if err != nil {
		slog.Debug("subset_failed", "err", err) // this process is not active yet, or is leaving
	}
	return names
}

// Status returns the subset that was last passed to the dispatcher.
func (c *Controller) Status() Status {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.status
}
