package dispatch

import (
	"context"
	"fmt"

	"rampspread/routing"
)

// Reconfigure gives the Router a new configuration while requests are open. It returns once the Router has taken or
// refused it; the error is the Router's, the context's, or says that the dispatcher is stopped.
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

func (d *Dispatcher) reconfigure(cfg routing.Config) error {
	if err := d.router.Reconfigure(d.now(), cfg); err != nil {
		return err
	}
	cfg.Kinds = d.config.Kinds // new kinds take effect only at the next process start
	d.config = cfg
	return nil
}
