package app

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"runtime"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/net/netutil"
	"golang.org/x/sync/semaphore"

	"rampspread/internal/accept"
	"rampspread/internal/admin"
	"rampspread/internal/chatapi"
	"rampspread/internal/config"
	"rampspread/internal/connlimit"
	"rampspread/internal/discovery"
	"rampspread/internal/dispatch"
	"rampspread/internal/fleet"
	"rampspread/internal/fleet/endpointfilter"
	"rampspread/internal/fleet/idempotencyquorum"
	"rampspread/internal/fleet/leasedtasks"
	"rampspread/internal/fleet/subsetter"
	"rampspread/internal/frontend"
	"rampspread/internal/precondition"
	"rampspread/internal/state/fencing"
	"rampspread/internal/state/inflight"
	"rampspread/internal/state/statetransfer"
	"rampspread/internal/system"
	"rampspread/internal/upstream"
	"rampspread/internal/xds"
)

// startMost is how long a start waits for its list: nine in ten have 6 s in all, on a busy machine too.
const startMost = 2 * time.Second

// program is one running dispatcher.
type program struct {
	machine  system.System
	audit    precondition.ViolationCounter
	core     *dispatch.Dispatcher
	pool     *upstream.Client
	watch    *discovery.Watcher
	front    *frontend.Handler
	chat     *chatapi.Handler // nil without one
	bodies   *semaphore.Weighted
	state    connlimit.Lifecycle
	ready    atomic.Bool // the client listeners take connections
	guards   []*connlimit.Limiter
	servers  []*http.Server
	listens  []net.Listener
	fleet    *fleet.Node                    // nil: alone
	member   atomic.Pointer[fleet.Node]     // the same, for goroutines that began before it
	tasks    *leasedtasks.Tasks             // of the fleet; nil: alone
	beside   *inflight.Table                // nil: no other process of this name is looked for
	claims   *idempotencyquorum.Coordinator // nil: the chat front's own table is all
	keeper   *subsetter.Controller          // nil: it keeps to all replicas
	lists    *endpointfilter.Filter         // nil: its own list is all
	numbers  *fencing.TokenFloor            // of the fleet's leases; nil: none outlives the process
	shutOut  atomic.Bool                    // drained for being behind
	settings atomic.Uint64                  // fingerprint of the settings in force,
	grace    atomic.Int64                   // and for how long after SIGTERM they let a process live, in ns
	classes  config.Classes                 // the module's classes; only reload changes them, in one goroutine
}

// options are what the command line says of a dispatcher besides its files' content.
type options struct {
	config   string // path of the configuration, which a reload reads again
	handover string // folder
	xdsAddr  string
}

