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

// fleetRuntime owns the process's membership in the fleet and the components that it needs as a member. Without a fleet
// file, only watcher is set. All fields but node and fenced are set before the process starts any goroutine.
type fleetRuntime struct {
	config  *fleet.Config              // nil if the process is not a member of a fleet
	node    atomic.Pointer[fleet.Node] // nil until joinFleet has started it
	watcher *discovery.Watcher
	tasks   *leasedtasks.Tasks
	subset  *subsetter.Controller  // nil if the process routes to all replicas
	filter  *endpointfilter.Filter // nil if the process uses only its own endpoint list
	fenced  atomic.Bool            // whether the process drains for version skew and not for an operator
}

// init creates the leased tasks and the subset controller, which receive the endpoint list.
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

// newSubsetController returns the controller that restricts the dispatcher to its subset of the replicas.
func (f *fleetRuntime) newSubsetController(cfg *config.Config, router routing.Config,
	dispatcher *dispatch.Dispatcher) *subsetter.Controller {
	var roles []routing.Role
	for _, kind := range router.Kinds {
		roles = append(roles, kind.Role)
	}
	return subsetter.NewController(f.config.SubsetLimits(), cfg.Name, cfg.Settings.Zone, roles, f.subsetFleetView, dispatcher.SetSubset)
}

// subsetFleetView returns the fleet as the subset controller needs it. It is empty until joinFleet has started the
// node.
func (f *fleetRuntime) subsetFleetView() (subsetFleetView subsetter.FleetView) {
	node := f.node.Load()
	if node == nil {
		return subsetFleetView
	}
	subsetFleetView.View, subsetFleetView.Now = node.View(), node.Now()
	subsetFleetView.TrafficFraction, _ = node.QuotaFraction()
	subsetFleetView.Usable = subsetFleetView.View.Fresh(subsetFleetView.Now, fleet.MaxViewAge)
	return subsetFleetView
}

// minQuotaFraction is a lower bound for a member's share, so that dividing by the share gives a finite result.
const minQuotaFraction = 1e-9

// effectiveSize returns a function that computes how many dispatchers, each with a share like this member's, would put
// the same load on discovery as the whole fleet. The share comes from the fleet's quota. Without a fleet file, or if
// the file has no budgets, the function returns the number of dispatchers in the settings.
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

// sendIdempotency sends a message of the idempotency quorum to another member. The message is dropped if this process
// has not joined yet.
func (f *fleetRuntime) sendIdempotency(to string, message []byte, large bool) {
	if node := f.node.Load(); node != nil {
		node.SendIdempotency(to, message, large)
	}
}

// close leaves the fleet without notifying the other members. It may be called more than once.
func (f *fleetRuntime) close() {
	if node := f.node.Load(); node != nil {
		node.Close()
	}
}

// budgetsOf returns the budgets of the whole fleet, or none if there is no fleet file or it has no budgets.
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

// endpointLists gives the leased tasks and the endpoint filter access to the process's watcher, which is created after
// them.
type endpointLists struct{ fleet *fleetRuntime }

// Version implements leasedtasks.EndpointListSource.
func (l endpointLists) Version() uint64 { return l.fleet.watcher.Version() }

// FetchVersion implements leasedtasks.EndpointListSource.
func (l endpointLists) FetchVersion(ctx context.Context) (uint64, error) {
	return l.fleet.watcher.FetchVersion(ctx)
}

// Refresh implements leasedtasks.EndpointListSource.
func (l endpointLists) Refresh() { l.fleet.watcher.Refresh() }

// versionSkewActions carries out the fleet's decisions on version skew that concern this process.
type versionSkewActions struct {
	fleet *fleetRuntime
	drain operatorDrain
}

// RefreshEndpoints implements fleet.VersionSkewActions.
func (v versionSkewActions) RefreshEndpoints() { v.fleet.watcher.Refresh() }

// SetFenced implements fleet.VersionSkewActions: it fences or unfences this process. A fenced process drains. A drain
// that an operator began continues until an operator ends it.
func (v versionSkewActions) SetFenced(fence bool) { //revive:disable-line:flag-parameter the interface is the fleet's
	if fence {
		v.fleet.fenced.Store(!v.drain.active())
		v.drain.begin()
	} else if v.fleet.fenced.Swap(false) {
		v.drain.end()
	}
}
