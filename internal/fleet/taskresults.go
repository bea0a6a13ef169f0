package fleet

import (
	"maps"
	"slices"
	"time"

	"rampspread/internal/fleet/lease"
)

const (
	// flushInterval is the shortest time between two transmissions of results.
	flushInterval = 2 * componentInterval
	// flushIntervalPerMember, multiplied by the number of members, is the time between two transmissions in a large
	// fleet, so that the number of packets per second stays bounded.
	flushIntervalPerMember = 2 * time.Millisecond
	// resultBytesPerSecond is the maximum rate at which a member sends results to all other members together.
	resultBytesPerSecond = 64 << 10
)

// runTask runs a task once, if this member still holds its lease.
func (t *leasedTasks) runTask(task lease.Task) {
	t.mu.Lock()
	name := t.names[task]
	now := t.node.now()
	token, ok := t.holder.Holds(now, task)
	t.mu.Unlock()
	if !ok || name == "" {
		return
	}
	t.executions.Add(1)
	t.runner.Run(name, token, func(result []byte) {
		if result != nil && len(result) <= maxResultBytes {
			t.addOwnResult(taskResult{task, token, t.node.now(), result})
		}
	})
}

// addOwnResult records the result of a task that this member ran, and queues it to be sent to the other members.
func (t *leasedTasks) addOwnResult(r taskResult) {
	now := t.node.now()
	t.mu.Lock()
	accepted, ok := t.acceptResult(now, r)
	if ok {
		t.unsentResults[r.task] = r
	}
	t.mu.Unlock()
	if ok {
		t.runner.HandleResults([]TaskResult{accepted})
	}
}

// addPeerResults records the results of tasks that another member ran.
func (t *leasedTasks) addPeerResults(results []taskResult) {
	var accepted []TaskResult
	now := t.node.now()
	t.mu.Lock()
	for _, r := range results {
		if result, ok := t.acceptResult(now, r); ok {
			accepted = append(accepted, result)
		}
	}
	t.mu.Unlock()
	if len(accepted) > 0 {
		t.runner.HandleResults(accepted)
	}
}

// acceptResult records a result. It returns false if the task is unknown here, or if a result under a later lease of
// the task has been seen. The caller holds the lock.
func (t *leasedTasks) acceptResult(now time.Duration, r taskResult) (TaskResult, bool) {
	name, ok := t.names[r.task]
	if !ok {
		return TaskResult{}, false
	}
	if !t.fence.Accept(now, r.task, r.token) {
		t.lateResults.Add(1)
		return TaskResult{}, false
	}
	t.lastResult[r.task] = now
	return TaskResult{name, r.data, max(now-r.finishedAt, 0)}, true
}

// outgoingPacket is a message to be sent to a member.
type outgoingPacket struct {
	to   string
	data []byte
}

// flushResults returns packets with the unsent results, as far as the byte budget allows, and drops the other results.
// It returns none before the flush interval has passed. The caller holds the lock.
func (t *leasedTasks) flushResults(now time.Duration) (packets []outgoingPacket) {
	interval := max(flushInterval, time.Duration(len(t.members))*flushIntervalPerMember)
	if now-t.lastFlush < interval || len(t.unsentResults) == 0 {
		return nil
	}
	refill := resultBytesPerSecond * (now - t.lastFlush).Seconds()
	t.byteBudget = min(t.byteBudget+refill, resultBytesPerSecond)
	t.lastFlush = now
	remaining := slices.SortedFunc(maps.Values(t.unsentResults),
		func(a, b taskResult) int { return int(a.finishedAt - b.finishedAt) })
	clear(t.unsentResults)
	for len(remaining) > 0 {
		var message []byte
		message, remaining = encodeTaskResults(now, remaining)
		cost := float64(len(message) * max(len(t.members)-1, 0))
		if cost > t.byteBudget {
			continue // drop these results, since the next ones are newer
		}
		t.byteBudget -= cost
		t.bytesSent.Add(int64(cost))
		for _, to := range t.members {
			if to != t.node.self.Name {
				packets = append(packets, outgoingPacket{to, message})
			}
		}
	}
	return packets
}
