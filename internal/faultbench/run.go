package faultbench

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"rampspread/internal/faultbench/history"
	"rampspread/internal/faultbench/network"
	"rampspread/internal/fleet/idempotencyquorum"
	"rampspread/internal/hostos"
)

// Options say how a scenario is run.
type Options struct {
	Program            string // path of the program's binary
	Dispatchers        int
	Seed               uint64
	Dir                string // for the processes' files and logs; none: a temporary one, removed at the end unless a rule broke
	Log                *slog.Logger
	Fleet              bool // the dispatchers know of each other
	NoLeasedTasks      bool // and do nothing in turn
	Budgets            bool // and share what they may do together
	Subsets            int  // and keep to so many readers each; 0: to all
	IdempotentRequests bool // and filings run once in the fleet; clients send some, each to several dispatchers
	LocalIdempotency   bool // filings are sent, and each dispatcher knows its own only
	Handover           bool // a dispatcher begins with what its earlier life learnt
	Bootstrap          bool // a dispatcher that starts learns from the others
	VersionSkew        bool // one that is behind most is restricted and shut out
	EndpointFilter     bool // one whose list is older than others' sends nothing to what theirs has ended
	SkipViews          bool // and nobody asks them for their views
	// Deployment draws other settings from this seed; 0: the usual ones.
	Deployment uint64
	// State gives each dispatcher a folder that outlives its process.
	State bool
	// MemoryMB and Sockets are a dispatcher's limits; 0: 192 and 1,024.
	MemoryMB, Sockets int
	// AdvertisedDispatchers is how many dispatchers the settings tell of; 0: as many as there are, or as the deployment has.
	AdvertisedDispatchers int
	// MeasureUsage looks at what the processes take every half a second, not only at the end.
	MeasureUsage bool
	// Strict judges by the stricter rules too. The program is then one that takes faults of its clock and its system calls from a file.
	Strict bool
	// RateFactor is a factor on the scenario's rate; 0 means 1.
	RateFactor float64
}

// Run is one scenario being played.
type Run struct {
	scenario         *Scenario
	options          Options
	deployment       *Deployment
	dir              string
	names            []string
	rules            history.Rules
	history          *history.Recorder
	cluster          *Cluster
	discovery        *Server
	addrs            *addresses
	links            links
	dispatchers      []*proc
	peers            *peers // nil without a fleet
	front            *front
	clients          *clients // set before the first fault
	clientLeaves     leaves
	silenceFault     sync.Mutex // held while discovery is silent
	servers          []*http.Server
	acceptAnyRequest bool // replicas answer requests that no client of the rig sent, and each dispatcher has a chat front

	mu           sync.Mutex
	lastFaultEnd time.Duration // when the last fault so far had ended
	faultSpans   [][2]float64  // of the faults, in seconds of the day
}

// links are all links, by what is at their other end.
type links struct {
	replicas  [][]*network.Link // by dispatcher and replica
	discovery []*network.Link
	clients   []*network.Link
}

// addresses are a run's own part of the loopback range: a /16 that no other run on this machine has.
type addresses struct {
	net  int
	lock net.Listener
}

func newAddresses() (*addresses, error) {
	for try := range 230 {
		a := &addresses{net: 10 + (os.Getpid()+try*7)%230}
		var err error
		if a.lock, err = net.Listen("tcp4", a.at(255, 254, 47999)); err == nil {
			return a, nil
		}
	}
	return nil, errors.New("rig: no part of the loopback range is free")
}

func (a *addresses) at(third, fourth, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", a.net, third, fourth, port)
}

func (a *addresses) listen(d int) string       { return a.at(1, d+1, 9000) }
func (a *addresses) chat(d int) string         { return a.at(1, d+1, chatPort) }
func (a *addresses) ops(d int) string          { return a.at(1, d+1, 9600) }
func (a *addresses) discovery(d, i int) string { return a.at(2, d+1, 8500+i) } // the first, or the one that it moves to
func (a *addresses) replica(r, d int) string   { return a.at(20+r%200, d+1, 9100+r/200) }

// MaxDispatchers is what the addresses have room for.
const MaxDispatchers = 250

func (r *Run) stateDir(d int) string { return filepath.Join(r.dir, fmt.Sprintf("n%d.state", d)) }

