package fleet

import (
	"time"

	"rampspread/internal/fleet/membership"
)

// View returns the membership as last published. Callers must call its Fresh method before they act on it.
func (n *Node) View() membership.View { return *n.view.Load() }

// publishView publishes the table's current view. The caller holds the lock, or no other goroutine uses the node yet.
func (n *Node) publishView() {
	v := n.table.View()
	n.view.Store(&v)
}

// updateTable applies an event to the table, and publishes the view if the event changed it.
func (n *Node) updateTable(apply func(t *membership.Table, now time.Duration)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	apply(n.table, n.now())
	if n.table.Changed() {
		n.publishView()
	}
}

// tickTable advances the table's time. It publishes the view even if it has not changed, since an old view may not be
// acted on.
func (n *Node) tickTable(now time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.table.Tick(now)
	n.table.Changed()
	n.publishView()
}

// refreshInfo updates this process's info, and reports whether the change is to be gossiped. If only the version of the
// endpoint list has changed, the new version is sent with the next heartbeat: the list changes often, and otherwise all
// members would gossip the new version at the same time.
func (n *Node) refreshInfo() (gossip bool) {
	local := n.self.LocalState()
	n.mu.Lock()
	defer n.mu.Unlock()
	next := n.info
	next.SettingsDigest, next.ListVersion, next.Serving = local.SettingsDigest, local.ListVersion, local.Serving && !next.Leaving
	if next == n.info {
		return false
	}
	gossip = next.SettingsDigest != n.info.SettingsDigest || next.Serving != n.info.Serving
	n.info = next
	n.table.UpdateSelf(next, n.now())
	return gossip
}
