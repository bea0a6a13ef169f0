package faultbench

import (
	"cmp"

	"rampspread/internal/faultbench/replica"
)

// settings is the platform's object for one dispatcher.
func (r *Run) settings(d int) map[string]any {
	p := r.deployment
	var table []map[string]any
	var aims, tokens []float64
	for _, c := range p.Classes {
		entry := map[string]any{"name": c.Name, "effect": c.Effect, "importance": c.Weight, "promiseMs": c.TTFTObjective.Milliseconds(),
			"hardLimitMs": c.Deadline.Milliseconds(), "lateWorth": 0.1, "streaming": true, "group": "all", "windowMs": 5000}
		if c.Effect == "dedup" {
			entry["group"], entry["windowMs"] = c.DedupScope, c.DedupWindow.Milliseconds()
		}
		table = append(table, entry)
		aims = append(aims, 40_000)
		tokens = append(tokens, float64(c.TokenInterval.Milliseconds()))
	}
	var kinds, duties []string
	for _, k := range p.Kinds {
		kinds, duties = append(kinds, k.Name), append(duties, map[bool]string{false: "read", true: "write"}[k.Decode])
	}
	var parties []map[string]any
	for _, name := range p.Tenants {
		parties = append(parties, map[string]any{"name": name, "quotaPerS": r.scenario.Rate / float64(len(p.Tenants)), "fraction": 1 / float64(len(p.Tenants))})
	}
	telemetry := map[string]any{"fields": []string{}, "how": "silent"}
	if p.LoadReports {
		telemetry = map[string]any{"fields": []string{"util", "queue", "x0"}, "how": "pull"}
	}
	return map[string]any{
		"az": d % max(len(p.Zones), 1), "balancers": cmp.Or(r.options.AdvertisedDispatchers, p.FleetSize, len(r.dispatchers)), "me": d, "zones": p.Zones, "classes": table, "parties": parties,
		"kinds": kinds, "discovery": map[bool]string{false: "ask", true: "push"}[p.EndpointsPushed], "family": "twostage",
		"familyInfo": map[string]any{"aimUsPer1000PromptTokens": aims, "dutyByKind": duties,
			"localRead": false, "releaseWithinMs": p.ReleaseTimeout.Milliseconds(), "tokenAimMs": tokens, "resume": false},
		"limits": map[string]any{"cancelling": true, "connIdleMs": 15000, "connectTimeoutMs": p.ConnectTimeout.Milliseconds(), "maxRetryAfterMs": 500,
			"mostHeld": 20000, "mostTries": r.dispatchers[d].maxAttempts, "probing": p.LoadPolls, "retryAfter": p.RetryAfter, "secondCopies": true},
		"rules": map[string]any{"answerSlackMs": 8, "coldFrom": r.rules.InitialCapacity, "coldMs": replica.SlowStartDuration.Milliseconds(),
			"fallMultiple": r.rules.OverloadMultiple, "stopSendingWithinMs": p.DrainNotice.Milliseconds(), "tipAfterMs": r.rules.OverloadWindow.Milliseconds()},
		"telemetry": telemetry,
	}
}
