package precondition

import (
	"fmt"
	"log/slog"
	"strings"
	"sync/atomic"
)

// ViolationCounter counts violations by reason. It is safe for concurrent use. A nil ViolationCounter counts nothing,
// but Record still logs.
type ViolationCounter struct {
	counts [reasonCount]atomic.Int64
}

// Operation is the action of a violation.
type Operation string

// The operations, as logs name them.
const (
	OperationSend   Operation = "send"   // of an attempt
	OperationClose  Operation = "close"  // of a client's connection
	OperationAnswer Operation = "answer" // a request's final answer
)

// Record logs and counts that an operation would have broken an invariant, or has broken it: an earlier stage should
// have prevented it. id names the request, or the connection's remote address.
func (c *ViolationCounter) Record(operation Operation, reason Reason, id string) {
	slog.Error("violation", "operation", string(operation), "reason", reason.String(), "id", id)
	if c != nil && reason < reasonCount {
		c.counts[reason].Add(1)
	}
}

// Total is the number of violations.
func (c *ViolationCounter) Total() (total int64) {
	if c == nil {
		return 0
	}
	for reason := range c.counts {
		total += c.counts[reason].Load()
	}
	return total
}

// String is the counters that are not 0, in the form of the program's line of counters, each after a space.
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
