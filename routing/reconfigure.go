package routing

import (
	"errors"
	"slices"
	"time"
)

// attemptLimit is an earlier value of Config.MaxAttempts and the time until which it was in force.
type attemptLimit struct {
	until    time.Duration
	attempts int
}

// Reconfigure replaces the configuration at time now, while requests are open. The new classes must begin with the
// classes in force, unchanged, so that an index means the same class for every open request; classes that clients may
// no longer name stay in the list. An open request may make no more attempts than the smallest limit that has been in
// force since it arrived. The zone, the tenants' quotas, the kinds, the budgets and ObservePrefills keep their values.
// If Config.Validate fails or a class in force changes, Reconfigure returns an error and keeps the old configuration.
func (r *Router) Reconfigure(now time.Duration, cfg Config) error {
	if err := cfg.Validate(); err != nil {
		return err
	}
	if len(cfg.Classes) < len(r.cfg.Classes) || !slices.Equal(cfg.Classes[:len(r.cfg.Classes)], r.cfg.Classes) {
		return errors.New("reconfigure: the new classes must begin with the classes in force, unchanged and in their order")
	}
	r.now = max(now, r.now)
	cfg.Zone, cfg.TenantQuotas, cfg.Kinds, cfg.Budgets = r.cfg.Zone, r.cfg.TenantQuotas, r.cfg.Kinds, r.cfg.Budgets
	cfg.ObservePrefills = r.cfg.ObservePrefills
	r.recordAttemptLimit()
	r.cfg = cfg
	r.updateClasses()
	for _, replica := range r.byID {
		for len(replica.health) < 1+len(cfg.Classes) {
			replica.health = append(replica.health, ewma{timeConstant: healthTimeConstant})
		}
	}
	return nil
}

// recordAttemptLimit records that the current limit ends now. It drops the limits that ended before the oldest open
// request arrived, since they apply to no open request.
func (r *Router) recordAttemptLimit() {
	oldest := r.now
	for _, req := range r.requests {
		oldest = min(oldest, req.arrivedAt)
	}
	r.attemptLimits = slices.DeleteFunc(r.attemptLimits, func(l attemptLimit) bool { return l.until < oldest })
	r.attemptLimits = append(r.attemptLimits, attemptLimit{until: r.now, attempts: r.cfg.MaxAttempts})
}

// maxAttempts returns how many attempts a request may make: the smallest limit that has been in force since it arrived.
func (r *Router) maxAttempts(req *request) int {
	limit := r.cfg.MaxAttempts
	for _, l := range r.attemptLimits {
		if req.arrivedAt < l.until {
			limit = min(limit, l.attempts)
		}
	}
	return limit
}
