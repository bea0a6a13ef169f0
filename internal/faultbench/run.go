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

// Run is one scenario being played.
type Run struct {
	scenario         *scenario.Scenario
	options          Options
	deployment       *deployment.Deployment
	dir              string
	names            []string
	rules            history.Rules
	history          *history.Recorder
	cluster          *replica.Cluster
	discovery        *discovery.Server
	addrs            *addresses
	links            links
	dispatchers      []*dispatcher
	peers            *peers // nil without a fleet
	front            *frontlayer.Front
	clients          *loadgen.Clients // set before the first fault
	silenceFault     sync.Mutex       // held while discovery is silent
	servers          []*http.Server
	acceptAnyRequest bool // replicas answer requests that no client of the bench sent, and each dispatcher has a chat API

	mu           sync.Mutex
	lastFaultEnd time.Duration // when the last fault that is over had ended
	faultSpans   [][2]float64  // from and to, in seconds since the traffic's start
}

func (r *Run) stateDir(d int) string { return filepath.Join(r.dir, fmt.Sprintf("n%d.state", d)) }

// Play runs a scenario to its end and reports what became of it. All processes that it started have ended then. What is
// wrong with the fleet is in the report; an error means that the scenario could not be played.
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
	r.rules = r.deployment.Rules(func(name string) int { return r.cluster.Named(name).Zone })
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
		r.deployment = deployment.Default(r.scenario.Zones)
	}
	if r.addrs, err = newAddresses(); err != nil {
		return err
	}
	n := r.options.Dispatchers
	r.cluster = replica.NewCluster(r.history, r.rules, r.scenario, r.options.Seed)
	r.cluster.Unregistered = r.unregisteredRequest
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
	discoverySeedOffset    = 1000
	replicaSeedsDispatcher = 1000
)

// serveDispatcher starts the stand-ins' listeners for one dispatcher, each on a link of its own.
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
		link := network.NewLink(seed + uint64(d*replicaSeedsDispatcher+p.Index))
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

// close ends all that was started.
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
		forEachLink(row, (*network.Link).Reset) // what has fallen silent does not close
	}
	if r.peers != nil {
		r.peers.close()
	}
	if r.addrs != nil {
		r.addrs.lock.Close()
	}
}
