package discovery

import "time"

// SetDelay delays later changes.
func (d *Server) SetDelay(delay time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.delay = delay
}

// Silence makes discovery send nothing and answer no request.
func (d *Server) Silence() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastBeforeSilence = d.current.clone()
	d.silent = true
	d.notifyWatchers()
}

// Resume ends its silence. Agents then get what they missed.
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

// Freeze makes a dispatcher's discovery serve the list as it is now, and no change.
func (d *Server) Freeze(dispatcher int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.frozen[dispatcher] = d.current.clone()
	d.notifyWatchers()
}

// Unfreeze makes a dispatcher's discovery serve the current list again.
func (d *Server) Unfreeze(dispatcher int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.frozen, dispatcher)
	d.notifyWatchers()
}

// SilenceWatches makes the open watches of a dispatcher fall silent.
func (d *Server) SilenceWatches(dispatcher int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.watchesSilencedAt[dispatcher] = time.Now()
	d.watchSilences[dispatcher]++
}

// recordWatchOpened notes that a dispatcher opens a watch, and returns what tells whether that has fallen silent since.
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

// NoteMove notes that a dispatcher is about to be moved to another discovery.
func (d *Server) NoteMove(dispatcher int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.movedAt[dispatcher] = time.Now()
}

// Open makes one of a dispatcher's two addresses accept calls.
func (d *Server) Open(dispatcher, address int) { d.listeners[dispatcher][address].SetDown(false) }

// Refuse makes one of a dispatcher's two addresses refuse new calls; open connections stay.
func (d *Server) Refuse(dispatcher, address int) { d.listeners[dispatcher][address].SetDown(true) }
