// Package subsetter keeps a dispatcher to its subset of the replicas: it follows discovery's list and who is in the fleet, and
// hands the core what package subset makes of them.
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
	// every is how often it looks whether anything changed: a new replica gets work by those that keep to it so late.
	every = 500 * time.Millisecond
	// hold is how long a member that is gone keeps its place: most are back after a restart, and each change of who is
	// there moves some of what the others keep to.
	hold = 10 * time.Second
	// shift is how much the part of the traffic must change for a new subset, as a part of it.
	shift = 0.25
)

// FleetView is who is there, as this process sees it.
type FleetView struct {
	View            membership.View
	Now             time.Duration // by the view's clock
	TrafficFraction float64       // of all traffic that is this process's; 0: an even one
	Usable          bool          // the view may be acted on
}

// Controller keeps one dispatcher to its subset.
type Controller struct {
	limits subset.Limits
	self   string
	zone   func(name string) int
	roles  []routing.Role // by kind
	fleet  func() FleetView
	to     func(names []string) bool // must not block; false: it had no room

	mu       sync.Mutex
	replicas map[string]subset.Replica
	changed  bool // since the last look
	status   Status
	members  []subset.Dispatcher // that the last subset was made for,
	part     float64             // also
}

// Status is what operators are shown.
type Status struct {
	Self      string   `json:"self"`
	Subset    []string `json:"kept"`    // none: all
	Endpoints int      `json:"of"`      // replicas on the list
	Members   int      `json:"members"` // that they are shared among
	Updates   int      `json:"times"`   // that a subset was handed to the core
	TookMS    float64  `json:"took_ms"` // to work the last one out
}

// New returns a Keeper that Run must drive. zone numbers the settings' zones, and roles are theirs; to takes the names, none for all.
func New(limits subset.Limits, self string, zone func(name string) int, roles []routing.Role, fleet func() FleetView, to func([]string) bool) *Controller {
	return &Controller{limits: limits, self: self, zone: zone, roles: roles, fleet: fleet, to: to, replicas: map[string]subset.Replica{},
		status: Status{Self: self}}
}

// UpdateEndpoints takes discovery's list, or changes to it, as the core does.
func (k *Controller) UpdateEndpoints(full bool, entries []dispatch.Endpoint) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if full {
		clear(k.replicas)
	}
	for _, e := range entries {
		if e.State != routing.Ready || e.Kind < 0 || e.Kind >= len(k.roles) {
			delete(k.replicas, e.Name)
			continue
		}
		role, weight := k.roles[e.Kind], e.Weight
		if !(weight > 0) {
			weight = 1 // as the module takes it
		}
		k.replicas[e.Name] = subset.Replica{Name: e.Name, Zone: e.Zone, Cell: e.Cell, CanPrefill: role != routing.Decode, CanDecode: role != routing.Prefill, Weight: weight}
	}
	k.changed = true
}

// Run looks again and again until the context ends.
func (k *Controller) Run(ctx context.Context) {
	t := time.NewTicker(every)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			k.look()
		case <-ctx.Done():
			return
		}
	}
}

// among are the members that replicas are shared among: those that count, and those that are gone for a moment only.
func (k *Controller) among(f FleetView) (out []subset.Dispatcher) {
	for _, m := range f.View.Members {
		gone := m.State == membership.Unreachable || m.State == membership.Left
		if m.Active() || gone && f.Now-m.Since < hold {
			out = append(out, subset.Dispatcher{Name: m.Name, Zone: k.zone(m.Zone)})
		}
	}
	return out
}

// look hands the core a new subset where the list, the members or this one's part have changed. On a view that may not be acted
// on it leaves all as it is.
func (k *Controller) look() {
	f := k.fleet()
	if !f.Usable {
		return
	}
	members := k.among(f)
	k.mu.Lock()
	same := !k.changed && slices.Equal(members, k.members) && f.TrafficFraction >= k.part*(1-shift) && f.TrafficFraction <= k.part*(1+shift)
	if same {
		k.mu.Unlock()
		return
	}
	replicas := make([]subset.Replica, 0, len(k.replicas))
	for _, r := range k.replicas {
		replicas = append(replicas, r)
	}
	k.changed = false
	k.mu.Unlock()
	from := time.Now()
	var kept []string
	if s := subset.Assign(replicas, members, k.limits); s != nil {
		var err error
		if kept, err = s.Of(k.self, f.TrafficFraction); err != nil {
			slog.Debug("subset", "err", err) // this process does not serve yet, or goes
		}
	}
	took := time.Since(from)
	handed := k.to(kept)
	k.mu.Lock()
	defer k.mu.Unlock()
	if !handed {
		k.changed = true
		return
	}
	k.members, k.part = members, f.TrafficFraction
	k.status = Status{Self: k.self, Subset: kept, Endpoints: len(replicas), Members: len(members), Updates: k.status.Updates + 1, TookMS: float64(took) / float64(time.Millisecond)}
}

// Status is what the core was last kept to.
func (k *Controller) Status() Status {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.status
}
