package history

// SlowStartBudget tracks the work that a replica in slow start can take. In each time window of length
// Rules.OverloadWindow it can take Rules.OverloadMultiple times the work that it can do in that time at the capacity
// that it has at the window's end ("counted as a budget: what is sent within any span of that length must stay under
// multiple x present capacity x span"). A SlowStartBudget is not safe for concurrent use.
type SlowStartBudget struct {
	Rules    Rules
	Start    Event   // ReplicaStarted event of the replica
	arrivals []Event // attempts that arrived since Start, by time
}

// Add counts an attempt that arrived at the replica. It returns the work of the window that ends with the attempt, the
// allowed work, and whether the budget is exceeded. Rejected attempts count too: "All work reaching it contributes,
// including work it rejects." The budget is exceeded only beyond a random excess ("with a little slack for chance") of
// at least one request, because budgets are counted in whole requests. After the slow start Add returns zeros and
// false.
func (b *SlowStartBudget) Add(e Event) (sum, allowed float64, over bool) {
	if e.At > b.Start.Until {
		return 0, 0, false
	}
	b.arrivals = append(b.arrivals, e)
	for i := len(b.arrivals) - 1; i >= 0 && b.arrivals[i].At > e.At-b.Rules.OverloadWindow; i-- {
		sum += b.arrivals[i].Weight
	}
	allowed = b.Rules.OverloadMultiple * b.Start.Weight * b.Rules.CapacityFraction(b.Start, e.At)
	allowed *= b.Rules.OverloadWindow.Seconds()
	return sum, allowed, sum > allowed+b.Rules.allowedExcess(allowed/e.Weight)*e.Weight
}

// checkSlowStarts checks RuleSlowStart: the dispatchers together send no replica in slow start more than its budget.
// Each start is reported at most once.
func (c *checker) checkSlowStarts() {
	budgets := map[string]*SlowStartBudget{} // by replica
	for _, e := range c.events {
		switch e.Kind {
		case ReplicaStarted:
			budgets[e.Replica] = &SlowStartBudget{Rules: c.rules, Start: e}
		case AttemptArrived:
			budget := budgets[e.Replica]
			if budget == nil {
				continue
			}
			if sum, allowed, over := budget.Add(e); over {
				c.report(RuleSlowStart, e, "%.1f within %v, %.1f allowed", sum, c.rules.OverloadWindow, allowed)
				delete(budgets, e.Replica)
			}
		}
	}
}
