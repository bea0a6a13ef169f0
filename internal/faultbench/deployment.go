package faultbench

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"rampspread/internal/faultbench/history"
)

// deployment is what the settings of a run's dispatchers say of the service, and what its stand-ins hold to.
type deployment struct {
	classes []*class
	zones   []string // by number; none: the settings have none, and all is in one
	kinds   []kind
	tenants []string
	pushed  bool // lists come by an agent
	reports bool // replicas tell their load, in answers too
	probes  bool // and may be asked for it
	tries   int
	fleet   int           // dispatchers that the settings tell of, of which a run starts some; 0: as many as it starts
	connect time.Duration // a connection may take so long
	binds   time.Duration // news of a drain has to bind
	release time.Duration // what is held has to be let go
	retry   bool          // clients heed when to come back
	spaced  bool          // lists come indented
}

// kind is one kind of server.
type kind struct {
	name   string
	writer bool
}

// usual is the deployment that the rig's scenarios were made for.
func usual(zones int) *deployment {
	d := &deployment{classes: classes, kinds: []kind{{"reader", false}, {"writer", true}}, pushed: true, reports: true, probes: true,
		tries: triesUsual, connect: 250 * time.Millisecond, binds: 500 * time.Millisecond, release: 300 * time.Millisecond, retry: true}
	for z := range zones {
		d.zones = append(d.zones, fmt.Sprintf("zone-%c", 'a'+z))
	}
	return d
}

// drawDeployment draws another one, legal by the wire page: names, effects, deadlines, zones, kinds, tenants, limits, how
// lists come, and whether there are probes and reports.
func drawDeployment(zones int, seed uint64) *deployment {
	rng := rand.New(rand.NewPCG(seed, 0xde91))
	word := func(prefix string) string { return prefix + "-" + strconv.FormatUint(rng.Uint64()>>40, 36) }
	between := func(from, to float64) time.Duration { return seconds(from + rng.Float64()*(to-from)) }
	d := &deployment{pushed: rng.IntN(3) > 0, reports: rng.IntN(3) > 0, probes: rng.IntN(2) == 0, tries: 2 + rng.IntN(4),
		connect: between(0.1, 1), binds: between(0.3, 2), release: between(0.2, 0.6), retry: rng.IntN(2) == 0, spaced: rng.IntN(2) == 0}
	effects := []string{"retryable", "fragile", []string{"dedup", "retryable", "fragile"}[rng.IntN(3)]}
	rng.Shuffle(len(effects), func(i, j int) { effects[i], effects[j] = effects[j], effects[i] })
	for _, effect := range effects {
		deadline := between(1.5, 9)
		c := &class{name: word("class"), effect: effect, share: 1 / float64(len(effects)), worth: 1 + float64(rng.IntN(3)), safe: effect == "retryable",
			deadline: deadline, aim: deadline / time.Duration(3+rng.IntN(3)), token: between(0.05, 0.1),
			prompt: 1500 + rng.IntN(3000), output: 20 + rng.IntN(40), turns: 1 + rng.IntN(4)}
		if effect == "dedup" {
			c.group, c.window = []string{"all", "zone", "cell"}[rng.IntN(3)], between(0.5, 4)
		}
		d.classes = append(d.classes, c)
	}
	for z := 0; z < zones && rng.IntN(4) > 0 || z > 0 && z < zones; z++ {
		d.zones = append(d.zones, word("zone"))
	}
	d.kinds = []kind{{word("kind"), false}, {word("kind"), true}}
	if rng.IntN(2) == 0 {
		d.kinds = append(d.kinds, kind{word("kind"), rng.IntN(2) == 0})
	}
	rng.Shuffle(len(d.kinds), func(i, j int) { d.kinds[i], d.kinds[j] = d.kinds[j], d.kinds[i] })
	for range rng.IntN(3) {
		d.tenants = append(d.tenants, word("tenant"))
	}
	if rng.IntN(2) == 0 {
		d.fleet = 350 // what the operators' days have at the most
	}
	return d
}

// tenantLine is the head's line that names a client's tenant; a zone's clients are one tenant's.
func (d *deployment) tenantLine(zone int) string {
	if len(d.tenants) == 0 {
		return ""
	}
	return "X-Customer: " + d.tenants[zone%len(d.tenants)] + "\r\n"
}

// zone is the name of a zone's number.
func (d *deployment) zone(n int) string {
	if n < len(d.zones) {
		return d.zones[n]
	}
	return ""
}

// kindOf is the name of the kind of a replica, which share the kinds of their role in turn.
func (d *deployment) kindOf(r *replica) string {
	var own []string
	for _, k := range d.kinds {
		if k.writer == r.writer {
			own = append(own, k.name)
		}
	}
	return own[r.index%len(own)]
}

// alike tells whether two replicas drop each other's repeats of a class.
func (d *deployment) alike(c *class, a, b *replica) bool {
	return c.group == "all" || len(d.zones) == 0 && c.group == "zone" || a.zone == b.zone // a zone of the rig is one cell
}

