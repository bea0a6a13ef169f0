package faultbench

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"os"

	"rampspread/internal/faultbench/deployment"
	"rampspread/internal/faultbench/history"
	"rampspread/internal/faultbench/scenario"
)

// Demo is a fleet with the chat API for people to try. It runs until Close.
type Demo struct{ run *Run }

// chatPort is the port of each dispatcher's chat API. The dispatchers have different addresses.
const chatPort = 8080

// StartDemo starts the simulated replicas and discovery, and the dispatchers. The replicas answer requests from any
// client.
func StartDemo(ctx context.Context, o Options) (*Demo, error) {
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	r := &Run{scenario: &scenario.Scenario{Name: "demo", Zones: 3, PrefillReplicas: 3, DecodeReplicas: 3}, options: o, history: history.NewRecorder(),

		rules: history.Rules{OverloadMultiple: deployment.OverloadMultiple, OverloadWindow: deployment.OverloadWindow,
			InitialCapacity: deployment.InitialCapacity}, acceptAnyRequest: true}
	dir, err := os.MkdirTemp("", "fleetrig-")
	if err != nil {
		return nil, fmt.Errorf("demo: %w", err)
	}
	r.dir = dir
	d := &Demo{r}
	if err := r.start(ctx); err != nil {
		d.Close()
		return nil, err
	}
	return d, nil
}

// Close stops everything that StartDemo started and removes its files.
func (d *Demo) Close() {
	d.run.close()
	os.RemoveAll(d.run.dir)
}

// Commands returns two shell commands: one sends a request to the first dispatcher, and one checks the state of that
// dispatcher.
func (d *Demo) Commands() []string {
	chat := d.run.addrs.chat(0)
	return []string{
		fmt.Sprintf(`curl -N %s/v1/chat/completions -d '{"model":"question","stream":true,"messages":[{"role":"user","content":"Who owns plot 7?"}]}'`, chat),
		fmt.Sprintf(`%s call -at %s check`, d.run.options.Program, d.run.addrs.admin(0)),
	}
}

// chatFile writes a dispatcher's configuration of the chat API and returns the file's path.
func (r *Run) chatFile(d int) (string, error) {
	models := map[string]string{}
	for _, c := range r.deployment.Classes {
		models[c.Name] = c.Name
	}
	return r.writeFile(fmt.Sprintf("n%d.chat.json", d), map[string]any{"listen": r.addrs.chat(d), "models": models,
		"max_tokens": 100, "filings": map[string]any{"entries": 1000, "keep_s": 3600}})
}

// unregisteredRequest returns the simulated request for a call that no client of the bench has registered, or nil if
// the replicas must reject it.
func (r *Run) unregisteredRequest(q *http.Request, body []byte) *deployment.Request {
	var call struct{ Model string }
	if !r.acceptAnyRequest || json.Unmarshal(body, &call) != nil {
		return nil
	}
	for _, c := range r.deployment.Classes {
		if c.Name == call.Model {
			id := q.Header.Get("X-Trace-Id")
			if !c.Repeatable {
				id = string(body) // calls with equal bodies count as the same request
			}
			return &deployment.Request{Group: id, Class: c, Session: id, PromptTokens: 100, OutputTokens: c.OutputTokens, Body: string(body)}
		}
	}
	return nil
}
