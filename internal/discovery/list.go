package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"rampspread/internal/config"
	"rampspread/internal/dispatch"
	"rampspread/routing"
)

// maxStartedAtMS bounds the start times that make sense, in milliseconds since 1970 (the year 5138).
const maxStartedAtMS = 1e14

// List is discovery's form of the list of replicas, or of changes to it.
type List struct {
	Generation uint64            `json:"generation"` // the version
	Reset      bool              `json:"reset"`      // it is a whole list
	Instances  []json.RawMessage `json:"instances"`  // each an Instance; kept raw, so that one can be malformed alone
}

// Instance is one entry of a List.
type Instance struct {
	ID          string  `json:"instanceId"`
	HostPort    string  `json:"hostPort"`
	Zone        string  `json:"zone"`
	MachineType string  `json:"machineType"`
	Cell        int     `json:"cell"`
	Lifecycle   string  `json:"lifecycle"` // ready, draining or gone
	Weight      float64 `json:"weight"`
	StartedAtMS float64 `json:"startedAtMs"` // since 1970; 0: not known
}

const (
	lifecycleReady    = "ready"
	lifecycleDraining = "draining"
	lifecycleGone     = "gone"
)

// RejectedEntriesError says that entries of a list could not be read.
type RejectedEntriesError struct{ Rejected int }

// Error implements error.
func (e *RejectedEntriesError) Error() string {
	return fmt.Sprintf("%d entries could not be read", e.Rejected)
}

// endpointTable holds the replicas as they were last passed on. It is safe for concurrent use.
type endpointTable struct {
	settings *config.Settings
	version  atomic.Uint64 // changes under mu

	mu     sync.Mutex
	byName map[string]dispatch.Endpoint
}

func newEndpointTable(settings *config.Settings) *endpointTable {
	return &endpointTable{settings: settings, byName: map[string]dispatch.Endpoint{}}
}

// update brings the table up to date with a list, or with changes if full is not set. It returns the valid entries, and
// how many were rejected. The new version can be read before the caller passes the entries on: who takes them may want it.
func (t *endpointTable) update(list List, full bool) (entries []dispatch.Endpoint, rejected int) {
	entries = make([]dispatch.Endpoint, 0, len(list.Instances))
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, raw := range list.Instances {
		endpoint, err := t.parse(raw)
		if err != nil {
			rejected++
			slog.Warn("endpoint_rejected", "err", err)
			substitute, ok := t.substitute(endpoint)
			if !ok {
				continue
			}
			endpoint = substitute
		}
		entries = append(entries, endpoint)
	}
	dispatch.ApplyUpdate(t.byName, full, entries)
	t.version.Store(list.Generation)
	return entries, rejected
}

// substitute returns what takes the place of a malformed entry, if anything does. A replica that is leaving is gone: that
// binds, whatever else is wrong with its entry. Any other stays as it was, also in a whole list. The caller holds mu.
func (t *endpointTable) substitute(malformed dispatch.Endpoint) (dispatch.Endpoint, bool) {
	if malformed.Name == "" {
		return dispatch.Endpoint{}, false
	}
	if malformed.State != routing.Ready {
		malformed.State = routing.Gone
		return malformed, true
	}
	known, ok := t.byName[malformed.Name]
	return known, ok
}

// parse reads one entry. With an error the endpoint has the replica's name and lifecycle as far as they could be read;
// without both it is zero.
func (t *endpointTable) parse(raw json.RawMessage) (dispatch.Endpoint, error) {
	var instance Instance
	typeErr := json.Unmarshal(raw, &instance) // the other fields are read all the same
	state, ok := parseLifecycle(instance.Lifecycle)
	if !ok || instance.ID == "" {
		return dispatch.Endpoint{}, errors.Join(fmt.Errorf("entry %q: unknown lifecycle %q", instance.ID, instance.Lifecycle), typeErr)
	}
	endpoint := dispatch.Endpoint{
		Name:   instance.ID,
		Addr:   instance.HostPort,
		State:  state,
		Cell:   instance.Cell,
		Weight: instance.Weight,
		Zone:   t.settings.Zone(instance.Zone),
		Kind:   slices.Index(t.settings.Kinds, instance.MachineType),
	}
	if instance.StartedAtMS > 0 && instance.StartedAtMS < maxStartedAtMS {
		endpoint.Started = time.UnixMicro(int64(instance.StartedAtMS * 1000))
	}
	if typeErr != nil {
		return endpoint, fmt.Errorf("entry %q: %w", instance.ID, typeErr)
	}
	if state == routing.Gone {
		return endpoint, nil // the other fields are not needed
	}
	if _, _, err := net.SplitHostPort(instance.HostPort); err != nil {
		return endpoint, fmt.Errorf("entry %q: %w", instance.ID, err)
	}
	if endpoint.Zone < 0 || endpoint.Kind < 0 {
		return endpoint, fmt.Errorf("entry %q: unknown zone %q or type %q", instance.ID, instance.Zone, instance.MachineType)
	}
	return endpoint, nil
}

// parseLifecycle reads a lifecycle; false if it is unknown.
func parseLifecycle(lifecycle string) (routing.EndpointState, bool) {
	switch lifecycle {
	case lifecycleReady:
		return routing.Ready, true
	case lifecycleDraining:
		return routing.Draining, true
	case lifecycleGone:
		return routing.Gone, true
	}
	return 0, false
}

// formatLifecycle is the reverse of parseLifecycle for the replicas of a whole list, which has none that are gone.
func formatLifecycle(state routing.EndpointState) string {
	switch state {
	case routing.Ready:
		return lifecycleReady
	case routing.Draining:
		return lifecycleDraining
	}
	return ""
}

// encode returns the whole list in discovery's form, sorted by name.
func (t *endpointTable) encode() (List, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := List{Generation: t.version.Load(), Reset: true, Instances: []json.RawMessage{}}
	for _, name := range slices.Sorted(maps.Keys(t.byName)) {
		endpoint := t.byName[name]
		instance := Instance{
			ID:          endpoint.Name,
			HostPort:    endpoint.Addr,
			Zone:        t.settings.ZoneName(endpoint.Zone),
			MachineType: t.settings.Kinds[endpoint.Kind],
			Cell:        endpoint.Cell,
			Lifecycle:   formatLifecycle(endpoint.State),
			Weight:      endpoint.Weight,
		}
		if !endpoint.Started.IsZero() {
			instance.StartedAtMS = float64(endpoint.Started.UnixMicro()) / 1000
		}
		raw, err := json.Marshal(instance)
		if err != nil {
			return list, fmt.Errorf("discovery: %w", err)
		}
		list.Instances = append(list.Instances, raw)
	}
	return list, nil
}
