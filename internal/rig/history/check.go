package history

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"
)

// Rules are the figures that the checker holds a history to; the platform's settings have them.
type Rules struct {
	AnswerSlack      time.Duration            // beyond a client's deadline
	DrainWithin      time.Duration            // from the news of a drain to the last new request's first byte
	ReleaseAfter     time.Duration            // what is held, counted from the end of the last attempt
	OverloadMultiple float64                  // a cold replica bears so many times its present capacity,
	OverloadWindow   time.Duration            // over any such span
	InitialCapacity  float64                  // the part of its capacity that it starts with
	LongestDeadline  time.Duration            // deadline of any class
	NonIdempotent    []string                 // classes that must not run twice
	Deduplicated     map[string]Deduplication // classes whose repeats some replicas drop, by name
	// Slack is added to each time: the processes share the machine with the rig.
	Slack time.Duration
	// RandomArrivals lets a cold replica get as much more than its budget as chance gives, by the operators' figures. Without, one request more.
	RandomArrivals bool
}

// Deduplication says where a class may run again.
type Deduplication struct {
	Window      time.Duration          // from the send of the first attempt that may have run
	SameDomain  func(a, b string) bool // the replicas drop each other's repeats
	AllReplicas bool                   // all do: then a refusal is harmless
}

// Violation is one broken rule.
type Violation struct {
	Rule    string        `json:"rule"`
	At      time.Duration `json:"at"`
	Request string        `json:"request,omitempty"`
	Replica string        `json:"replica,omitempty"`
	Text    string        `json:"text"`
}

// String is the breach in one line.
func (b Violation) String() string {
	return fmt.Sprintf("rule=%s at=%v request=%s replica=%s %s", b.Rule, b.At.Round(time.Millisecond), b.Request, b.Replica, b.Text)
}

// The names of the rules.
const (
	RuleSingleResponse     = "one_answer"
	RuleSingleExecution    = "no_second_run"
	RuleOrderlyDrain       = "drains"
	RuleSlowStart          = "cold"
	RuleReservationRelease = "pinned"
)

// Check is every breach in a history, by time.
func Check(events []Event, r Rules) []Violation {
	c := newChecker(events, r)
	c.answers()
	c.runs()
	c.drains()
	c.cold()
	c.pinned()
	slices.SortStableFunc(c.out, func(a, b Violation) int { return cmp.Compare(a.At, b.At) })
	return c.out
}

func newChecker(events []Event, r Rules) checker {
	return checker{rules: r, events: sorted(events), down: downs(events)}
}

