package history

import "time"

// endpointStatus is the status of a replica on the newest list that any dispatcher was sent so far.
type endpointStatus struct {
	version     uint64
	withdrawnAt time.Duration // time of the withdrawal, or 0 if the replica is ready
}

// updated returns the status after a further list was sent. An older list changes nothing. If two lists of one version
// disagree, the withdrawal takes precedence.
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

// StaleAttempts returns the attempts at replicas that the newest list sent to any dispatcher had withdrawn, if an
// attempt arrived later than the duration within after the withdrawal. It does not consider whether the sender was sent
// that list or could have known of it; the caller decides what that means. For a process that was paused or restarted,
// the time counts from when it resumed or started.
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
