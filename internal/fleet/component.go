package fleet

import (
	"context"
	"time"
)

// componentInterval is the time between two ticks of a component.
const componentInterval = 50 * time.Millisecond

// component is an optional part of a Node, such as leased tasks or quota shares.
type component interface {
	// handlers are the messages that the component takes, by kind. Handlers are called from memberlist's goroutine and
	// must not block.
	handlers() map[byte]messageHandler
	// tick does what is due at a time of the node's clock. The component's own goroutine calls it every
	// componentInterval.
	tick(now time.Duration)
	// stop gives up what the component holds, since the process leaves the fleet. The node calls it once, while ticks
	// may go on, and waits for it.
	stop()
}

// messageHandler takes a decoded message of one kind.
type messageHandler func(m peerMessage)

// addConfigured adds the components that the configuration and the process both provide for.
func (n *Node) addConfigured() {
	if n.self.Tasks != nil && len(n.cfg.Voters) > 0 {
		n.add(newLeasedTasks(n, n.self.Tasks))
	}
	if n.self.Quota != nil && n.cfg.Budgets != nil {
		n.add(newQuotaShares(n, n.self.Quota))
	}
	if n.self.LearnedState != nil && n.cfg.Bootstrap {
		n.add(newBootstrapper(n, n.self.LearnedState))
	}
	if n.self.VersionSkew != nil && n.cfg.VersionSkew != nil {
		n.add(newSkewMonitor(n, n.self.VersionSkew))
	}
	if n.self.EndpointFilter != nil && n.cfg.EndpointFilter {
		n.add(newEndpointSync(n, n.self.EndpointFilter))
	}
}

// add adds a component and registers its handlers. The node does not run yet.
func (n *Node) add(c component) {
	n.components = append(n.components, c)
	if n.handlers == nil {
		n.handlers = map[byte]messageHandler{}
	}
	for kind, handler := range c.handlers() {
		n.handlers[kind] = handler
	}
}

// runComponent ticks a component until the context ends.
func (n *Node) runComponent(ctx context.Context, c component) {
	ticks := time.NewTicker(componentInterval)
	defer ticks.Stop()
	for {
		select {
		case <-ticks.C:
			c.tick(n.now())
		case <-ctx.Done():
			return
		}
	}
}

// componentOf returns the node's component of type C; false: it is not enabled.
func componentOf[C component](n *Node) (c C, ok bool) {
	for _, enabled := range n.components {
		if c, ok = enabled.(C); ok {
			return c, true
		}
	}
	return c, false
}
