package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
)

const (
	settingsKey  = "settings" // key of the settings in a configuration file
	maxKeysNamed = 8          // how many missing keys one error names
)

// missingKeysError holds the keys that a file lacks, as paths such as settings.classes[0].group.
type missingKeysError []string

// Error lists the first keys.
func (e missingKeysError) Error() string {
	if len(e) <= maxKeysNamed {
		return "missing " + strings.Join(e, ", ")
	}
	return fmt.Sprintf("missing %s and %d more", strings.Join(e[:maxKeysNamed], ", "), len(e)-maxKeysNamed)
}

// errorOf returns a missingKeysError, or nil if no keys are missing.
func errorOf(missing []string) error {
	if len(missing) == 0 {
		return nil
	}
	return missingKeysError(missing)
}

// RequireKeys returns an error unless the JSON text, of which the settings were decoded, has a key for each field of
// Settings, and for each class an entry in the list of latency objectives.
//
// encoding/json leaves the field of an absent key at its zero value, which no later check can tell from a zero in the
// text. Keys match in any case there, and null sets nothing, so a key with the value null counts as absent here.
func (s *Settings) RequireKeys(text []byte) error {
	absent, err := absentInValue(text, reflect.TypeFor[Settings](), settingsKey)
	if err != nil {
		return err
	}
	return errorOf(append(absent, s.absentObjectives()...))
}

// checkKeys returns an error if the settings in the text of the configuration file lack a key, and records which other
// keys the file lacks.
func (c *Config) checkKeys(text []byte) error {
	absent, err := absentInValue(text, reflect.TypeFor[Config](), "")
	if err != nil {
		return err
	}
	var missing []string
	for _, path := range absent {
		if containsPath([]string{settingsKey}, path) {
			missing = append(missing, path)
		} else {
			c.absentKeys = append(c.absentKeys, path)
		}
	}
	return errorOf(append(missing, c.Settings.absentObjectives()...))
}

// RequireKeysOf returns an error if the configuration file lacks a key that an earlier file had. It is for the keys
// outside the settings, which a file may lack: a reload must not take a file that has lost one of them for a whole one.
func (c *Config) RequireKeysOf(earlier *Config) error {
	var lost []string
	for _, path := range c.absentKeys {
		if !containsPath(earlier.absentKeys, path) {
			lost = append(lost, path)
		}
	}
	if err := errorOf(lost); err != nil {
		return fmt.Errorf("config: %w", err)
	}
	return nil
}

// containsPath reports whether the paths contain the given path or the path of an object that it is in.
func containsPath(paths []string, path string) bool {
	for _, p := range paths {
		if path == p || strings.HasPrefix(path, p+".") {
			return true
		}
	}
	return false
}

// absentObjectives returns the paths of the entries that the list of latency objectives lacks, which has one for each
// class. It returns none if there is no list.
func (s *Settings) absentObjectives() (absent []string) {
	objectives := s.ModelFamily.TTFTObjectiveUsPer1KTokens
	if objectives == nil {
		return nil
	}
	for i := len(objectives); i < len(s.Classes); i++ {
		absent = append(absent, fmt.Sprintf("%s.familyInfo.aimUsPer1000PromptTokens[%d]", settingsKey, i))
	}
	return absent
}

// absentInValue returns the paths of the keys that are absent in a JSON value, which is decoded into a value of the
// given type. If it is null, that is the path of the value itself.
func absentInValue(value json.RawMessage, t reflect.Type, path string) ([]string, error) {
	switch {
	case bytes.Equal(bytes.TrimSpace(value), []byte("null")):
		return []string{path}, nil
	case t.Kind() == reflect.Struct:
		return absentInObject(value, t, path)
	case t.Kind() == reflect.Slice && t != reflect.TypeFor[json.RawMessage]():
		return absentInList(value, t.Elem(), path)
	}
	return nil, nil
}

func absentInObject(object json.RawMessage, t reflect.Type, path string) (absent []string, err error) {
	var members map[string]json.RawMessage
	if err := json.Unmarshal(object, &members); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	for i := range t.NumField() {
		field := t.Field(i)
		if !field.IsExported() {
			continue
		}
		key := keyOf(field)
		fieldPath := strings.TrimPrefix(path+"."+key, ".")
		values := membersOf(members, key)
		if len(values) == 0 {
			absent = append(absent, fieldPath)
		}
		for _, value := range values {
			inValue, err := absentInValue(value, field.Type, fieldPath)
			if err != nil {
				return nil, err
			}
			absent = append(absent, inValue...)
		}
	}
	return absent, nil
}

func absentInList(list json.RawMessage, element reflect.Type, path string) (absent []string, err error) {
	var values []json.RawMessage
	if err := json.Unmarshal(list, &values); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	for i, value := range values {
		inValue, err := absentInValue(value, element, fmt.Sprintf("%s[%d]", path, i))
		if err != nil {
			return nil, err
		}
		absent = append(absent, inValue...)
	}
	return absent, nil
}

// keyOf returns the key of a field as files have it: the name in the field's json tag, beginning with a lower-case
// letter.
func keyOf(field reflect.StructField) string {
	name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
	return strings.ToLower(name[:1]) + name[1:]
}

// membersOf returns the values of all keys of an object that encoding/json stores in the field with the given key.
func membersOf(members map[string]json.RawMessage, key string) (values []json.RawMessage) {
	for name, value := range members {
		if strings.EqualFold(name, key) {
			values = append(values, value)
		}
	}
	return values
}
