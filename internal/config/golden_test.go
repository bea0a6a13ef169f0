package config

import (
	"encoding/json"
	"os"
	"reflect"
	"testing"
	"time"

	"rampspread/routing"
)

func golden(t *testing.T, name string) []byte {
	t.Helper()
	text, err := os.ReadFile("testdata/" + name)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// sized returns a slice of n zero elements, whatever the name of the element's type.
func sized[S ~[]E, E any](_ S, n int) S { return make(S, n) }

// goldenConfig holds the values of testdata/config.json.
func goldenConfig() *Config {
	c := &Config{Name: "name-1", Listen: "127.0.0.1:1001", Discovery: "127.0.0.1:1002", Admin: "127.0.0.1:1003",
		Seed: "8c1f30d27a5be964", Known: json.RawMessage(`{"generation":7,"reset":true,"instances":[]}`)}
	c.Limits.Cores, c.Limits.MemoryMB, c.Limits.Sockets = 1.5, 192, 1024
	s := &c.Settings
	s.Az, s.Balancers, s.Discovery = 1, 2, "ask"
	s.Classes = sized(s.Classes, 3)
	for i, name := range []string{"class-a", "class-b", "class-c"} {
		class, n := &s.Classes[i], float64(i)
		class.Name, class.Importance = name, 3.5+n
		class.PromiseMs, class.HardLimitMs, class.WindowMs = 41+n, 51+n, 61+n
		class.Effect = []string{"retryable", "dedup", "fragile"}[i]
		class.Group = []string{"zone", "cell", "all"}[i]
	}
	s.FamilyInfo.AimUsPer1000PromptTokens = []float64{71, 72, 73}
	s.FamilyInfo.DutyByKind = []string{"read", "write", "both"}
	s.FamilyInfo.LocalRead = true
	s.FamilyInfo.ReleaseWithinMs = 81
	s.Kinds = []string{"kind-a", "kind-b", "kind-c"}
	s.Limits.Cancelling = true
	s.Limits.ConnIdleMs = 91
	s.Limits.ConnectTimeoutMs = 92
	s.Limits.MaxRetryAfterMs = 93
	s.Limits.MostHeld = 94
	s.Limits.Probing = true
	s.Limits.MostTries = 95
	s.Limits.RetryAfter = true
	s.Parties = sized(s.Parties, 2)
	s.Parties[0].Name, s.Parties[0].QuotaPerS = "party-a", 101
	s.Parties[1].Name, s.Parties[1].QuotaPerS = "party-b", 102
	s.Rules.AnswerSlackMs = 111
	s.Rules.ColdFrom = 0.125
	s.Rules.ColdMs = 112
	s.Rules.FallMultiple = 113
	s.Rules.StopSendingWithinMs = 114
	s.Telemetry.Fields = []string{"x0", "queue", "util", "x1"}
	s.Zones = []string{"zone-a", "zone-b", "zone-c"}
	return c
}

func TestGoldenConfig(t *testing.T) {
	got, err := ParseConfig(golden(t, "config.json"))
	if err != nil {
		t.Fatal(err)
	}
	if want := goldenConfig(); !reflect.DeepEqual(got, want) {
		t.Errorf("read %+v, want %+v", got, want)
	}
	if err := got.Validate(); err != nil {
		t.Error(err)
	}
	if seed, err := got.SeedNumber(); err != nil || seed != 0x8c1f30d27a5be964 {
		t.Errorf("seed %x, %v", seed, err)
	}
}

// What the words of the settings mean to the decisions.
func TestGoldenRouter(t *testing.T) {
	s := goldenConfig().Settings
	got, err := s.Router()
	if err != nil {
		t.Fatal(err)
	}
	ms, us := time.Millisecond, time.Microsecond
	want := routing.Config{
		Zone: 1, Routers: 2, MaxAttempts: 95, ReservationTTL: 81 * ms, SlowStartInitial: 0.125, SlowStartDuration: 112 * ms, OverloadMultiple: 113,
		CanCancel: true, DecodeCanPrefill: true, MaxRetryAfter: 93 * ms, TenantQuotas: []float64{101, 102},
		Kinds: []routing.Kind{{Role: routing.Prefill}, {Role: routing.Decode}, {Role: routing.Combined}},
		Classes: []routing.Class{
			{TTFTObjective: 41 * ms, TTFTObjectivePer1K: 71 * us, Weight: 3.5, Idempotency: routing.Idempotent, DedupScope: routing.ScopeZone, DedupWindow: 61 * ms},
			{TTFTObjective: 42 * ms, TTFTObjectivePer1K: 72 * us, Weight: 4.5, Idempotency: routing.IdempotentByKey, DedupScope: routing.ScopeCell, DedupWindow: 62 * ms},
			{TTFTObjective: 43 * ms, TTFTObjectivePer1K: 73 * us, Weight: 5.5, Idempotency: routing.NonIdempotent, DedupScope: routing.ScopeAll, DedupWindow: 63 * ms},
		},
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
	load := s.LoadReport([]float32{0.25, 3, 0.5, 7})
	if want := (&routing.LoadReport{Memory: 0.25, QueuedRequests: 3, SlotUtilization: 0.5, QueuedKiloTokens: 7}); !reflect.DeepEqual(load, want) {
		t.Errorf("load %+v, want %+v", load, want)
	}
}

// Members compare digests of the settings' JSON, so its keys and their order stand fixed, also for what is absent.
func TestGoldenSettingsText(t *testing.T) {
	for name, s := range map[string]Settings{"settings-full.golden": goldenConfig().Settings, "settings-zero.golden": {}} {
		text, err := json.Marshal(s)
		if want := string(golden(t, name)); err != nil || string(text)+"\n" != want {
			t.Errorf("%s: wrote %s, %v; want %s", name, text, err, want)
		}
		back, err := ParseSettings(golden(t, name))
		if err != nil || !reflect.DeepEqual(*back, s) {
			t.Errorf("%s: read %+v, %v; want %+v", name, back, err, s)
		}
	}
}

// Each switch of the settings by itself: where all are on, two that changed places would not show.
func TestGoldenSwitches(t *testing.T) {
	for text, want := range map[string]func(*Settings) *bool{
		`{"limits":{"cancelling":true}}`:    func(s *Settings) *bool { return &s.Limits.Cancelling },
		`{"limits":{"probing":true}}`:       func(s *Settings) *bool { return &s.Limits.Probing },
		`{"limits":{"retryAfter":true}}`:    func(s *Settings) *bool { return &s.Limits.RetryAfter },
		`{"familyInfo":{"localRead":true}}`: func(s *Settings) *bool { return &s.FamilyInfo.LocalRead },
	} {
		var s Settings
		*want(&s) = true
		if got, err := ParseSettings([]byte(text)); err != nil || !reflect.DeepEqual(*got, s) {
			t.Errorf("%s: read %+v, %v", text, got, err)
		}
	}
}
