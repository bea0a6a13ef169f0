package app

import (
	"context"
	"encoding/json"
	"log/slog"
	"maps"
	"os"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"rampspread/internal/config"
	"rampspread/internal/discovery"
	"rampspread/internal/dispatch"
	"rampspread/internal/frontend"
)

// reloader applies a changed configuration file while the process runs. It owns the table of classes; run is its only
// goroutine.
type reloader struct {
	path            string // of the configuration
	classes         config.Classes
	settings        *activeSettings
	dispatcher      *dispatch.Dispatcher
	frontendHandler *frontend.Handler
	watcher         *discovery.Watcher
}

// run reloads on each request until the context ends, also while the process drains: what is still open then goes by
// the endpoint list too.
func (r *reloader) run(ctx context.Context, requests <-chan os.Signal) {
	for {
		select {
		case <-requests:
			r.reload(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// reload reads the configuration's file again, applies its settings to the dispatcher and moves discovery to the
// address that it now names; the environment's address holds only at the start. A file that fails any check changes
// nothing at all. Limits, telemetry, zones, kinds, tenants and the chat front's file are read at the next start only.
func (r *reloader) reload(ctx context.Context) {
	cfg, err := readConfig(r.path, nil)
	if err == nil {
		err = cfg.Settings.Validate()
	}
	var next config.Classes
	if err == nil {
		next, err = r.classes.Reconfigure(&cfg.Settings)
	}
	if err == nil {
		next.Config.CanPollLoad = cfg.Settings.Limits.LoadPolling
		err = r.dispatcher.Reconfigure(ctx, next.Config)
	}
	if err != nil {
		slog.Warn("reload_failed", "err", err)
		return
	}
	r.classes = next
	r.settings.set(&cfg.Settings)
	r.frontendHandler.SetClasses(next)
	names := slices.Sorted(maps.Keys(next.Names))
	slog.Info("reloaded", "discovery", cfg.Discovery, "classes", strings.Join(names, ","),
		"attempts", next.Config.MaxAttempts)
	r.watcher.MoveTo(cfg.Discovery)
}

// activeSettings is what the process itself takes from the settings in force. A reload changes it; any goroutine may
// read it.
type activeSettings struct {
	digest atomic.Uint64 // fingerprint
	grace  atomic.Int64  // ns
}

func (a *activeSettings) set(settings *config.Settings) {
	a.digest.Store(fingerprint(settings))
	a.grace.Store(int64(settings.ShutdownGrace()))
}

// fingerprint identifies the settings to other processes.
func (a *activeSettings) fingerprint() uint64 { return a.digest.Load() }

// shutdownGrace is the time from SIGTERM until the platform may kill the process.
func (a *activeSettings) shutdownGrace() time.Duration { return time.Duration(a.grace.Load()) }

// fingerprint is a hash of the settings that is the same for the same settings in every process and version. The zone
// does not count: each zone has its own.
func fingerprint(settings *config.Settings) uint64 {
	common := *settings
	common.ZoneIndex = 0
	encoded, err := json.Marshal(common)
	if err != nil {
		return 0 // what was read from JSON always marshals
	}
	return xxhash.Sum64(encoded)
}
