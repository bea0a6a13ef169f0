package main

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// A request can be decoded only once, only after its prefill, and not after its state was released.
func TestDecodeNeedsStateOfPrefill(t *testing.T) {
	fleet := newToy("127.0.0.1:1", "127.0.0.1:2")
	call := func(handler http.HandlerFunc, method, path string) (int, string) {
		r := httptest.NewRequest(method, path, strings.NewReader(`{"messages":[{"role":"user","content":"plot 7"}]}`))
		r.Header.Set(traceHeader, "a1")
		w := httptest.NewRecorder()
		handler(w, r)
		body, _ := io.ReadAll(w.Result().Body)
		return w.Code, string(body)
	}
	const completions, state = "/v1/chat/completions", statePath + "a1"
	for i, step := range []struct {
		name       string
		handler    http.HandlerFunc
		method     string
		path       string
		wantStatus int
		wantBody   string
	}{
		{"list of endpoints", fleet.serveDiscovery, "GET", "/v1/servers", 200, `"hostPort":"127.0.0.1:2"`},
		{"decode without prefill", fleet.decode, "POST", completions, 410, ""},
		{"prefill", fleet.prefill, "POST", completions, 202, "cached_tokens"},
		{"decode", fleet.decode, "POST", completions, 200, `"content":"7 "},"finish_reason":"stop"`},
		{"prefill again", fleet.prefill, "POST", completions, 202, ""},
		{"release", fleet.decode, "DELETE", state, 204, ""},
		{"decode after release", fleet.decode, "POST", completions, 410, ""},
	} {
		status, body := call(step.handler, step.method, step.path)
		if status != step.wantStatus || !strings.Contains(body, step.wantBody) {
			t.Errorf("step %d, %s: status %d, %q", i, step.name, status, body)
		}
	}
}
