package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"net"
	"net/http"
	"os"
	"runtime"
	"runtime/debug"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/net/netutil"
	"golang.org/x/sync/semaphore"

	"rampspread/internal/accept"
	"rampspread/internal/chat"
	"rampspread/internal/clients"
	"rampspread/internal/core"
	"rampspread/internal/discovery"
	"rampspread/internal/fleet"
	"rampspread/internal/fleet/claims"
	"rampspread/internal/fleet/keep"
	"rampspread/internal/fleet/lists"
	"rampspread/internal/fleet/work"
	"rampspread/internal/ops"
	"rampspread/internal/servers"
	"rampspread/internal/state/beside"
	"rampspread/internal/state/handover"
	"rampspread/internal/state/terms"
	"rampspread/internal/system"
	"rampspread/internal/wire"
	"rampspread/internal/xds"
)

const (
	// After SIGTERM new connections still come for up to 0.4 s, and requests on open ones for longer.
	lameDuck    = 500 * time.Millisecond // until idle connections are closed
	lastCall    = 400 * time.Millisecond // from then until the listener is
	shutdownFor = 20 * time.Second
	startMost   = 2 * time.Second        // that a start waits for its list: nine in ten have 6 s in all, on a busy machine too
	tooLate     = 700 * time.Millisecond // a request that comes later and is unanswered as the process is killed is lost
	closeEvery  = 50 * time.Millisecond  // between looks for connections that have come to rest
	// For what is given up to be answered, and what is held for it to be let go: a close is told after 10 ms, a release may
	// have to try a second replica after 30 ms, and what a read left shows within 120 ms.
	lastWords = 300 * time.Millisecond
)

// load reads the configuration that the program starts with; the environment's words stand above the file's.
func load(path string) (*wire.Config, error) {
	return read(path, map[string]func(*wire.Config) *string{
		"LB_NAME":      func(c *wire.Config) *string { return &c.Name },
		"LB_LISTEN":    func(c *wire.Config) *string { return &c.Listen },
		"LB_DISCOVERY": func(c *wire.Config) *string { return &c.Discovery },
		"LB_OPS":       func(c *wire.Config) *string { return &c.Ops },
	})
}

