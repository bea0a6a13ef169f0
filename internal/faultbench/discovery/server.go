// Package discovery simulates the service that sends the dispatchers the endpoint list, with injected faults: silence,
// delay, stale lists and watches that fall silent. It records in the history when each dispatcher counts as informed of
// a change according to the protocol page. A Server is safe for concurrent use.
package discovery

import (
	"maps"
	"sync"
	"time"

	"rampspread/internal/faultbench/deployment"
	"rampspread/internal/faultbench/history"
	"rampspread/internal/faultbench/network"
	"rampspread/internal/faultbench/replica"
)

const (
	// unwatchedNoticeDelay is the time after which a dispatcher without a working watch counts as informed of a change,
	// received or not. It counts from the change if the dispatcher polls the list, or from when the watch fell silent.
	unwatchedNoticeDelay = 6 * time.Second
	// moveNoticeDelay is the time after SIGHUP within which a dispatcher must have the list of its new discovery
	// service, as the operators' page on the full fleet requires.
	moveNoticeDelay = 4 * time.Second
)

// Addresses is the number of addresses at which each dispatcher is served. A dispatcher uses one of them at a time.
const Addresses = 2

// State is the lifecycle state of a replica on the endpoint list.
type State string

// Lifecycle states. Their texts are sent to dispatchers.
const (
	Ready    State = "ready"
	Draining State = "draining"
	Gone     State = "gone" // the replica is no longer on the list
)

// Config configures a Server.
type Config struct {
	History     *history.Recorder
	Replicas    []*replica.Replica
	Deployment  *deployment.Deployment
	Dispatchers int
	Address     func(r *replica.Replica, dispatcher int) string // returns the replica's address for a dispatcher
	// GraceAfterMove grants a dispatcher moveNoticeDelay after a move to another discovery service before it counts as
	// informed of a change.
	GraceAfterMove bool
}

// Server simulates the discovery service. It listens at two addresses for each dispatcher, and sends each dispatcher a
// list with the addresses at which that dispatcher reaches the replicas.
type Server struct {
	config    Config
	listeners [][Addresses]*network.Listener // by dispatcher

	mu                sync.Mutex
	current           snapshot
	delay             time.Duration // delay of changes
	silent            bool
	lastBeforeSilence snapshot          // list when discovery last fell silent
	movedAt           map[int]time.Time // last move to another discovery service, by dispatcher
	watchesSilencedAt map[int]time.Time // time when the watches were silenced, by dispatcher, until it opens another
	watchSilences     map[int]int       // number of times that the watches were silenced, by dispatcher
	frozen            map[int]snapshot  // old list served to a dispatcher, by dispatcher
	changed           chan struct{}     // closed at the next change
}

// snapshot is the endpoint list at a version.
type snapshot struct {
	entries map[string]entry // by replica name
	version uint64
}

func (s snapshot) clone() snapshot { return snapshot{maps.Clone(s.entries), s.version} }

// entry is one replica on the list, at the version of its last change.
type entry struct {
	replica *replica.Replica
	state   State
	started time.Time // last restart of the replica, or zero if there was none
	version uint64
}

// NewServer returns a Server whose list contains all replicas as ready.
func NewServer(c Config) *Server {
	d := &Server{config: c, listeners: make([][Addresses]*network.Listener, c.Dispatchers),
		current: snapshot{entries: map[string]entry{}, version: 1}, frozen: map[int]snapshot{}, movedAt: map[int]time.Time{},
		watchesSilencedAt: map[int]time.Time{}, watchSilences: map[int]int{}, changed: make(chan struct{})}
	for _, r := range c.Replicas {
		d.current.entries[r.Name] = entry{replica: r, state: Ready, version: 1}
	}
	return d
}

// notifyWatchers wakes all watches and waiting requests. The caller must hold mu.
func (d *Server) notifyWatchers() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// Set changes a replica's entry after the delay set by SetDelay. If started is zero, the entry keeps its start time.
func (d *Server) Set(r *replica.Replica, state State, started time.Time) {
	d.mu.Lock()
	delay := d.delay
	d.mu.Unlock()
	time.AfterFunc(delay, func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		if started.IsZero() {
			started = d.current.entries[r.Name].started
		}
		d.current.version++
		e := entry{r, state, started, d.current.version}
		d.current.entries[r.Name] = e
		if !d.silent {
			d.recordChange(e)
		}
		d.notifyWatchers()
	})
}

// recordChange records when each dispatcher counts as informed of a change, except dispatchers with a frozen list. A
// dispatcher that gets its lists pushed by an agent counts as informed immediately, unless its watches were silenced or
// discovery has just moved. The caller must hold mu.
func (d *Server) recordChange(e entry) {
	for i := range d.listeners {
		if _, stale := d.frozen[i]; stale {
			continue
		}
		if e.state == Ready { // recorded at once: even uninformed dispatchers may send to a ready replica
			d.config.History.Add(history.Event{Kind: history.EndpointReady, Replica: e.replica.Name, Dispatcher: i, Version: e.version})
			continue
		}
		withdrawn := history.Event{Kind: history.EndpointWithdrawn, Replica: e.replica.Name, Dispatcher: i, Version: e.version}
		noticeDelay := d.noticeDelay(i)
		if noticeDelay <= 0 {
			d.config.History.Add(withdrawn)
			continue
		}
		time.AfterFunc(noticeDelay, func() {
			d.mu.Lock()
			defer d.mu.Unlock()
			if d.current.entries[e.replica.Name].version == e.version {
				d.config.History.Add(withdrawn)
			}
		})
	}
}

// noticeDelay returns how long from now a dispatcher may remain uninformed of a change. The caller must hold mu.
func (d *Server) noticeDelay(dispatcher int) (noticeDelay time.Duration) {
	if at, ok := d.watchesSilencedAt[dispatcher]; ok {
		noticeDelay = unwatchedNoticeDelay - time.Since(at)
	} else if !d.config.Deployment.EndpointsPushed {
		noticeDelay = unwatchedNoticeDelay
	}
	if at, ok := d.movedAt[dispatcher]; ok {
		grace := time.Duration(0)
		if d.config.GraceAfterMove {
			grace = moveNoticeDelay
		}
		noticeDelay = max(noticeDelay, grace-time.Since(at))
	}
	return noticeDelay
}
