package history

import "time"

// endpointStatus is what the newest list so far, sent to any dispatcher, says of a replica.
type endpointStatus struct {
	version     uint64
	withdrawnAt time.Duration // 0: it is ready
}

// updated is the status once another list was sent. An older list changes nothing; of two answers of one version the
// withdrawal holds.
func (s endpointStatus) updated(e Event) endpointStatus {
	ready := e.Kind == EndpointReady
	if e.Version < s.version || e.Version == s.version && ready {
		return s
	}
	s.version = e.Version
	switch {
	case ready:
		s.withdrawnAt = 0
	case s.withdrawnAt == 0:
		s.withdrawnAt = max(e.At, 1)
	}
	return s
}

// StaleAttempts are the attempts that dispatchers sent to replicas that a list newer than any before, sent to any
// dispatcher, had withdrawn for longer than within. Who was sent it, and whether the sender could have known, is the
// caller's to judge: a process that was paused counts from when it resumed, one that was restarted from its start.
func StaleAttempts(events []Event, within time.Duration) (stale []Event) {
	endpoints, downtimes := map[string]endpointStatus{}, downtimes(events)
	for _, e := range sortedByTime(events) {
		switch e.Kind {
		case EndpointWithdrawn, EndpointReady:
			endpoints[e.Replica] = endpoints[e.Replica].updated(e)
		case AttemptArrived:
			withdrawnAt := endpoints[e.Replica].withdrawnAt
			since := withdrawnAt
			for _, d := range downtimes[e.Dispatcher] {
				if d.At <= e.At {
					since = max(since, d.Until)
				}
			}
			if withdrawnAt > 0 && e.At > since+within {
				stale = append(stale, e)
			}
		}
	}
	return stale
}
