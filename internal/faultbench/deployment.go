package faultbench

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"rampspread/internal/faultbench/history"
	"rampspread/internal/faultbench/scenario"
)

// Deployment is what the settings of a run's dispatchers say of the service, and what its stand-ins hold to.
type Deployment struct {
	Classes         []*Class
	Zones           []string // by number; none: the settings have none, and all is in one
	Kinds           []Kind
	Tenants         []string
	EndpointsPushed bool // lists come by an agent
	LoadReports     bool // replicas tell their load, in answers too
	LoadPolls       bool // and may be asked for it
	MaxAttempts     int
	FleetSize       int           // dispatchers that the settings tell of, of which a run starts some; 0: as many as it starts
	ConnectTimeout  time.Duration // a connection may take so long
	DrainNotice     time.Duration // news of a drain has to bind
	ReleaseTimeout  time.Duration // what is held has to be let go
	RetryAfter      bool          // clients heed when to come back
	IndentedLists   bool          // lists come indented
}

// Kind is one Kind of server.
type Kind struct {
	Name   string
	Decode bool
}

// Default is the deployment that the rig's scenarios were made for.
func Default(zones int) *Deployment {
	d := &Deployment{Classes: defaultClasses, Kinds: []Kind{{"reader", false}, {"writer", true}}, EndpointsPushed: true, LoadReports: true, LoadPolls: true,
		MaxAttempts: DefaultMaxAttempts, ConnectTimeout: 250 * time.Millisecond, DrainNotice: 500 * time.Millisecond, ReleaseTimeout: 300 * time.Millisecond, RetryAfter: true}
	for z := range zones {
		d.Zones = append(d.Zones, fmt.Sprintf("zone-%c", 'a'+z))
	}
	return d
}

// DrawDeployment draws another one, legal by the wire page: names, effects, deadlines, zones, kinds, tenants, limits, how
// lists come, and whether there are probes and reports.
func DrawDeployment(zones int, seed uint64) *Deployment {
	rng := rand.New(rand.NewPCG(seed, 0xde91))
	word := func(prefix string) string { return prefix + "-" + strconv.FormatUint(rng.Uint64()>>40, 36) }
	between := func(from, to float64) time.Duration { return scenario.Seconds(from + rng.Float64()*(to-from)) }
	d := &Deployment{EndpointsPushed: rng.IntN(3) > 0, LoadReports: rng.IntN(3) > 0, LoadPolls: rng.IntN(2) == 0, MaxAttempts: 2 + rng.IntN(4),
		ConnectTimeout: between(0.1, 1), DrainNotice: between(0.3, 2), ReleaseTimeout: between(0.2, 0.6), RetryAfter: rng.IntN(2) == 0, IndentedLists: rng.IntN(2) == 0}
	effects := []string{"retryable", "fragile", []string{"dedup", "retryable", "fragile"}[rng.IntN(3)]}
	rng.Shuffle(len(effects), func(i, j int) { effects[i], effects[j] = effects[j], effects[i] })
	for _, effect := range effects {
		deadline := between(1.5, 9)
		c := &Class{Name: word("class"), Effect: effect, SessionShare: 1 / float64(len(effects)), Weight: 1 + float64(rng.IntN(3)), Repeatable: effect == "retryable",
			Deadline: deadline, TTFTObjective: deadline / time.Duration(3+rng.IntN(3)), TokenInterval: between(0.05, 0.1),
			PromptTokens: 1500 + rng.IntN(3000), OutputTokens: 20 + rng.IntN(40), Turns: 1 + rng.IntN(4)}
		if effect == "dedup" {
			c.DedupScope, c.DedupWindow = []string{"all", "zone", "cell"}[rng.IntN(3)], between(0.5, 4)
		}
		d.Classes = append(d.Classes, c)
	}
	for z := 0; z < zones && rng.IntN(4) > 0 || z > 0 && z < zones; z++ {
		d.Zones = append(d.Zones, word("zone"))
	}
	d.Kinds = []Kind{{word("kind"), false}, {word("kind"), true}}
	if rng.IntN(2) == 0 {
		d.Kinds = append(d.Kinds, Kind{word("kind"), rng.IntN(2) == 0})
	}
	rng.Shuffle(len(d.Kinds), func(i, j int) { d.Kinds[i], d.Kinds[j] = d.Kinds[j], d.Kinds[i] })
	for range rng.IntN(3) {
		d.Tenants = append(d.Tenants, word("tenant"))
	}
	if rng.IntN(2) == 0 {
		d.FleetSize = 350 // what the operators' days have at the most
	}
	return d
}

