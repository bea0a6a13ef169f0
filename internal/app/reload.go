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

// reloader applies a changed configuration file while the process runs. It owns the configuration in force and the
// table of classes, which only the goroutine of run uses.
type reloader struct {
	path            string // path of the configuration file
	config          *config.Config
	classes         config.Classes
	settings        *activeSettings
	dispatcher      *dispatch.Dispatcher
	frontendHandler *frontend.Handler
	watcher         *discovery.Watcher
}

// run reloads the configuration on each signal from requests until the context ends. It does so during an operator's
// drain and the graceful shutdown too, because open requests still depend on the endpoint list.
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

// reload reads the configuration file again, applies its settings to the dispatcher and makes the watcher use discovery
// at the address in the file. The address in the environment applies only at the start. A file that fails any check
// changes nothing. Limits, telemetry, zones, kinds, tenants and the chat frontend's file are read only at the next
// start.
func (r *reloader) reload(ctx context.Context) {
	cfg, next, err := r.read()
	if err == nil {
		err = r.dispatcher.Reconfigure(ctx, next.Config)
	}
	if err != nil {
		slog.Warn("reload_failed", "err", err)
		return
	}
	r.config, r.classes = cfg, next
	r.settings.set(&cfg.Settings)
	r.frontendHandler.SetClasses(next)
	names := slices.Sorted(maps.Keys(next.IndexByName))
	slog.Info("reloaded", "discovery", cfg.Discovery, "classes", strings.Join(names, ","),
		"attempts", next.Config.MaxAttempts)
	r.watcher.MoveTo(cfg.Discovery)
}

// read reads and checks the configuration file, and returns the table of classes under its settings. It changes
// nothing.
func (r *reloader) read() (*config.Config, config.Classes, error) {
	cfg, err := readConfig(r.path, nil)
	if err != nil {
		return nil, config.Classes{}, err
	}
	if err := cfg.RequireKeysOf(r.config); err != nil {
		return nil, config.Classes{}, err
	}
	if err := cfg.Settings.Validate(); err != nil {
		return nil, config.Classes{}, err
	}
	next, err := r.classes.Reconfigure(&cfg.Settings)
	if err != nil {
		return nil, config.Classes{}, err
	}
	next.Config.CanPollLoad = cfg.Settings.Limits.LoadPolling
	return cfg, next, nil
}

// activeSettings holds the values of the settings in force that the process itself uses. A reload changes them; any
// goroutine may read them.
type activeSettings struct {
	digest atomic.Uint64 // fingerprint of the settings
	grace  atomic.Int64  // shutdown grace in ns
}

func (a *activeSettings) set(settings *config.Settings) {
	a.digest.Store(fingerprint(settings))
	a.grace.Store(int64(settings.ShutdownGrace()))
}

// fingerprint returns the hash by which other processes compare the settings.
func (a *activeSettings) fingerprint() uint64 { return a.digest.Load() }

// shutdownGrace returns the time from SIGTERM until the platform may kill the process.
func (a *activeSettings) shutdownGrace() time.Duration { return time.Duration(a.grace.Load()) }

// fingerprint returns a hash of the settings, which is equal for equal settings in every process and version. The zone
// index is left out, because it differs between zones.
func fingerprint(settings *config.Settings) uint64 {
	common := *settings
	common.ZoneIndex = 0
	encoded, err := json.Marshal(common)
	if err != nil {
		return 0 // not reached: settings that were read from JSON can be encoded
	}
	return xxhash.Sum64(encoded)
}
