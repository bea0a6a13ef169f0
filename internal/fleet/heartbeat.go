package fleet

import (
	"time"

	"rampspread/internal/fleet/membership"
)

const (
	// Every heartbeatInterval a member sends its heartbeat to the next heartbeatFanout other members in turn, so that
	// its traffic does not grow with the fleet.
	heartbeatInterval = 500 * time.Millisecond
	heartbeatFanout   = 8
)

// heartbeatCycle returns the time in which a member of a fleet of the given size sends a heartbeat to each other
// member.
func heartbeatCycle(size int) time.Duration {
	return heartbeatInterval * time.Duration(max(1, (size-1+heartbeatFanout-1)/heartbeatFanout))
}

// encodeHeartbeat returns a heartbeat message: this process's info, the time and the highest fencing token known to
// this process. The token is sent only in heartbeats, since it changes too often for gossip.
func (n *Node) encodeHeartbeat() []byte {
	token := uint64(0)
	if tasks, ok := componentOf[*leasedTasks](n); ok {
		token = tasks.highestToken()
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	info := n.info
	info.HighestToken = token
	return append([]byte{kindHeartbeat}, encodeMemberInfo(info, time.Now().UnixMilli())...)
}

// sendHeartbeats sends a heartbeat to the next heartbeatFanout reachable members after a position in their list, and
// returns the position of the last receiver.
func (n *Node) sendHeartbeats(position int) int {
	message, reachable := n.encodeHeartbeat(), n.reachable()
	for range min(heartbeatFanout, len(reachable)) {
		position = (position + 1) % len(reachable)
		n.send(reachable[position], message)
	}
	return position
}

// reachable returns the names of the other members that are active or joining, in the view's order.
func (n *Node) reachable() []string {
	var names []string
	for _, m := range n.View().Members {
		if m.Name != n.self.Name && (m.Active() || m.State == membership.Joining) {
			names = append(names, m.Name)
		}
	}
	return names
}

// receiveHeartbeat handles a heartbeat message without its kind byte.
func (n *Node) receiveHeartbeat(payload []byte) {
	info, sent, err := decodeMemberInfo(payload)
	if err != nil {
		n.malformed.Add(1)
		return
	}
	if sent > 0 && n.cfg.address(info.Name) != "" {
		n.clockSkews.Store(info.Name, time.Until(time.UnixMilli(sent)))
	}
	if tasks, ok := componentOf[*leasedTasks](n); ok {
		tasks.observeToken(info.HighestToken)
	}
	n.updateTable(func(t *membership.Table, now time.Duration) { t.Heartbeat(info, now) })
}
