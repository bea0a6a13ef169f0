package connlimit_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"rampspread/internal/connlimit"
	"rampspread/internal/testutil"
	"rampspread/internal/testutil/golden"
)

// This test guards against an unintended change of the answers in normal operation, during an operator's drain and at
// shutdown.
func TestGoldenLimiter(t *testing.T) {
	next := func(w http.ResponseWriter, r *http.Request) {
		if _, status, err := connlimit.ReadBody(w, r); err != nil {
			http.Error(w, err.Error(), status)
		}
	}
	var all strings.Builder
	for _, c := range []struct {
		name, method, path string
		setUp              func(*connlimit.Lifecycle)
	}{
		{"health while serving", http.MethodGet, "/healthz", func(*connlimit.Lifecycle) {}},
		{"health while draining", http.MethodGet, "/healthz", func(l *connlimit.Lifecycle) { l.Drain.Begin(time.Now()) }},
		{"health while stopping", http.MethodGet, "/healthz", func(l *connlimit.Lifecycle) { l.Stopping.Store(true) }},
		{"a call too late before the end", http.MethodPost, "/", func(l *connlimit.Lifecycle) {
			l.Stopping.Store(true)
			l.RejectNew.Store(true)
		}},
		{"a call long after a drain began", http.MethodPost, "/", func(l *connlimit.Lifecycle) {
			l.Drain.Begin(time.Now().Add(-time.Hour))
		}},
	} {
		lifecycle := &connlimit.Lifecycle{}
		c.setUp(lifecycle)
		_, server := newLimitedServer(t, 1<<20, lifecycle, next)
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
		fmt.Fprintf(&all, "# %s\n%sclose: %t\n\n", c.name, testutil.DumpResponse(resp, string(text)), resp.Close)
	}
	golden.Text(t, "guard.golden", all.String())
}
