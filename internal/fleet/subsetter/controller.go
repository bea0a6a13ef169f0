// Package subsetter keeps a dispatcher's subset of the replicas up to date: its Controller watches discovery's endpoint
// list and the members of the fleet, and passes the dispatcher the subset that package subset computes from them.
//
// The Controller holds the replicas from which subsets are computed. UpdateEndpoints and Status may be called from any
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
	// updateInterval is how often the controller checks for changes. The dispatchers whose subsets contain a new
	// replica send it work after this time at the latest.
	updateInterval = 500 * time.Millisecond
	// departedMemberGrace is how long a departed member still counts. Most members return after a restart, and each
	// change of the members changes some replicas in the subsets of the others.
	departedMemberGrace = 10 * time.Second
	// trafficTolerance is the largest change of the traffic fraction, relative to that of the last subset, that does
	// not cause a new subset.
	trafficTolerance = 0.25
	// defaultWeight replaces a weight that is not positive, as in package routing.
	defaultWeight = 1
)

// FleetView is the fleet as this process sees it.
type FleetView struct {
	View            membership.View
	Now             time.Duration // current time on the clock of the view
	TrafficFraction float64       // fraction of all traffic that this process receives; 0 means an even fraction
	Usable          bool          // whether the view may be acted on
}

// Controller keeps one dispatcher's subset up to date.
type Controller struct {
	limits     subset.Limits
	self       string
	zoneNumber func(name string) int
	roles      []routing.Role // role of each replica kind, by index of the kind
	view       func() FleetView
	setSubset  func(names []string) bool

	mu       sync.Mutex
	replicas map[string]subset.Replica // ready replicas, by name
	changed  bool                      // whether replicas has changed since the last computation
	status   Status
	// Inputs of the last subset.
	members         []subset.Dispatcher
	trafficFraction float64
}

// Status describes the subset of a Controller for operators.
type Status struct {
	Self      string   `json:"self"`
	Subset    []string `json:"kept"`    // names of the replicas in the subset; empty if all replicas are used
	Endpoints int      `json:"of"`      // number of ready replicas on the endpoint list
	Members   int      `json:"members"` // number of members to which the replicas are assigned
	Updates   int      `json:"times"`   // number of subsets that were passed to the dispatcher
	TookMS    float64  `json:"took_ms"` // duration of the last computation in milliseconds
}

// NewController returns a Controller; the caller must call Run to update the subset. zoneNumber returns the number of a
// zone in the settings, and roles are the roles of the kinds in the settings. setSubset receives the names of the
// replicas in a subset, or none if all replicas are used; it must not block, and returns false if the dispatcher could
// not accept the names.
func NewController(limits subset.Limits, self string, zoneNumber func(name string) int, roles []routing.Role,
	view func() FleetView, setSubset func(names []string) bool) *Controller {
	return &Controller{
		limits:     limits,
		self:       self,
		zoneNumber: zoneNumber,
		roles:      roles,
		view:       view,
		setSubset:  setSubset,
		replicas:   map[string]subset.Replica{},
		status:     Status{Self: self},
	}
}

// UpdateEndpoints applies an update of discovery's endpoint list: the full list, or only its changes.
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
	if !(weight > 0) { // also true if the weight is NaN
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

// Run updates the subset at regular intervals until the context ends.
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

// dispatchers returns the members to which replicas are assigned: the active members, and the members that departed
// less than departedMemberGrace ago.
func (c *Controller) dispatchers(v FleetView) (out []subset.Dispatcher) {
	for _, m := range v.View.Members {
		gone := m.State == membership.Unreachable || m.State == membership.Left
		if m.Active() || gone && v.Now-m.StateSince < departedMemberGrace {
			out = append(out, subset.Dispatcher{Name: m.Name, Zone: c.zoneNumber(m.Zone)})
		}
	}
	return out
}

// update passes the dispatcher a new subset if the endpoint list, the members or this member's traffic fraction have
// changed. It changes nothing while the view must not be acted on.
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

// takeChanges returns the current replicas and true if a new subset must be computed: the replicas or the members have
// changed, the traffic fraction has changed by more than trafficTolerance, or the dispatcher did not accept the last
// subset. Otherwise it returns nil and false.
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

// compute returns the names of this dispatcher's replicas. It returns none if the dispatcher uses all replicas: subsets
// are not used, or this process is not among the members.
func (c *Controller) compute(replicas []subset.Replica, members []subset.Dispatcher, trafficFraction float64) []string {
	assignment := subset.Assign(replicas, members, c.limits)
	if assignment == nil {
		return nil
	}
	names, err := assignment.ReplicasOf(c.self, trafficFraction)
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
