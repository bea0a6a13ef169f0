package precondition

import (
	"fmt"
	"log/slog"
	"strings"
	"sync/atomic"
)

// Operation is what a violation was about to do, or has done.
type Operation string

// The acts.
const (
	OperationSend   Operation = "send"
	OperationClose  Operation = "close"
	OperationAnswer Operation = "answer"
)

// ViolationCounter counts violations of the rules, by reason. It is safe for use by several goroutines; a nil one counts nothing.
type ViolationCounter struct {
	counts [reasonCount]atomic.Int64
}

// Record notes that a rule would have been broken by an act, or has been: something before should have prevented it.
func (a *ViolationCounter) Record(act Operation, why Reason, id string) {
	slog.Error("violation", "act", string(act), "why", why.String(), "id", id)
	if a != nil && why < reasonCount {
		a.counts[why].Add(1)
	}
}

// Total is how many violations there were.
func (a *ViolationCounter) Total() (n int64) {
	if a == nil {
		return 0
	}
	for i := range a.counts {
		n += a.counts[i].Load()
	}
	return n
}

// String is the counters that are not 0, as the program's line of counters has them, each behind a space.
func (a *ViolationCounter) String() string {
	var out strings.Builder
	if a == nil {
		return ""
	}
	for i := range a.counts {
		if n := a.counts[i].Load(); n > 0 {
			fmt.Fprintf(&out, " violation_%s=%d", Reason(i), n)
		}
	}
	return out.String()
}
