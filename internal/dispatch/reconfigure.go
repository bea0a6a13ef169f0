package dispatch

import (
	"context"
	"fmt"

	"rampspread/routing"
)

// Reconfigure passes the Router a new configuration; requests may be open. It returns when the Router has applied or
// rejected the configuration. The error is that of the Router or the context, or errStopped if Run has ended.
func (d *Dispatcher) Reconfigure(ctx context.Context, cfg routing.Config) error {
	rejection, err := query(ctx, d, func() error { return d.reconfigure(cfg) })
	if err == nil {
		err = rejection
	}
	if err != nil {
		return fmt.Errorf("reconfigure dispatcher: %w", err)
	}
	return nil
}

// reconfigure applies a configuration, except its kinds.
func (d *Dispatcher) reconfigure(cfg routing.Config) error {
	if err := d.router.Reconfigure(d.now(), cfg); err != nil {
		return err
	}
	cfg.Kinds = d.config.Kinds // new kinds take effect only at the next process start
	d.config = cfg
	return nil
}
