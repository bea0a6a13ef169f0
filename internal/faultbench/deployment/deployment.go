package deployment

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"rampspread/internal/faultbench/scenario"
)

// Deployment is what the dispatchers' settings say of the service, and what the stand-ins keep to.
type Deployment struct {
	Classes         []*Class
	Zones           []string // names by number; none: the settings have no zones, and all is in one
	Kinds           []Kind
	Tenants         []string
	EndpointsPushed bool // endpoint lists come by an agent
	LoadReports     bool // replicas report their load, in answers too
	LoadPolls       bool // replicas answer load polls
	MaxAttempts     int
	FleetSize       int // dispatchers that the settings announce, of which a run starts some; 0: as many as it starts
	ConnectTimeout  time.Duration
	DrainNotice     time.Duration // within which a dispatcher must act by a drain
	ReleaseTimeout  time.Duration // within which reservations must be released
	RetryAfter      bool          // clients obey Retry-After
	IndentedLists   bool          // endpoint lists are indented JSON
}

// Kind is one kind of replica.
type Kind struct {
	Name   string
	Decode bool // otherwise prefill
}

// Limits on attempts in the dispatchers' settings.
const (
	DefaultMaxAttempts = 4
	ChangedMaxAttempts = 3 // after the settings were changed
)

const (
	// SIGKILL follows SIGTERM after the longest deadline or maxKillDelay, whichever is shorter, and killDelayMargin.
	maxKillDelay    = 3 * time.Second
	killDelayMargin = 700 * time.Millisecond
)

// Default is the deployment that the built-in scenarios were made for.
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

// largestFleet is the largest fleet that the operators' plays have.
const largestFleet = 350

// Draw draws another deployment, legal by the wire page: names, effects, deadlines, zones, kinds, tenants, limits, how
// lists come, and whether there are polls and reports.
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

// drawClasses draws one retryable class, one fragile one, and another of any effect.
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

// TenantHeader is the header line that names a client's tenant; the clients of a zone belong to one tenant.
func (d *Deployment) TenantHeader(zone int) string {
	if len(d.Tenants) == 0 {
		return ""
	}
	return "X-Customer: " + d.Tenants[zone%len(d.Tenants)] + "\r\n"
}

// ZoneName is the name of a zone's number.
func (d *Deployment) ZoneName(n int) string {
	if n < len(d.Zones) {
		return d.Zones[n]
	}
	return ""
}

// KindOf is the name of the kind of the replica with an index, which share the kinds of their stage in turn.
func (d *Deployment) KindOf(index int, decode bool) string {
	own := slices.DeleteFunc(slices.Clone(d.Kinds), func(k Kind) bool { return k.Decode != decode })
	return own[index%len(own)].Name
}

// LongestDeadline is the longest deadline of any class.
func (d *Deployment) LongestDeadline() (longest time.Duration) {
	for _, c := range d.Classes {
		longest = max(longest, c.Deadline)
	}
	return longest
}

// KillAfter is the earliest time after SIGTERM at which SIGKILL may come.
func (d *Deployment) KillAfter() time.Duration {
	return min(d.LongestDeadline(), maxKillDelay) + killDelayMargin
}
