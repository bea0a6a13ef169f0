// Package discovery simulates the service that lists the replicas to the dispatchers, with the faults that it may have:
// silence, delay, stale lists and watches that fall silent. It records into the history when a change counts as known
// to each dispatcher, by the protocol page. A Server is safe for concurrent use.
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
	// unwatchedNoticeDelay is the time after which a change counts as known, received or not, to a dispatcher that must
	// request it, or whose watch has fallen silent (from that time on).
	unwatchedNoticeDelay = 6 * time.Second
	// moveNoticeDelay is how long after SIGHUP the list of the new discovery counts as known (the full fleet's page).
	moveNoticeDelay = 4 * time.Second
)

// Addresses is at how many addresses each dispatcher is served; a dispatcher uses one of them at a time.
const Addresses = 2

// State is the lifecycle state of a replica on the endpoint list.
type State string

// The states. Their texts are sent.
const (
	Ready    State = "ready"
	Draining State = "draining"
	Gone     State = "gone" // off the list
)

// Config says whom a Server serves.
type Config struct {
	History     *history.Recorder
	Replicas    []*replica.Replica
	Deployment  *deployment.Deployment
	Dispatchers int
	Address     func(r *replica.Replica, dispatcher int) string // at which a dispatcher finds a replica
	// GraceAfterMove gives a dispatcher moveNotice after a move of its discovery before a change counts as known.
	GraceAfterMove bool
}

// Server simulates the discovery service. Each dispatcher is served on listeners of its own, at two addresses, and gets
// addresses of its own for the replicas.
type Server struct {
	config    Config
	listeners [][Addresses]*network.Listener // by dispatcher

	mu                sync.Mutex
	current           snapshot
	delay             time.Duration // of changes
	silent            bool
	lastBeforeSilence snapshot // at the time when it fell silent
	// By dispatcher:
	movedAt           map[int]time.Time // when its discovery was moved last
	watchesSilencedAt map[int]time.Time // when its watches fell silent, until it opens another
	watchSilences     map[int]int       // how often they did
	frozen            map[int]snapshot  // of dispatchers that are sent an old list
	changed           chan struct{}     // closed at the next change
}

// snapshot is the list at a version.
type snapshot struct {
	entries map[string]entry // by the replicas' names
	version uint64
}

func (s snapshot) clone() snapshot { return snapshot{maps.Clone(s.entries), s.version} }

// entry is one replica on the list, at the version of its last change.
type entry struct {
	replica *replica.Replica
	state   State
	started time.Time
	version uint64
}

// NewServer lists all replicas as ready.
func NewServer(c Config) *Server {
	d := &Server{config: c, listeners: make([][Addresses]*network.Listener, c.Dispatchers),
		current: snapshot{entries: map[string]entry{}, version: 1}, frozen: map[int]snapshot{}, movedAt: map[int]time.Time{},
		watchesSilencedAt: map[int]time.Time{}, watchSilences: map[int]int{}, changed: make(chan struct{})}
	for _, r := range c.Replicas {
		d.current.entries[r.Name] = entry{replica: r, state: Ready, version: 1}
	}
	return d
}

// notifyWatchers wakes all watches; mu is held.
func (d *Server) notifyWatchers() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// Set changes a replica's entry after the delay that is set. A zero start time leaves the entry's as it is.
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

// recordChange records when a change counts as known to each dispatcher; mu is held. What an agent has counts at once.
func (d *Server) recordChange(e entry) {
	for i := range d.listeners {
		if _, stale := d.frozen[i]; stale {
			continue
		}
		if e.state == Ready { // a dispatcher that does not know what was before breaks no rule from now on
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

// noticeDelay is how long from now on a dispatcher may not know of a change; mu is held.
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
