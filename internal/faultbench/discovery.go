package faultbench

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"sync"
	"time"

	"rampspread/internal/faultbench/history"
	"rampspread/internal/faultbench/network"
)

// discovery is a stand-in for the service that tells the list. Each dispatcher is told addresses of its own.
type discovery struct {
	history    *history.Recorder
	addr       func(r *replica, dispatcher int) string
	deployment *deployment
	listeners  [][2]*network.Listener // by dispatcher

	mu      sync.Mutex
	entries map[string]entry // by name, as they are now
	version uint64
	late    time.Duration
	silent  bool
	// moveGrace is for how long after a move of its discovery a dispatcher may not know what is told; moved is when that was.
	moveGrace time.Duration
	moved     map[int]time.Time
	since0    uint64            // the version at which it fell silent,
	silenced  snapshot          // and what it had told by then
	hushed    map[int]time.Time // when a dispatcher's watches fell silent, until it opens another
	hushes    map[int]int       // how often they did
	frozen    map[int]snapshot  // of dispatchers that are told an old list
	changed   chan struct{}
}

// snapshot is the list as it was.
type snapshot struct {
	entries map[string]entry
	version uint64
}

// entry is one replica on the list, at the version of its last change.
type entry struct {
	replica *replica
	state   string
	started time.Time
	version uint64
}

type listed struct {
	ID          string  `json:"instanceId"`
	HostPort    string  `json:"hostPort"`
	Zone        string  `json:"zone"`
	MachineType string  `json:"machineType"`
	Cell        int     `json:"cell"`
	Lifecycle   string  `json:"lifecycle"`
	Weight      float64 `json:"weight"`
	StartedAtMS int64   `json:"startedAtMs"`
}

type list struct {
	Generation uint64   `json:"generation"`
	Reset      bool     `json:"reset"`
	Instances  []listed `json:"instances"`
}

func newDiscovery(h *history.Recorder, replicas []*replica, p *deployment, dispatchers int, addr func(*replica, int) string) *discovery {
	d := &discovery{history: h, addr: addr, deployment: p, listeners: make([][2]*network.Listener, dispatchers), entries: map[string]entry{},
		version: 1, frozen: map[int]snapshot{}, moved: map[int]time.Time{}, hushed: map[int]time.Time{}, hushes: map[int]int{}, changed: make(chan struct{})}
	for _, r := range replicas {
		d.entries[r.name] = entry{replica: r, state: "ready", version: 1}
	}
	return d
}

// wake lets all that watch look again; mu is held.
func (d *discovery) wake() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// set changes a replica's entry; it shows when it is no longer late.
func (d *discovery) set(r *replica, state string, started time.Time) {
	d.mu.Lock()
	late := d.late
	d.mu.Unlock()
	time.AfterFunc(late, func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		if started.IsZero() {
			started = d.entries[r.name].started
		}
		d.version++
		d.entries[r.name] = entry{r, state, started, d.version}
		if !d.silent {
			d.news(d.entries[r.name])
		}
		d.wake()
	})
}

// lateNews is when what discovery has to tell counts as told, arrived or not, where it has to be asked, and what a
// silent watch misses, from its falling silent on.
const lateNews = 6 * time.Second

// moveBinds is how long after SIGHUP what the new discovery has counts as told (the full fleet's page).
const moveBinds = 4 * time.Second

// news notes when a change counts as told to each dispatcher; mu is held. What an agent has counts at once.
func (d *discovery) news(e entry) {
	for i := range d.listeners {
		if _, stale := d.frozen[i]; stale {
			continue
		}
		if e.state == "ready" { // whoever has not heard of what came before does no wrong from now on
			d.history.Add(history.Event{Kind: history.EndpointReady, Replica: e.replica.name, Dispatcher: i, Version: e.version})
			continue
		}
		due := time.Duration(0)
		if at, ok := d.hushed[i]; ok {
			due = lateNews - time.Since(at)
		} else if !d.deployment.pushed {
			due = lateNews
		}
		if at, ok := d.moved[i]; ok {
			due = max(due, d.moveGrace-time.Since(at))
		}
		told := history.Event{Kind: history.EndpointWithdrawn, Replica: e.replica.name, Dispatcher: i, Version: e.version}
		if due <= 0 {
			d.history.Add(told)
			continue
		}
		time.AfterFunc(due, func() {
			d.mu.Lock()
			defer d.mu.Unlock()
			if d.entries[e.replica.name].version == e.version {
				d.history.Add(told)
			}
		})
	}
}

// hush lets the open watches of a dispatcher fall silent.
func (d *discovery) hush(dispatcher int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.hushed[dispatcher] = time.Now()
	d.hushes[dispatcher]++
}

// watched notes that a dispatcher opens a watch, and returns what tells whether that has fallen silent since.
func (d *discovery) watched(dispatcher int) (hushed func() bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.hushed, dispatcher)
	n := d.hushes[dispatcher]
	return func() bool {
		d.mu.Lock()
		defer d.mu.Unlock()
		return d.hushes[dispatcher] > n
	}
}

