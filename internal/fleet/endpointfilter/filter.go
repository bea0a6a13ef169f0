// Package endpointfilter applies the tombstones of other members to discovery's endpoint list: endpoints that a newer
// list of another member has removed or set to draining are published as gone or draining here too. Package tombstone
// decides which endpoints these are. This package stores the entries of the list, and publishes changes to the
// dispatcher and the other consumers of the list.
package endpointfilter

import (
	"log/slog"
	"sync"
	"time"

	"rampspread/internal/dispatch"
	"rampspread/internal/fleet/tombstone"
	"rampspread/routing"
)

// Filter merges a member's own endpoint list with the digests of other members' lists. It is safe for concurrent use.
type Filter struct {
	publish func(full bool, entries []dispatch.Endpoint)
	version func() uint64
	now     func() time.Time
	start   time.Time

	// mu is also held while publish runs, so that an older list is never published after a newer one.
	mu        sync.Mutex
	table     *tombstone.Table
	endpoints map[string]dispatch.Endpoint // this member's own list, by endpoint name
	peerLists int64                        // number of newer lists received from peers
}

// Status is the state of a Filter as shown to operators.
type Status struct {
	ListVersion uint64 `json:"list"`      // version of this member's own list
	Suppressed  int    `json:"held_back"` // number of replicas suppressed by newer lists of peers
	PeerLists   int64  `json:"told"`      // number of newer lists received from peers
	Rejected    int    `json:"refused"`   // times that peers' lists were ignored for suppressing too many replicas
}

// New returns a Filter that passes its updates to publish, which must not block. The function version returns the
// version of the list that was last passed to UpdateOwn.
func New(publish func(full bool, entries []dispatch.Endpoint), version func() uint64, now func() time.Time) *Filter {
	return &Filter{
		publish:   publish,
		version:   version,
		now:       now,
		start:     now(),
		table:     tombstone.New(tombstone.DefaultLimits),
		endpoints: map[string]dispatch.Endpoint{},
	}
}

// UpdateOwn applies an update from discovery, either the full list or only changes, and publishes the filtered update.
//
//revive:disable-next-line:flag-parameter updates have this form at every consumer of the endpoint list
func (f *Filter) UpdateOwn(full bool, entries []dispatch.Endpoint) {
	f.mu.Lock()
	defer f.mu.Unlock()
	dispatch.ApplyUpdate(f.endpoints, full, entries)
	updates := make([]tombstone.Endpoint, len(entries))
	updated := make(map[string]bool, len(entries))
	for i, e := range entries {
		updates[i], updated[e.Name] = tombstone.Endpoint{Name: e.Name, State: e.State}, true
	}
	changed := f.table.UpdateOwn(f.elapsed(), f.version(), full, updates)
	out := make([]dispatch.Endpoint, 0, len(entries))
	for _, e := range entries {
		if e = f.filtered(e); !full || e.State != routing.Gone {
			out = append(out, e)
		}
	}
	if !full { // a full update already contains the changed endpoints
		for _, name := range changed {
			if e, ok := f.endpoints[name]; ok && !updated[name] {
				out = append(out, f.filtered(e))
			}
		}
	}
	f.publish(full, out)
}

// UpdatePeer applies the digest of another member's list, and publishes the endpoints whose state it changes.
func (f *Filter) UpdatePeer(from string, d tombstone.Digest) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if d.Version > f.table.Version() {
		f.peerLists++
	}
	rejected := f.table.Rejections()
	f.publishChanges("peer_list_applied", f.table.UpdatePeer(f.elapsed(), from, d))
	if f.table.Rejections() > rejected {
		slog.Warn("peer_list_rejected", "from", from, "own_version", f.table.Version(), "peer_version", d.Version)
	}
}

// Tick drops expired digests, and publishes the endpoints whose state changes as a result.
func (f *Filter) Tick() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.publishChanges("peer_list_expired", f.table.Tick(f.elapsed()))
}

// publishChanges publishes the named endpoints, whose state has changed, and logs the change as event.
func (f *Filter) publishChanges(event string, changed []string) {
	if len(changed) == 0 {
		return
	}
	out := make([]dispatch.Endpoint, 0, len(changed))
	for _, name := range changed {
		out = append(out, f.filtered(f.endpoints[name]))
	}
	slog.Info(event, "own_version", f.table.Version(), "replicas", len(out), "first", changed[0],
		"suppressed", f.table.Suppressed())
	f.publish(false, out)
}

// filtered returns an endpoint with the state in which it is to be published.
func (f *Filter) filtered(e dispatch.Endpoint) dispatch.Endpoint {
	if _, ok := f.endpoints[e.Name]; ok {
		e.State = f.table.State(e.Name)
	}
	return e
}

// elapsed returns the time since the filter was created. The times that its table receives count from there.
func (f *Filter) elapsed() time.Duration { return f.now().Sub(f.start) }

// Digest returns the digest of this member's own list, as received from discovery, to be sent to other members.
func (f *Filter) Digest() tombstone.Digest {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table.Digest()
}

// Version returns the version of this member's own list.
func (f *Filter) Version() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table.Version()
}

// Status returns the current state for operators.
func (f *Filter) Status() Status {
	f.mu.Lock()
	defer f.mu.Unlock()
	return Status{
		ListVersion: f.table.Version(),
		Suppressed:  f.table.Suppressed(),
		PeerLists:   f.peerLists,
		Rejected:    f.table.Rejections(),
	}
}
