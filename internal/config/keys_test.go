package config

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
)

// decodeObject returns a JSON object as a tree of maps and slices.
func decodeObject(t *testing.T, text []byte) map[string]any {
	t.Helper()
	var object map[string]any
	if err := json.Unmarshal(text, &object); err != nil {
		t.Fatal(err)
	}
	return object
}

func encodeObject(t *testing.T, object map[string]any) []byte {
	t.Helper()
	text, err := json.Marshal(object)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// visitKeys calls visit for each key of an object and of the objects in it.
func visitKeys(value any, path string, visit func(object map[string]any, key, path string)) {
	switch v := value.(type) {
	case map[string]any:
		for key := range v {
			keyPath := strings.TrimPrefix(path+"."+key, ".")
			visitKeys(v[key], keyPath, visit)
			visit(v, key, keyPath)
		}
	case []any:
		for i, element := range v {
			visitKeys(element, fmt.Sprintf("%s[%d]", path, i), visit)
		}
	}
}

// A file that lacked a setting was taken as if the setting were zero: without a class's group, requests ran again at
// replicas that do not discard them. Each setting that the file lacks, or whose value is null, is an error.
func TestConfigLacksAKey(t *testing.T) {
	whole := readGolden(t, "config.json")
	visited := 0
	visitKeys(decodeObject(t, whole)["settings"], "settings", func(_ map[string]any, _, wantPath string) {
		for _, null := range []bool{false, true} {
			config := decodeObject(t, whole)
			visitKeys(config, "", func(object map[string]any, key, path string) {
				if path != wantPath {
					return
				}
				if null {
					object[key] = nil
				} else {
					delete(object, key)
				}
			})
			_, err := ParseConfig(encodeObject(t, config))
			if want := "config: missing " + wantPath; err == nil || err.Error() != want {
				t.Errorf("%s absent, as null %v: error %v, want %s", wantPath, null, err, want)
			}
		}
		visited++
	})
	if visited < 50 { // 11 keys of the settings, 7 of each class, 2 of each tenant and those of the other objects
		t.Errorf("only %d keys were left out", visited)
	}
	_, err := ParseConfig([]byte(`{"settings":{}}`))
	if err == nil || !strings.HasSuffix(err.Error(), " and 3 more") {
		t.Errorf("no settings at all: error %v", err)
	}
}

// A setting that is zero, false or an empty list is not absent.
func TestConfigHasZeroValues(t *testing.T) {
	config := decodeObject(t, readGolden(t, "config.json"))
	visitKeys(config["settings"], "settings", func(object map[string]any, key, path string) {
		switch object[key].(type) {
		case float64:
			object[key] = 0
		case bool:
			object[key] = false
		case string:
			object[key] = ""
		case []any:
			if path != "settings.classes" && path != "settings.familyInfo.aimUsPer1000PromptTokens" {
				object[key] = []any{}
			}
		}
	})
	if _, err := ParseConfig(encodeObject(t, config)); err != nil {
		t.Error(err)
	}
}

// Keys that the program does not know are ignored, and keys may be in any case. An object that stands twice is decoded
// twice, so both must be whole.
func TestConfigKeysOfOtherForms(t *testing.T) {
	config := decodeObject(t, readGolden(t, "config.json"))
	settings := config["settings"].(map[string]any)
	settings["goal"] = map[string]any{"whole": nil}
	settings["RULES"] = settings["rules"]
	delete(settings, "rules")
	if _, err := ParseConfig(encodeObject(t, config)); err != nil {
		t.Error(err)
	}
	settings["rules"] = map[string]any{"coldFrom": 0.5}
	if _, err := ParseConfig(encodeObject(t, config)); err == nil {
		t.Error("an object that stands twice, once without its keys, was accepted")
	}
}

// A class without an entry in the list of objectives would have an objective that does not grow with the prompt.
func TestConfigLacksAnObjective(t *testing.T) {
	config := decodeObject(t, readGolden(t, "config.json"))
	family := config["settings"].(map[string]any)["familyInfo"].(map[string]any)
	for objectives, want := range map[string]string{
		`[71,72,73,74]`: "",
		`[71,72]`:       "config: missing settings.familyInfo.aimUsPer1000PromptTokens[2]",
		`[71,null,73]`:  "config: missing settings.familyInfo.aimUsPer1000PromptTokens[1]",
	} {
		family["aimUsPer1000PromptTokens"] = json.RawMessage(objectives)
		if _, err := ParseConfig(encodeObject(t, config)); err == nil && want != "" || err != nil && err.Error() != want {
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
		object := decodeObject(t, readGolden(t, "config.json"))
		visitKeys(object, "", func(object map[string]any, key, path string) {
			if slices.Contains(without, path) {
				delete(object, key)
			}
		})
		config, err := ParseConfig(encodeObject(t, object))
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
