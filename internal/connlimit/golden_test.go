package connlimit_test

import (
	"flag"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"rampspread/internal/connlimit"
	"rampspread/internal/testkit"
)

var update = flag.Bool("update", false, "write the golden files anew")

// The answers while an operator drains, or the process ends.
func TestGoldenGuard(t *testing.T) {
	next := func(w http.ResponseWriter, r *http.Request) {
		if _, status, err := connlimit.ReadBody(w, r); err != nil {
			http.Error(w, err.Error(), status)
		}
	}
	var all strings.Builder
	for _, c := range []struct {
		name, method, path string
		set                func(*connlimit.Lifecycle)
	}{
		{"health while serving", http.MethodGet, "/healthz", func(*connlimit.Lifecycle) {}},
		{"health while draining", http.MethodGet, "/healthz", func(s *connlimit.Lifecycle) { s.Drain.Begin(time.Now()) }},
		{"health while stopping", http.MethodGet, "/healthz", func(s *connlimit.Lifecycle) { s.Stopping.Store(true) }},
		{"a call too late before the end", http.MethodPost, "/", func(s *connlimit.Lifecycle) { s.Stopping.Store(true); s.RejectNew.Store(true) }},
		{"a call long after a drain began", http.MethodPost, "/", func(s *connlimit.Lifecycle) { s.Drain.Begin(time.Now().Add(-time.Hour)) }},
	} {
		state := &connlimit.Lifecycle{}
		c.set(state)
		_, server := guarded(t, 1<<20, state, next)
		body := io.Reader(http.NoBody)
		if c.method == http.MethodPost {
			body = strings.NewReader("{}")
		}
		r, err := http.NewRequest(c.method, server.URL+c.path, body)
		if err != nil {
			t.Fatal(err)
		}
		resp, err := http.DefaultClient.Do(r)
		if err != nil {
			t.Fatal(err)
		}
		text, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		if err != nil {
			t.Errorf("%s: %v", c.name, err)
		}
		fmt.Fprintf(&all, "# %s\n%sclose: %t\n\n", c.name, testkit.DumpResponse(resp, string(text)), resp.Close)
	}
	testkit.CheckGolden(t, *update, "guard.golden", all.String())
}
