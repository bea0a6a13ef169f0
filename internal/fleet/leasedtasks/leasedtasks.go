// Package leasedtasks implements the tasks that one member of the fleet carries out for all members, under a lease:
// polling a replica for its load, and reading the version of discovery's endpoint list. Every member receives the
// results. It passes load reports to its dispatcher, and requests its endpoint list again if that list is older than
// the version found.
//
// Tasks is the only type with state. It holds the addresses of the ready replicas and is safe for concurrent use.
package leasedtasks

import (
	"context"
	"encoding/binary"
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"rampspread/internal/dispatch"
	"rampspread/internal/fleet"
	"rampspread/routing"
)

// Names of tasks. Members hash these names to agree on who holds the lease of a task, so the names are part of the
// protocol.
const (
	pollTaskPrefix = "probe/" // followed by the name of a replica
	listTask       = "list"
)

const (
	pollInterval = 400 * time.Millisecond
	// pollTimeout equals the time for which the dispatcher waits for the load of a replica that it polls itself.
	pollTimeout  = 200 * time.Millisecond
	listInterval = 2 * time.Second
	listTimeout  = time.Second
	// staleListGrace is how long this member's endpoint list may be older than the version found before the list is
	// requested again. A newer list may already be on its way.
	staleListGrace = 1500 * time.Millisecond
)

// LoadPoller polls replicas for their load.
type LoadPoller interface {
	// PollLoadFor polls a replica on behalf of the fleet; lease names the task and its fencing token. done is called
	// once, with nil if no report arrives within the timeout.
	PollLoadFor(lease string, to dispatch.EndpointAddress, timeout time.Duration, done func(*routing.LoadReport))
}

// EndpointListSource gives access to this member's own connection to service discovery.
type EndpointListSource interface {
	// Version returns the version of the endpoint list that this member acts on.
	Version() uint64
	// FetchVersion returns the version of discovery's current list, without applying the list.
	FetchVersion(ctx context.Context) (version uint64, err error)
	// Refresh requests the list again.
	Refresh()
}

// Tasks implements fleet.TaskRunner.
type Tasks struct {
	poller     LoadPoller
	lists      EndpointListSource
	applyLoads func([]dispatch.PeerLoad) bool
	now        func() time.Time
	dropped    atomic.Int64 // load reports dropped because the dispatcher's queue was full
	malformed  atomic.Int64 // results that could not be decoded
	refreshed  atomic.Int64 // requests for the endpoint list because it was stale

	mu         sync.Mutex
	targets    map[string]dispatch.EndpointAddress // addresses of the ready replicas, by name
	staleSince time.Time                           // when the own list became stale; zero if it is not
}

// New returns a Tasks. applyLoads passes load reports to the dispatcher; it must not block, and returns false if it
// dropped them. If poller is nil, replicas are not polled.
func New(poller LoadPoller, lists EndpointListSource, applyLoads func([]dispatch.PeerLoad) bool, now func() time.Time) *Tasks {
	return &Tasks{poller: poller, lists: lists, applyLoads: applyLoads, now: now, targets: map[string]dispatch.EndpointAddress{}}
}

// Malformed returns how many results could not be decoded.
func (t *Tasks) Malformed() int64 { return t.malformed.Load() }

// Refreshed returns how many times the endpoint list was requested again.
func (t *Tasks) Refreshed() int64 { return t.refreshed.Load() }

// Dropped returns how many load reports were dropped because the dispatcher's queue was full.
func (t *Tasks) Dropped() int64 { return t.dropped.Load() }

// UpdateEndpoints applies an update of discovery's endpoint list: the full list, or only its changes.
//
//revive:disable-next-line:flag-parameter updates have this form at every consumer of the endpoint list
func (t *Tasks) UpdateEndpoints(full bool, entries []dispatch.Endpoint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if full {
		clear(t.targets)
	}
	for _, e := range entries {
		if e.State == routing.Ready {
			t.targets[e.Name] = dispatch.EndpointAddress{Name: e.Name, Addr: e.Addr}
		} else {
			delete(t.targets, e.Name)
		}
	}
}

// Names implements fleet.TaskRunner.
func (t *Tasks) Names() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	names := []string{listTask}
	if t.poller != nil {
		for name := range t.targets {
			names = append(names, pollTaskPrefix+name)
		}
	}
	return names
}

// Interval implements fleet.TaskRunner.
func (t *Tasks) Interval(task string) time.Duration {
	if task == listTask {
		return listInterval
	}
	return pollInterval
}

// Run implements fleet.TaskRunner. It does not wait for the result.
func (t *Tasks) Run(task string, fencingToken uint64, done func([]byte)) {
	if task == listTask {
		go t.peekList(done)
		return
	}
	t.pollLoad(task, fencingToken, done)
}

// peekList reads the version of discovery's list and passes it to done, or nil if that fails.
func (t *Tasks) peekList(done func([]byte)) {
	ctx, cancel := context.WithTimeout(context.Background(), listTimeout)
	defer cancel()
	version, err := t.lists.FetchVersion(ctx)
	if err != nil {
		slog.Debug("list_task_failed", "err", err)
		done(nil)
		return
	}
	done(binary.AppendUvarint(nil, version))
}

// pollLoad polls the replica of a task, unless the replica is no longer ready.
func (t *Tasks) pollLoad(task string, fencingToken uint64, done func([]byte)) {
	t.mu.Lock()
	target, ok := t.targets[strings.TrimPrefix(task, pollTaskPrefix)]
	t.mu.Unlock()
	if !ok || t.poller == nil {
		done(nil)
		return
	}
	lease := fmt.Sprintf("%s %d", task, fencingToken)
	t.poller.PollLoadFor(lease, target, pollTimeout, func(l *routing.LoadReport) { done(encodeLoad(l)) })
}

// HandleResults implements fleet.TaskRunner.
func (t *Tasks) HandleResults(results []fleet.TaskResult) {
	var loads []dispatch.PeerLoad
	for _, r := range results {
		if r.Task == listTask {
			t.handleListVersion(r.Data)
			continue
		}
		load, err := decodeLoad(r.Data)
		if err != nil {
			t.malformed.Add(1)
			continue
		}
		loads = append(loads, dispatch.PeerLoad{Name: strings.TrimPrefix(r.Task, pollTaskPrefix), Load: load, Age: r.Age})
	}
	if len(loads) > 0 && !t.applyLoads(loads) {
		t.dropped.Add(int64(len(loads)))
	}
}

// handleListVersion requests the endpoint list again if this member's list has been older than the version found for
// staleListGrace.
func (t *Tasks) handleListVersion(data []byte) {
	foundVersion, n := binary.Uvarint(data)
	if n <= 0 {
		t.malformed.Add(1)
		return
	}
	if !t.staleBeyondGrace(foundVersion) {
		return
	}
	t.refreshed.Add(1)
	slog.Info("endpoint_list_stale", "own_version", t.lists.Version(), "found_version", foundVersion)
	t.lists.Refresh()
}

// staleBeyondGrace reports whether this member's list has been older than the version found for staleListGrace. It
// records when the list became stale. After it has returned true, staleListGrace begins again.
func (t *Tasks) staleBeyondGrace(foundVersion uint64) bool {
	now := t.now()
	t.mu.Lock()
	defer t.mu.Unlock()
	stale := t.lists.Version() < foundVersion
	graceExpired := stale && !t.staleSince.IsZero() && now.Sub(t.staleSince) >= staleListGrace
	switch {
	case !stale || graceExpired:
		t.staleSince = time.Time{}
	case t.staleSince.IsZero():
		t.staleSince = now
	}
	return graceExpired
}
