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

	"rampspread/internal/faultbench/deployment"
	"rampspread/internal/faultbench/history"
	"rampspread/internal/faultbench/network"
	"rampspread/internal/faultbench/replica"
)

// Server is a stand-in for the service that tells the list. Each dispatcher is told addresses of its own.
type Server struct {
	history    *history.Recorder
	address    func(r *replica.Replica, dispatcher int) string
	deployment *deployment.Deployment
	Listeners  [][2]*network.Listener // by dispatcher

	mu      sync.Mutex
	entries map[string]entry // by name, as they are now
	version uint64
	delay   time.Duration
	silent  bool
	// MoveGrace is for how long after a move of its discovery a dispatcher may not know what is told; moved is when that was.
	MoveGrace         time.Duration
	movedAt           map[int]time.Time
	silentSince       uint64            // the version at which it fell silent,
	lastSent          snapshot          // and what it had told by then
	watchesSilencedAt map[int]time.Time // when a dispatcher's watches fell silent, until it opens another
	watchSilences     map[int]int       // how often they did
	frozen            map[int]snapshot  // of dispatchers that are told an old list
	changed           chan struct{}
}

// Lifecycle states of an endpoint on the list.
const (
	stateReady    = "ready"
	stateDraining = "draining"
	stateGone     = "gone" // off the list
)

// snapshot is the list as it was.
type snapshot struct {
	entries map[string]entry
	version uint64
}

// entry is one replica on the list, at the version of its last change.
type entry struct {
	replica *replica.Replica
	state   string
	started time.Time
	version uint64
}

type endpointRecord struct {
	ID          string  `json:"instanceId"`
	HostPort    string  `json:"hostPort"`
	Zone        string  `json:"zone"`
	MachineType string  `json:"machineType"`
	Cell        int     `json:"cell"`
	Lifecycle   string  `json:"lifecycle"`
	Weight      float64 `json:"weight"`
	StartedAtMS int64   `json:"startedAtMs"`
}

type endpointList struct {
	Generation uint64           `json:"generation"`
	Reset      bool             `json:"reset"`
	Instances  []endpointRecord `json:"instances"`
}

func NewServer(h *history.Recorder, replicas []*replica.Replica, p *deployment.Deployment, dispatchers int, addr func(*replica.Replica, int) string) *Server {
	d := &Server{history: h, address: addr, deployment: p, Listeners: make([][2]*network.Listener, dispatchers), entries: map[string]entry{},
		version: 1, frozen: map[int]snapshot{}, movedAt: map[int]time.Time{}, watchesSilencedAt: map[int]time.Time{}, watchSilences: map[int]int{}, changed: make(chan struct{})}
	for _, r := range replicas {
		d.entries[r.Name] = entry{replica: r, state: stateReady, version: 1}
	}
	return d
}

// notifyWatchers lets all that watch look again; mu is held.
func (d *Server) notifyWatchers() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// Set changes a replica's entry; it shows when it is no longer late.
func (d *Server) Set(r *replica.Replica, state string, started time.Time) {
	d.mu.Lock()
	late := d.delay
	d.mu.Unlock()
	time.AfterFunc(late, func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		if started.IsZero() {
			started = d.entries[r.Name].started
		}
		d.version++
		d.entries[r.Name] = entry{r, state, started, d.version}
		if !d.silent {
			d.recordChange(d.entries[r.Name])
		}
		d.notifyWatchers()
	})
}

// unwatchedNotice is when what discovery has to tell counts as told, arrived or not, where it has to be asked, and what a
// silent watch misses, from its falling silent on.
const unwatchedNotice = 6 * time.Second

// MoveNotice is how long after SIGHUP what the new discovery has counts as told (the full fleet's page).
const MoveNotice = 4 * time.Second

// recordChange notes when a change counts as told to each dispatcher; mu is held. What an agent has counts at once.
func (d *Server) recordChange(e entry) {
	for i := range d.Listeners {
		if _, stale := d.frozen[i]; stale {
			continue
		}
		if e.state == stateReady { // whoever has not heard of what came before does no wrong from now on
			d.history.Add(history.Event{Kind: history.EndpointReady, Replica: e.replica.Name, Dispatcher: i, Version: e.version})
			continue
		}
		due := time.Duration(0)
		if at, ok := d.watchesSilencedAt[i]; ok {
			due = unwatchedNotice - time.Since(at)
		} else if !d.deployment.EndpointsPushed {
			due = unwatchedNotice
		}
		if at, ok := d.movedAt[i]; ok {
			due = max(due, d.MoveGrace-time.Since(at))
		}
		told := history.Event{Kind: history.EndpointWithdrawn, Replica: e.replica.Name, Dispatcher: i, Version: e.version}
		if due <= 0 {
			d.history.Add(told)
			continue
		}
		time.AfterFunc(due, func() {
			d.mu.Lock()
			defer d.mu.Unlock()
			if d.entries[e.replica.Name].version == e.version {
				d.history.Add(told)
			}
		})
	}
}

