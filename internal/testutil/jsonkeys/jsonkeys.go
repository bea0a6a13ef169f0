// Package jsonkeys changes single keys of JSON texts, for tests that leave out the keys of a file one at a time.
//
// A path names a key as settings.classes[0].group.
package jsonkeys

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
)

// visitor is called for each key of an object and of the objects in its values, which come first. It may change or
// delete the key.
type visitor func(object map[string]any, key, path string)

func visit(value any, path string, v visitor) {
	switch value := value.(type) {
	case map[string]any:
		for key := range value {
			keyPath := strings.TrimPrefix(path+"."+key, ".")
			visit(value[key], keyPath, v)
			v(value, key, keyPath)
		}
	case []any:
		for i, element := range value {
			visit(element, fmt.Sprintf("%s[%d]", path, i), v)
		}
	}
}

func decode(t testing.TB, text string) map[string]any {
	t.Helper()
	var object map[string]any
	if err := json.Unmarshal([]byte(text), &object); err != nil {
		t.Fatal(err)
	}
	return object
}

func encode(t testing.TB, object map[string]any) string {
	t.Helper()
	text, err := json.Marshal(object)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// Paths returns the paths of all keys in the text of an object, in alphabetical order.
func Paths(t testing.TB, text string) (paths []string) {
	t.Helper()
	visit(decode(t, text), "", func(_ map[string]any, _, path string) { paths = append(paths, path) })
	slices.Sort(paths)
	return paths
}

// Without returns the text of an object without the keys at the given paths.
func Without(t testing.TB, text string, without ...string) string {
	t.Helper()
	object := decode(t, text)
	visit(object, "", func(object map[string]any, key, path string) {
		if slices.Contains(without, path) {
			delete(object, key)
		}
	})
	return encode(t, object)
}

// With returns the text of an object in which each value for which replace returns true is replaced.
func With(t testing.TB, text string, replace func(path string, old any) (replacement any, ok bool)) string {
	t.Helper()
	object := decode(t, text)
	visit(object, "", func(object map[string]any, key, path string) {
		if replacement, ok := replace(path, object[key]); ok {
			object[key] = replacement
		}
	})
	return encode(t, object)
}
