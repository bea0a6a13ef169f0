package config

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"time"

	"rampspread/routing"
)

// Settings is the part of an instance's settings text that is used. Unknown keys are skipped. Keys are read in any case.
//
// Members of a fleet compare digests of this type's JSON, also between versions of the program: the tags, and the order of the fields,
// must stay as they are, whatever the fields are called.
type Settings struct {
	Az        int `json:"Az"`
	Balancers int `json:"Balancers"`
	Classes   []struct {
		Name        string  `json:"Name"`
		Effect      string  `json:"Effect"`
		Group       string  `json:"Group"`
		Importance  float64 `json:"Importance"`
		PromiseMs   float64 `json:"PromiseMs"`
		HardLimitMs float64 `json:"HardLimitMs"`
		WindowMs    float64 `json:"WindowMs"`
	} `json:"Classes"`
	Discovery  string `json:"Discovery"`
	FamilyInfo struct {
		AimUsPer1000PromptTokens []float64 `json:"AimUsPer1000PromptTokens"`
		DutyByKind               []string  `json:"DutyByKind"`
		LocalRead                bool      `json:"LocalRead"`
		ReleaseWithinMs          float64   `json:"ReleaseWithinMs"`
	} `json:"FamilyInfo"`
	Kinds  []string `json:"Kinds"`
	Limits struct {
		Cancelling       bool    `json:"Cancelling"`
		ConnIdleMs       float64 `json:"ConnIdleMs"`
		ConnectTimeoutMs float64 `json:"ConnectTimeoutMs"`
		MaxRetryAfterMs  float64 `json:"MaxRetryAfterMs"`
		MostHeld         int     `json:"MostHeld"`
		Probing          bool    `json:"Probing"`
		MostTries        int     `json:"MostTries"`
		RetryAfter       bool    `json:"RetryAfter"`
	} `json:"Limits"`
	Parties []struct {
		Name      string  `json:"Name"`
		QuotaPerS float64 `json:"QuotaPerS"`
	} `json:"Parties"`
	Rules struct {
		AnswerSlackMs float64 `json:"AnswerSlackMs"`
		ColdFrom      float64 `json:"ColdFrom"`
		ColdMs        float64 `json:"ColdMs"`
		FallMultiple  float64 `json:"FallMultiple"`

		StopSendingWithinMs float64 `json:"StopSendingWithinMs"`
	} `json:"Rules"`
	Telemetry struct {
		Fields []string `json:"Fields"`
	} `json:"Telemetry"`
	Zones []string `json:"Zones"`
}

// ParseSettings decodes an instance's settings text.
func ParseSettings(text []byte) (*Settings, error) {
	var s Settings
	if err := json.Unmarshal(text, &s); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return &s, nil
}

// PushesEndpoints tells whether an agent of the dispatcher's own machine is sent what changes in the list, at no cost.
// Elsewhere discovery has to be asked, and serves all dispatchers with a fixed capacity.
func (s *Settings) PushesEndpoints() bool { return s.Discovery != "ask" }

// DrainDeadline is how long after the news that a server drains or is gone nothing more may be sent to it.
func (s *Settings) DrainDeadline() time.Duration {
	return cmp.Or(FromMS(s.Rules.StopSendingWithinMs), 500*time.Millisecond)
}

// ShutdownGrace is how long the platform leaves a process after SIGTERM, at the least, before it kills it: the longest deadline, counted as 3 s
// where it is longer, and 0.7 s (PROTOCOL, "Figures").
func (s *Settings) ShutdownGrace() time.Duration {
	longest := time.Duration(0)
	for _, c := range s.Classes {
		longest = max(longest, FromMS(c.HardLimitMs))
	}
	return min(longest, 3*time.Second) + 700*time.Millisecond
}

// Zone is the number of a zone, -1 for one that the settings do not name. A deployment may have no zones: all it has
// is then in one.
func (s *Settings) Zone(name string) int {
	if len(s.Zones) == 0 {
		return 0
	}
	return slices.Index(s.Zones, name)
}

