package config

import (
	"fmt"

	"rampspread/routing"
)

// These maps translate names in the settings to values of package routing.
var (
	idempotencyByName = map[string]routing.Idempotency{
		"retryable": routing.Idempotent,
		"dedup":     routing.IdempotentByKey,
		"fragile":   routing.NonIdempotent,
	}
	dedupScopeByName = map[string]routing.DedupScope{
		"all":  routing.DedupScopeAll,
		"zone": routing.DedupScopeZone,
		"cell": routing.DedupScopeCell,
	}
	roleByName = map[string]routing.Role{
		"read":  routing.Prefill,
		"write": routing.Decode,
		"both":  routing.Combined,
	}
)

// Router translates the settings into the configuration of a routing.Router.
func (s *Settings) Router() (routing.Config, error) {
	cfg := routing.Config{
		Zone: s.ZoneIndex, Routers: s.Dispatchers, MaxAttempts: s.Limits.MaxAttempts,
		ReservationTTL:   FromMS(s.ModelFamily.ReservationTTLMs),
		SlowStartInitial: s.Rules.SlowStartInitial, SlowStartDuration: FromMS(s.Rules.SlowStartMs),
		OverloadMultiple: s.Rules.OverloadMultiple,
		CanCancel:        s.Limits.CanCancel,
		DecodeCanPrefill: s.ModelFamily.DecodeCanPrefill,
	}
	if s.Limits.RetryAfter {
		cfg.MaxRetryAfter = FromMS(s.Limits.MaxRetryAfterMs)
	}
	for i := range s.Classes {
		class, err := s.class(i)
		if err != nil {
			return cfg, err
		}
		cfg.Classes = append(cfg.Classes, class)
	}
	for i, name := range s.ModelFamily.RoleByKind {
		role, ok := roleByName[name]
		if !ok {
			return cfg, fmt.Errorf("kind %d: unknown duty %q", i, name)
		}
		cfg.Kinds = append(cfg.Kinds, routing.Kind{Role: role})
	}
	for _, tenant := range s.Tenants {
		cfg.TenantQuotas = append(cfg.TenantQuotas, tenant.QuotaPerS)
	}
	return cfg, nil
}

// class translates the class at an index.
func (s *Settings) class(index int) (routing.Class, error) {
	c := s.Classes[index]
	idempotency, ok := idempotencyByName[c.Idempotency]
	scope, known := dedupScopeByName[c.DedupScope]
	if c.DedupScope == "" && idempotency != routing.IdempotentByKey {
		known = true // the scope has no meaning for the other classes
	}
	if !ok || !known {
		return routing.Class{}, fmt.Errorf("class %d: unknown effect %q or group %q", index, c.Idempotency, c.DedupScope)
	}
	class := routing.Class{
		TTFTObjective: FromMS(c.TTFTObjectiveMs),
		Weight:        c.Weight,
		Idempotency:   idempotency,
		DedupScope:    scope,
		DedupWindow:   FromMS(c.DedupWindowMs),
	}
	if per1K := s.ModelFamily.TTFTObjectiveUsPer1KTokens; index < len(per1K) {
		class.TTFTObjectivePer1K = FromMS(per1K[index] / 1000) // converts µs to ms
	}
	return class, nil
}
