package fleet

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"time"

	"github.com/hashicorp/memberlist"

	"rampspread/internal/fleet/membership"
)

// delegate is a Node as memberlist calls it back: memberlist.Delegate, EventDelegate, ConflictDelegate and
// MergeDelegate. Its methods are called from memberlist's goroutines, some under memberlist's locks, and must not
// block.
type delegate struct{ node *Node }

// NodeMeta implements memberlist.Delegate: this process's info.
func (d *delegate) NodeMeta(limit int) []byte {
	d.node.mu.Lock()
	defer d.node.mu.Unlock()
	b := encodeMemberInfo(d.node.info, 0)
	return b[:min(len(b), limit)] // fields are bounded so that it always fits
}

// NotifyMsg implements memberlist.Delegate: a message from another member was received.
func (d *delegate) NotifyMsg(message []byte) { d.node.receive(message) }

// GetBroadcasts implements memberlist.Delegate; there are none, since heartbeats go straight to their receivers.
func (d *delegate) GetBroadcasts(int, int) [][]byte { return nil }

// knownIncarnation is what members exchange of each name in memberlist's push and pull of all state.
type knownIncarnation struct {
	Name        string `json:"n"`
	Incarnation uint64 `json:"i"`
}

// knownIncarnationBytes is at most what a knownIncarnation takes in JSON beside its name: keys and a number of 20
// digits.
const knownIncarnationBytes = 64

// maxRemoteStateBytes bounds what is read of another member's state.
const maxRemoteStateBytes = maxMembers * (maxNameBytes + knownIncarnationBytes)

// LocalState implements memberlist.Delegate: the latest incarnation of each name, so that a process that restarts
// without memory, and with a clock that was set back, takes a higher one.
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

// MergeRemoteState implements memberlist.Delegate: it raises this process's incarnation over an earlier one's.
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

// raiseIncarnation takes an incarnation over one that others know of this name.
func (n *Node) raiseIncarnation(known uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if known <= n.info.Incarnation {
		return
	}
	n.info.Incarnation = known + 1
	n.table.UpdateSelf(n.info, n.now())
	n.publish()
}

// memberInfo decodes the metadata of a node.
func (d *delegate) memberInfo(node *memberlist.Node) (membership.MemberInfo, bool) {
	info, _, err := decodeMemberInfo(node.Meta)
	if err != nil || info.Name != node.Name {
		d.node.malformed.Add(1)
		return info, false
	}
	return info, true
}

// NotifyJoin implements memberlist.EventDelegate.
func (d *delegate) NotifyJoin(node *memberlist.Node) {
	if info, ok := d.memberInfo(node); ok {
		d.node.updateTable(func(t *membership.Table, now time.Duration) { t.MarkJoined(info, now) })
	}
}

// NotifyUpdate implements memberlist.EventDelegate.
func (d *delegate) NotifyUpdate(node *memberlist.Node) { d.NotifyJoin(node) }

// NotifyLeave implements memberlist.EventDelegate.
func (d *delegate) NotifyLeave(node *memberlist.Node) {
	if info, ok := d.memberInfo(node); ok {
		d.node.updateTable(func(t *membership.Table, now time.Duration) { t.MarkLost(info.Name, info.Incarnation, now) })
	}
}

// NotifyConflict implements memberlist.ConflictDelegate: the other process is ignored.
func (d *delegate) NotifyConflict(existing, other *memberlist.Node) {
	slog.Warn("fleet_name_conflict", "name", existing.Name, "address", existing.Address(),
		"other_address", other.Address())
	d.node.updateTable(func(t *membership.Table, now time.Duration) {
		t.RecordConflict(other.Name, other.Address(), now)
	})
}

// NotifyMerge implements memberlist.MergeDelegate: it rejects a merge with members that know another process of this
// name.
func (d *delegate) NotifyMerge(peers []*memberlist.Node) error {
	n := d.node
	own := n.cfg.address(n.self.Name)
	for _, p := range peers {
		if p.Name == n.self.Name && p.State == memberlist.StateAlive && p.Address() != own {
			err := fmt.Errorf("%w: %q is at %s", ErrDuplicateName, p.Name, p.Address())
			n.reportFailure.Do(func() { n.onFailure(err) })
			return err
		}
	}
	return nil
}