// ZoneName is the name of the zone of a number, none where the deployment has no zones.
func (s *Settings) ZoneName(zone int) string {
	if zone < 0 || zone >= len(s.Zones) {
		return ""
	}
	return s.Zones[zone]
}

// Router translates the settings for a Router; what is absent means what the wire says.
func (s *Settings) Router() (routing.Config, error) {
	cfg := routing.Config{
		Zone: s.Az, Routers: s.Balancers, MaxAttempts: s.Limits.MostTries,
		ReservationTTL:   FromMS(s.FamilyInfo.ReleaseWithinMs),
		SlowStartInitial: s.Rules.ColdFrom, SlowStartDuration: FromMS(s.Rules.ColdMs),
		OverloadMultiple: s.Rules.FallMultiple,
		CanCancel:        s.Limits.Cancelling,
		DecodeCanPrefill: s.FamilyInfo.LocalRead,
	}
	if s.Limits.RetryAfter {
		cfg.MaxRetryAfter = FromMS(s.Limits.MaxRetryAfterMs)
	}
	effects := map[string]routing.Idempotency{"retryable": routing.Idempotent, "dedup": routing.IdempotentByKey, "fragile": routing.NonIdempotent}
	groups := map[string]routing.DedupScope{"": routing.ScopeAll, "all": routing.ScopeAll, "zone": routing.ScopeZone,
		"cell": routing.ScopeCell}
	for i, c := range s.Classes {
		effect, ok := effects[c.Effect]
		group, known := groups[c.Group]
		if !ok || !known {
			return cfg, fmt.Errorf("class %d: unknown effect %q or group %q", i, c.Effect, c.Group)
		}
		class := routing.Class{TTFTObjective: FromMS(c.PromiseMs), Weight: c.Importance, Idempotency: effect, DedupScope: group,
			DedupWindow: FromMS(c.WindowMs)}
		if i < len(s.FamilyInfo.AimUsPer1000PromptTokens) {
			class.TTFTObjectivePer1K = FromMS(s.FamilyInfo.AimUsPer1000PromptTokens[i] / 1000)
		}
		cfg.Classes = append(cfg.Classes, class)
	}
	roles := map[string]routing.Role{"read": routing.Prefill, "write": routing.Decode, "both": routing.Combined}
	for i, duty := range s.FamilyInfo.DutyByKind {
		role, ok := roles[duty]
		if !ok {
			return cfg, fmt.Errorf("kind %d: unknown duty %q", i, duty)
		}
		cfg.Kinds = append(cfg.Kinds, routing.Kind{Role: role})
	}
	for _, p := range s.Parties {
		cfg.TenantQuotas = append(cfg.TenantQuotas, p.QuotaPerS)
	}
	return cfg, nil
}

// LoadReport translates a report whose values stand in the order of the settings' fields; nil if it has none.
func (s *Settings) LoadReport(values []float32) *routing.LoadReport {
	if len(values) == 0 {
		return nil
	}
	l := &routing.LoadReport{Memory: -1, QueuedKiloTokens: -1, QueuedRequests: -1, SlotUtilization: -1}
	for i, v := range values {
		if i >= len(s.Telemetry.Fields) {
			break
		}
		switch s.Telemetry.Fields[i] {
		case "x0":
			l.Memory = float64(v)
		case "queue":
			l.QueuedRequests = float64(v)
		case "util":
			l.SlotUtilization = float64(v)
		case "x1":
			l.QueuedKiloTokens = float64(v)
		}
	}
	return l
}

// ToMS is a time in the wire's milliseconds.
func ToMS(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// FromMS keeps to the range of a Duration whatever comes.
func FromMS(x float64) time.Duration {
	if math.IsNaN(x) {
		return 0
	}
	return time.Duration(min(max(x, -1e12), 1e12) * float64(time.Millisecond))
}
