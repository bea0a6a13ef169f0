package fleet

import (
	"time"

	"rampspread/internal/fleet/membership"
)

// View is the membership as last published. Whoever acts on it calls its Fresh first.
func (n *Node) View() membership.View { return *n.view.Load() }

// publish makes the table's view the current one. The caller holds the lock, or is alone.
func (n *Node) publish() {
	v := n.table.View()
	n.view.Store(&v)
}

// updateTable applies an event to the table, and publishes the view if the event changed it.
func (n *Node) updateTable(apply func(t *membership.Table, now time.Duration)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	apply(n.table, n.now())
	if n.table.Changed() {
		n.publish()
	}
}

// tickTable advances the table's time, and publishes the view whether it changed or not, since its age counts.
func (n *Node) tickTable(now time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.table.Tick(now)
	n.table.Changed()
	n.publish()
}

// refreshInfo brings this process's info up to date, and tells whether the change is to be gossiped. A new endpoint
// list alone goes with the next heartbeat: discovery changes often, and all members would gossip of it at once.
func (n *Node) refreshInfo() (gossip bool) {
	facts := n.self.LocalState()
	n.mu.Lock()
	defer n.mu.Unlock()
	next := n.info
	next.SettingsDigest, next.ListVersion, next.Serving = facts.SettingsDigest, facts.ListVersion, facts.Serving && !next.Leaving
	if next == n.info {
		return false
	}
	gossip = next.SettingsDigest != n.info.SettingsDigest || next.Serving != n.info.Serving
	n.info = next
	n.table.UpdateSelf(next, n.now())
	return gossip
}