// sorted is a copy of events, by time.
func sorted(events []Event) []Event {
	events = slices.Clone(events)
	slices.SortStableFunc(events, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	return events
}

// downs are the faults of each dispatcher's process.
func downs(events []Event) map[int][]Event {
	out := map[int][]Event{}
	for _, e := range events {
		if e.Kind == ProcessDown {
			out[e.Dispatcher] = append(out[e.Dispatcher], e)
		}
	}
	return out
}

type checker struct {
	rules  Rules
	events []Event
	down   map[int][]Event
	out    []Violation
}

func (c *checker) breach(rule string, e Event, format string, args ...any) {
	c.out = append(c.out, Violation{rule, e.At, e.Request, e.Replica, fmt.Sprintf(format, args...)})
}

// blameless tells whether a process was down or paused at any time of a span.
func (c *checker) blameless(dispatcher int, from, to time.Duration) bool {
	for _, d := range c.down[dispatcher] {
		if d.At <= to && (d.Until == 0 || d.Until >= from) {
			return true
		}
	}
	return false
}

// answers: each request that a live dispatcher took gets one final answer in time, and nothing besides.
func (c *checker) answers() {
	open := map[string]Event{}
	done := map[string]bool{}
	for _, e := range c.events {
		switch e.Kind {
		case RequestSent:
			open[e.Request] = e
		case FirstEventReceived, ResponseReceived:
			if done[e.Request] && e.Kind == ResponseReceived {
				c.breach(RuleSingleResponse, e, "a second final answer")
			}
			asked, ok := open[e.Request]
			late := asked.Until + c.rules.AnswerSlack + c.rules.Slack
			if ok && e.At > late && e.LinkHealthy && !c.blameless(asked.Dispatcher, asked.At, e.At) {
				c.breach(RuleSingleResponse, e, "answered %v after the deadline", e.At-asked.Until)
			}
			delete(open, e.Request)
			done[e.Request] = done[e.Request] || e.Kind == ResponseReceived
		case ExtraBytesReceived:
			c.breach(RuleSingleResponse, e, "bytes behind the final answer")
		case ForeignResponseReceived:
			c.breach(RuleSingleResponse, e, "served with what no replica made for it")
		case ClientGaveUp:
			asked, ok := open[e.Request]
			delete(open, e.Request)
			// A client that quits before its deadline lost its connection; one that quits after it was kept waiting.
			if ok && e.LinkHealthy && !c.blameless(asked.Dispatcher, asked.At, max(e.At, asked.Until)) {
				c.breach(RuleSingleResponse, e, "no final answer by dispatcher %d", asked.Dispatcher)
			}
		}
	}
}

// runs: what must not run twice is begun by at most one writer, and not refused once it may have run.
func (c *checker) runs() {
	began := map[string]Event{}
	tried := map[string]time.Duration{} // when the attempts came, by request and replica
	for _, e := range c.events {
		if e.Kind == AttemptArrived {
			tried[e.Request+" "+e.Replica] = e.At
		}
		if k, ok := c.rules.Deduplicated[e.Class]; ok {
			c.keyed(k, e, began, tried)
		}
		if !slices.Contains(c.rules.NonIdempotent, e.Class) {
			continue
		}
		switch e.Kind {
		case ExecutionStarted:
			if first, ok := began[e.Group]; ok {
				c.breach(RuleSingleExecution, e, "group %s ran at %s %v before", e.Group, first.Replica, e.At-first.At)
			} else {
				began[e.Group] = e
			}
		case ResponseReceived:
			if first, ok := began[e.Group]; ok && (e.Status == 429 || e.Status == 503) {
				c.breach(RuleSingleExecution, e, "refused with %d after it began at %s", e.Status, first.Replica)
			}
		}
	}
}

// keyed: what some replicas drop repeats of runs again only at one of these, sent within the window, and is refused after it
// may have run only where all do.
func (c *checker) keyed(k Deduplication, e Event, began map[string]Event, tried map[string]time.Duration) {
	first, ok := began[e.Request]
	switch {
	case e.Kind == ExecutionStarted && !ok:
		e.SentAt = tried[e.Request+" "+e.Replica]
		began[e.Request] = e
	case e.Kind == ExecutionStarted && !k.SameDomain(first.Replica, e.Replica):
		c.breach(RuleSingleExecution, e, "ran at %s %v before, which does not drop its repeats", first.Replica, e.At-first.At)
	case e.Kind == ExecutionStarted && tried[e.Request+" "+e.Replica] > first.SentAt+k.Window+c.rules.Slack:
		c.breach(RuleSingleExecution, e, "sent again %v after it was sent to %s, which drops repeats for %v", tried[e.Request+" "+e.Replica]-first.SentAt, first.Replica, k.Window)
	case e.Kind == ResponseReceived && ok && !k.AllReplicas && (e.Status == 429 || e.Status == 503):
		c.breach(RuleSingleExecution, e, "refused with %d after it began at %s", e.Status, first.Replica)
	}
}

// drains: nothing new to a replica that drains or is gone, once the dispatcher knows it. A process that was
// paused knows it when it wakes.
func (c *checker) drains() {
	type pair struct {
		dispatcher int
		replica    string
	}
	told := map[pair]time.Duration{}
	for _, e := range c.events {
		p := pair{e.Dispatcher, e.Replica}
		switch e.Kind {
		case EndpointWithdrawn:
			if _, ok := told[p]; !ok {
				told[p] = e.At
			}
		case EndpointReady:
			delete(told, p)
		case AttemptArrived:
			since, ok := told[p]
			if !ok {
				continue
			}
			at := sentAt(e) // its first byte: what a fault held back after that is not the sender's
			for _, d := range c.down[e.Dispatcher] {
				if d.At <= at && d.Until > since {
					since = d.Until
				}
			}
			if at > since+c.rules.DrainWithin+c.rules.Slack {
				c.breach(RuleOrderlyDrain, e, "%v after dispatcher %d knew", at-since, e.Dispatcher)
			}
		}
	}
}

// SlowStartBudget is what a cold replica bears: over any span its multiple of what it can do at the span's end.
type SlowStartBudget struct {
	Rules Rules
	Start Event // its Cold event
	came  []Event
}

// Add takes what came at a replica and tells whether it went past the budget. One request more is chance:
// budgets are counted in whole requests.
func (b *SlowStartBudget) Add(e Event) (sum, allowed float64, over bool) {
	if e.At > b.Start.Until {
		return 0, 0, false
	}
	b.came = append(b.came, e)
	for i := len(b.came) - 1; i >= 0 && b.came[i].At > e.At-b.Rules.OverloadWindow; i-- {
		sum += b.came[i].Weight
	}
	allowed = b.Rules.OverloadMultiple * b.Start.Weight * b.Rules.CapacityFraction(b.Start, e.At) * b.Rules.OverloadWindow.Seconds()
	return sum, allowed, sum > allowed+b.Rules.chance(allowed/e.Weight)*e.Weight
}

// chance is how many requests more than its budget of n a cold replica may get.
func (r Rules) chance(n float64) float64 {
	switch {
	case !r.RandomArrivals:
		return 1
	case n < fewRequests:
		return 3*math.Sqrt(n) + 3
	}
	return 2*math.Sqrt(n) + 2
}

// fewRequests is a budget under which chance is given more room.
const fewRequests = 30

// CapacityFraction is the part of its warm capacity that a replica has at a time.
func (r Rules) CapacityFraction(start Event, at time.Duration) float64 {
	if at >= start.Until {
		return 1
	}
	return r.InitialCapacity + (1-r.InitialCapacity)*float64(at-start.At)/float64(start.Until-start.At)
}

// cold: no cold replica gets more, over all dispatchers, than it bears.
func (c *checker) cold() {
	starts := map[string]*SlowStartBudget{}
	for _, e := range c.events {
		switch e.Kind {
		case ReplicaStarted:
			starts[e.Replica] = &SlowStartBudget{Rules: c.rules, Start: e}
		case AttemptArrived:
			b := starts[e.Replica]
			if b == nil {
				continue
			}
			if sum, allowed, over := b.Add(e); over {
				c.breach(RuleSlowStart, e, "%.1f within %v, %.1f allowed", sum, c.rules.OverloadWindow, allowed)
				delete(starts, e.Replica)
			}
		}
	}
}
