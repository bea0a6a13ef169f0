package config

import (
	"encoding/json"
	"strings"
	"testing"

	"rampspread/internal/testutil/jsonkeys"
)

// replaceAt returns a function for jsonkeys.With that replaces the value at one path.
func replaceAt(wantPath string, replacement any) func(string, any) (any, bool) {
	return func(path string, _ any) (any, bool) { return replacement, path == wantPath }
}

// A file that lacked a setting was taken as if the setting were zero: without a class's group, requests ran again at
// replicas that do not discard them. Each setting that the file lacks, or whose value is null, is an error.
func TestConfigLacksAKey(t *testing.T) {
	whole := string(readGolden(t, "config.json"))
	left := 0
	for _, path := range jsonkeys.Paths(t, whole) {
		if path != "settings" && !strings.HasPrefix(path, "settings.") {
			continue
		}
		left++
		for form, text := range map[string]string{
			"absent": jsonkeys.Without(t, whole, path), "null": jsonkeys.With(t, whole, replaceAt(path, nil)),
		} {
			if _, err := ParseConfig([]byte(text)); err == nil || err.Error() != "config: missing "+path {
				t.Errorf("%s is %s: error %v", path, form, err)
			}
		}
	}
	const least = 50 // 11 keys of the settings, 7 of each class, 2 of each tenant and those of the other objects
	if left < least {
		t.Errorf("only %d keys were left out", left)
	}
	_, err := ParseConfig([]byte(`{"settings":{}}`))
	if err == nil || !strings.HasSuffix(err.Error(), " and 3 more") {
		t.Errorf("no setting at all: error %v", err)
	}
}

// A setting that is zero, false or an empty list is not absent.
func TestConfigHasZeroValues(t *testing.T) {
	text := jsonkeys.With(t, string(readGolden(t, "config.json")), func(path string, old any) (any, bool) {
		if !strings.HasPrefix(path, "settings.") || path == "settings.classes" || strings.HasSuffix(path, ".aimUsPer1000PromptTokens") {
			return nil, false
		}
		switch old.(type) {
		case float64:
			return 0, true
		case bool:
			return false, true
		case string:
			return "", true
		case []any:
			return []any{}, true
		}
		return nil, false
	})
	if _, err := ParseConfig([]byte(text)); err != nil {
		t.Error(err)
	}
}

// Keys that the program does not know are ignored, and keys may be in any case. An object that stands twice is decoded
// twice, so both must be whole.
func TestConfigKeysOfOtherForms(t *testing.T) {
	whole := string(readGolden(t, "config.json"))
	for text, isWhole := range map[string]bool{
		strings.Replace(whole, `"rules":`, `"goal":{"whole":null},"RULES":`, 1):           true,
		strings.Replace(whole, `"rules":`, `"Rules":{"coldFrom":0.5},"rules":`, 1):        false,
		strings.Replace(whole, `"settings":`, `"Settings":{"classes":[]},"settings":`, 1): false,
	} {
		if text == whole {
			t.Fatal("nothing was replaced")
		}
		if _, err := ParseConfig([]byte(text)); (err == nil) != isWhole {
			t.Errorf("error %v: %s", err, text)
		}
	}
}

// A class without an entry in the list of objectives would have an objective that does not grow with the prompt.
func TestConfigLacksAnObjective(t *testing.T) {
	const path = "settings.familyInfo.aimUsPer1000PromptTokens"
	for objectives, want := range map[string]string{
		`[71,72,73,74]`: "",
		`[71,72]`:       "config: missing " + path + "[2]",
		`[71,null,73]`:  "config: missing " + path + "[1]",
	} {
		text := jsonkeys.With(t, string(readGolden(t, "config.json")), replaceAt(path, json.RawMessage(objectives)))
		if _, err := ParseConfig([]byte(text)); err == nil && want != "" || err != nil && err.Error() != want {
			t.Errorf("objectives %s: error %v, want %q", objectives, err, want)
		}
	}
}

// A class with the effect dedup that has no group must not get a scope: any but the right one lets requests run twice.
// The other effects do not use the group.
func TestRouterNeedsGroupOfDedupClass(t *testing.T) {
	for effect, want := range map[string]bool{"dedup": false, "fragile": true, "retryable": true} {
		text := strings.Replace(baseSettings, `"effect":"retryable"`, `"effect":"`+effect+`"`, 1)
		if _, err := mustParse(t, text).Router(); (err == nil) != want {
			t.Errorf("%s without a group: error %v", effect, err)
		}
	}
}

// A reload must not take a file that has lost a key for a whole one, also outside the settings. What the file at the
// start did not have, a later file need not have either.
func TestReloadedConfigLacksAKey(t *testing.T) {
	parse := func(without ...string) *Config {
		t.Helper()
		config, err := ParseConfig([]byte(jsonkeys.Without(t, string(readGolden(t, "config.json")), without...)))
		if err != nil {
			t.Fatal(err)
		}
		return config
	}
	for _, key := range []string{
		"name", "listen", "discovery", "ops", "seed", "known", "limits", "limits.cores", "limits.memory_mb", "limits.sockets",
	} {
		if err := parse(key).RequireKeysOf(parse()); err == nil || err.Error() != "config: missing "+key {
			t.Errorf("%s was lost: error %v", key, err)
		}
		if err := parse(key).RequireKeysOf(parse(key)); err != nil {
			t.Errorf("%s was never there: error %v", key, err)
		}
	}
	if err := parse("limits.cores").RequireKeysOf(parse("limits")); err != nil {
		t.Errorf("an object that was never there: error %v", err)
	}
}
