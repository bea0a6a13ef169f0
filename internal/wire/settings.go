package wire

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"time"

	"rampspread/decide"
)

// Settings is the part of an instance's settings text that is used. Unknown keys are skipped.
type Settings struct {
	Az        int
	Balancers int
	Classes   []struct {
		Name        string
		Effect      string
		Group       string
		Importance  float64
		PromiseMs   float64
		HardLimitMs float64
		WindowMs    float64
	}
	Discovery  string
	FamilyInfo struct {
		AimUsPer1000PromptTokens []float64
		DutyByKind               []string
		LocalRead                bool
		ReleaseWithinMs          float64
	}
	Kinds  []string
	Limits struct {
		Cancelling       bool
		ConnIdleMs       float64
		ConnectTimeoutMs float64
		MaxRetryAfterMs  float64
		MostHeld         int
		Probing          bool
		MostTries        int
		RetryAfter       bool
	}
	Parties []struct {
		Name      string
		QuotaPerS float64
	}
	Rules struct {
		AnswerSlackMs float64
		ColdFrom      float64
		ColdMs        float64
		FallMultiple  float64

		StopSendingWithinMs float64
	}
	Telemetry struct{ Fields []string }
	Zones     []string
}

// ParseSettings decodes an instance's settings text.
func ParseSettings(text []byte) (*Settings, error) {
	var s Settings
	if err := json.Unmarshal(text, &s); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return &s, nil
}

// Pushed tells whether an agent of the dispatcher's own machine is sent what changes in the list, at no cost.
// Elsewhere discovery has to be asked, and serves all dispatchers with a fixed capacity.
func (s *Settings) Pushed() bool { return s.Discovery != "ask" }

// Binds is how long after the news that a server drains or is gone nothing more may be sent to it.
func (s *Settings) Binds() time.Duration {
	return cmp.Or(FromMS(s.Rules.StopSendingWithinMs), 500*time.Millisecond)
}

// Grace is how long the platform leaves a process after SIGTERM, at the least, before it kills it: the longest deadline, counted as 3 s
// where it is longer, and 0.7 s (PROTOCOL, "Figures").
func (s *Settings) Grace() time.Duration {
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
func (s *Settings) Router() (decide.Config, error) {
	cfg := decide.Config{
		Zone: s.Az, Routers: s.Balancers, MaxAttempts: s.Limits.MostTries,
		ReleaseWithin: FromMS(s.FamilyInfo.ReleaseWithinMs),
		ColdFrom:      s.Rules.ColdFrom, ColdFor: FromMS(s.Rules.ColdMs),
		FallMultiple: s.Rules.FallMultiple,
		MayCancel:    s.Limits.Cancelling,
		LocalRead:    s.FamilyInfo.LocalRead,
	}
	if s.Limits.RetryAfter {
		cfg.MaxRetryAfter = FromMS(s.Limits.MaxRetryAfterMs)
	}
	effects := map[string]decide.Effect{"retryable": decide.Safe, "dedup": decide.Keyed, "fragile": decide.Unsafe}
	groups := map[string]decide.Group{"": decide.GroupAll, "all": decide.GroupAll, "zone": decide.GroupZone,
		"cell": decide.GroupCell}
	for i, c := range s.Classes {
		effect, ok := effects[c.Effect]
		group, known := groups[c.Group]
		if !ok || !known {
			return cfg, fmt.Errorf("class %d: unknown effect %q or group %q", i, c.Effect, c.Group)
		}
		class := decide.Class{Aim: FromMS(c.PromiseMs), Worth: c.Importance, Effect: effect, Group: group,
			Window: FromMS(c.WindowMs)}
		if i < len(s.FamilyInfo.AimUsPer1000PromptTokens) {
			class.AimPer1K = FromMS(s.FamilyInfo.AimUsPer1000PromptTokens[i] / 1000)
		}
		cfg.Classes = append(cfg.Classes, class)
	}
	roles := map[string]decide.Role{"read": decide.Reader, "write": decide.Writer, "both": decide.Mixed}
	for i, duty := range s.FamilyInfo.DutyByKind {
		role, ok := roles[duty]
		if !ok {
			return cfg, fmt.Errorf("kind %d: unknown duty %q", i, duty)
		}
		cfg.Kinds = append(cfg.Kinds, decide.Kind{Role: role})
	}
	for _, p := range s.Parties {
		cfg.TenantQuotas = append(cfg.TenantQuotas, p.QuotaPerS)
	}
	return cfg, nil
}

// Load translates a report whose values stand in the order of the settings' fields; nil if it has none.
func (s *Settings) Load(values []float32) *decide.Load {
	if len(values) == 0 {
		return nil
	}
	l := &decide.Load{Memory: -1, Waiting: -1, Queue: -1, Busy: -1}
	for i, v := range values {
		if i >= len(s.Telemetry.Fields) {
			break
		}
		switch s.Telemetry.Fields[i] {
		case "x0":
			l.Memory = float64(v)
		case "queue":
			l.Queue = float64(v)
		case "util":
			l.Busy = float64(v)
		case "x1":
			l.Waiting = float64(v)
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
