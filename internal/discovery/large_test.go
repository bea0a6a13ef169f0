package discovery_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"rampspread/internal/discovery"
	"rampspread/internal/dispatch"
	"rampspread/internal/testutil"
)

// largest is the most replicas in the operators' acceptance gate, and some more because its entries may be longer than usual.
const largest = 3200

// The largest list is read whole when it comes indented, with long names and figures, by a call and on a watch.
func TestLargestListIsReadWholeWhenIndented(t *testing.T) {
	var entries []string
	for i := range largest {
		entries = append(entries, fmt.Sprintf(`{"instanceId":"s-%016x-%04d","hostPort":"127.123.123.123:%d","zone":"wien","machineType":"prefill","cell":%d,`+
			`"lifecycle":"ready","weight":0.9382716049382716,"startedAtMs":1700000000000.123}`, i, i, 10000+i, i))
	}
	var text bytes.Buffer
	if err := json.Indent(&text, []byte(list(7, true, entries...)), "", "        "); err != nil {
		t.Fatal(err)
	}
	for _, mode := range []string{"call", "watch"} {
		t.Run(mode, func(t *testing.T) {
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Query().Get("stream") == "" {
					w.Write(text.Bytes())
					return
				}
				if mode == "watch" {
					w.Write(append(text.Bytes(), '\n'))
					http.NewResponseController(w).Flush()
				}
				<-r.Context().Done()
			}))
			defer func() { s.CloseClientConnections(); s.Close() }()
			got := make(chan int, 64)
			w := discovery.New(s.Listener.Addr().String(), testutil.Settings(t), 1, func(_ bool, e []dispatch.Endpoint) { got <- len(e) })
			if mode == "watch" {
				w.Apply(discovery.List{Generation: 1, Instances: []json.RawMessage{[]byte(entry("s1", "ready"))}}, true)
				<-got
			}
			ctx, stop := context.WithCancel(t.Context())
			done := make(chan struct{})
			go func() { defer close(done); w.Run(ctx) }()
			defer func() { stop(); <-done }()
			select {
			case n := <-got:
				if n != largest {
					t.Errorf("%d entries of %d", n, largest)
				}
			case <-time.After(10 * time.Second):
				t.Fatalf("a list of %d bytes did not come; %d made no sense", text.Len(), w.Malformed())
			}
		})
	}
}
