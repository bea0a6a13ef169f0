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

// maxStartedAtMS is the upper limit of plausible start times, in milliseconds since 1970 (the year 5138).
const maxStartedAtMS = 1e14

// List is the endpoint list, or changes to it, in discovery's format.
type List struct {
	Generation uint64            `json:"generation"` // version of the list
	Reset      bool              `json:"reset"`      // true for a full list, false for changes
	Instances  []json.RawMessage `json:"instances"`  // each an Instance; raw, so that one alone can be malformed
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
	StartedAtMS float64 `json:"startedAtMs"` // start time in ms since 1970; 0 if unknown
}

const (
	lifecycleReady    = "ready"
	lifecycleDraining = "draining"
	lifecycleGone     = "gone"
)

// parseEndpoint parses one entry. If it returns an error, the endpoint has at least the replica's name and lifecycle,
// or is zero if they could not be read.
func parseEndpoint(settings *config.Settings, raw json.RawMessage) (dispatch.Endpoint, error) {
	var instance Instance
	typeErr := json.Unmarshal(raw, &instance) // fields after one of a wrong type are still read
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

// newInstance converts an endpoint to discovery's format. It is the inverse of parseEndpoint.
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

// parseLifecycle parses a lifecycle and reports whether it is a valid one.
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

// formatLifecycle returns the lifecycle for a state. A full list has no replicas in state Gone, so it handles only the
// other states.
func formatLifecycle(state routing.EndpointState) string {
	switch state {
	case routing.Ready:
		return lifecycleReady
	case routing.Draining:
		return lifecycleDraining
	}
	return ""
}