// TenantHeader is the head's line that names a client's tenant; a zone's clients are one tenant's.
func (d *Deployment) TenantHeader(zone int) string {
	if len(d.Tenants) == 0 {
		return ""
	}
	return "X-Customer: " + d.Tenants[zone%len(d.Tenants)] + "\r\n"
}

// ZoneName is the name of a ZoneName's number.
func (d *Deployment) ZoneName(n int) string {
	if n < len(d.Zones) {
		return d.Zones[n]
	}
	return ""
}

// KindOf is the name of the kind of a replica, which share the kinds of their role in turn.
func (d *Deployment) KindOf(r *Replica) string {
	var own []string
	for _, k := range d.Kinds {
		if k.Decode == r.Decode {
			own = append(own, k.Name)
		}
	}
	return own[r.Index%len(own)]
}

// sameDedupDomain tells whether two replicas drop each other's repeats of a class.
func (d *Deployment) sameDedupDomain(c *Class, a, b *Replica) bool {
	return c.DedupScope == "all" || len(d.Zones) == 0 && c.DedupScope == "zone" || a.Zone == b.Zone // a zone of the rig is one cell
}

// Rules are the figures that the checker holds the dispatchers to.
func (d *Deployment) Rules(replicas func(name string) *Replica) history.Rules {
	r := history.Rules{AnswerSlack: 58 * time.Millisecond, DrainWithin: d.DrainNotice + 50*time.Millisecond, ReleaseAfter: d.ReleaseTimeout + 300*time.Millisecond,
		OverloadMultiple: 2.5, OverloadWindow: 2 * time.Second, InitialCapacity: 0.34, Slack: 150 * time.Millisecond, Deduplicated: map[string]history.Deduplication{}}
	r.LongestDeadline = d.LongestDeadline()
	for _, c := range d.Classes {
		switch c.Effect {
		case "fragile":
			r.NonIdempotent = append(r.NonIdempotent, c.Name)
		case "dedup":
			r.Deduplicated[c.Name] = history.Deduplication{Window: c.DedupWindow, AllReplicas: c.DedupScope == "all",
				SameDomain: func(a, b string) bool { return d.sameDedupDomain(c, replicas(a), replicas(b)) }}
		}
	}
	return r
}

// LongestDeadline is the LongestDeadline deadline of any class.
func (d *Deployment) LongestDeadline() (most time.Duration) {
	for _, c := range d.Classes {
		most = max(most, c.Deadline)
	}
	return most
}

// KillAfter is the earliest moment after SIGTERM in which SIGKILL may come.
func (d *Deployment) KillAfter() time.Duration {
	return min(d.LongestDeadline(), maxKillDelay) + killDelayMargin
}

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
			"mostHeld": 20000, "mostTries": r.dispatchers[d].tries, "probing": p.LoadPolls, "retryAfter": p.RetryAfter, "secondCopies": true},
		"rules": map[string]any{"answerSlackMs": 8, "coldFrom": r.rules.InitialCapacity, "coldMs": SlowStartDuration.Milliseconds(),
			"fallMultiple": r.rules.OverloadMultiple, "stopSendingWithinMs": p.DrainNotice.Milliseconds(), "tipAfterMs": r.rules.OverloadWindow.Milliseconds()},
		"telemetry": telemetry,
	}
}
