package fleet

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"time"

	"github.com/hashicorp/memberlist"

	"rampspread/internal/fleet/membership"
)

// delegate receives memberlist's callbacks for a Node. It implements memberlist.Delegate, EventDelegate,
// ConflictDelegate and MergeDelegate. Its methods are called from memberlist's goroutines, some while memberlist holds
// locks, and must not block.
type delegate struct{ node *Node }

// NodeMeta implements memberlist.Delegate. It returns this process's encoded info.
func (d *delegate) NodeMeta(limit int) []byte {
	d.node.mu.Lock()
	defer d.node.mu.Unlock()
	b := encodeMemberInfo(d.node.info, 0)
	return b[:min(len(b), limit)] // the fields are bounded, so the info always fits
}

// NotifyMsg implements memberlist.Delegate. It handles a message from another member.
func (d *delegate) NotifyMsg(message []byte) { d.node.receive(message) }

// GetBroadcasts implements memberlist.Delegate. It returns none, since heartbeats are sent directly to their receivers.
func (d *delegate) GetBroadcasts(int, int) [][]byte { return nil }

// knownIncarnation is the latest known incarnation of a name. Members exchange these for all names in memberlist's
// push/pull state exchange.
type knownIncarnation struct {
	Name        string `json:"n"`
	Incarnation uint64 `json:"i"`
}

// knownIncarnationBytes is an upper bound of the size of a knownIncarnation in JSON without its name: its keys and a
// number of 20 digits.
const knownIncarnationBytes = 64

// maxRemoteStateBytes is the maximum size of another member's state that is decoded.
const maxRemoteStateBytes = maxMembers * (maxNameBytes + knownIncarnationBytes)

// LocalState implements memberlist.Delegate. It returns the latest known incarnation of each name, so that a process
// that restarts without stored state, and with a clock that was set back, takes a higher incarnation than before.
func (d *delegate) LocalState(bool) []byte {
	var incarnations []knownIncarnation
	for _, m := range d.node.View().Members {
		if m.Incarnation > 0 {
			incarnations = append(incarnations, knownIncarnation{m.Name, m.Incarnation})
		}
	}
	b, err := json.Marshal(incarnations)
	if err != nil {
		return nil // strings and numbers always marshal
	}
	return b
}

// MergeRemoteState implements memberlist.Delegate. If the other member reports a higher incarnation for this process's
// name, this process takes an incarnation above it.
func (d *delegate) MergeRemoteState(b []byte, _ bool) {
	var incarnations []knownIncarnation
	if len(b) > maxRemoteStateBytes || json.Unmarshal(b, &incarnations) != nil {
		d.node.malformed.Add(1)
		return
	}
	for _, known := range incarnations {
		if known.Name == d.node.self.Name {
			d.node.raiseIncarnation(known.Incarnation)
		}
	}
}

// raiseIncarnation makes this process take an incarnation above the known one, which another member reports for this
// process's name, unless its incarnation is at least as high.
func (n *Node) raiseIncarnation(known uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if known <= n.info.Incarnation {
		return
	}
	n.info.Incarnation = known + 1
	n.table.UpdateSelf(n.info, n.now())
	n.publishView()
}

// memberInfo decodes the metadata of a memberlist node. Invalid metadata is counted as malformed.
func (d *delegate) memberInfo(node *memberlist.Node) (membership.MemberInfo, bool) {
	info, _, err := decodeMemberInfo(node.Meta)
	if err != nil || info.Name != node.Name {
		d.node.malformed.Add(1)
		return info, false
	}
	return info, true
}

// NotifyJoin implements memberlist.EventDelegate. It marks the member as joined.
func (d *delegate) NotifyJoin(node *memberlist.Node) {
	if info, ok := d.memberInfo(node); ok {
		d.node.updateTable(func(t *membership.Table, now time.Duration) { t.MarkJoined(info, now) })
	}
}

// NotifyUpdate implements memberlist.EventDelegate. It handles changed metadata like a join.
func (d *delegate) NotifyUpdate(node *memberlist.Node) { d.NotifyJoin(node) }

// NotifyLeave implements memberlist.EventDelegate. It marks the member as lost.
func (d *delegate) NotifyLeave(node *memberlist.Node) {
	if info, ok := d.memberInfo(node); ok {
		d.node.updateTable(func(t *membership.Table, now time.Duration) { t.MarkLost(info.Name, info.Incarnation, now) })
	}
}

// NotifyConflict implements memberlist.ConflictDelegate. It records that two processes have the same name. Memberlist
// ignores the other process.
func (d *delegate) NotifyConflict(existing, other *memberlist.Node) {
	slog.Warn("fleet_name_conflict", "name", existing.Name, "address", existing.Address(),
		"other_address", other.Address())
	d.node.updateTable(func(t *membership.Table, now time.Duration) {
		t.RecordConflict(other.Name, other.Address(), now)
	})
}

// NotifyMerge implements memberlist.MergeDelegate. It rejects a merge with members that report another running process
// of this process's name.
func (d *delegate) NotifyMerge(peers []*memberlist.Node) error {
	n := d.node
	own := n.cfg.address(n.self.Name)
	for _, p := range peers {
		if p.Name == n.self.Name && p.State == memberlist.StateAlive && p.Address() != own {
			err := fmt.Errorf("%w: %q is at %s", ErrDuplicateName, p.Name, p.Address())
			n.failureOnce.Do(func() { n.onFailure(err) })
			return err
		}
	}
	return nil
}
