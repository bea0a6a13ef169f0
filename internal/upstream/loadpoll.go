package upstream

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"time"

	"rampspread/internal/dispatch"
	"rampspread/routing"
)

const loadPath = "/load"

// PollLoad implements dispatch.Upstream.
func (c *Client) PollLoad(target dispatch.EndpointAddress, timeout time.Duration, onReport func(*routing.LoadReport)) {
	c.PollLoadFor("", target, timeout, onReport)
}

// PollLoadFor polls a replica's load as PollLoad does, but on behalf of the fleet, under the named lease. It calls
// onReport once, from another goroutine, with nil if the replica gave no valid load report within the timeout.
func (c *Client) PollLoadFor(
	lease string, target dispatch.EndpointAddress, timeout time.Duration, onReport func(*routing.LoadReport),
) {
	go func() {
		report, err := c.fetchLoad(lease, target, timeout)
		if err != nil {
			slog.Warn("load_poll_failed", "server", target.Name, "err", err)
		}
		onReport(report)
	}()
}

func (c *Client) fetchLoad(lease string, target dispatch.EndpointAddress, timeout time.Duration) (*routing.LoadReport, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	resp, data, err := c.shortCall(ctx, http.MethodGet, target, loadPath, lease)
	if err != nil {
		return nil, fmt.Errorf("load: %w", err)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("load: %w", statusError(resp.StatusCode))
	}
	return c.parseLoadReport(string(data)), nil
}
