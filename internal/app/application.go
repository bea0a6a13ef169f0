package app

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"os"
	"time"

	"golang.org/x/net/netutil"

	"rampspread/internal/accept"
	"rampspread/internal/admin"
	"rampspread/internal/capacity"
	"rampspread/internal/chatapi"
	"rampspread/internal/config"
	"rampspread/internal/connlimit"
	"rampspread/internal/discovery"
	"rampspread/internal/dispatch"
	"rampspread/internal/fleet/endpointfilter"
	"rampspread/internal/frontend"
	"rampspread/internal/hostos"
	"rampspread/internal/precondition"
	"rampspread/internal/state/statetransfer"
	"rampspread/internal/upstream"
)

// application owns the components of one running dispatcher.
type application struct {
	machine    hostos.System
	inputs     inputs
	options    options
	plan       capacity.Plan
	seed       uint64 // seed of the random numbers
	violations precondition.ViolationCounter
	failures   chan error // errors that end the process

	background      background
	settings        activeSettings
	upstream        *upstream.Client
	dispatcher      *dispatch.Dispatcher
	fleet           fleetRuntime
	xds             XDSServer // nil without an xDS address
	watcher         *discovery.Watcher
	stores          stores
	listeners       listeners
	frontendHandler *frontend.Handler
	chat            *chatapi.Handler // nil without a chat frontend
	drain           operatorDrain
	reloader        reloader
	admin           *admin.Server
}

// maxPendingFailures is how many components can report a failure before the first failure is handled.
const maxPendingFailures = 4

// newApplication creates and wires the components. It starts nothing, opens nothing and reads no file.
func newApplication(program Program, in inputs, o options, plan capacity.Plan) (*application, error) {
	cfg, machine := in.config, program.Machine
	seed, err := cfg.SeedNumber()
	if err != nil {
		return nil, err
	}
	classes, err := cfg.Settings.ClassTable()
	if err != nil {
		return nil, err
	}
	router := classes.Config
	router.CanPollLoad, router.Budgets = cfg.Settings.Limits.LoadPolling, budgetsOf(in.fleet)
	router.ObservePrefills = o.logEstimates
	a := &application{
		machine: machine, inputs: in, options: o, plan: plan, seed: seed, failures: make(chan error, maxPendingFailures),
	}
	a.background.init()
	a.upstream = upstream.New(&cfg.Settings, upstream.Limits{
		ConnsPerReplica: plan.UpstreamConnections, IdleConns: plan.UpstreamConnections,
		ReleaseCalls: plan.ReleaseCalls, SocketBufferBytes: plan.SocketBufferBytes,
	}, machine)
	if a.dispatcher, err = dispatch.New(router, seed, a.upstream, machine, &a.violations); err != nil {
		return nil, err
	}
	a.settings.set(&cfg.Settings)
	a.fleet.init(in, router, a.upstream, a.dispatcher)
	if o.xdsAddress != "" {
		a.xds = program.NewXDSServer(&cfg.Settings)
	}
	a.stores.endpointCache = a.newEndpointCache()
	a.watcher = discovery.New(cfg.Discovery, &cfg.Settings, seed, a.newEndpointConsumer())
	a.watcher.SetFleetSize(a.fleet.effectiveSize(&cfg.Settings))
	a.fleet.watcher = a.watcher
	a.frontendHandler = frontend.NewHandler(a.dispatcher, &cfg.Settings, classes)
	a.stores.transfer = statetransfer.Exchange{
		Machine: machine, Dir: o.transferDir, Name: cfg.Name, Settings: a.settings.fingerprint(),
	}
	a.listeners.machine, a.listeners.violations = machine, &a.violations
	a.listeners.limits, a.listeners.bufferBytes = connlimit.NewLimits(plan), plan.SocketBufferBytes
	a.drain = operatorDrain{&a.listeners}
	a.reloader = reloader{
		path: o.configPath, config: cfg, classes: classes, settings: &a.settings,
		dispatcher: a.dispatcher, frontendHandler: a.frontendHandler, watcher: a.watcher,
	}
	return a, nil
}

