package precondition

import (
	"fmt"
	"log/slog"
	"strings"
	"sync/atomic"
)

// ViolationCounter counts violations of rules by reason. It is safe for concurrent use. With a nil ViolationCounter,
// Record logs violations without counting them.
type ViolationCounter struct {
	counts [reasonCount]atomic.Int64
}

// Operation is the action that violated a rule.
type Operation string

// The values of Operation, which appear in logs.
const (
	OperationSend   Operation = "send"   // sending an attempt
	OperationClose  Operation = "close"  // closing a client's connection
	OperationAnswer Operation = "answer" // giving a final answer
)

// Record logs and counts an operation that has violated a rule, or would have if a check had not stopped it. id is the
// ID of the request or the remote address of the connection.
func (c *ViolationCounter) Record(operation Operation, reason Reason, id string) {
	slog.Error("violation", "operation", string(operation), "reason", reason.String(), "id", id)
	if c != nil && reason < reasonCount {
		c.counts[reason].Add(1)
	}
}

// Total returns the number of violations.
func (c *ViolationCounter) Total() (total int64) {
	if c == nil {
		return 0
	}
	for reason := range c.counts {
		total += c.counts[reason].Load()
	}
	return total
}

// String returns the counters that are not 0 in the format of the program's counters line, each preceded by a space.
func (c *ViolationCounter) String() string {
	if c == nil {
		return ""
	}
	var line strings.Builder
	for reason := range c.counts {
		if n := c.counts[reason].Load(); n > 0 {
			fmt.Fprintf(&line, " violation_%s=%d", Reason(reason), n)
		}
	}
	return line.String()
}
