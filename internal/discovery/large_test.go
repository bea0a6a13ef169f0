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

// maxReplicas is the largest number of replicas in the operators' acceptance gate, plus a margin because entries may be
// longer than usual.
const maxReplicas = 3200

// The largest list must be read completely, both from a list call and on a watch, even if it is indented and has long
// names and numbers.
func TestLargestListIsReadWholeWhenIndented(t *testing.T) {
	var entries []string
	for i := range maxReplicas {
		entries = append(entries, fmt.Sprintf(`{"instanceId":"s-%016x-%04d","hostPort":"127.123.123.123:%d","zone":"wien","machineType":"prefill","cell":%d,`+
			`"lifecycle":"ready","weight":0.9382716049382716,"startedAtMs":1700000000000.123}`, i, i, 10000+i, i))
	}
	var text bytes.Buffer
	if err := json.Indent(&text, []byte(listJSON(7, true, entries...)), "", "        "); err != nil {
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
				w.Apply(discovery.List{Generation: 1, Instances: []json.RawMessage{[]byte(entryJSON("s1", "ready"))}}, true)
				<-got
			}
			ctx, stop := context.WithCancel(t.Context())
			done := make(chan struct{})
			go func() { defer close(done); w.Run(ctx) }()
			defer func() { stop(); <-done }()
			select {
			case n := <-got:
				if n != maxReplicas {
					t.Errorf("%d entries of %d", n, maxReplicas)
				}
			case <-time.After(10 * time.Second):
				t.Fatalf("a list of %d bytes was not passed on; %d malformed", text.Len(), w.Malformed())
			}
		})
	}
}
