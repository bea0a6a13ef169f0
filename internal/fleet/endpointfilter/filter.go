// Package endpointfilter applies the fleet's tombstones to discovery's endpoint list: endpoints that other members' newer
// lists have ended are published as gone or draining here too. Package tombstone decides which; this package keeps the
// list's entries, and publishes what has changed to the dispatcher and the others that act on the list.
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
	endpoints map[string]dispatch.Endpoint // the own list, by name
	peerLists int64
}

// Status is what operators are shown of a Filter.
type Status struct {
	List       uint64 `json:"list"`      // version of the own list
	Suppressed int    `json:"held_back"` // replicas that peers' newer lists have ended
	PeerLists  int64  `json:"told"`      // newer lists that peers sent
	Rejected   int    `json:"refused"`   // times that peers' lists would have ended too many replicas
}

// New returns a filter in front of publish, which must not block. version returns the version of the list that was last
// passed to UpdateOwn.
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

// UpdateOwn applies discovery's list, full or as changes, and publishes what is to be acted on.
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
	if !full { // a full list contains them already
		for _, name := range changed {
			if e, ok := f.endpoints[name]; ok && !updated[name] {
				out = append(out, f.filtered(e))
			}
		}
	}
	f.publish(full, out)
}

// UpdatePeer applies the digest of another member's list, and publishes the endpoints that change by it.
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

// Tick expires digests that no peer has repeated for long, and publishes the endpoints that change by it.
func (f *Filter) Tick() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.publishChanges("peer_list_expired", f.table.Tick(f.elapsed()))
}

// publishChanges publishes the named endpoints, whose state has changed, and logs that as event.
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

// filtered returns an endpoint with the state that it is to be published in.
func (f *Filter) filtered(e dispatch.Endpoint) dispatch.Endpoint {
	if _, ok := f.endpoints[e.Name]; ok {
		e.State = f.table.State(e.Name)
	}
	return e
}

// elapsed is the time since the filter was made, which is the clock of its table.
func (f *Filter) elapsed() time.Duration { return f.now().Sub(f.start) }

// Digest returns the digest of the own list, as discovery sent it, for other members.
func (f *Filter) Digest() tombstone.Digest {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table.Digest()
}

// Version returns the version of the own list.
func (f *Filter) Version() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table.Version()
}

// Status returns the present counts.
func (f *Filter) Status() Status {
	f.mu.Lock()
	defer f.mu.Unlock()
	return Status{
		List:       f.table.Version(),
		Suppressed: f.table.Suppressed(),
		PeerLists:  f.peerLists,
		Rejected:   f.table.Rejections(),
	}
}