// read reads and checks a configuration. The words that env names take the place of the file's.
func read(path string, env map[string]func(*wire.Config) *string) (*wire.Config, error) {
	if path == "" {
		return nil, errors.New("no configuration: set LB_CONFIG or -config")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("config: %w", err)
	}
	cfg, err := wire.ParseConfig(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	for name, field := range env {
		if v := os.Getenv(name); v != "" {
			*field(cfg) = v
		}
	}
	if err := cfg.Validate(); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return cfg, nil
}

// loadChat reads the chat front's file; no path means that there is no such front.
func loadChat(path string, settings *wire.Settings) (*chat.Config, error) {
	if path == "" {
		return nil, nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("chat: %w", err)
	}
	cfg, err := chat.ParseConfig(text, settings)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return cfg, nil
}

// program is one running dispatcher.
type program struct {
	core     *core.Core
	pool     *servers.Pool
	watch    *discovery.Watcher
	front    *clients.Front
	chat     *chat.Front // nil without one
	bodies   *semaphore.Weighted
	state    clients.State
	ready    atomic.Bool // the client listeners take connections
	guards   []*clients.Guard
	servers  []*http.Server
	listens  []net.Listener
	fleet    *fleet.Node                // nil: alone
	member   atomic.Pointer[fleet.Node] // the same, for goroutines that began before it
	tasks    *work.Tasks                // of the fleet; nil: alone
	beside   *beside.Table              // nil: no other process of this name is looked for
	claims   *claims.Service            // nil: the chat front's own table is all
	keeper   *keep.Keeper               // nil: it keeps to all replicas
	lists    *lists.Guard               // nil: its own list is all
	numbers  *terms.Numbers             // of the fleet's leases; nil: none outlives the process
	shutOut  atomic.Bool                // drained for being behind
	settings atomic.Uint64              // fingerprint of the settings in force
	classes  wire.Classes               // the module's classes; only reload changes them, in one goroutine
}

// options are what the command line says of a dispatcher besides its files' content.
type options struct {
	config   string // path of the configuration, which a reload reads again
	handover string // folder
	xdsAddr  string
}

// serve is one dispatcher, from its start to its orderly end.
func serve(ctx context.Context, files checked, o options, on signals, out io.Writer) error {
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
	classes, err := cfg.Settings.Table()
	if err != nil {
		return err
	}
	router := classes.Config
	router.MayProbe, router.Budgets = cfg.Settings.Limits.Probing, budgets(files.fleet)
	p := &program{classes: classes, pool: servers.New(&cfg.Settings, max(sockets/8, 4), max(sockets/8, 4)), bodies: semaphore.NewWeighted(memory / 8)}
	if p.core, err = core.New(router, seed, p.pool); err != nil {
		return err
	}
	failed := make(chan error, 4)
	p.settings.Store(fingerprint(&cfg.Settings))
	publish := p.core.Roster
	if files.fleet != nil {
		p.tasks = p.share(cfg)
		publish = also(publish, p.tasks.Roster)
	}
	if p.keeper = p.keepTo(files.fleet, cfg, router); p.keeper != nil {
		publish = also(publish, p.keeper.Roster)
	}
	if o.xdsAddr != "" {
		proxies := xds.New(&cfg.Settings)
		listener, err := net.Listen("tcp", o.xdsAddr)
		if err != nil {
			return fmt.Errorf("xds: %w", err)
		}
		go func() {
			if err := proxies.Serve(netutil.LimitListener(accept.New(listener, system.Real()), sockets/32)); err != nil {
				failed <- err
			}
		}()
		defer proxies.Stop()
		publish = also(publish, proxies.Publish)
	}
	if files.fleet != nil && files.fleet.Ends {
		p.lists = lists.New(publish, listOf{p}.Version, time.Now)
		publish = p.lists.Roster
	}
	kept := p.keepList(files)
	if kept != nil {
		publish = also(publish, andKeep(kept))
	}
	p.watch = discovery.New(cfg.Discovery, &cfg.Settings, seed, publish)
	p.watch.Fleet(p.alike(files.fleet, cfg))
	if p.claims, err = p.ledger(files, time.Now()); err != nil {
		return err
	}
	p.front = clients.New(p.core, &cfg.Settings, classes)
	p.beside = shareOpen(o.handover, cfg.Name, chatCfg)
	p.front.Beside(p.beside)
	running, stop := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	defer tasks.Wait()
	defer p.pool.Close()
	defer stop()
	tasks.Go(func() { p.core.Run(running) })
	first, err := p.firstList(files)
	if err != nil {
		return err
	}
	if len(first.Instances) > 0 {
		p.watch.Known(first)
	}
	if kept != nil {
		tasks.Go(func() { kept.Run(running) })
	}
	if files.state != "" && files.fleet != nil {
		p.numbers = terms.Open(files.state, terms.Owner(files.identity()))
		tasks.Go(func() { p.numbers.Run(running) })
	}
	tasks.Go(func() { p.watch.Run(running) })
	if p.keeper != nil {
		tasks.Go(func() { p.keeper.Run(running) })
	}
	if p.claims != nil {
		tasks.Go(func() { p.claims.Run(running) })
	}
	at := handover.Place{Dir: o.handover, Name: cfg.Name, Settings: p.settings.Load()}
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

	if cfg.Settings.Pushed() {
		// The list of the start may be old, and what the agent has counts as told from the first moment on. It tells it
		// at once; one that is silent is waited for no longer than news has to bind, nor than a restart may take.
		select {
		case <-p.watch.Confirmed():
		case <-time.After(min(cfg.Settings.Binds(), startMost)):
		case <-ctx.Done():
		}
	}

	p.beside.Wait(ctx)

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
		if p.chat, err = chat.New(p.core, &cfg.Settings, chatCfg, time.Now); err != nil {
			return err
		}
		if p.claims != nil {
			p.chat.UseLedger(p.claims)
		}
		p.chat.Beside(p.beside)
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
	if cfg.Ops != "" {
		calls := ops.New(map[string]ops.Call{"check": p.check, "drain-on": p.drainOn, "drain-off": p.drainOff, "members": p.members,
			"duties": p.dutiesCall, "shares": p.sharesCall, "subset": p.subsetCall, "filings": p.filingsCall, "lists": p.listsCall, "versions": p.versionsCall,
			"shut-out": p.handCall("shut-out"), "let-in": p.handCall("let-in"), "judge": p.handCall("judge"), "freeze": p.handCall("freeze")},
			slog.Default())
		listener, err := net.Listen("tcp", cfg.Ops)
		if err != nil {
			return fmt.Errorf("ops: %w", err)
		}
		go calls.Serve(listener)
		defer calls.Close()
	}
	slog.Info("serving", "name", cfg.Name, "listen", cfg.Listen, "chat", p.chat != nil, "ops", cfg.Ops, "pushed", cfg.Settings.Pushed())
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
	if o.handover != "" {
		p.leave(running, at)
	}
	err = p.drain(cfg.Settings.Grace())
	fmt.Fprintln(out, p.counters(running))
	return err
}

// also hands a list to both.
func also(first, second func(bool, []core.Listing)) func(bool, []core.Listing) {
	return func(full bool, entries []core.Listing) {
		first(full, entries)
		second(full, entries)
	}
}

// reload reads the configuration's file again, retunes the module to its settings and follows discovery where
// it now says; the environment told only where discovery was at the start. A file that fails any check changes
// nothing at all. Limits, telemetry, zones, kinds, tenants and the chat front's file hold from the next start.
func (p *program) reload(ctx context.Context, path string) {
	cfg, err := read(path, nil)
	if err == nil {
		err = cfg.Settings.Check()
	}
	var next wire.Classes
	if err == nil {
		next, err = p.classes.Retune(&cfg.Settings)
	}
	if err == nil {
		next.Config.MayProbe = cfg.Settings.Limits.Probing
		err = p.core.Retune(ctx, next.Config)
	}
	if err != nil {
		slog.Warn("reload_failed", "err", err)
		return
	}
	p.classes = next
	p.settings.Store(fingerprint(&cfg.Settings))
	p.front.SetClasses(next)
	names := slices.Sorted(maps.Keys(next.Names))
	slog.Info("reloaded", "discovery", cfg.Discovery, "classes", strings.Join(names, ","), "attempts", next.Config.MaxAttempts)
	p.watch.Move(cfg.Discovery)
}

// listen starts a front on its address, with room for so many connections.
func (p *program) listen(addr string, front http.Handler, conns int, failed chan<- error) error {
	listener, _, err := clients.Listen(context.Background(), addr)
	if err != nil {
		return err
	}
	server := &http.Server{}
	guard := clients.NewGuard(front, p.bodies, &p.state)
	guard.Attach(server)
	p.guards, p.servers, p.listens = append(p.guards, guard), append(p.servers, server), append(p.listens, listener)
	go func() {
		if err := server.Serve(guard.Listen(listener, conns)); !errors.Is(err, net.ErrClosed) {
			failed <- err
		}
	}()
	return nil
}

// drain ends in good order. New connections still come for a while: they are taken, and each answer is the
// last on its connection. Idle connections close next, and the listeners last.
func (p *program) drain(grace time.Duration) error {
	slog.Info("draining")
	last := time.AfterFunc(grace-lastWords, p.giveUp)
	defer last.Stop()
	p.state.Stopping.Store(true)
	if p.fleet != nil {
		go func() {
			p.fleet.Leave()
			p.fleet.Close() // a process that replaces this one has its address
		}()
	}
	time.Sleep(lameDuck)
	p.state.Closing.Store(true)
	lateOnes := time.AfterFunc(tooLate-lameDuck, func() { p.state.Late.Store(true) })
	defer lateOnes.Stop()
	// The guards close what rests, not the servers' Shutdown: that closes connections on which a request is just being read, and
	// drops one whose head has been read, without an answer.
	begun := time.Now()
	tick := time.NewTicker(closeEvery)
	defer tick.Stop()
	var errs []error
	for listening := true; ; <-tick.C {
		if listening && time.Since(begun) >= lastCall {
			listening = false
			for _, l := range p.listens {
				if err := l.Close(); err != nil {
					errs = append(errs, fmt.Errorf("shutdown: %w", err))
				}
			}
		}
		open := 0
		for _, g := range p.guards {
			g.CloseQuiet(lastCall) // of new connections the last may have come just before the front saw this process go
			open += g.Open()
		}
		if !listening && open == 0 {
			break
		}
		if time.Since(begun) >= lastCall+shutdownFor {
			errs = append(errs, fmt.Errorf("shutdown: %d connections are still open", open))
			break
		}
	}
	for _, s := range p.servers {
		s.Close()
	}
	if p.beside.Beside() {
		time.Sleep(lastWords) // what was let go last is still on its way, and the process that goes on cannot let go of it
	}
	return errors.Join(errs...)
}

// quietFor is how long a drained front waits for a connection without an open request to say something.
const quietFor = 2 * time.Second

// check is the operators' call that asks whether this process takes clients.
func (p *program) check() (bool, string) {
	switch {
	case p.state.Stopping.Load():
		return false, "stopping"
	case !p.ready.Load():
		return false, "starting"
	case p.state.Held.Load():
		return true, "serving, drained"
	}
	return true, "serving"
}

// drainOn sends clients away: GET /healthz says no, each answer is the last on its connection, and
// connections without an open request are closed as they come to be idle or quiet.
func (p *program) drainOn() (bool, string) {
	if p.state.Held.Swap(true) {
		return true, "draining already"
	}
	slog.Info("drain_on")
	go func() {
		tick := time.NewTicker(closeEvery)
		defer tick.Stop()
		for p.state.Held.Load() {
			for _, g := range p.guards {
				g.CloseQuiet(quietFor)
			}
			<-tick.C
		}
	}()
	return true, "draining"
}

// drainOff takes clients again at once.
func (p *program) drainOff() (bool, string) {
	if p.state.Stopping.Load() {
		return false, "stopping: SIGTERM came"
	}
	if !p.state.Held.Swap(false) {
		return true, "serving already"
	}
	slog.Info("drain_off")
	return true, "serving"
}

// counters is one line of what was taken in, sent and answered.
func (p *program) counters(ctx context.Context) string {
	n := p.core.Counters(ctx)
	bad, skipped := p.front.Bad(), p.pool.Bad()
	shed, closed := int64(0), int64(0)
	for _, g := range p.guards {
		bad, shed, closed = bad+g.Bad(), shed+g.Shed(), closed+g.Closed()
	}
	if p.chat != nil {
		bad, skipped = bad+p.chat.Bad(), skipped+p.chat.Skipped()
	}
	var outcomes []string
	for name, count := range n.Outcomes {
		outcomes = append(outcomes, fmt.Sprintf(" outcome_%s=%d", name, count))
	}
	slices.Sort(outcomes)
	return fmt.Sprintf("event=counters taken=%d open=%d servers=%d sent=%d probed=%d heard=%d released=%d served=%d broken=%d refused=%d failed=%d "+
		"overdue=%d left=%d bad_requests=%d shed=%d closed_for_room=%d bad_answers=%d bad_entries=%d beside_failed=%d goroutines=%d%s", n.Taken, n.Open, n.Listed, n.Sent, n.Probed, n.Heard, n.Released,
		n.Served, n.Broken, n.Refused, n.Failed, n.Overdue, n.Left, bad, shed, closed, skipped, p.watch.Bad(), p.beside.Failed(), runtime.NumGoroutine(), strings.Join(outcomes, "")+p.fleetCounters())
}
