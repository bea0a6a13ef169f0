package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"rampspread/internal/faultbench/history"
	"rampspread/internal/faultbench/network"
)

// keepAliveInterval is the interval at which an empty line is sent on an open watch.
const keepAliveInterval = 2 * time.Second

// Endpoint is the entry of a replica in a sent List.
type Endpoint struct {
	ID          string  `json:"instanceId"`
	HostPort    string  `json:"hostPort"`
	Zone        string  `json:"zone"`
	MachineType string  `json:"machineType"`
	Cell        int     `json:"cell"`
	Lifecycle   State   `json:"lifecycle"`
	Weight      float64 `json:"weight"`
	StartedAtMS int64   `json:"startedAtMs"`
}

// List is the message that contains the full endpoint list, or its changes after a version.
type List struct {
	Generation uint64     `json:"generation"`
	Reset      bool       `json:"reset"` // the message contains the full list
	Instances  []Endpoint `json:"instances"`
}

// Serve starts and returns a server that handles one dispatcher's requests at one of the two addresses for that
// dispatcher.
func (d *Server) Serve(l *network.Listener, dispatcher, address int) *http.Server {
	d.listeners[dispatcher][address] = l
	s := &http.Server{ErrorLog: network.DiscardLog,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { d.handle(w, r, dispatcher) })}
	go s.Serve(l)
	return s
}

// LastKnown returns the newest list that a dispatcher has received or could have received.
func (d *Server) LastKnown(dispatcher int) List {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.silent {
		return d.fullList(d.lastBeforeSilence, dispatcher)
	}
	return d.fullList(d.current, dispatcher)
}

// effectiveSnapshot returns the list that a dispatcher is served: the list that Freeze froze for it, or s if there is
// none. The caller must hold mu.
func (d *Server) effectiveSnapshot(s snapshot, dispatcher int) snapshot {
	if frozen, ok := d.frozen[dispatcher]; ok {
		return frozen
	}
	return s
}

// fullList returns the message with the full list s, or with the dispatcher's frozen list in place of s. The caller
// must hold mu.
func (d *Server) fullList(s snapshot, dispatcher int) List {
	s = d.effectiveSnapshot(s, dispatcher)
	out := List{Generation: s.version, Reset: true, Instances: []Endpoint{}}
	for name, e := range s.entries {
		if e.state != Gone {
			out.Instances = append(out.Instances, d.endpoint(name, e, dispatcher))
		}
	}
	return out
}

// changesAfter returns the message with the changes of the list s after a version, or with those of the dispatcher's
// frozen list in place of s. The caller must hold mu.
func (d *Server) changesAfter(s snapshot, version uint64, dispatcher int) List {
	s = d.effectiveSnapshot(s, dispatcher)
	out := List{Generation: s.version, Instances: []Endpoint{}}
	for name, e := range s.entries {
		if e.version > version {
			out.Instances = append(out.Instances, d.endpoint(name, e, dispatcher))
		}
	}
	return out
}

func (d *Server) endpoint(name string, e entry, dispatcher int) Endpoint {
	p := d.config.Deployment
	out := Endpoint{ID: name, HostPort: d.config.Address(e.replica, dispatcher), Zone: p.ZoneName(e.replica.Zone),
		MachineType: p.KindOf(e.replica.Index, e.replica.Decode), Cell: e.replica.Zone, Lifecycle: e.state,
		Weight: e.replica.Weight()}
	if !e.started.IsZero() {
		out.StartedAtMS = e.started.UnixMilli()
	}
	return out
}

// send writes a list to a dispatcher and records the state of each replica on it.
func (d *Server) send(w io.Writer, l List, dispatcher int) error {
	for _, instance := range l.Instances {
		kind := history.EndpointReady
		if instance.Lifecycle != Ready {
			kind = history.EndpointWithdrawn
		}
		d.config.History.Add(history.Event{Kind: kind, Replica: instance.ID, Dispatcher: dispatcher, Version: l.Generation})
	}
	out := json.NewEncoder(w)
	if d.config.Deployment.IndentedLists {
		out.SetIndent("", "  ")
	}
	if err := out.Encode(l); err != nil {
		return fmt.Errorf("discovery: %w", err)
	}
	return nil
}

// sendChanges sends changes if there are any. If first is set and there are none, it sends a keep-alive, so that the
// watch's response header is sent.
func (d *Server) sendChanges(w io.Writer, l List, first bool, dispatcher int) error { //revive:disable-line:flag-parameter a fact about the watch's state
	if len(l.Instances) > 0 {
		return d.send(w, l, dispatcher)
	}
	if first {
		io.WriteString(w, "\n") // the caller's flush reports an error
	}
	return nil
}

func (d *Server) handle(w http.ResponseWriter, r *http.Request, dispatcher int) {
	var version uint64
	watch := r.URL.Query().Get("stream") != ""
	d.config.History.Add(history.Event{Kind: history.DiscoveryRequested, Dispatcher: dispatcher})
	if _, err := fmt.Sscan(r.URL.Query().Get("index"), &version); watch && err != nil && !errors.Is(err, io.EOF) {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if watch {
		d.handleWatch(w, r, version, dispatcher)
	} else {
		d.handleRequest(w, r, dispatcher)
	}
}

// handleRequest sends the full list as soon as discovery is not silent.
func (d *Server) handleRequest(w http.ResponseWriter, r *http.Request, dispatcher int) {
	keepAlive := time.NewTicker(keepAliveInterval)
	defer keepAlive.Stop()
	for {
		d.mu.Lock()
		l, silent, changed := d.fullList(d.current, dispatcher), d.silent, d.changed
		d.mu.Unlock()
		if !silent {
			d.send(w, l, dispatcher) // fails only if the caller has disconnected
			return
		}
		select {
		case <-changed:
		case <-keepAlive.C:
		case <-r.Context().Done():
			return
		}
	}
}

// handleWatch sends the changes after a version, and empty lines as keep-alives, until the caller disconnects. If the
// version is 0, it sends the full list first. It sends nothing while discovery is silent. A watch that SilenceWatches
// has silenced stays open but sends nothing more.
func (d *Server) handleWatch(w http.ResponseWriter, r *http.Request, version uint64, dispatcher int) {
	silenced := d.recordWatchOpened(dispatcher)
	keepAlive := time.NewTicker(keepAliveInterval)
	defer keepAlive.Stop()
	rc := http.NewResponseController(w)
	for first := true; ; first = false {
		d.mu.Lock()
		l, silent, changed := d.changesAfter(d.current, version, dispatcher), d.silent, d.changed
		if first && version == 0 {
			l = d.fullList(d.current, dispatcher)
		}
		d.mu.Unlock()
		if silenced() {
			<-r.Context().Done()
			return
		}
		if !silent {
			if d.sendChanges(w, l, first, dispatcher) != nil || rc.Flush() != nil {
				return
			}
			if len(l.Instances) > 0 {
				version = l.Generation
			}
		}
		select {
		case <-changed:
		case <-keepAlive.C:
			if !silent {
				io.WriteString(w, "\n")
			}
		case <-r.Context().Done():
			return
		}
	}
}