// noteMove notes that a dispatcher is moved to another discovery.
func (d *discovery) noteMove(dispatcher int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.moved[dispatcher] = time.Now()
}

func (d *discovery) setLate(late time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.late = late
}

func (d *discovery) setSilent(silent bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if silent {
		d.since0, d.silenced = d.version, snapshot{maps.Clone(d.entries), d.version}
	} else if d.silent {
		for _, e := range d.entries { // agents get at its return what they missed
			if e.version > d.since0 {
				d.news(e)
			}
		}
	}
	d.silent = silent
	d.wake()
}

// freeze lets a dispatcher be told the list as it is now from now on, or as it is then again.
func (d *discovery) freeze(dispatcher int, stale bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if stale {
		d.frozen[dispatcher] = snapshot{maps.Clone(d.entries), d.version}
	} else {
		delete(d.frozen, dispatcher)
	}
	d.wake()
}

// since is what a dispatcher is told of changes after a version (all: the whole list), and when to look again.
func (d *discovery) since(version uint64, all bool, dispatcher int) (l list, silent bool, changed <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.changes(d.entries, d.version, version, all, dispatcher)
}

// changes are those of some entries, of a version, after another; the caller holds the lock.
func (d *discovery) changes(entries map[string]entry, at, version uint64, all bool, dispatcher int) (l list, silent bool, changed <-chan struct{}) {
	if old, ok := d.frozen[dispatcher]; ok {
		entries, at = old.entries, old.version
	}
	l = list{Generation: at, Reset: all, Instances: []listed{}}
	for name, e := range entries {
		if !all && e.version <= version || all && e.state == "gone" {
			continue
		}
		at := listed{ID: name, HostPort: d.addr(e.replica, dispatcher), Zone: d.deployment.zone(e.replica.zone),
			MachineType: d.deployment.kindOf(e.replica), Cell: e.replica.zone, Lifecycle: e.state, Weight: e.replica.weightOnList()}
		if !e.started.IsZero() {
			at.StartedAtMS = e.started.UnixMilli()
		}
		l.Instances = append(l.Instances, at)
	}
	return l, d.silent, d.changed
}

// known is the list as a dispatcher last had it, or could have had it.
func (d *discovery) known(dispatcher int) list {
	d.mu.Lock()
	defer d.mu.Unlock()
	entries, at := d.entries, d.version
	if d.silent {
		entries, at = d.silenced.entries, d.silenced.version
	}
	l, _, _ := d.changes(entries, at, 0, true, dispatcher)
	return l
}

// tell writes a list to a dispatcher and notes what it was told.
func (d *discovery) tell(w io.Writer, l list, dispatcher int) error {
	for _, in := range l.Instances {
		kind := history.EndpointReady
		if in.Lifecycle != "ready" {
			kind = history.EndpointWithdrawn
		}
		d.history.Add(history.Event{Kind: kind, Replica: in.ID, Dispatcher: dispatcher, Version: l.Generation})
	}
	out := json.NewEncoder(w)
	if d.deployment.spaced {
		out.SetIndent("", "  ")
	}
	if err := out.Encode(l); err != nil {
		return fmt.Errorf("discovery: %w", err)
	}
	return nil
}

// serve answers one dispatcher's calls.
func (d *discovery) serve(l net.Listener, dispatcher int) *http.Server {
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { d.answer(w, r, dispatcher) }), ErrorLog: quietLog}
	go s.Serve(l)
	return s
}

func (d *discovery) answer(w http.ResponseWriter, r *http.Request, dispatcher int) {
	var version uint64
	watch := r.URL.Query().Get("stream") != ""
	d.history.Add(history.Event{Kind: history.DiscoveryRequested, Dispatcher: dispatcher})
	if _, err := fmt.Sscan(r.URL.Query().Get("index"), &version); watch && err != nil && !errors.Is(err, io.EOF) {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	hushed := func() bool { return false }
	if watch {
		hushed = d.watched(dispatcher)
	}
	beat := time.NewTicker(2 * time.Second)
	defer beat.Stop()
	rc := http.NewResponseController(w)
	for first := true; ; first = false {
		l, silent, changed := d.since(version, !watch || first && version == 0, dispatcher)
		if hushed() {
			<-r.Context().Done()
			return
		}
		if !silent {
			if len(l.Instances) > 0 || !watch {
				if d.tell(w, l, dispatcher) != nil {
					return
				}
				version = l.Generation
			} else if first {
				io.WriteString(w, "\n")
			}
			if !watch || rc.Flush() != nil {
				return
			}
		}
		select {
		case <-changed:
		case <-beat.C:
			if !silent {
				io.WriteString(w, "\n")
			}
		case <-r.Context().Done():
			return
		}
	}
}
