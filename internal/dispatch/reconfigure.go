package dispatch

import (
	"context"
	"errors"
	"fmt"

	"rampspread/routing"
)

// Reconfigure gives the module a new configuration while requests are open, and returns once it has it or
// has refused it.
func (c *Dispatcher) Reconfigure(ctx context.Context, cfg routing.Config) error {
	done := make(chan error, 1)
	if !c.post(func() { done <- c.reconfigure(cfg) }) {
		return errStopped
	}
	select {
	case err := <-done:
		if err != nil {
			return fmt.Errorf("core: %w", err)
		}
		return nil
	case <-ctx.Done():
		return fmt.Errorf("core: retune: %w", ctx.Err())
	case <-c.stopped:
		return errStopped
	}
}

func (c *Dispatcher) reconfigure(cfg routing.Config) error {
	if err := c.router.Reconfigure(c.now(), cfg); err != nil {
		return err
	}
	cfg.Kinds = c.config.Kinds // they hold from the next start
	c.config = cfg
	return nil
}

var errStopped = errors.New("core: stopped")
