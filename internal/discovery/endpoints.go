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

// endpointTable holds the endpoint list as it was last passed on. It is safe for concurrent use.
type endpointTable struct {
	settings *config.Settings
	version  atomic.Uint64 // written only with mu held

	mu     sync.Mutex
	byName map[string]dispatch.Endpoint
}

func newEndpointTable(settings *config.Settings) *endpointTable {
	return &endpointTable{settings: settings, byName: map[string]dispatch.Endpoint{}}
}

// update applies a full list to the table, or changes if full is false. It returns the entries to pass on, including
// substitutes for rejected ones, and the number of rejected entries. It stores the new version before the caller passes
// the entries on, because their receiver may read the version.
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

// substitute returns the endpoint that replaces a malformed entry, if there is one. A replica whose entry says that it
// is draining or gone is treated as gone, whatever else is wrong with the entry. Any other replica that the table has
// stays as it was, also in an update with a full list. The caller must hold mu.
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

// encode returns the full list in discovery's format, sorted by name.
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

// RejectedEntriesError is the error for a list with entries that could not be read.
type RejectedEntriesError struct{ Rejected int }

// Error implements error.
func (e *RejectedEntriesError) Error() string {
	return fmt.Sprintf("%d entries could not be read", e.Rejected)
}
