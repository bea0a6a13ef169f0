package testutil

import (
	"fmt"
	"maps"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// CheckGolden compares a text with a file in the package's testdata, which is written anew first if update is set.
func CheckGolden(t testing.TB, update bool, name, got string) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if update {
		if err := os.WriteFile(path, []byte(got), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if got != string(want) {
		t.Errorf("%s: got\n%s\nwant\n%s", name, got, want)
	}
}

// DumpResponse is a response as text: its status, its headers in order but for the date, and its body.
func DumpResponse(resp *http.Response, body string) string {
	var b strings.Builder
	fmt.Fprintln(&b, resp.StatusCode)
	for _, name := range slices.Sorted(maps.Keys(resp.Header)) {
		if name != "Date" {
			fmt.Fprintf(&b, "%s: %s\n", name, strings.Join(resp.Header[name], ", "))
		}
	}
	fmt.Fprintf(&b, "\n%s\n", body)
	return b.String()
}
