package main

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// The toy keeps the platform's order: what was not read cannot be written.
func TestToy(t *testing.T) {
	fleet := newToy("127.0.0.1:1", "127.0.0.1:2")
	do := func(h http.HandlerFunc, method, path string) (int, string) {
		r := httptest.NewRequest(method, path, strings.NewReader(`{"messages":[{"role":"user","content":"plot 7"}]}`))
		r.Header.Set("X-Trace-Id", "a1")
		w := httptest.NewRecorder()
		h(w, r)
		text, _ := io.ReadAll(w.Result().Body)
		return w.Code, string(text)
	}
	const path, room = "/v1/chat/completions", "/bootstrap/rooms/a1"
	for i, c := range []struct {
		h      http.HandlerFunc
		method string
		path   string
		status int
		text   string
	}{
		{fleet.list, "GET", "/v1/servers", 200, `"hostPort":"127.0.0.1:2"`},
		{fleet.write, "POST", path, 410, ""},
		{fleet.read, "POST", path, 202, "cached_tokens"},
		{fleet.write, "POST", path, 200, `"content":"7 "},"finish_reason":"stop"`},
		{fleet.read, "POST", path, 202, ""},
		{fleet.write, "DELETE", room, 204, ""},
		{fleet.write, "POST", path, 410, ""},
	} {
		if status, text := do(c.h, c.method, c.path); status != c.status || !strings.Contains(text, c.text) {
			t.Errorf("step %d: status %d, %q", i, status, text)
		}
	}
}