// components returns the list of everything that is started, in order. The shutdown stops it in the reverse order.
//
// The background goroutines share one context, which is canceled when the dispatcher is stopped. The shutdown waits for
// them after it has closed the connections to replicas.
func (a *application) components(ctx context.Context, reloads <-chan os.Signal) []component {
	return []component{
		{"xDS server", a.startXDS, a.stopXDS},
		{"idempotency store", a.openIdempotency, nil},
		{"in-flight table", a.openInFlight, nil},
		{"background goroutines", nil, a.background.wait},
		{"connections to replicas", nil, a.upstream.Close},
		{"dispatcher", a.startDispatcher, a.background.cancel},
		{"initial endpoint list", a.useInitialList, nil},
		{"endpoint cache", a.startEndpointCache, nil},
		{"fencing token floor", a.startTokenFloor, nil},
		{"discovery watcher", a.startWatcher, nil},
		{"subset controller", a.startSubset, nil},
		{"idempotency coordinator", a.startIdempotency, nil},
		{"state transfer", a.startTransfer, nil},
		{"in-flight table's publisher", a.startInFlight, nil},
		{"configuration reloads", func() error { return a.startReloader(reloads) }, nil},
		{"discovery confirmed", func() error { return a.awaitDiscovery(ctx) }, nil},
		{"peer processes", func() error { return a.awaitPeers(ctx) }, nil},
		{"client listener", a.openClientListener, nil}, // drainClients closes this and the chat listener
		{"chat listener", a.openChatListener, nil},
		{"fleet membership", a.joinFleet, a.fleet.close},
		{"admin calls", a.startAdmin, a.stopAdmin},
	}
}

// endpointConsumer receives a full endpoint list, or changes to the list.
type endpointConsumer func(full bool, entries []dispatch.Endpoint)

// chain returns a consumer that passes each update to c and then to next.
func (c endpointConsumer) chain(next endpointConsumer) endpointConsumer {
	return func(full bool, entries []dispatch.Endpoint) {
		c(full, entries)
		next(full, entries)
	}
}

// newEndpointConsumer returns the consumer of discovery's updates. The endpoint filter, if there is one, precedes all
// components that act on the list. The endpoint cache bypasses the filter: it stores the list as discovery sent it.
func (a *application) newEndpointConsumer() endpointConsumer {
	consumer := endpointConsumer(a.dispatcher.UpdateEndpoints)
	if a.fleet.tasks != nil {
		consumer = consumer.chain(a.fleet.tasks.UpdateEndpoints)
	}
	if a.fleet.subset != nil {
		consumer = consumer.chain(a.fleet.subset.UpdateEndpoints)
	}
	if a.xds != nil {
		consumer = consumer.chain(a.xds.Publish)
	}
	if a.fleet.config != nil && a.fleet.config.EndpointFilter {
		a.fleet.filter = endpointfilter.New(consumer, endpointLists{&a.fleet}.Version, time.Now)
		consumer = a.fleet.filter.UpdateOwn
	}
	if cache := a.stores.endpointCache; cache != nil {
		consumer = consumer.chain(func(bool, []dispatch.Endpoint) { cache.MarkDirty() })
	}
	return consumer
}

func (a *application) startXDS() error {
	if a.xds == nil {
		return nil
	}
	socket, err := net.Listen("tcp", a.options.xdsAddress)
	if err != nil {
		return fmt.Errorf("xds: %w", err)
	}
	go func() {
		limited := netutil.LimitListener(accept.New(socket, a.machine), a.plan.XDSConnections)
		if err := a.xds.Serve(limited); err != nil {
			a.failures <- err
		}
	}()
	return nil
}

func (a *application) stopXDS() {
	if a.xds != nil {
		a.xds.Stop()
	}
}

func (a *application) startDispatcher() error {
	a.background.start(a.dispatcher.Run)
	return nil
}

func (a *application) startEndpointCache() error {
	if a.stores.endpointCache != nil {
		a.background.start(a.stores.endpointCache.Run)
	}
	return nil
}

