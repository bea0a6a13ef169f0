package faultbench

import (
	"cmp"

	"rampspread/internal/faultbench/deployment"
	"rampspread/internal/faultbench/replica"
)

// settings returns the platform's settings object for one dispatcher, with the keys of the wire format.
func (r *Run) settings(d int) map[string]any {
	p := r.deployment
	var classes []map[string]any
	var objectives, tokens []float64
	for _, c := range p.Classes {
		entry := map[string]any{"name": c.Name, "effect": c.Effect, "importance": c.Weight, "promiseMs": c.TTFTObjective.Milliseconds(),
			"hardLimitMs": c.Deadline.Milliseconds(), "lateWorth": 0.1, "streaming": true, "group": "all", "windowMs": 5000}
		if c.Effect == deployment.Deduplicated {
			entry["group"], entry["windowMs"] = c.DedupScope, c.DedupWindow.Milliseconds()
		}
		classes = append(classes, entry)
		objectives = append(objectives, 40_000)
		tokens = append(tokens, float64(c.TokenInterval.Milliseconds()))
	}
	var kinds, stages []string
	for _, k := range p.Kinds {
		kinds, stages = append(kinds, k.Name), append(stages, map[bool]string{false: "read", true: "write"}[k.Decode])
	}
	tenants := []map[string]any{} // an empty list, since null counts as absent
	for _, name := range p.Tenants {
		tenants = append(tenants, map[string]any{"name": name, "quotaPerS": r.scenario.Rate / float64(len(p.Tenants)), "fraction": 1 / float64(len(p.Tenants))})
	}
	telemetry := map[string]any{"fields": []string{}, "how": "silent"}
	if p.LoadReports {
		telemetry = map[string]any{"fields": []string{"util", "queue", "x0"}, "how": "pull"}
	}
	return map[string]any{
		"az": d % max(len(p.Zones), 1), "me": d, "zones": append([]string{}, p.Zones...), "classes": classes, "parties": tenants,
		"balancers": cmp.Or(r.options.AdvertisedDispatchers, p.FleetSize, len(r.dispatchers)),
		"kinds":     kinds, "discovery": map[bool]string{false: "ask", true: "push"}[p.EndpointsPushed], "family": "twostage",
		"familyInfo": map[string]any{"aimUsPer1000PromptTokens": objectives, "dutyByKind": stages,
			"localRead": false, "releaseWithinMs": p.ReleaseTimeout.Milliseconds(), "tokenAimMs": tokens, "resume": false},
		"limits": map[string]any{"cancelling": true, "connIdleMs": 15000, "connectTimeoutMs": p.ConnectTimeout.Milliseconds(), "maxRetryAfterMs": 500,
			"mostHeld": 20000, "mostTries": r.dispatchers[d].maxAttempts, "probing": p.LoadPolls, "retryAfter": p.RetryAfter, "secondCopies": true},
		"rules": map[string]any{"answerSlackMs": 8, "coldFrom": r.rules.InitialCapacity, "coldMs": replica.SlowStartDuration.Milliseconds(),
			"fallMultiple": r.rules.OverloadMultiple, "stopSendingWithinMs": p.DrainNotice.Milliseconds(), "tipAfterMs": r.rules.OverloadWindow.Milliseconds()},
		"telemetry": telemetry,
	}
}
