package testutil

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
)

// DumpResponse formats a response for a golden file: its status code, its headers sorted by name without Date, and its
// body, which the caller has read.
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
