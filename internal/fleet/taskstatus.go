package fleet

import (
	"fmt"
	"time"

	"rampspread/internal/fleet/lease"
)

// TasksStatus is the state of the leased tasks as shown to operators.
type TasksStatus struct {
	Self        string       `json:"self"`
	Voters      []string     `json:"voters"`
	Recovering  bool         `json:"mute"` // whether this member is a voter that does not vote yet
	Tasks       []TaskStatus `json:"duties"`
	LastExpired string       `json:"lapsed,omitempty"` // last lease that expired at this member, and the reason
	Executions  int64        `json:"acts"`
	LateResults int64        `json:"late"`  // number of results rejected because of a later lease
	BytesSent   int64        `json:"bytes"` // number of bytes of results sent
}

// TaskStatus is the state of one task as shown to operators.
type TaskStatus struct {
	Task        string  `json:"duty"`
	Owner       string  `json:"owner"` // owner according to this member's view
	Standby     string  `json:"standby"`
	Held        bool    `json:"held"` // whether this member holds the lease
	Token       uint64  `json:"number"`
	HeldForS    float64 `json:"for_s"`
	RemainingS  float64 `json:"left_s"`
	LastResultS float64 `json:"heard_s"` // time since the last result from any member
}

// TasksStatus returns the state of the tasks for operators, or false if tasks are not enabled.
func (n *Node) TasksStatus() (s TasksStatus, ok bool) {
	tasks, ok := componentOf[*leasedTasks](n)
	if !ok {
		return s, false
	}
	return tasks.status(), true
}

func (t *leasedTasks) status() TasksStatus {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.node.now()
	s := TasksStatus{Self: t.node.self.Name, Voters: t.node.cfg.Voters,
		Recovering: t.voter != nil && t.voter.Recovering(now), Executions: t.executions.Load(),
		LateResults: t.lateResults.Load(), BytesSent: t.bytesSent.Load()}
	leases := map[lease.Task]lease.Lease{}
	for _, l := range t.holder.Leases(now) {
		leases[l.Task] = l
	}
	for _, name := range t.sortedNames {
		s.Tasks = append(s.Tasks, t.taskStatus(now, name, leases))
	}
	if l := t.holder.LastExpired(); l != nil {
		s.LastExpired = fmt.Sprintf("%s, lease %d, %.1f s ago: %s", t.names[l.Task], l.Token, (now - l.At).Seconds(),
			l.Reason)
	}
	return s
}

// taskStatus returns the status of one task, given the leases that this member holds. The caller holds the lock.
func (t *leasedTasks) taskStatus(now time.Duration, name string, leases map[lease.Task]lease.Lease) TaskStatus {
	task := lease.TaskOf(name)
	l, held := leases[task]
	s := TaskStatus{Task: name, Owner: t.assignment.Owner[task], Standby: t.assignment.Standby[task], Held: held,
		LastResultS: (now - t.lastResult[task]).Seconds()}
	if held {
		s.Token, s.HeldForS, s.RemainingS = l.Token, (now - l.Since).Seconds(), (l.Until - now).Seconds()
	}
	return s
}
