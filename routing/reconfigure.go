package routing

import (
	"errors"
	"slices"
	"time"
)

// attemptLimit is the number of attempts in force from a time on.
type attemptLimit struct {
	until    time.Duration
	attempts int
}

// Reconfigure takes a new configuration while requests are open. Its classes must begin with the ones in force,
// unchanged, so that a number means the same class for every request that is open; classes that clients may
// no longer name stay in the list. An open request may take no more attempts than the least that was in force
// since it came. The zone, the quotas, the kinds and the budgets stay as they were. now is the time of the change.
func (r *Router) Reconfigure(now time.Duration, cfg Config) error {
	if err := cfg.Validate(); err != nil {
		return err
	}
	if len(cfg.Classes) < len(r.cfg.Classes) || !slices.Equal(cfg.Classes[:len(r.cfg.Classes)], r.cfg.Classes) {
		return errors.New("retune: the classes in force must stay, in their order")
	}
	r.now = max(now, r.now)
	cfg.Zone, cfg.TenantQuotas, cfg.Kinds, cfg.Budgets = r.cfg.Zone, r.cfg.TenantQuotas, r.cfg.Kinds, r.cfg.Budgets
	oldest := r.now
	for _, q := range r.requests {
		oldest = min(oldest, q.arrivedAt)
	}
	// What was in force before the oldest open request came binds no one any more.
	r.attemptLimits = slices.DeleteFunc(r.attemptLimits, func(t attemptLimit) bool { return t.until < oldest })
	r.attemptLimits = append(r.attemptLimits, attemptLimit{until: r.now, attempts: r.cfg.MaxAttempts})
	r.cfg = cfg
	r.updateClasses()
	for _, s := range r.byID {
		for len(s.health) < 1+len(cfg.Classes) {
			s.health = append(s.health, ewma{timeConstant: healthTimeConstant})
		}
	}
	return nil
}

// maxAttempts is how many maxAttempts a request may take: the least number in force since it came.
func (r *Router) maxAttempts(q *request) int {
	n := r.cfg.MaxAttempts
	for _, t := range r.attemptLimits {
		// t.attempts held until t.from; the request saw it if it came before.
		if q.arrivedAt < t.until {
			n = min(n, t.attempts)
		}
	}
	return n
}
