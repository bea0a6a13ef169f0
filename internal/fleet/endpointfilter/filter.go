// Package endpointfilter stands between discovery's list and those that act on it, in a fleet: what other members' newer lists have ended
// is ended here too. Package ended decides it; this one hands it on.
package endpointfilter

import (
	"log/slog"
	"sync"
	"time"

	"rampspread/internal/dispatch"
	"rampspread/internal/fleet/tombstone"
	"rampspread/routing"
)

// Filter takes a dispatcher's list and what others tell of theirs. It is safe for use by several goroutines.
type Filter struct {
	publish func(full bool, entries []dispatch.Endpoint)
	version func() uint64
	now     func() time.Time

	// mu is held while a list is handed on, so that an older one never comes behind what was told since.
	mu    sync.Mutex
	start time.Time
	table *tombstone.Table
	held  map[string]dispatch.Endpoint
	told  int64
}

// Status is what operators are shown of it.
type Status struct {
	List       uint64 `json:"list"`
	Suppressed int    `json:"held_back"` // replicas that others' newer lists have ended
	PeerLists  int64  `json:"told"`      // newer lists that came
	Rejected   int    `json:"refused"`   // times that they would have ended too much
}

// New returns a guard before publish, which must not block. Version is that of the list handed to Roster.
func New(publish func(bool, []dispatch.Endpoint), version func() uint64, now func() time.Time) *Filter {
	return &Filter{publish: publish, version: version, now: now, start: now(), table: tombstone.New(tombstone.DefaultLimits), held: map[string]dispatch.Endpoint{}}
}

// UpdateOwn takes discovery's list, or changes to it, and hands on what is to be acted on.
func (g *Filter) UpdateOwn(full bool, entries []dispatch.Endpoint) {
	g.mu.Lock()
	defer g.mu.Unlock()
	dispatch.ApplyUpdate(g.held, full, entries)
	list := make([]tombstone.Endpoint, len(entries))
	named := make(map[string]bool, len(entries))
	for i, e := range entries {
		list[i], named[e.Name] = tombstone.Endpoint{Name: e.Name, State: e.State}, true
	}
	changed := g.table.UpdateOwn(g.now().Sub(g.start), g.version(), full, list)
	out := make([]dispatch.Endpoint, 0, len(entries))
	for _, e := range entries {
		if e = g.as(e); !full || e.State != routing.Gone {
			out = append(out, e)
		}
	}
	if !full { // a whole list has them
		for _, name := range changed {
			if e, ok := g.held[name]; ok && !named[name] {
				out = append(out, g.as(e))
			}
		}
	}
	g.publish(full, out)
}

// as is an entry as it is to be taken.
func (g *Filter) as(e dispatch.Endpoint) dispatch.Endpoint {
	if _, ok := g.held[e.Name]; ok {
		e.State = g.table.State(e.Name)
	}
	return e
}

// UpdatePeer takes what another member tells of its list.
func (g *Filter) UpdatePeer(from string, d tombstone.Digest) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if d.Version > g.table.Version() {
		g.told++
	}
	refused := g.table.Rejected()
	g.hand("list_behind", g.table.UpdatePeer(g.now().Sub(g.start), from, d))
	if g.table.Rejected() > refused {
		slog.Warn("list_behind_refused", "from", from, "own", g.table.Version(), "told", d.Version)
	}
}

// Tick lets go of what nobody has told for long.
func (g *Filter) Tick() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.hand("list_believed", g.table.Tick(g.now().Sub(g.start)))
}

// hand hands on replicas that are to be taken otherwise.
func (g *Filter) hand(why string, changed []string) {
	if len(changed) == 0 {
		return
	}
	out := make([]dispatch.Endpoint, 0, len(changed))
	for _, name := range changed {
		out = append(out, g.as(g.held[name]))
	}
	slog.Info(why, "own", g.table.Version(), "replicas", len(out), "first", changed[0], "held_back", g.table.Suppressed())
	g.publish(false, out)
}

// Digest is what to tell others of the list that this member was told by discovery.
func (g *Filter) Digest() tombstone.Digest {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Digest()
}

// Version is that of the list.
func (g *Filter) Version() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Version()
}

// Status is for operators.
func (g *Filter) Status() Status {
	g.mu.Lock()
	defer g.mu.Unlock()
	return Status{List: g.table.Version(), Suppressed: g.table.Suppressed(), PeerLists: g.told, Rejected: g.table.Rejected()}
}
