package app

// New configurations while the program runs.

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"strings"

	"rampspread/internal/config"
)

// take notes what binds the program itself of the settings that are in force from now on.
func (p *program) take(settings *config.Settings) {
	p.settings.Store(fingerprint(settings))
	p.grace.Store(int64(settings.ShutdownGrace()))
}

// reload reads the configuration's file again, retunes the module to its settings and follows discovery where
// it now says; the environment told only where discovery was at the start. A file that fails any check changes
// nothing at all. Limits, telemetry, zones, kinds, tenants and the chat front's file hold from the next start.
func (p *program) reload(ctx context.Context, path string) {
	cfg, err := read(path, nil)
	if err == nil {
		err = cfg.Settings.Validate()
	}
	var next config.Classes
	if err == nil {
		next, err = p.classes.Reconfigure(&cfg.Settings)
	}
	if err == nil {
		next.Config.CanPollLoad = cfg.Settings.Limits.Probing
		err = p.core.Reconfigure(ctx, next.Config)
	}
	if err != nil {
		slog.Warn("reload_failed", "err", err)
		return
	}
	p.classes = next
	p.take(&cfg.Settings)
	p.front.SetClasses(next)
	names := slices.Sorted(maps.Keys(next.Names))
	slog.Info("reloaded", "discovery", cfg.Discovery, "classes", strings.Join(names, ","), "attempts", next.Config.MaxAttempts)
	p.watch.MoveTo(cfg.Discovery)
}
