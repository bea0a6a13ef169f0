package app

import (
	"context"
	"sync/atomic"
	"time"

	"rampspread/internal/config"
	"rampspread/internal/discovery"
	"rampspread/internal/dispatch"
	"rampspread/internal/fleet"
	"rampspread/internal/fleet/endpointfilter"
	"rampspread/internal/fleet/leasedtasks"
	"rampspread/internal/fleet/subsetter"
	"rampspread/internal/upstream"
	"rampspread/routing"
)

// fleetRuntime owns the process's membership in the fleet, and what it does as a member. Without a fleet file all of it
// is nil. All fields but node are set before the process starts any goroutine.
type fleetRuntime struct {
	config  *fleet.Config              // nil: the process is not a member of a fleet
	node    atomic.Pointer[fleet.Node] // nil until it has joined
	watcher *discovery.Watcher
	tasks   *leasedtasks.Tasks
	subset  *subsetter.Controller  // nil: it routes to all replicas
	filter  *endpointfilter.Filter // nil: only its own endpoint list counts
	fenced  atomic.Bool            // drained for version skew, and not by an operator
}

// init sets up what the endpoint list is published to.
func (f *fleetRuntime) init(in inputs, router routing.Config, client *upstream.Client, dispatcher *dispatch.Dispatcher) {
	f.config = in.fleet
	if f.config == nil {
		return
	}
	var poller leasedtasks.LoadPoller
	if in.config.Settings.Limits.LoadPolling {
		poller = client
	}
	f.tasks = leasedtasks.New(poller, endpointLists{f}, dispatcher.ApplyPeerLoads, time.Now)
	if f.config.MinSubsetPrefillReplicas > 0 {
		f.subset = f.newSubsetController(in.config, router, dispatcher)
	}
}

// newSubsetController returns what restricts the dispatcher to its subset of the replicas.
func (f *fleetRuntime) newSubsetController(cfg *config.Config, router routing.Config,
	dispatcher *dispatch.Dispatcher) *subsetter.Controller {
	var roles []routing.Role
	for _, kind := range router.Kinds {
		roles = append(roles, kind.Role)
	}
	return subsetter.NewController(f.config.SubsetLimits(), cfg.Name, cfg.Settings.Zone, roles, f.view, dispatcher.SetSubset)
}

// view is the fleet as the subset controller needs it; empty until this process has joined.
func (f *fleetRuntime) view() (view subsetter.FleetView) {
	node := f.node.Load()
	if node == nil {
		return view
	}
	view.View, view.Now = node.View(), node.Now()
	view.TrafficFraction, _ = node.QuotaFraction()
	view.Usable = view.View.Fresh(view.Now, fleet.MaxViewAge)
	return view
}

// minQuotaFraction keeps the division by a member's share finite.
const minQuotaFraction = 1e-9

// effectiveSize returns a function for the number of dispatchers that would put the load on discovery that this fleet
// does, if each had a share like this one's. The fleet's quota determines it where there is one, else the settings do.
func (f *fleetRuntime) effectiveSize(settings *config.Settings) func() float64 {
	return func() float64 {
		if f.config == nil || f.config.Budgets == nil {
			return float64(settings.Dispatchers)
		}
		fraction := f.config.MinFraction()
		if node := f.node.Load(); node != nil {
			fraction, _ = node.QuotaFraction()
		}
		return 1 / max(fraction, minQuotaFraction)
	}
}

// sendIdempotency sends a message of the idempotency quorum to another member; it is dropped until this process has
// joined.
func (f *fleetRuntime) sendIdempotency(to string, message []byte, large bool) {
	if node := f.node.Load(); node != nil {
		node.SendIdempotency(to, message, large)
	}
}

// close leaves the fleet without a notice. It may be called again.
func (f *fleetRuntime) close() {
	if node := f.node.Load(); node != nil {
		node.Close()
	}
}

// budgetsOf returns the limits on what the whole fleet does; none without a fleet file that has them.
func budgetsOf(file *fleet.Config) routing.Budgets {
	if file == nil || file.Budgets == nil {
		return routing.Budgets{}
	}
	return routing.Budgets{
		Fraction:          file.MinFraction(),
		PollsPerReplica:   file.Budgets.PollsPerReplica,
		RetriesPerRequest: file.Budgets.RetriesPerRequest,
		RetriesPerSecond:  file.Budgets.RetriesPerSecond,
	}
}

// endpointLists is the process's watcher for the leased tasks, which are created before it.
type endpointLists struct{ fleet *fleetRuntime }

// Version implements leasedtasks.EndpointLists.
func (l endpointLists) Version() uint64 { return l.fleet.watcher.Version() }

// Peek implements leasedtasks.EndpointLists.
func (l endpointLists) Peek(ctx context.Context) (uint64, error) { return l.fleet.watcher.Peek(ctx) }

// Refresh implements leasedtasks.EndpointLists.
func (l endpointLists) Refresh() { l.fleet.watcher.Refresh() }

// versionSkewActions carries out what the fleet decides about this process for version skew.
type versionSkewActions struct {
	fleet *fleetRuntime
	drain operatorDrain
}

// RefreshEndpoints implements fleet.VersionSkewActions.
func (v versionSkewActions) RefreshEndpoints() { v.fleet.watcher.Refresh() }

// SetFenced implements fleet.VersionSkewActions: it fences this process, or takes that back. Fencing is a drain. A drain that
// an operator began stays until an operator ends it.
func (v versionSkewActions) SetFenced(fence bool) { //revive:disable-line:flag-parameter the interface is the fleet's
	if fence {
		v.fleet.fenced.Store(!v.drain.active())
		v.drain.begin()
	} else if v.fleet.fenced.Swap(false) {
		v.drain.end()
	}
}
