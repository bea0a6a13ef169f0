package faultbench

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"rampspread/internal/faultbench/deployment"
	"rampspread/internal/faultbench/discovery"
	"rampspread/internal/faultbench/frontlayer"
	"rampspread/internal/faultbench/history"
	"rampspread/internal/faultbench/loadgen"
	"rampspread/internal/faultbench/network"
	"rampspread/internal/faultbench/replica"
	"rampspread/internal/faultbench/scenario"
)

// Run is one play of a scenario, with its processes and simulated parties.
type Run struct {
	scenario     *scenario.Scenario
	options      Options
	deployment   *deployment.Deployment
	dir          string   // folder for the files of the run
	names        []string // names of the dispatchers
	rules        history.Rules
	history      *history.Recorder
	cluster      *replica.Cluster
	discovery    *discovery.Server
	addrs        *addresses
	links        links
	dispatchers  []*dispatcher
	peerLinks    *peerLinks // nil without a fleet
	front        *frontlayer.Front
	clients      *loadgen.Clients // set before the first fault
	silenceFault sync.Mutex       // held while discovery is silent
	servers      []*http.Server
	// acceptAnyRequest makes the replicas answer calls that no client of the bench has registered, and gives each
	// dispatcher a chat API.
	acceptAnyRequest bool

	mu           sync.Mutex
	lastFaultEnd time.Duration // end of the last fault that is over
	faultSpans   [][2]float64  // start and end of each fault, in seconds since the start of the traffic
}

func (r *Run) stateDir(d int) string { return filepath.Join(r.dir, fmt.Sprintf("n%d.state", d)) }

// Play runs a scenario to its end and returns the report. All processes that it started have ended by then. Broken
// rules and crashes are in the report; an error means that the scenario could not be played.
func Play(ctx context.Context, s *scenario.Scenario, o Options) (*Report, error) {
	if o.Dispatchers < 1 || o.Dispatchers > scenario.MaxDispatchers {
		return nil, fmt.Errorf("bench: %d dispatchers are not from 1 to %d", o.Dispatchers, scenario.MaxDispatchers)
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	played := *s
	played.Rate *= cmp.Or(o.RateFactor, 1)
	r := &Run{scenario: &played, options: o, history: history.NewRecorder(), dir: o.Dir,
		acceptAnyRequest: o.IdempotentRequests || o.LocalIdempotency, deployment: deployment.Default(s.Zones)}
	if o.Deployment != 0 {
		r.deployment = deployment.Draw(s.Zones, o.Deployment)
	}
	r.rules = r.deployment.Rules(func(name string) int { return r.cluster.ReplicaByName(name).Zone })
	r.rules.RandomArrivals = o.Strict
	if r.dir == "" {
		dir, err := os.MkdirTemp("", "fleetrig-")
		if err != nil {
			return nil, fmt.Errorf("bench: %w", err)
		}
		r.dir = dir
	} else if err := os.MkdirAll(r.dir, 0o700); err != nil {
		return nil, fmt.Errorf("bench: %w", err)
	}
	defer r.close()
	if err := r.start(ctx); err != nil {
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

// start starts the simulated parties and then all dispatchers at once.
func (r *Run) start(ctx context.Context) error {
	var err error
	if r.deployment == nil {
		r.deployment = deployment.Default(r.scenario.Zones)
	}
	if r.addrs, err = newAddresses(); err != nil {
		return err
	}
	n := r.options.Dispatchers
	r.cluster = replica.NewCluster(r.history, r.rules, r.scenario, r.options.Seed)
	r.cluster.ResolveUnregistered = r.unregisteredRequest
	r.cluster.Deployment = r.deployment
	r.discovery = discovery.NewServer(discovery.Config{History: r.history, Replicas: r.cluster.Replicas, Deployment: r.deployment, Dispatchers: n,
		Address:        func(p *replica.Replica, d int) string { return r.addrs.replica(p.Index, d) },
		GraceAfterMove: r.options.Strict})
	r.dispatchers = make([]*dispatcher, n)
	for d := range n {
		r.names = append(r.names, fmt.Sprintf("n%d", d))
		r.dispatchers[d] = r.newDispatcher(d)
		if err := r.serveDispatcher(d); err != nil {
			return err
		}
	}
	if r.options.Fleet {
		if err := r.relayPeers(); err != nil {
			return err
		}
	}
	return r.startDispatchers(ctx)
}

// Offsets of the seeds of a dispatcher's links, so that each link draws its own losses.
const (
	discoverySeedOffset = 1000
	replicaSeedStride   = 1000
)

// serveDispatcher starts the listeners of the simulated discovery and replicas for one dispatcher. Discovery and each
// replica have a link of their own to it.
func (r *Run) serveDispatcher(d int) error {
	seed := r.options.Seed
	r.links.clients = append(r.links.clients, network.NewLink(seed+uint64(d)))
	r.links.discovery = append(r.links.discovery, network.NewLink(seed+uint64(d)+discoverySeedOffset))
	for i := range discovery.Addresses {
		l, err := network.Listen(r.addrs.discovery(d, i), r.links.discovery[d])
		if err != nil {
			return fmt.Errorf("bench: discovery: %w", err)
		}
		l.SetDown(i > 0)
		r.servers = append(r.servers, r.discovery.Serve(l, d, i))
	}
	var row []*network.Link
	for _, p := range r.cluster.Replicas {
		link := network.NewLink(seed + uint64(d*replicaSeedStride+p.Index))
		l, err := network.Listen(r.addrs.replica(p.Index, d), link)
		if err != nil {
			return fmt.Errorf("bench: %s: %w", p.Name, err)
		}
		r.servers = append(r.servers, p.Serve(l, d))
		row = append(row, link)
	}
	r.links.replicas = append(r.links.replicas, row)
	return nil
}

// startDispatchers starts all dispatchers' processes at once and waits until they serve.
func (r *Run) startDispatchers(ctx context.Context) error {
	var wg sync.WaitGroup
	errs := make([]error, len(r.dispatchers))
	for d, p := range r.dispatchers {
		if err := p.configure(); err != nil {
			return err
		}
		wg.Go(func() { errs[d] = p.Start(ctx) })
	}
	wg.Wait()
	return errors.Join(errs...)
}

// close stops everything that the run has started.
func (r *Run) close() {
	var wg sync.WaitGroup
	for _, p := range r.dispatchers {
		if p != nil {
			wg.Go(p.Stop)
		}
	}
	wg.Wait()
	for _, s := range r.servers {
		s.Close()
	}
	for _, row := range r.links.replicas {
		forEachLink(row, (*network.Link).Reset) // silenced connections do not close by themselves
	}
	if r.peerLinks != nil {
		r.peerLinks.close()
	}
	if r.addrs != nil {
		r.addrs.lock.Close()
	}
}