// rules are the figures that the checker holds the dispatchers to.
func (d *deployment) rules(replicas func(name string) *replica) history.Rules {
	r := history.Rules{AnswerSlack: 58 * time.Millisecond, DrainWithin: d.binds + 50*time.Millisecond, ReleaseAfter: d.release + 300*time.Millisecond,
		OverloadMultiple: 2.5, OverloadWindow: 2 * time.Second, InitialCapacity: 0.34, Slack: 150 * time.Millisecond, Deduplicated: map[string]history.Deduplication{}}
	r.LongestDeadline = d.longest()
	for _, c := range d.classes {
		switch c.effect {
		case "fragile":
			r.NonIdempotent = append(r.NonIdempotent, c.name)
		case "dedup":
			r.Deduplicated[c.name] = history.Deduplication{Window: c.window, AllReplicas: c.group == "all",
				SameDomain: func(a, b string) bool { return d.alike(c, replicas(a), replicas(b)) }}
		}
	}
	return r
}

// longest is the longest deadline of any class.
func (d *deployment) longest() (most time.Duration) {
	for _, c := range d.classes {
		most = max(most, c.deadline)
	}
	return most
}

// killAfter is the earliest moment after SIGTERM in which SIGKILL may come.
func (d *deployment) killAfter() time.Duration { return min(d.longest(), killMost) + killMore }

// settings is the platform's object for one dispatcher.
func (r *Run) settings(d int) map[string]any {
	p := r.deployment
	var table []map[string]any
	var aims, tokens []float64
	for _, c := range p.classes {
		entry := map[string]any{"name": c.name, "effect": c.effect, "importance": c.worth, "promiseMs": c.aim.Milliseconds(),
			"hardLimitMs": c.deadline.Milliseconds(), "lateWorth": 0.1, "streaming": true, "group": "all", "windowMs": 5000}
		if c.effect == "dedup" {
			entry["group"], entry["windowMs"] = c.group, c.window.Milliseconds()
		}
		table = append(table, entry)
		aims = append(aims, 40_000)
		tokens = append(tokens, float64(c.token.Milliseconds()))
	}
	var kinds, duties []string
	for _, k := range p.kinds {
		kinds, duties = append(kinds, k.name), append(duties, map[bool]string{false: "read", true: "write"}[k.writer])
	}
	var parties []map[string]any
	for _, name := range p.tenants {
		parties = append(parties, map[string]any{"name": name, "quotaPerS": r.scenario.Rate / float64(len(p.tenants)), "fraction": 1 / float64(len(p.tenants))})
	}
	telemetry := map[string]any{"fields": []string{}, "how": "silent"}
	if p.reports {
		telemetry = map[string]any{"fields": []string{"util", "queue", "x0"}, "how": "pull"}
	}
	return map[string]any{
		"az": d % max(len(p.zones), 1), "balancers": cmp.Or(r.options.Told, p.fleet, len(r.procs)), "me": d, "zones": p.zones, "classes": table, "parties": parties,
		"kinds": kinds, "discovery": map[bool]string{false: "ask", true: "push"}[p.pushed], "family": "twostage",
		"familyInfo": map[string]any{"aimUsPer1000PromptTokens": aims, "dutyByKind": duties,
			"localRead": false, "releaseWithinMs": p.release.Milliseconds(), "tokenAimMs": tokens, "resume": false},
		"limits": map[string]any{"cancelling": true, "connIdleMs": 15000, "connectTimeoutMs": p.connect.Milliseconds(), "maxRetryAfterMs": 500,
			"mostHeld": 20000, "mostTries": r.procs[d].tries, "probing": p.probes, "retryAfter": p.retry, "secondCopies": true},
		"rules": map[string]any{"answerSlackMs": 8, "coldFrom": r.rules.InitialCapacity, "coldMs": warmAfter.Milliseconds(),
			"fallMultiple": r.rules.OverloadMultiple, "stopSendingWithinMs": p.binds.Milliseconds(), "tipAfterMs": r.rules.OverloadWindow.Milliseconds()},
		"telemetry": telemetry,
	}
}

// drawDay draws a short day of faults for a deployment: news of drains that come beside lost watches, hanging servers,
// kills, restarts and new configurations.
func drawDay(seed uint64) *Scenario {
	rng := rand.New(rand.NewPCG(seed, 0xda4))
	s := &Scenario{Name: fmt.Sprintf("drawn-%d", seed), Seconds: 13, Rate: 14, Zones: 1 + rng.IntN(3), Readers: 4 + rng.IntN(3), Writers: 4 + rng.IntN(3)}
	lost := []Fault{{At: 2, Do: "watch-silent", Part: 1}, {At: 3.5, Do: "reset", Links: "discovery", Part: 1}, {At: 1.5, Do: "discovery-silent", For: 3}}
	s.Faults = append(s.Faults, lost[seed%3], Fault{At: 3.6 + rng.Float64(), Do: "replica-drain", Part: 0.3, For: 7})
	menu := []Fault{{At: 5, Do: "replica-hang", Part: 0.25, For: 4}, {At: 5, Do: "kill", Part: 0.4, For: 0.5}, {At: 6, Do: "term", For: 0.3},
		{At: 5, Do: "move", Part: 1}, {At: 4, Do: "replica-kill", Part: 0.15, For: 3}, {At: 6, Do: "reset", Links: "replicas", Part: 0.7},
		{At: 4, Do: "links", Links: "replicas", Way: "to", DelayMS: 300, Part: 0.5, For: 4}, {At: 5, Do: "replica-slow", Part: 0.2, Factor: 8, For: 4}}
	for _, i := range rng.Perm(len(menu))[:3] {
		s.Faults = append(s.Faults, menu[i])
	}
	slices.SortFunc(s.Faults, func(a, b Fault) int { return int(1000 * (a.At - b.At)) })
	return s
}
