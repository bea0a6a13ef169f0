package discovery

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"sync/atomic"

	"rampspread/internal/config"
	"rampspread/internal/dispatch"
	"rampspread/routing"
)

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
// how many were rejected. The new version can be read before the caller passes the entries on: their receiver may want
// it.
func (t *endpointTable) update(list List, full bool) (entries []dispatch.Endpoint, rejected int) {
	entries = make([]dispatch.Endpoint, 0, len(list.Instances))
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, raw := range list.Instances {
		endpoint, err := parseEndpoint(t.settings, raw)
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

// encode returns the whole list in discovery's form, sorted by name.
func (t *endpointTable) encode() (List, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := List{Generation: t.version.Load(), Reset: true, Instances: []json.RawMessage{}}
	for _, name := range slices.Sorted(maps.Keys(t.byName)) {
		raw, err := json.Marshal(newInstance(t.settings, t.byName[name]))
		if err != nil {
			return list, fmt.Errorf("discovery: %w", err)
		}
		list.Instances = append(list.Instances, raw)
	}
	return list, nil
}

// RejectedEntriesError says that entries of a list could not be read.
type RejectedEntriesError struct{ Rejected int }

// Error implements error.
func (e *RejectedEntriesError) Error() string {
	return fmt.Sprintf("%d entries could not be read", e.Rejected)
}