// SilenceWatches lets the open watches of a dispatcher fall silent.
func (d *Server) SilenceWatches(dispatcher int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.watchesSilencedAt[dispatcher] = time.Now()
	d.watchSilences[dispatcher]++
}

// watchOpened notes that a dispatcher opens a watch, and returns what tells whether that has fallen silent since.
func (d *Server) watchOpened(dispatcher int) (hushed func() bool) {
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

// NoteMove notes that a dispatcher is moved to another discovery.
func (d *Server) NoteMove(dispatcher int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.movedAt[dispatcher] = time.Now()
}

func (d *Server) SetDelay(late time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.delay = late
}

// Silence makes discovery send nothing and answer no request.
func (d *Server) Silence() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.silentSince, d.lastSent = d.version, snapshot{maps.Clone(d.entries), d.version}
	d.silent = true
	d.notifyWatchers()
}

// Resume ends its silence. Agents then get what they missed.
func (d *Server) Resume() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.silent {
		for _, e := range d.entries {
			if e.version > d.silentSince {
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
	d.frozen[dispatcher] = snapshot{maps.Clone(d.entries), d.version}
	d.notifyWatchers()
}

// Unfreeze makes a dispatcher's discovery serve the current list again.
func (d *Server) Unfreeze(dispatcher int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.frozen, dispatcher)
	d.notifyWatchers()
}

// changesSince is what a dispatcher is told of changes after a version (all: the whole list), and when to look again.
func (d *Server) changesSince(version uint64, all bool, dispatcher int) (l endpointList, silent bool, changed <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.changesBetween(d.entries, d.version, version, all, dispatcher)
}

// changesBetween are those of some entries, of a version, after another; the caller holds the lock.
func (d *Server) changesBetween(entries map[string]entry, at, version uint64, all bool, dispatcher int) (l endpointList, silent bool, changed <-chan struct{}) {
	if old, ok := d.frozen[dispatcher]; ok {
		entries, at = old.entries, old.version
	}
	l = endpointList{Generation: at, Reset: all, Instances: []endpointRecord{}}
	for name, e := range entries {
		if !all && e.version <= version || all && e.state == stateGone {
			continue
		}
		at := endpointRecord{ID: name, HostPort: d.address(e.replica, dispatcher), Zone: d.deployment.ZoneName(e.replica.Zone),
			MachineType: d.deployment.KindOf(e.replica.Index, e.replica.Decode), Cell: e.replica.Zone, Lifecycle: e.state, Weight: e.replica.Weight()}
		if !e.started.IsZero() {
			at.StartedAtMS = e.started.UnixMilli()
		}
		l.Instances = append(l.Instances, at)
	}
	return l, d.silent, d.changed
}

// LastKnown is the list as a dispatcher last had it, or could have had it.
func (d *Server) LastKnown(dispatcher int) endpointList {
	d.mu.Lock()
	defer d.mu.Unlock()
	entries, at := d.entries, d.version
	if d.silent {
		entries, at = d.lastSent.entries, d.lastSent.version
	}
	l, _, _ := d.changesBetween(entries, at, 0, true, dispatcher)
	return l
}

// sendList writes a list to a dispatcher and notes what it was told.
func (d *Server) sendList(w io.Writer, l endpointList, dispatcher int) error {
	for _, in := range l.Instances {
		kind := history.EndpointReady
		if in.Lifecycle != stateReady {
			kind = history.EndpointWithdrawn
		}
		d.history.Add(history.Event{Kind: kind, Replica: in.ID, Dispatcher: dispatcher, Version: l.Generation})
	}
	out := json.NewEncoder(w)
	if d.deployment.IndentedLists {
		out.SetIndent("", "  ")
	}
	if err := out.Encode(l); err != nil {
		return fmt.Errorf("discovery: %w", err)
	}
	return nil
}

// Serve answers one dispatcher's calls.
func (d *Server) Serve(l net.Listener, dispatcher int) *http.Server {
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { d.handle(w, r, dispatcher) }), ErrorLog: network.DiscardLog}
	go s.Serve(l)
	return s
}

func (d *Server) handle(w http.ResponseWriter, r *http.Request, dispatcher int) {
	var version uint64
	watch := r.URL.Query().Get("stream") != ""
	d.history.Add(history.Event{Kind: history.DiscoveryRequested, Dispatcher: dispatcher})
	if _, err := fmt.Sscan(r.URL.Query().Get("index"), &version); watch && err != nil && !errors.Is(err, io.EOF) {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	hushed := func() bool { return false }
	if watch {
		hushed = d.watchOpened(dispatcher)
	}
	beat := time.NewTicker(2 * time.Second)
	defer beat.Stop()
	rc := http.NewResponseController(w)
	for first := true; ; first = false {
		l, silent, changed := d.changesSince(version, !watch || first && version == 0, dispatcher)
		if hushed() {
			<-r.Context().Done()
			return
		}
		if !silent {
			if len(l.Instances) > 0 || !watch {
				if d.sendList(w, l, dispatcher) != nil {
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
