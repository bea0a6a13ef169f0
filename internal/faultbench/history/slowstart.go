package history

// SlowStartBudget is what a cold replica bears: over any span of Rules.OverloadWindow, its multiple of what it can do
// at the span's end ("counted as a budget: what is sent within any span of that length must stay under multiple x
// present capacity x span"). It is not safe for concurrent use.
type SlowStartBudget struct {
	Rules    Rules
	Start    Event   // its ReplicaStarted event
	arrivals []Event // attempts since then, by time
}

// Add takes an attempt that arrived at the replica and tells whether it went past the budget, and by what work out of
// what was allowed. Some requests more are chance ("with a little slack for chance"), at least one: budgets are
// counted in whole requests. "All work reaching it contributes, including work it rejects."
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

// checkSlowStarts judges RuleSlowStart: no cold replica gets more, over all dispatchers, than it bears. Each start is
// reported once.
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