// Play runs a scenario to its end and tells what came of it. All processes that it started have ended then.
func Play(ctx context.Context, s *Scenario, o Options) (*Report, error) {
	if o.Dispatchers < 1 || o.Dispatchers > MaxDispatchers {
		return nil, fmt.Errorf("rig: %d dispatchers are not from 1 to %d", o.Dispatchers, MaxDispatchers)
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	day := *s
	day.Rate *= cmp.Or(o.RateFactor, 1)
	r := &Run{scenario: &day, options: o, history: history.NewRecorder(), dir: o.Dir, acceptAnyRequest: o.IdempotentRequests || o.LocalIdempotency, deployment: Default(s.Zones)}
	if o.Deployment != 0 {
		r.deployment = DrawDeployment(s.Zones, o.Deployment)
	}
	r.rules = r.deployment.Rules(func(name string) *Replica { return r.cluster.Named(name) })
	r.rules.RandomArrivals = o.Strict
	if r.dir == "" {
		dir, err := os.MkdirTemp("", "fleetrig-")
		if err != nil {
			return nil, fmt.Errorf("rig: %w", err)
		}
		r.dir = dir
	} else if err := os.MkdirAll(r.dir, 0o700); err != nil {
		return nil, fmt.Errorf("rig: %w", err)
	}
	defer r.close()
	if err := r.begin(ctx); err != nil {
		return nil, err
	}
	report, err := r.play(ctx)
	if err == nil && o.Dir == "" && report.Good() {
		os.RemoveAll(r.dir)
	} else {
		o.Log.Info("files", "dir", r.dir)
	}
	return report, err
}

// begin starts the stand-ins and then all dispatchers at once.
func (r *Run) begin(ctx context.Context) error {
	var err error
	if r.deployment == nil {
		r.deployment = Default(r.scenario.Zones)
	}
	if r.addrs, err = newAddresses(); err != nil {
		return err
	}
	r.cluster = NewCluster(r.history, r.rules, r.scenario, r.options.Seed)
	r.cluster.Unregistered = r.unregisteredRequest
	r.cluster.Deployment = r.deployment
	n := r.options.Dispatchers
	r.discovery = NewServer(r.history, r.cluster.Replicas, r.deployment, n, func(p *Replica, d int) string { return r.addrs.replica(p.Index, d) })
	if r.options.Strict {
		r.discovery.MoveGrace = MoveNotice
	}
	r.dispatchers = make([]*proc, n)
	seed := r.options.Seed
	for d := range n {
		r.names = append(r.names, fmt.Sprintf("n%d", d))
		r.dispatchers[d] = &proc{run: r, index: d, tries: r.deployment.MaxAttempts}
		r.links.clients = append(r.links.clients, network.NewLink(seed+uint64(d)))
		r.links.discovery = append(r.links.discovery, network.NewLink(seed+uint64(d)+1000))
		for i := range r.discovery.Listeners[d] {
			l, err := network.Listen(r.addrs.discovery(d, i), r.links.discovery[d])
			if err != nil {
				return fmt.Errorf("rig: discovery: %w", err)
			}
			l.SetDown(i > 0)
			r.discovery.Listeners[d][i] = l
			r.servers = append(r.servers, r.discovery.Serve(l, d))
		}
		var row []*network.Link
		for _, p := range r.cluster.Replicas {
			link := network.NewLink(seed + uint64(d*1000+p.Index))
			l, err := network.Listen(r.addrs.replica(p.Index, d), link)
			if err != nil {
				return fmt.Errorf("rig: %s: %w", p.Name, err)
			}
			p.Listeners = append(p.Listeners, l)
			r.servers = append(r.servers, p.Serve(l, link, d))
			row = append(row, link)
		}
		r.links.replicas = append(r.links.replicas, row)
	}
	if r.options.Fleet {
		if err := r.relayPeers(); err != nil {
			return err
		}
	}
	var wg sync.WaitGroup
	errs := make([]error, n)
	for d, p := range r.dispatchers {
		if err := p.configure(); err != nil {
			return err
		}
		wg.Go(func() { errs[d] = p.start(ctx) })
	}
	wg.Wait()
	return errors.Join(errs...)
}

// close ends all that was started.
func (r *Run) close() {
	var wg sync.WaitGroup
	for _, p := range r.dispatchers {
		if p != nil {
			wg.Go(p.stop)
		}
	}
	wg.Wait()
	for _, s := range r.servers {
		s.Close()
	}
	for _, row := range r.links.replicas {
		forEachLink(row, (*network.Link).Reset) // what has fallen silent does not close
	}
	if r.peers != nil {
		r.peers.close()
	}
	if r.addrs != nil {
		r.addrs.lock.Close()
	}
}

// play sends the day's traffic and makes its faults, waits until all is answered, and judges.
func (r *Run) play(ctx context.Context) (*Report, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r.front = newFront(r)
	var watchers sync.WaitGroup
	watching, stopWatching := context.WithCancel(ctx)
	defer stopWatching()
	for d := range r.dispatchers {
		watchers.Go(func() { r.front.watch(watching, d) })
	}
	if r.peers != nil && !r.options.SkipViews {
		for d := range min(len(r.dispatchers), maxWatchedViews) {
			watchers.Go(func() { r.watchViews(watching, d) })
		}
	}
	if err := sleep(ctx, 3*healthCheckInterval); err != nil {
		return nil, err
	}
	if r.options.VersionSkew {
		for d := range r.dispatchers {
			watchers.Go(func() { r.watchAdmission(watching, d) })
		}
	}
	var shared FleetTotals
	if r.options.Budgets {
		watchers.Go(func() { r.watchQuotas(watching, &shared) })
	}
	if r.options.MeasureUsage {
		for _, p := range r.dispatchers {
			watchers.Go(func() { p.measure(watching) })
		}
	}
	c := newClients(r)
	r.clients = c
	begin := time.Now()
	base := r.history.Now()
	specs := DrawRequests(r.scenario, r.deployment.Classes, r.options.Seed)
	results := make([]result, len(specs))
	var faults, asks sync.WaitGroup
	filer := newIdempotencyClients(r)
	if r.acceptAnyRequest {
		asks.Go(func() { filer.Run(ctx, begin) })
	}
	rng := rand.New(rand.NewPCG(r.options.Seed, 0xfa17))
	for _, f := range r.scenario.Faults {
		targets := r.targets(f, rng)
		r.options.Log.Info("fault", "do", f.Action, "at", f.At, "for", f.Duration, "targets", targets)
		faults.Go(func() {
			r.inject(ctx, f, targets, begin)
			now := r.history.Now()
			r.mu.Lock()
			defer r.mu.Unlock()
			r.lastFaultEnd = max(r.lastFaultEnd, now)
			r.faultSpans = append(r.faultSpans, [2]float64{f.At, (now - base).Seconds()})
		})
	}
	for i, s := range specs {
		if err := sleep(ctx, time.Until(begin.Add(s.ArrivesAt))); err != nil {
			return nil, err
		}
		asks.Go(func() { results[i] = c.ask(ctx, s, rand.New(rand.NewPCG(r.options.Seed, uint64(i)))) })
	}
	asks.Wait()
	if err := sleep(ctx, time.Until(begin.Add(Seconds(r.scenario.Seconds)))); err != nil {
		return nil, err
	}
	faults.Wait()
	sleep(ctx, time.Second) // for what is held to be let go
	stopWatching()
	watchers.Wait()
	c.close()
	var filings []idempotencyquorum.Status
	for d := range r.dispatchers {
		if s, err := r.Filings(d); err == nil {
			filings = append(filings, s)
		}
	}
	var used []usage
	for _, p := range r.dispatchers {
		used = append(used, p.usage())
	}
	var wg sync.WaitGroup
	for _, p := range r.dispatchers {
		wg.Go(p.stop)
	}
	wg.Wait()
	report := r.report(results, base, c.made)
	if r.acceptAnyRequest {
		report.Idempotency = filer.Report(report.events, filings)
	}
	for _, p := range r.dispatchers {
		report.BootstrapsApplied += p.counts["beliefs_taken"]
	}
	report.MaxQuotaSum, report.MinQuotaSum, report.MeanQuotaSum, report.MaxQuota = shared.MaxQuotaSum, shared.MinQuotaSum, shared.MeanQuotaSum, shared.MaxQuota
	report.addUsage(used, r, r.history.Now()-base)
	return report, nil
}

// targets draws what a fault befalls: numbers of dispatchers or replicas.
func (r *Run) targets(f Fault, rng *rand.Rand) []int {
	n := 0
	switch actionTargets[f.Action] {
	case "dispatchers":
		n = len(r.dispatchers)
	case "replicas":
		n = len(r.cluster.Replicas)
	case "zone":
		var out []int
		for d := range r.dispatchers {
			if d%r.scenario.Zones == f.Zone {
				out = append(out, d)
			}
		}
		return out
	default:
		return nil
	}
	many := max(1, int(math.Round(f.Fraction*float64(n))))
	out := rng.Perm(n)
	if spare := min(f.SpareFirst, n-1); actionTargets[f.Action] == "dispatchers" {
		out = slices.DeleteFunc(out, func(d int) bool { return d < spare })
	}
	return out[:min(many, len(out))]
}

// stagger is the time between the targets of a fault that goes in turn: as the scenario says, but all have had their turn
// within six tenths of what is left of the day, however many they are.
func (r *Run) stagger(f Fault, n int) time.Duration {
	every := Seconds(f.Stagger)
	if n > 1 {
		every = min(every, Seconds((r.scenario.Seconds-f.At)*0.6)/time.Duration(n-1))
	}
	return every
}

// inject carries out one fault, on all targets at once or in turn.
func (r *Run) inject(ctx context.Context, f Fault, targets []int, begin time.Time) {
	if sleep(ctx, time.Until(begin.Add(Seconds(f.At)))) != nil {
		return
	}
	switch f.Action {
	case "retune":
		for _, t := range targets {
			r.dispatchers[t].retune(ChangedMaxAttempts)
		}
		from := r.history.Now()
		f.after(ctx, func() {
			for d, p := range r.dispatchers {
				if !slices.Contains(targets, d) {
					p.retune(ChangedMaxAttempts)
					r.history.Add(history.Event{At: from, Kind: history.StaleListServed, Class: staleSettings, Dispatcher: d, Until: r.history.Now()})
				}
			}
		})
		return
	case "discovery-silent":
		exclusively(&r.silenceFault, func() {
			r.discovery.SetSilent(true)
			f.after(ctx, func() { r.discovery.SetSilent(false) })
		})
		return
	case "clients-leave":
		r.clientLeaves.set(f.Fraction)
		f.after(ctx, func() { r.clientLeaves.set(0) })
		return
	case "discovery-late":
		r.discovery.SetDelay(Seconds(f.Duration))
		return
	case "split":
		side := func(d int) int { return d % max(f.Sides, 2) }
		if r.peers != nil {
			r.peers.split(side, true)
			f.after(ctx, func() { r.peers.split(side, false) })
		}
		return
	case "cut-zone":
		r.cutZone(f.Zone, true)
		f.after(ctx, func() { r.cutZone(f.Zone, false) })
		return
	}
	var wg sync.WaitGroup
	defer wg.Wait()
	every := r.stagger(f, len(targets))
	for i, t := range targets {
		wg.Go(func() {
			if sleep(ctx, time.Duration(i)*every) == nil {
				r.injectTarget(ctx, f, t)
			}
		})
	}
}

// exclusively carries out a fault that holds until it is over, unless another of the kind that the lock stands for is under way.
func exclusively(kind *sync.Mutex, do func()) {
	if !kind.TryLock() {
		return
	}
	defer kind.Unlock()
	do()
}

// withList lets the list say something else of a replica than that it is ready, for as long as the fault lasts.
func (r *Run) withList(ctx context.Context, f Fault, t int, state string) {
	p := r.cluster.Replicas[t]
	exclusively(&p.ListingFault, func() {
		r.discovery.Set(p, state, time.Time{})
		f.after(ctx, func() { r.discovery.Set(p, "ready", time.Time{}) })
	})
}

// after ends a fault once it has lasted, if it ends at all.
func (f Fault) after(ctx context.Context, end func()) {
	if f.Duration > 0 && sleep(ctx, Seconds(f.Duration)) == nil {
		end()
	}
}

func (r *Run) injectTarget(ctx context.Context, f Fault, t int) {
	switch f.Action {
	case "kill":
		exclusively(&r.dispatchers[t].life, func() {
			r.dispatchers[t].kill()
			f.after(ctx, func() { r.dispatchers[t].restart(ctx, f.LoseState) })
		})
	case "term":
		exclusively(&r.dispatchers[t].life, func() {
			r.dispatchers[t].term()
			f.after(ctx, func() { r.dispatchers[t].restart(ctx, f.LoseState) })
		})
	case "move":
		r.dispatchers[t].move()
	case "watch-silent":
		r.discovery.SilenceWatches(t)
	case "replica-hang":
		exclusively(&r.cluster.Replicas[t].HangFault, func() {
			r.cluster.Replicas[t].SetHung(true)
			f.after(ctx, func() { r.cluster.Replicas[t].SetHung(false) })
		})
	case "pause":
		exclusively(&r.dispatchers[t].life, func() { r.dispatchers[t].pause(ctx, Seconds(f.Duration)) })
	case "hup-row":
		r.dispatchers[t].reloadInRow(ctx, f)
	case "clock-step":
		r.dispatchers[t].changeFaults(func(s *hostos.Faults) { s.WallStepMS += int64(f.ClockStepS * 1000) })
		f.after(ctx, func() {
			r.dispatchers[t].changeFaults(func(s *hostos.Faults) { s.WallStepMS -= int64(f.ClockStepS * 1000) })
		})
	case "calls-fail":
		r.dispatchers[t].changeFaults(func(s *hostos.Faults) {
			s.Fails[f.Syscall] = hostos.Failure{Errno: f.Errno, Every: max(f.EveryNth, 1), DelayMS: int(f.DelayMS)}
		})
		f.after(ctx, func() { r.dispatchers[t].changeFaults(func(s *hostos.Faults) { delete(s.Fails, f.Syscall) }) })
	case "clients-half", "clients-pipeline", "clients-idle":
		r.misbehavingClients(ctx, f, t)
	case "links", "reset":
		links := r.linksOf(f.Links, t)
		c := network.Condition{Cut: f.DelayMS == 0 && f.Loss == 0 && f.KBPerS == 0, Delay: Seconds(f.DelayMS / 1000),
			Loss: f.Loss, BytesPerS: f.KBPerS * 1000}
		if f.Links == "peers" {
			if r.peers != nil && f.Action == "links" {
				r.peers.setAround(t, f.Direction, c)
				f.after(ctx, func() { r.peers.setAround(t, f.Direction, network.Condition{}) })
			}
			return
		}
		to, from := c, c // of the parties that listen
		if dialed := f.Links == "clients"; f.Direction == "to" && dialed || f.Direction == "from" && !dialed {
			from = network.Condition{}
		} else if f.Direction == "to" || f.Direction == "from" {
			to = network.Condition{}
		}
		all := func(do func(l *network.Link)) {
			var wg sync.WaitGroup
			for _, l := range links {
				wg.Go(func() { do(l) })
			}
			wg.Wait()
		}
		if f.Action == "reset" {
			all((*network.Link).Reset)
			return
		}
		all(func(l *network.Link) { l.Set(to, from) })
		f.after(ctx, func() { all(func(l *network.Link) { l.Set(network.Condition{}, network.Condition{}) }) })
	case "discovery-stale":
		from := r.history.Now()
		r.discovery.Freeze(t, true)
		f.after(ctx, func() {
			r.discovery.Freeze(t, false)
			r.history.Add(history.Event{At: from, Kind: history.StaleListServed, Dispatcher: t, Until: r.history.Now()})
		})
	case "links-silent", "conns-silent", "conns-late":
		r.corruptLinks(ctx, f, t)
	case "replica-vanish":
		r.vanish(ctx, f, t)
	case "operator-drain":
		exclusively(&r.dispatchers[t].life, func() { r.operatorDrain(ctx, f, t) })
	case "replica-leave":
		r.withList(ctx, f, t, "gone")
	case "replica-kill":
		p := r.cluster.Replicas[t]
		exclusively(&p.ListingFault, func() {
			p.Kill()
			r.discovery.Set(p, "gone", time.Time{})
			f.after(ctx, func() {
				p.Restart()
				r.discovery.Set(p, "ready", time.Now())
			})
		})
	case "replica-slow":
		r.cluster.Replicas[t].SetSlowdown(f.Factor)
		f.after(ctx, func() { r.cluster.Replicas[t].SetSlowdown(1) })
	case "replica-fail":
		r.cluster.Replicas[t].SetErrorRate(f.Loss)
		f.after(ctx, func() { r.cluster.Replicas[t].SetErrorRate(0) })
	case "replica-spoil":
		r.cluster.Replicas[t].SetCorruptionRate(f.Loss)
		f.after(ctx, func() { r.cluster.Replicas[t].SetCorruptionRate(0) })
	case "replica-drain":
		r.withList(ctx, f, t, "draining")
	case "replica-flush":
		r.cluster.Replicas[t].FlushCache()
	}
}

// misbehavingClients lets clients of one kind misbehavingClients at a dispatcher for as long as the fault lasts.
func (r *Run) misbehavingClients(ctx context.Context, f Fault, d int) {
	ctx, cancel := context.WithTimeout(ctx, Seconds(f.Duration))
	defer cancel()
	rng := rand.New(rand.NewPCG(r.options.Seed, uint64(d)+uint64(f.At*1000)))
	switch f.Action {
	case "clients-half":
		r.partialRequests(ctx, d, rng)
	case "clients-pipeline":
		r.pipelines(ctx, d, rng)
	case "clients-idle":
		r.idleClients(ctx, d, cmp.Or(r.options.Sockets, usualSockets))
	}
}

// linksOf are the links of one kind that a dispatcher has.
func (r *Run) linksOf(kind string, d int) []*network.Link {
	switch kind {
	case "replicas":
		return r.links.replicas[d]
	case "discovery":
		return r.links.discovery[d : d+1]
	case "clients":
		return r.links.clients[d : d+1]
	}
	return nil
}

// forEachLink does something to all of the links at once, since to take an address out of service takes some 20 ms.
func forEachLink(links []*network.Link, do func(l *network.Link)) {
	var wg sync.WaitGroup
	for _, l := range links {
		wg.Go(func() { do(l) })
	}
	wg.Wait()
}

// corruptLinks lets a share of a dispatcher's links to replicas be silent, or their connections; at least one link stays sound.
func (r *Run) corruptLinks(ctx context.Context, f Fault, d int) {
	all := r.links.replicas[d]
	rng := rand.New(rand.NewPCG(r.options.Seed, uint64(f.At*1000)))
	var links []*network.Link
	for _, i := range rng.Perm(len(all))[:min(max(1, int(f.LinkFraction*float64(len(all)))), len(all)-1)] {
		links = append(links, all[i])
	}
	switch f.Action {
	case "conns-silent":
		forEachLink(links, (*network.Link).Hush)
	case "conns-late":
		forEachLink(links, func(l *network.Link) { l.SetLate(Seconds(f.DelayMS / 1000)) })
		f.after(ctx, func() { forEachLink(links, func(l *network.Link) { l.SetLate(0) }) })
	default:
		cut := network.Condition{Cut: true}
		forEachLink(links, func(l *network.Link) { l.Set(cut, cut) })
		f.after(ctx, func() { forEachLink(links, func(l *network.Link) { l.Set(network.Condition{}, network.Condition{}) }) })
	}
}

// vanish lets a replica's machine say nothing for a time. What was sent to it meanwhile never arrives: its connections are reset.
func (r *Run) vanish(ctx context.Context, f Fault, replica int) {
	var links []*network.Link
	for _, row := range r.links.replicas {
		links = append(links, row[replica])
	}
	cut := network.Condition{Cut: true}
	forEachLink(links, func(l *network.Link) { l.Set(cut, cut) })
	f.after(ctx, func() {
		forEachLink(links, func(l *network.Link) {
			l.Reset()
			l.Set(network.Condition{}, network.Condition{})
		})
	})
}

// cutZone cuts the links between a zone's dispatchers and the replicas and dispatchers of the others, both ways, or
// heals them.
func (r *Run) cutZone(zone int, cut bool) {
	c := network.Condition{Cut: cut}
	// All at once: to take an address out of service takes some 20 ms, and there are hundreds.
	var wg sync.WaitGroup
	for d, row := range r.links.replicas {
		for i, l := range row {
			if (d%r.scenario.Zones == zone) != (r.cluster.Replicas[i].Zone == zone) {
				wg.Go(func() { l.Set(c, c) })
			}
		}
	}
	defer wg.Wait()
	if r.peers != nil {
		r.peers.split(func(d int) int {
			if d%r.scenario.Zones == zone {
				return 1
			}
			return 0
		}, cut)
	}
}
