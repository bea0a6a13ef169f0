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

// Settings holds those settings of a deployment that the dispatcher uses. Unknown keys are ignored, and keys match in
// any case. Fields whose names end in Ms are in milliseconds. The text must have the key of each field; see
// RequireKeys.
//
// Members of a fleet compare digests of this type's JSON, even if they run different versions of the program. The tags
// and the order of the fields must therefore not change; the Go names of the fields may.
type Settings struct {
	ZoneIndex   int               `json:"Az"`        // index of the dispatcher's own zone in Zones
	Dispatchers int               `json:"Balancers"` // number of dispatchers in the deployment
	Classes     []ClassSettings   `json:"Classes"`
	Discovery   string            `json:"Discovery"` // how endpoint lists arrive; see PushesEndpoints
	ModelFamily FamilySettings    `json:"FamilyInfo"`
	Kinds       []string          `json:"Kinds"` // names of the replicas' machine types
	Limits      LimitSettings     `json:"Limits"`
	Tenants     []TenantSettings  `json:"Parties"`
	Rules       RuleSettings      `json:"Rules"`
	Telemetry   TelemetrySettings `json:"Telemetry"`
	Zones       []string          `json:"Zones"` // empty if the deployment has no zones
}

// ClassSettings holds the rules of one class of requests.
type ClassSettings struct {
	Name            string  `json:"Name"`
	Idempotency     string  `json:"Effect"`     // retryable, dedup or fragile
	DedupScope      string  `json:"Group"`      // replicas that deduplicate together: zone, cell or all
	Weight          float64 `json:"Importance"` // weight of one request relative to other classes
	TTFTObjectiveMs float64 `json:"PromiseMs"`  // target for the time to first token
	DeadlineMs      float64 `json:"HardLimitMs"`
	DedupWindowMs   float64 `json:"WindowMs"` // time for which replicas discard duplicates of a request
}

// FamilySettings describes the replicas' model family.
type FamilySettings struct {
	TTFTObjectiveUsPer1KTokens []float64 `json:"AimUsPer1000PromptTokens"` // by class index: µs added to the objective
	RoleByKind                 []string  `json:"DutyByKind"`               // by index in Kinds: read, write or both
	// DecodeCanPrefill is set if decode replicas can prefill as well.
	DecodeCanPrefill bool    `json:"LocalRead"`
	ReservationTTLMs float64 `json:"ReleaseWithinMs"` // time for which a replica keeps a reservation
}

// LimitSettings bounds what a dispatcher may do.
type LimitSettings struct {
	CanCancel        bool    `json:"Cancelling"` // whether attempts may be canceled
	ConnIdleMs       float64 `json:"ConnIdleMs"` // idle time after which a replica's machine may reset a connection
	ConnectTimeoutMs float64 `json:"ConnectTimeoutMs"`
	MaxRetryAfterMs  float64 `json:"MaxRetryAfterMs"` // longest Retry-After that clients follow
	MaxOpenRequests  int     `json:"MostHeld"`        // limit of the platform; the dispatcher does not use it
	LoadPolling      bool    `json:"Probing"`         // whether replicas answer load polls
	MaxAttempts      int     `json:"MostTries"`       // attempts for one request
	RetryAfter       bool    `json:"RetryAfter"`      // whether clients follow Retry-After
}

// TenantSettings holds the quota of one tenant in requests per second.
type TenantSettings struct {
	Name      string  `json:"Name"`
	QuotaPerS float64 `json:"QuotaPerS"`
}

// RuleSettings holds the numbers of the platform's rules.
type RuleSettings struct {
	AnswerSlackMs    float64 `json:"AnswerSlackMs"` // time after the deadline in which an answer still counts
	SlowStartInitial float64 `json:"ColdFrom"`      // fraction of its capacity that a replica has at its start
	SlowStartMs      float64 `json:"ColdMs"`        // time from its start until a replica has its full capacity
	OverloadMultiple float64 `json:"FallMultiple"`  // multiple of its capacity at which a replica in slow start fails

	DrainDeadlineMs float64 `json:"StopSendingWithinMs"` // see DrainDeadline
}

// TelemetrySettings names the values of a load report, in the order in which a report has them.
type TelemetrySettings struct {
	Fields []string `json:"Fields"`
}

// ParseSettings decodes the settings of a deployment. It does not check which keys the text has, see RequireKeys, nor
// the values, see Validate.
func ParseSettings(text []byte) (*Settings, error) {
	var s Settings
	if err := json.Unmarshal(text, &s); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return &s, nil
}

// PushesEndpoints reports whether an agent on the dispatcher's own machine pushes changes of the endpoint list, which
// costs discovery nothing. Otherwise the dispatcher must poll discovery, whose fixed capacity is shared by all
// dispatchers.
func (s *Settings) PushesEndpoints() bool { return s.Discovery != "ask" }

const defaultDrainDeadline = 500 * time.Millisecond

// DrainDeadline returns how long requests may still be sent to a replica after the notice that it is draining or gone.
func (s *Settings) DrainDeadline() time.Duration {
	return cmp.Or(FromMS(s.Rules.DrainDeadlineMs), defaultDrainDeadline)
}

const (
	maxGraceDeadline = 3 * time.Second        // replaces any longer deadline
	graceReserve     = 700 * time.Millisecond // added to the deadline
)

// ShutdownGrace returns the minimum time between SIGTERM and the platform killing the process: the longest deadline,
// counted as 3 s if it is longer, plus 0.7 s (PROTOCOL, "Figures").
func (s *Settings) ShutdownGrace() time.Duration {
	longest := time.Duration(0)
	for _, c := range s.Classes {
		longest = max(longest, FromMS(c.DeadlineMs))
	}
	return min(longest, maxGraceDeadline) + graceReserve
}

// Zone returns the index of a zone, or -1 if the settings do not name it. In a deployment without zones, all replicas
// count as in zone 0.
func (s *Settings) Zone(name string) int {
	if len(s.Zones) == 0 {
		return 0
	}
	return slices.Index(s.Zones, name)
}

// ZoneName returns the name of the zone at an index. It returns "" for an unknown index and if the deployment has no
// zones.
func (s *Settings) ZoneName(zone int) string {
	if zone < 0 || zone >= len(s.Zones) {
		return ""
	}
	return s.Zones[zone]
}

// LoadReport translates a load report whose values are in the order of Telemetry.Fields. It returns nil for a report
// without values.
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

// ToMS converts a duration to the milliseconds that the wire protocol uses.
func ToMS(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// maxMS bounds the result of FromMS to about 32 years, so that sums of several results fit into a Duration.
const maxMS = 1e12

// FromMS converts milliseconds of the wire protocol to a duration. NaN becomes 0, and values beyond 1e12 ms in either
// direction are clamped.
func FromMS(ms float64) time.Duration {
	if math.IsNaN(ms) {
		return 0
	}
	return time.Duration(min(max(ms, -maxMS), maxMS) * float64(time.Millisecond))
}
