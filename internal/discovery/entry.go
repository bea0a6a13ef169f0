package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"slices"
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

// parseEndpoint reads one entry. With an error the endpoint has at least the replica's name and lifecycle, or is zero if
// they could not be read.
func parseEndpoint(settings *config.Settings, raw json.RawMessage) (dispatch.Endpoint, error) {
	var instance Instance
	typeErr := json.Unmarshal(raw, &instance) // the other fields are read all the same
	state, ok := parseLifecycle(instance.Lifecycle)
	if !ok || instance.ID == "" {
		err := fmt.Errorf("entry %q: unknown lifecycle %q", instance.ID, instance.Lifecycle)
		return dispatch.Endpoint{}, errors.Join(err, typeErr)
	}
	endpoint := dispatch.Endpoint{
		Name:   instance.ID,
		Addr:   instance.HostPort,
		State:  state,
		Cell:   instance.Cell,
		Weight: instance.Weight,
		Zone:   settings.Zone(instance.Zone),
		Kind:   slices.Index(settings.Kinds, instance.MachineType),
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
		return endpoint, fmt.Errorf("entry %q: unknown zone %q or type %q",
			instance.ID, instance.Zone, instance.MachineType)
	}
	return endpoint, nil
}

// newInstance is the reverse of parseEndpoint.
func newInstance(settings *config.Settings, endpoint dispatch.Endpoint) Instance {
	instance := Instance{
		ID:          endpoint.Name,
		HostPort:    endpoint.Addr,
		Zone:        settings.ZoneName(endpoint.Zone),
		MachineType: settings.Kinds[endpoint.Kind],
		Cell:        endpoint.Cell,
		Lifecycle:   formatLifecycle(endpoint.State),
		Weight:      endpoint.Weight,
	}
	if !endpoint.Started.IsZero() {
		instance.StartedAtMS = float64(endpoint.Started.UnixMicro()) / 1000
	}
	return instance
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
