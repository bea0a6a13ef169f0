package deployment

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"rampspread/internal/faultbench/scenario"
)

// Deployment is the service that the dispatchers' settings describe and that the simulated parties imitate.
type Deployment struct {
	Classes         []*Class
	Zones           []string // names by index; if empty, the settings have no zones and all replicas are in one
	Kinds           []Kind
	Tenants         []string
	EndpointsPushed bool // an agent pushes the endpoint lists
	LoadReports     bool // the settings describe load reports, and answers to load polls contain them
	LoadPolls       bool // replicas answer load polls, with their load if LoadReports is set; if false, with status 404
	MaxAttempts     int
	FleetSize       int // number of dispatchers that the settings announce; 0 means the number that the run starts
	ConnectTimeout  time.Duration
	DrainNotice     time.Duration // time within which a dispatcher must stop sending to a draining replica
	ReleaseTimeout  time.Duration // time within which reservations must be released
	RetryAfter      bool          // clients obey Retry-After
	IndentedLists   bool          // endpoint lists are indented JSON
}

// Kind is one kind of replica.
type Kind struct {
	Name   string
	Decode bool // true for a decode replica, false for a prefill replica
}

// Limits on attempts in the dispatchers' settings.
const (
	DefaultMaxAttempts = 4
	ChangedMaxAttempts = 3 // after a change of the settings
)

const (
	// SIGKILL follows SIGTERM after the longest deadline or maxKillDelay, whichever is shorter, plus killDelayMargin.
	maxKillDelay    = 3 * time.Second
	killDelayMargin = 700 * time.Millisecond
)

// Default returns the deployment for which the built-in scenarios are made.
func Default(zones int) *Deployment {
	d := &Deployment{Classes: defaultClasses, Kinds: []Kind{{"reader", false}, {"writer", true}}, EndpointsPushed: true,
		LoadReports: true, LoadPolls: true, MaxAttempts: DefaultMaxAttempts, ConnectTimeout: 250 * time.Millisecond,
		DrainNotice: 500 * time.Millisecond, ReleaseTimeout: 300 * time.Millisecond, RetryAfter: true}
	for z := range zones {
		d.Zones = append(d.Zones, fmt.Sprintf("zone-%c", 'a'+z))
	}
	return d
}

// deploymentStream is the stream of the random generator that draws deployments.
const deploymentStream = 0xde91

// largestFleet is the size of the largest fleet that the operators test.
const largestFleet = 350

// Draw draws a deployment that the wire protocol allows: names, effects, deadlines, zones, kinds, tenants, limits, how
// endpoint lists are sent, and whether there are load polls and load reports.
func Draw(zones int, seed uint64) *Deployment {
	rng := rand.New(rand.NewPCG(seed, deploymentStream))
	d := &Deployment{EndpointsPushed: rng.IntN(3) > 0, LoadReports: rng.IntN(3) > 0, LoadPolls: rng.IntN(2) == 0,
		MaxAttempts: 2 + rng.IntN(4), ConnectTimeout: drawDuration(rng, 0.1, 1), DrainNotice: drawDuration(rng, 0.3, 2),
		ReleaseTimeout: drawDuration(rng, 0.2, 0.6), RetryAfter: rng.IntN(2) == 0, IndentedLists: rng.IntN(2) == 0}
	d.Classes = drawClasses(rng)
	for z := 0; z < zones && rng.IntN(4) > 0 || z > 0 && z < zones; z++ {
		d.Zones = append(d.Zones, drawName(rng, "zone"))
	}
	d.Kinds = []Kind{{drawName(rng, "kind"), false}, {drawName(rng, "kind"), true}}
	if rng.IntN(2) == 0 {
		d.Kinds = append(d.Kinds, Kind{drawName(rng, "kind"), rng.IntN(2) == 0})
	}
	rng.Shuffle(len(d.Kinds), func(i, j int) { d.Kinds[i], d.Kinds[j] = d.Kinds[j], d.Kinds[i] })
	for range rng.IntN(3) {
		d.Tenants = append(d.Tenants, drawName(rng, "tenant"))
	}
	if rng.IntN(2) == 0 {
		d.FleetSize = largestFleet
	}
	return d
}

// drawClasses draws one retryable class, one fragile class and one class of any effect.
func drawClasses(rng *rand.Rand) (out []*Class) {
	effects := []string{Retryable, Fragile, []string{Deduplicated, Retryable, Fragile}[rng.IntN(3)]}
	rng.Shuffle(len(effects), func(i, j int) { effects[i], effects[j] = effects[j], effects[i] })
	for _, effect := range effects {
		deadline := drawDuration(rng, 1.5, 9)
		c := &Class{Name: drawName(rng, "class"), Effect: effect, SessionShare: 1 / float64(len(effects)),
			Weight: 1 + float64(rng.IntN(3)), Repeatable: effect == Retryable, Deadline: deadline,
			TTFTObjective: deadline / time.Duration(3+rng.IntN(3)), TokenInterval: drawDuration(rng, 0.05, 0.1),
			PromptTokens: 1500 + rng.IntN(3000), OutputTokens: 20 + rng.IntN(40), Turns: 1 + rng.IntN(4)}
		if effect == Deduplicated {
			c.DedupScope = []string{allReplicas, sameZone, sameCell}[rng.IntN(3)]
			c.DedupWindow = drawDuration(rng, 0.5, 4)
		}
		out = append(out, c)
	}
	return out
}

func drawName(rng *rand.Rand, prefix string) string {
	return prefix + "-" + strconv.FormatUint(rng.Uint64()>>40, 36)
}

func drawDuration(rng *rand.Rand, from, to float64) time.Duration {
	return scenario.Seconds(from + rng.Float64()*(to-from))
}

// TenantHeader returns the header line with the tenant of a zone's clients, or "" if there are no tenants. All clients
// of a zone belong to one tenant.
func (d *Deployment) TenantHeader(zone int) string {
	if len(d.Tenants) == 0 {
		return ""
	}
	return "X-Customer: " + d.Tenants[zone%len(d.Tenants)] + "\r\n"
}

// ZoneName returns the name of the zone with index n, or "" if it has none.
func (d *Deployment) ZoneName(n int) string {
	if n < len(d.Zones) {
		return d.Zones[n]
	}
	return ""
}

// KindOf returns the name of a replica's kind. The kinds of the replica's stage, prefill or decode, alternate by the
// replica's index.
func (d *Deployment) KindOf(index int, decode bool) string {
	ofStage := slices.DeleteFunc(slices.Clone(d.Kinds), func(k Kind) bool { return k.Decode != decode })
	return ofStage[index%len(ofStage)].Name
}

// LongestDeadline returns the longest deadline of any class.
func (d *Deployment) LongestDeadline() (longest time.Duration) {
	for _, c := range d.Classes {
		longest = max(longest, c.Deadline)
	}
	return longest
}

// KillAfter returns the shortest time after SIGTERM at which SIGKILL may follow.
func (d *Deployment) KillAfter() time.Duration {
	return min(d.LongestDeadline(), maxKillDelay) + killDelayMargin
}
