package history

import (
	"cmp"
	"slices"
	"time"
)

// StaleAttempts is the work that dispatchers sent to replicas that a list newer than any before, told to any dispatcher, had ended for longer
// than within. Who told it, and whether the sender could have known, is the caller's to judge: a process that was stopped counts
// from its wake, one that was started anew from its start.
func StaleAttempts(events []Event, within time.Duration) (out []Event) {
	events = slices.Clone(events)
	slices.SortStableFunc(events, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	type status struct {
		version uint64
		ended   time.Duration // 0: it has not
	}
	replicas, down := map[string]status{}, downs(events)
	for _, e := range events {
		s := replicas[e.Replica]
		switch e.Kind {
		case EndpointWithdrawn, EndpointReady:
			if e.Version < s.version || e.Version == s.version && e.Kind == EndpointReady {
				continue
			}
			if e.Kind == EndpointReady {
				s.ended = 0
			} else if s.ended == 0 {
				s.ended = max(e.At, 1)
			}
			s.version = e.Version
			replicas[e.Replica] = s
		case AttemptArrived:
			since := s.ended
			for _, d := range down[e.Dispatcher] {
				if d.At <= e.At {
					since = max(since, d.Until)
				}
			}
			if s.ended > 0 && e.At > since+within {
				out = append(out, e)
			}
		}
	}
	return out
}