// serve is one dispatcher, from its start to its orderly end.
func serve(ctx context.Context, machine system.System, files checked, o options, on signals, out io.Writer) error {
	cfg, chatCfg := files.config, files.chat
	runtime.GOMAXPROCS(max(1, int(cfg.Limits.Cores)))
	memory := int64(256 << 20)
	if cfg.Limits.MemoryMB > 0 {
		memory = int64(cfg.Limits.MemoryMB) << 20
	}
	debug.SetMemoryLimit(memory * 6 / 10)
	sockets := 1024
	if cfg.Limits.Sockets > 0 {
		sockets = cfg.Limits.Sockets
	}
	seed, err := cfg.SeedNumber()
	if err != nil {
		return err
	}
	classes, err := cfg.Settings.ClassTable()
	if err != nil {
		return err
	}
	router := classes.Config
	router.CanPollLoad, router.Budgets = cfg.Settings.Limits.Probing, budgets(files.fleet)
	p := &program{machine: machine, classes: classes, bodies: semaphore.NewWeighted(memory / 8)}
	p.pool = upstream.New(&cfg.Settings, max(sockets/8, 4), max(sockets/8, 4), machine)
	if p.core, err = dispatch.New(router, seed, p.pool, machine, &p.audit); err != nil {
		return err
	}
	failed := make(chan error, 4)
	p.take(&cfg.Settings)
	publish := p.core.UpdateEndpoints
	if files.fleet != nil {
		p.tasks = p.share(cfg)
		publish = also(publish, p.tasks.UpdateEndpoints)
	}
	if p.keeper = p.keepTo(files.fleet, cfg, router); p.keeper != nil {
		publish = also(publish, p.keeper.UpdateEndpoints)
	}
	if o.xdsAddr != "" {
		proxies := xds.New(&cfg.Settings)
		listener, err := net.Listen("tcp", o.xdsAddr)
		if err != nil {
			return fmt.Errorf("xds: %w", err)
		}
		go func() {
			if err := proxies.Serve(netutil.LimitListener(accept.New(listener, machine), sockets/32)); err != nil {
				failed <- err
			}
		}()
		defer proxies.Stop()
		publish = also(publish, proxies.Publish)
	}
	if files.fleet != nil && files.fleet.EndpointFilter {
		p.lists = endpointfilter.New(publish, listOf{p}.Version, time.Now)
		publish = p.lists.UpdateOwn
	}
	kept := p.keepList(files)
	if kept != nil {
		publish = also(publish, andKeep(kept))
	}
	p.watch = discovery.New(cfg.Discovery, &cfg.Settings, seed, publish)
	p.watch.SetFleetSize(p.alike(files.fleet, cfg))
	if p.claims, err = p.ledger(files, machine.Wall()); err != nil {
		return err
	}
	p.front = frontend.New(p.core, &cfg.Settings, classes)
	p.beside = shareOpen(machine, o.handover, cfg.Name, chatCfg)
	p.front.UsePeerTable(p.beside)
	running, stop := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	defer waitAtMost(&tasks, endMost)
	defer p.pool.Close()
	defer stop()
	tasks.Go(func() { p.core.Run(running) })
	first, err := p.firstList(files)
	if err != nil {
		return err
	}
	if len(first.Instances) > 0 {
		p.watch.UseInitialList(first)
	}
	if kept != nil {
		tasks.Go(func() { kept.Run(running) })
	}
	if files.state != "" && files.fleet != nil {
		p.numbers = fencing.Open(machine, files.state, fencing.Owner(files.identity()))
		tasks.Go(func() { p.numbers.Run(running) })
	}
	tasks.Go(func() { p.watch.Run(running) })
	if p.keeper != nil {
		tasks.Go(func() { p.keeper.Run(running) })
	}
	if p.claims != nil {
		tasks.Go(func() { p.claims.Run(running) })
	}
	at := statetransfer.Exchange{Machine: machine, Dir: o.handover, Name: cfg.Name, Settings: p.settings.Load()}
	if o.handover != "" {
		tasks.Go(func() { p.handOver(running, at) })
	}
	if p.beside != nil {
		tasks.Go(func() { p.beside.Run(running) })
	}
	tasks.Go(func() { // to the very end: what is still open while the program drains goes by the list too
		for {
			select {
			case <-on.reload:
				p.reload(running, o.config)
			case <-running.Done():
				return
			}
		}
	})

	if cfg.Settings.PushesEndpoints() {
		// The list of the start may be old, and what the agent has counts as told from the first moment on. It tells it
		// at once; one that is silent is waited for no longer than news has to bind, nor than a restart may take.
		select {
		case <-p.watch.Confirmed():
		case <-time.After(min(cfg.Settings.DrainDeadline(), startMost)):
		case <-ctx.Done():
		}
	}

	p.beside.WaitForPeers(ctx)

	// Clients hold at most 1 in 3 of the sockets for requests, and each of those can need one to a replica.
	// Connections without an open request get 1 in 8 more, idle ones to replicas as many, and the rest is
	// for discovery, releases and the process itself.
	conns := sockets * 11 / 24
	if chatCfg != nil {
		conns -= sockets / 8 // for the chat front
	}
	if err := p.listen(cfg.Listen, p.front, conns, failed); err != nil {
		return err
	}
	if chatCfg != nil {
		if p.chat, err = chatapi.New(p.core, &cfg.Settings, chatCfg, time.Now); err != nil {
			return err
		}
		if p.claims != nil {
			p.chat.UseIdempotencyStore(p.claims)
		}
		p.chat.UsePeerTable(p.beside)
		if err := p.listen(chatCfg.Listen, p.chat, sockets/8, failed); err != nil {
			return err
		}
	}
	p.ready.Store(true)
	if err := p.join(files.fleet, cfg, seed, failed); err != nil {
		return err
	}
	if p.fleet != nil {
		defer p.fleet.Close()
	}
	if cfg.Admin != "" {
		calls := admin.New(map[string]admin.Handler{"check": p.check, "drain-on": p.drainOn, "drain-off": p.drainOff, "members": p.members,
			"duties": p.dutiesCall, "shares": p.sharesCall, "subset": p.subsetCall, "filings": p.filingsCall, "lists": p.listsCall, "versions": p.versionsCall,
			"shut-out": p.handCall("shut-out"), "let-in": p.handCall("let-in"), "judge": p.handCall("judge"), "freeze": p.handCall("freeze")},
			slog.Default())
		listener, err := net.Listen("tcp", cfg.Admin)
		if err != nil {
			return fmt.Errorf("ops: %w", err)
		}
		go calls.Serve(listener)
		defer calls.Close()
	}
	slog.Info("serving", "name", cfg.Name, "listen", cfg.Listen, "chat", p.chat != nil, "ops", cfg.Admin, "pushed", cfg.Settings.PushesEndpoints())
	for done := false; !done; {
		select {
		case err := <-failed:
			return fmt.Errorf("serve: %w", err)
		case <-on.print:
			fmt.Fprintln(out, p.counters(running))
		case <-ctx.Done():
			done = true
		}
	}
	var leaving sync.WaitGroup
	if o.handover != "" {
		leaving.Go(func() { p.leave(running, at) }) // beside the drain: a disk that hangs holds nothing of it up
	}
	err = p.drain(time.Duration(p.grace.Load()))
	waitAtMost(&leaving, endMost)
	fmt.Fprintln(out, p.counters(running))
	return err
}

// also hands a list to both.
func also(first, second func(bool, []dispatch.Endpoint)) func(bool, []dispatch.Endpoint) {
	return func(full bool, entries []dispatch.Endpoint) {
		first(full, entries)
		second(full, entries)
	}
}

// listen starts a front on its address, with room for so many connections.
func (p *program) listen(addr string, front http.Handler, conns int, failed chan<- error) error {
	listener, _, err := connlimit.Listen(context.Background(), addr)
	if err != nil {
		return err
	}
	server := &http.Server{}
	guard := connlimit.NewLimiter(front, p.bodies, &p.state, &p.audit)
	guard.Attach(server)
	p.guards, p.servers, p.listens = append(p.guards, guard), append(p.servers, server), append(p.listens, listener)
	guarded := guard.Listen(listener, conns, p.machine)
	go func() {
		if err := server.Serve(guarded); !errors.Is(err, net.ErrClosed) {
			failed <- err
		}
	}()
	return nil
}
