package app

// component is one part of the process that has to be started, and possibly stopped, in its turn.
type component struct {
	name  string       // for readers of the list
	start func() error // nil: there is nothing to start
	stop  func()       // nil: it ends with the background goroutines, or with the process
}

// startAll starts components in order, up to the first that fails, and returns those that were started.
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

// stopAll stops components in the reverse of their order.
func stopAll(started []component) {
	for i := len(started) - 1; i >= 0; i-- {
		if stop := started[i].stop; stop != nil {
			stop()
		}
	}
}