func (a *application) startWatcher() error {
	a.background.start(a.watcher.Run)
	return nil
}

func (a *application) startSubset() error {
	if a.fleet.subset != nil {
		a.background.start(a.fleet.subset.Run)
	}
	return nil
}

func (a *application) startIdempotency() error {
	if a.stores.idempotency != nil {
		a.background.start(a.stores.idempotency.Run)
	}
	return nil
}

func (a *application) startTransfer() error {
	if a.options.transferDir != "" {
		a.background.start(a.transferState)
	}
	return nil
}

func (a *application) startInFlight() error {
	if a.stores.inFlight != nil {
		a.background.start(a.stores.inFlight.Run)
	}
	return nil
}

func (a *application) startReloader(reloads <-chan os.Signal) error {
	a.background.start(func(ctx context.Context) { a.reloader.run(ctx, reloads) })
	return nil
}

// maxDiscoveryWait bounds the wait for discovery's list at the start. Nine in ten starts must serve within 6 s, even on
// a busy machine.
const maxDiscoveryWait = 2 * time.Second

// awaitDiscovery waits until an agent that pushes endpoints has confirmed the list. The initial list may be old, and
// the process counts as notified of the agent's changes from the moment at which it starts. A working agent answers at
// once. The wait for a silent agent is bounded by the drain deadline, within which a change must take effect, and by
// maxDiscoveryWait.
func (a *application) awaitDiscovery(ctx context.Context) error {
	settings := &a.inputs.config.Settings
	if !settings.PushesEndpoints() {
		return nil
	}
	select {
	case <-a.watcher.Confirmed():
	case <-time.After(min(settings.DrainDeadline(), maxDiscoveryWait)):
	case <-ctx.Done():
	}
	return nil
}

// awaitPeers waits, for a bounded time, until the processes of this name that were already running have published their
// in-flight requests.
func (a *application) awaitPeers(ctx context.Context) error {
	a.stores.inFlight.WaitForPeers(ctx)
	return nil
}

// openClientListener opens the listener of the platform's frontend.
func (a *application) openClientListener() error {
	connections := a.plan.ClientConnections
	if a.inputs.chat != nil {
		connections -= a.plan.ChatConnections
	}
	return a.listeners.open(a.inputs.config.Listen, a.frontendHandler, connections, a.failures)
}

// openChatListener opens the chat frontend's listener, if there is a chat frontend. In either case the process counts
// as ready from then on.
func (a *application) openChatListener() error {
	if a.inputs.chat != nil {
		chat, err := chatapi.New(a.dispatcher, &a.inputs.config.Settings, a.inputs.chat, time.Now)
		if err != nil {
			return err
		}
		a.chat = chat
		a.chat.LimitStoredAnswers(a.plan.StoredAnswerBytes)
		if a.stores.idempotency != nil {
			a.chat.UseIdempotencyStore(a.stores.idempotency)
		}
		a.chat.UsePeerTable(a.stores.inFlight)
		if err := a.listeners.open(a.inputs.chat.Listen, a.chat, a.plan.ChatConnections, a.failures); err != nil {
			return err
		}
	}
	a.listeners.ready.Store(true)
	return nil
}

// startAdmin serves operators' calls if the configuration has an address for them.
func (a *application) startAdmin() error {
	if a.inputs.config.Admin == "" {
		return nil
	}
	calls := adminCalls{&a.listeners, a.drain, &a.fleet, a.stores.idempotency}
	server := admin.New(calls.handlers(), slog.Default())
	socket, err := net.Listen("tcp", a.inputs.config.Admin)
	if err != nil {
		return fmt.Errorf("ops: %w", err)
	}
	a.admin = server
	go server.Serve(socket)
	return nil
}

func (a *application) stopAdmin() {
	if a.admin != nil {
		a.admin.Close()
	}
}

// logServing logs that the start is complete.
func (a *application) logServing(cfg *config.Config) {
	slog.Info("serving", "name", cfg.Name, "listen", cfg.Listen, "chat", a.chat != nil, "ops", cfg.Admin,
		"pushed", cfg.Settings.PushesEndpoints())
}
