package discovery

import "time"

// SetDelay sets the delay of later changes of the list.
func (d *Server) SetDelay(delay time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.delay = delay
}

// Silence makes discovery stop sending, both on watches and to new requests.
func (d *Server) Silence() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastBeforeSilence = d.current.clone()
	d.silent = true
	d.notifyWatchers()
}

// Resume ends the silence, and records the changes that the dispatchers missed.
func (d *Server) Resume() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.silent {
		for _, e := range d.current.entries {
			if e.version > d.lastBeforeSilence.version {
				d.recordChange(e)
			}
		}
	}
	d.silent = false
	d.notifyWatchers()
}

// Freeze makes discovery serve a dispatcher the list as it is now, without later changes.
func (d *Server) Freeze(dispatcher int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.frozen[dispatcher] = d.current.clone()
	d.notifyWatchers()
}

// Unfreeze makes discovery serve a dispatcher the current list again.
func (d *Server) Unfreeze(dispatcher int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.frozen, dispatcher)
	d.notifyWatchers()
}

// SilenceWatches makes the open watches of a dispatcher stay open without sending anything more.
func (d *Server) SilenceWatches(dispatcher int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.watchesSilencedAt[dispatcher] = time.Now()
	d.watchSilences[dispatcher]++
}

// recordWatchOpened records that a dispatcher opens a watch. The returned function reports whether SilenceWatches has
// silenced the watch since then.
func (d *Server) recordWatchOpened(dispatcher int) (silenced func() bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.watchesSilencedAt, dispatcher)
	n := d.watchSilences[dispatcher]
	return func() bool {
		d.mu.Lock()
		defer d.mu.Unlock()
		return d.watchSilences[dispatcher] > n
	}
}

// RecordMove records that a dispatcher is about to be moved to another discovery service.
func (d *Server) RecordMove(dispatcher int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.movedAt[dispatcher] = time.Now()
}

// Open makes one of the two addresses at which a dispatcher is served accept new connections.
func (d *Server) Open(dispatcher, address int) { d.listeners[dispatcher][address].SetDown(false) }

// Refuse makes one of the two addresses at which a dispatcher is served refuse new connections. Open connections stay
// open.
func (d *Server) Refuse(dispatcher, address int) { d.listeners[dispatcher][address].SetDown(true) }
