package routing

// Outlier ejection (as in Envoy, but with decaying failure levels instead of counts of consecutive errors): which
// replicas may be sent requests, according to the outcomes of earlier attempts.

// healthy reports whether a replica may be sent requests of a class. It protects against replicas that die, become
// silent or fail fast, for all classes or for one. A failure level of ejectionThreshold ejects the replica. From half
// of that level on it gets one attempt at a time, and only if a failure of the attempt is harmless; a success lowers
// the level.
func (r *Router) healthy(replica *replica, class int) bool {
	if replica.State != Ready {
		return false
	}
	level := max(replica.health[0].current(r.now), replica.health[1+class].current(r.now))
	if level < ejectionThreshold/2 {
		return true
	}
	mayProbe := len(replica.pending) == 0 && (replica.role == Prefill || r.cfg.Classes[class].Idempotency == Idempotent)
	return level < ejectionThreshold && mayProbe
}

// recordFailure raises the failure levels of a replica for one class and for all classes.
func (r *Router) recordFailure(replica *replica, class int, weight float64) {
	r.recordClassFailure(replica, class, weight)
	replica.health[0].update(r.now, 1, weight)
}

// recordClassFailure raises the failure level of a replica for one class only. It is used alone if the replica has
// responded to other requests since the attempt was sent.
func (r *Router) recordClassFailure(replica *replica, class int, weight float64) {
	replica.health[1+class].update(r.now, 1, weight)
}

// recordSuccess records a response of a replica and lowers its failure levels for one class and for all classes.
func (r *Router) recordSuccess(replica *replica, class int) {
	replica.lastResponse = r.now
	replica.health[0].update(r.now, 0, successWeight)
	replica.health[1+class].update(r.now, 0, successWeight)
}
