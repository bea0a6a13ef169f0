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

// Settings is the part of a deployment's settings that is used. Unknown keys are skipped. Keys are read in any case.
// Fields that end in Ms are in milliseconds.
//
// Members of a fleet compare digests of this type's JSON, also between versions of the program: the tags, and the order
// of the fields, must stay as they are, whatever the fields are called.
type Settings struct {
	ZoneIndex   int               `json:"Az"`        // of the dispatcher's own zone, in Zones
	Dispatchers int               `json:"Balancers"` // dispatchers of the deployment
	Classes     []ClassSettings   `json:"Classes"`
	Discovery   string            `json:"Discovery"` // how endpoint lists come: see PushesEndpoints
	ModelFamily FamilySettings    `json:"FamilyInfo"`
	Kinds       []string          `json:"Kinds"` // names of the replicas' machine types
	Limits      LimitSettings     `json:"Limits"`
	Tenants     []TenantSettings  `json:"Parties"`
	Rules       RuleSettings      `json:"Rules"`
	Telemetry   TelemetrySettings `json:"Telemetry"`
	Zones       []string          `json:"Zones"` // none: the deployment has no zones
}

// ClassSettings are the rules of one class of requests.
type ClassSettings struct {
	Name            string  `json:"Name"`
	Idempotency     string  `json:"Effect"`      // retryable, dedup or fragile
	DedupScope      string  `json:"Group"`       // of dedup: zone, cell or all; none: all
	Weight          float64 `json:"Importance"`  // of one request, relative to other classes
	TTFTObjectiveMs float64 `json:"PromiseMs"`   // time to first token that is aimed at
	DeadlineMs      float64 `json:"HardLimitMs"` // deadline
	DedupWindowMs   float64 `json:"WindowMs"`
}

// FamilySettings describe the replicas' model family.
type FamilySettings struct {
	TTFTObjectiveUsPer1KTokens []float64 `json:"AimUsPer1000PromptTokens"` // by class, µs on top of its objective
	RoleByKind                 []string  `json:"DutyByKind"`               // by Kinds: read, write or both
	DecodeCanPrefill           bool      `json:"LocalRead"`
	ReservationTTLMs           float64   `json:"ReleaseWithinMs"` // for which a replica keeps a reservation
}

// LimitSettings bound what a dispatcher may do.
type LimitSettings struct {
	CanCancel        bool    `json:"Cancelling"`
	ConnIdleMs       float64 `json:"ConnIdleMs"`
	ConnectTimeoutMs float64 `json:"ConnectTimeoutMs"`
	MaxRetryAfterMs  float64 `json:"MaxRetryAfterMs"` // the longest Retry-After that clients follow
	MaxOpenRequests  int     `json:"MostHeld"`        // the platform's; not acted on
	LoadPolling      bool    `json:"Probing"`
	MaxAttempts      int     `json:"MostTries"` // for one request
	RetryAfter       bool    `json:"RetryAfter"`
}

// TenantSettings is one tenant's quota, in requests a second.
type TenantSettings struct {
	Name      string  `json:"Name"`
	QuotaPerS float64 `json:"QuotaPerS"`
}

// RuleSettings are the figures of the platform's rules.
type RuleSettings struct {
	AnswerSlackMs    float64 `json:"AnswerSlackMs"` // after the deadline, in which an answer still counts
	SlowStartInitial float64 `json:"ColdFrom"`      // fraction of its capacity that a replica starts with
	SlowStartMs      float64 `json:"ColdMs"`
	OverloadMultiple float64 `json:"FallMultiple"` // of its capacity, with which a replica in slow start fails

	DrainDeadlineMs float64 `json:"StopSendingWithinMs"` // see DrainDeadline
}

// TelemetrySettings name the values of a load report, in their order.
type TelemetrySettings struct {
	Fields []string `json:"Fields"`
}

// ParseSettings decodes an instance's settings.
func ParseSettings(text []byte) (*Settings, error) {
	var s Settings
	if err := json.Unmarshal(text, &s); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return &s, nil
}

// PushesEndpoints tells whether an agent on the dispatcher's own machine pushes changes of the endpoint list, at no
// cost. Elsewhere discovery has to be polled, and serves all dispatchers with a fixed capacity.
func (s *Settings) PushesEndpoints() bool { return s.Discovery != "ask" }

const defaultDrainDeadline = 500 * time.Millisecond

// DrainDeadline is how long after the notice that a replica drains or is gone requests may still be sent to it.
func (s *Settings) DrainDeadline() time.Duration {
	return cmp.Or(FromMS(s.Rules.DrainDeadlineMs), defaultDrainDeadline)
}

const (
	maxGraceDeadline = 3 * time.Second        // counts in place of a longer deadline
	graceReserve     = 700 * time.Millisecond // on top of the deadline
)

// ShutdownGrace is how long the platform gives a process after SIGTERM, at the least, before it kills it: the longest
// deadline, counted as 3 s where it is longer, and 0.7 s (PROTOCOL, "Figures").
func (s *Settings) ShutdownGrace() time.Duration {
	longest := time.Duration(0)
	for _, c := range s.Classes {
		longest = max(longest, FromMS(c.DeadlineMs))
	}
	return min(longest, maxGraceDeadline) + graceReserve
}

// Zone returns the index of a zone, -1 for one that the settings do not name. A deployment may have no zones: all its
// replicas then count as in zone 0.
func (s *Settings) Zone(name string) int {
	if len(s.Zones) == 0 {
		return 0
	}
	return slices.Index(s.Zones, name)
}

// ZoneName returns the name of the zone of an index, none where the deployment has no zones.
func (s *Settings) ZoneName(zone int) string {
	if zone < 0 || zone >= len(s.Zones) {
		return ""
	}
	return s.Zones[zone]
}

// LoadReport translates a report whose values are in the order of the settings' fields; nil if it has none.
func (s *Settings) LoadReport(values []float32) *routing.LoadReport {
	if len(values) == 0 {
		return nil
	}
	const unknown = -1
	report := &routing.LoadReport{
		Memory: unknown, QueuedKiloTokens: unknown, QueuedRequests: unknown, SlotUtilization: unknown,
	}
	for i, v := range values {
		if i >= len(s.Telemetry.Fields) {
			break
		}
		switch s.Telemetry.Fields[i] {
		case "x0":
			report.Memory = float64(v)
		case "queue":
			report.QueuedRequests = float64(v)
		case "util":
			report.SlotUtilization = float64(v)
		case "x1":
			report.QueuedKiloTokens = float64(v)
		}
	}
	return report
}

// ToMS returns a duration in the wire's milliseconds.
func ToMS(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// maxMS bounds what FromMS returns, about 32 years, so that its sums stay within a Duration.
const maxMS = 1e12

// FromMS returns a duration for the wire's milliseconds, whatever they are: 0 for NaN, and no more than 1e12 ms either
// way.
func FromMS(ms float64) time.Duration {
	if math.IsNaN(ms) {
		return 0
	}
	return time.Duration(min(max(ms, -maxMS), maxMS) * float64(time.Millisecond))
}
