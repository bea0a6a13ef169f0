package app

// component is a part of the process that is started, and possibly stopped, in a fixed order.
type component struct {
	name  string       // describes the component to readers of the code
	start func() error // nil if there is nothing to start
	stop  func()       // nil if the component ends with the background goroutines, in drainClients or with the process
}

// startAll starts components in order until one fails, and returns the components that were started.
func startAll(components []component) (started []component, err error) {
	for _, c := range components {
		if c.start != nil {
			if err := c.start(); err != nil {
				return started, err
			}
		}
		started = append(started, c)
	}
	return started, nil
}

// stopAll stops components in the reverse order.
func stopAll(started []component) {
	for i := len(started) - 1; i >= 0; i-- {
		if stop := started[i].stop; stop != nil {
			stop()
		}
	}
}
