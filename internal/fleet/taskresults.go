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
	// flushIntervalPerMember lengthens it in a large fleet, so that the packets of a second stay bounded.
	flushIntervalPerMember = 2 * time.Millisecond
	// resultBytesPerSecond bounds the results that a member sends, to all others together.
	resultBytesPerSecond = 64 << 10
)

// run runs one task, if this member still holds its lease at this very time.
func (t *leasedTasks) run(task lease.Task) {
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

// addOwnResult takes the result of a task that this member ran, and queues it for the others.
func (t *leasedTasks) addOwnResult(r taskResult) {
	now := t.node.now()
	t.mu.Lock()
	accepted, ok := t.accept(now, r)
	if ok {
		t.unsent[r.task] = r
	}
	t.mu.Unlock()
	if ok {
		t.runner.HandleResults([]TaskResult{accepted})
	}
}

// addPeerResults takes the results of tasks that another member ran.
func (t *leasedTasks) addPeerResults(results []taskResult) {
	var accepted []TaskResult
	now := t.node.now()
	t.mu.Lock()
	for _, r := range results {
		if result, ok := t.accept(now, r); ok {
			accepted = append(accepted, result)
		}
	}
	t.mu.Unlock()
	if len(accepted) > 0 {
		t.runner.HandleResults(accepted)
	}
}

// accept notes a result; false: its task is unknown here, or its lease has been followed by another. The caller holds
// the lock.
func (t *leasedTasks) accept(now time.Duration, r taskResult) (TaskResult, bool) {
	name, ok := t.names[r.task]
	if !ok {
		return TaskResult{}, false
	}
	if !t.fence.Accept(now, r.task, r.token) {
		t.lateResults.Add(1)
		return TaskResult{}, false
	}
	t.lastResult[r.task] = now
	return TaskResult{name, r.data, max(now-r.at, 0)}, true
}

// packet is a message to be sent to a member.
type packet struct {
	to   string
	data []byte
}

// flushResults makes packets of the unsent results, within the budget of bytes; what exceeds it is dropped. The caller
// holds the lock.
func (t *leasedTasks) flushResults(now time.Duration) (packets []packet) {
	interval := max(flushInterval, time.Duration(len(t.members))*flushIntervalPerMember)
	if now-t.lastFlush < interval || len(t.unsent) == 0 {
		return nil
	}
	refill := resultBytesPerSecond * (now - t.lastFlush).Seconds()
	t.byteBudget = min(t.byteBudget+refill, resultBytesPerSecond)
	t.lastFlush = now
	remaining := slices.SortedFunc(maps.Values(t.unsent), func(a, b taskResult) int { return int(a.at - b.at) })
	clear(t.unsent)
	for len(remaining) > 0 {
		var message []byte
		message, remaining = encodeTaskResults(now, remaining)
		cost := float64(len(message) * max(len(t.members)-1, 0))
		if cost > t.byteBudget {
			continue // the next results are newer
		}
		t.byteBudget -= cost
		t.bytesSent.Add(int64(cost))
		for _, to := range t.members {
			if to != t.node.self.Name {
				packets = append(packets, packet{to, message})
			}
		}
	}
	return packets
}
