package fleet

import (
	"context"
	"time"
)

// componentInterval is the time between two ticks of a component.
const componentInterval = 50 * time.Millisecond

// component is an optional part of a Node, such as leased tasks or quota shares.
type component interface {
	// handlers returns the handlers of the messages that the component receives, by message kind. They are called from
	// memberlist's goroutine and must not block.
	handlers() map[byte]messageHandler
	// tick does the work that is due at now, by the node's clock. The component's own goroutine calls it every
	// componentInterval.
	tick(now time.Duration)
	// stop releases what the component holds when the process leaves the fleet. The node calls it once and waits for it
	// to return. Ticks may continue meanwhile.
	stop()
}

// messageHandler handles a decoded message of one kind.
type messageHandler func(m peerMessage)

// addConfiguredComponents adds the components that both the configuration and the process's Options enable.
func (n *Node) addConfiguredComponents() {
	if n.self.Tasks != nil && len(n.cfg.Voters) > 0 {
		n.addComponent(newLeasedTasks(n, n.self.Tasks))
	}
	if n.self.Quota != nil && n.cfg.Budgets != nil {
		n.addComponent(newQuotaShares(n, n.self.Quota))
	}
	if n.self.LearnedState != nil && n.cfg.Bootstrap {
		n.addComponent(newBootstrapper(n, n.self.LearnedState))
	}
	if n.self.VersionSkew != nil && n.cfg.VersionSkew != nil {
		n.addComponent(newSkewMonitor(n, n.self.VersionSkew))
	}
	if n.self.EndpointFilter != nil && n.cfg.EndpointFilter {
		n.addComponent(newEndpointSync(n, n.self.EndpointFilter))
	}
}

// addComponent adds a component and registers its handlers. It must be called before the node runs.
func (n *Node) addComponent(c component) {
	n.components = append(n.components, c)
	if n.handlers == nil {
		n.handlers = map[byte]messageHandler{}
	}
	for kind, handler := range c.handlers() {
		n.handlers[kind] = handler
	}
}

// runComponent calls a component's tick method every componentInterval until the context ends.
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

// componentOf returns the node's component of type C, or false if it is not enabled.
func componentOf[C component](n *Node) (c C, ok bool) {
	for _, enabled := range n.components {
		if c, ok = enabled.(C); ok {
			return c, true
		}
	}
	return c, false
}
