package config

import "testing"

func TestParseSettingsReadsKeysInAnyCase(t *testing.T) {
	s, err := ParseSettings([]byte(`{"az": 1, "balancers": 2, "novel": {"x": 1},
		"classes": [{"effect": "dedup", "group": "cell", "importance": 2, "promiseMs": 10}],
		"limits": {"mostTries": 3}}`))
	if err != nil || s.ZoneIndex != 1 || s.Dispatchers != 2 || s.Limits.MaxAttempts != 3 || s.Classes[0].TTFTObjectiveMs != 10 {
		t.Errorf("got %+v, %v", s, err)
	}
	if _, err := ParseSettings([]byte(`{"az": "x"`)); err == nil {
		t.Error("malformed settings were accepted")
	}
}
