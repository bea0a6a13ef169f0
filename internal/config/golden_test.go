package config

import (
	"encoding/json"
	"os"
	"reflect"
	"testing"
	"time"

	"rampspread/routing"
)

func readGolden(t *testing.T, name string) []byte {
	t.Helper()
	text, err := os.ReadFile("testdata/" + name)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// zeroSliceLike returns a slice of n zero elements. Its type is the type of the first argument.
func zeroSliceLike[S ~[]E, E any](_ S, n int) S { return make(S, n) }

// goldenConfig returns the content of testdata/config.json.
func goldenConfig() *Config {
	c := &Config{Name: "name-1", Listen: "127.0.0.1:1001", Discovery: "127.0.0.1:1002", Admin: "127.0.0.1:1003",
		Seed: "8c1f30d27a5be964", InitialEndpoints: json.RawMessage(`{"generation":7,"reset":true,"instances":[]}`)}
	c.Limits.Cores, c.Limits.MemoryMB, c.Limits.Sockets = 1.5, 192, 1024
	s := &c.Settings
	s.ZoneIndex, s.Dispatchers, s.Discovery = 1, 2, "ask"
	s.Classes = zeroSliceLike(s.Classes, 3)
	for i, name := range []string{"class-a", "class-b", "class-c"} {
		class, n := &s.Classes[i], float64(i)
		class.Name, class.Weight = name, 3.5+n
		class.TTFTObjectiveMs, class.DeadlineMs, class.DedupWindowMs = 41+n, 51+n, 61+n
		class.Idempotency = []string{"retryable", "dedup", "fragile"}[i]
		class.DedupScope = []string{"zone", "cell", "all"}[i]
	}
	s.ModelFamily.TTFTObjectiveUsPer1KTokens = []float64{71, 72, 73}
	s.ModelFamily.RoleByKind = []string{"read", "write", "both"}
	s.ModelFamily.DecodeCanPrefill = true
	s.ModelFamily.ReservationTTLMs = 81
	s.Kinds = []string{"kind-a", "kind-b", "kind-c"}
	s.Limits.CanCancel = true
	s.Limits.ConnIdleMs = 91
	s.Limits.ConnectTimeoutMs = 92
	s.Limits.MaxRetryAfterMs = 93
	s.Limits.MaxOpenRequests = 94
	s.Limits.LoadPolling = true
	s.Limits.MaxAttempts = 95
	s.Limits.RetryAfter = true
	s.Tenants = zeroSliceLike(s.Tenants, 2)
	s.Tenants[0].Name, s.Tenants[0].QuotaPerS = "party-a", 101
	s.Tenants[1].Name, s.Tenants[1].QuotaPerS = "party-b", 102
	s.Rules.AnswerSlackMs = 111
	s.Rules.SlowStartInitial = 0.125
	s.Rules.SlowStartMs = 112
	s.Rules.OverloadMultiple = 113
	s.Rules.DrainDeadlineMs = 114
	s.Telemetry.Fields = []string{"x0", "queue", "util", "x1"}
	s.Zones = []string{"zone-a", "zone-b", "zone-c"}
	return c
}

func TestGoldenConfig(t *testing.T) {
	got, err := ParseConfig(readGolden(t, "config.json"))
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

// Router and LoadReport translate each name and value of the settings to the right field and type.
func TestGoldenRouter(t *testing.T) {
	s := goldenConfig().Settings
	got, err := s.Router()
	if err != nil {
		t.Fatal(err)
	}
	ms, us := time.Millisecond, time.Microsecond
	want := routing.Config{
		Zone: 1, Routers: 2, MaxAttempts: 95, ReservationTTL: 81 * ms,
		SlowStartInitial: 0.125, SlowStartDuration: 112 * ms, OverloadMultiple: 113,
		CanCancel: true, DecodeCanPrefill: true, MaxRetryAfter: 93 * ms, TenantQuotas: []float64{101, 102},
		Kinds: []routing.Kind{{Role: routing.Prefill}, {Role: routing.Decode}, {Role: routing.Combined}},
		Classes: []routing.Class{
			{
				TTFTObjective: 41 * ms, TTFTObjectivePer1K: 71 * us, Weight: 3.5,
				Idempotency: routing.Idempotent, DedupScope: routing.DedupScopeZone, DedupWindow: 61 * ms,
			},
			{
				TTFTObjective: 42 * ms, TTFTObjectivePer1K: 72 * us, Weight: 4.5,
				Idempotency: routing.IdempotentByKey, DedupScope: routing.DedupScopeCell, DedupWindow: 62 * ms,
			},
			{
				TTFTObjective: 43 * ms, TTFTObjectivePer1K: 73 * us, Weight: 5.5,
				Idempotency: routing.NonIdempotent, DedupScope: routing.DedupScopeAll, DedupWindow: 63 * ms,
			},
		},
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
	load := s.LoadReport([]float32{0.25, 3, 0.5, 7})
	wantLoad := &routing.LoadReport{Memory: 0.25, QueuedRequests: 3, SlotUtilization: 0.5, QueuedKiloTokens: 7}
	if !reflect.DeepEqual(load, wantLoad) {
		t.Errorf("load %+v, want %+v", load, wantLoad)
	}
}

// Members compare digests of the settings' JSON, so its keys and their order must not change. Absent settings must be
// written too.
func TestGoldenSettingsText(t *testing.T) {
	for name, s := range map[string]Settings{"settings-full.golden": goldenConfig().Settings, "settings-zero.golden": {}} {
		text, err := json.Marshal(s)
		if want := string(readGolden(t, name)); err != nil || string(text)+"\n" != want {
			t.Errorf("%s: wrote %s, %v; want %s", name, text, err, want)
		}
		reparsed, err := ParseSettings(readGolden(t, name))
		if err != nil || !reflect.DeepEqual(*reparsed, s) {
			t.Errorf("%s: read %+v, %v; want %+v", name, reparsed, err, s)
		}
	}
}

// Each boolean setting is read into its own field. Each is tested alone, because swapped fields do not show if all are
// true.
func TestGoldenSwitches(t *testing.T) {
	for text, want := range map[string]func(*Settings) *bool{
		`{"limits":{"cancelling":true}}`:    func(s *Settings) *bool { return &s.Limits.CanCancel },
		`{"limits":{"probing":true}}`:       func(s *Settings) *bool { return &s.Limits.LoadPolling },
		`{"limits":{"retryAfter":true}}`:    func(s *Settings) *bool { return &s.Limits.RetryAfter },
		`{"familyInfo":{"localRead":true}}`: func(s *Settings) *bool { return &s.ModelFamily.DecodeCanPrefill },
	} {
		var s Settings
		*want(&s) = true
		if got, err := ParseSettings([]byte(text)); err != nil || !reflect.DeepEqual(*got, s) {
			t.Errorf("%s: read %+v, %v", text, got, err)
		}
	}
}
