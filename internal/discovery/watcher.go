// Package discovery follows the service discovery's list of replicas. It is the list-and-watch pattern, as in the client
// of Kubernetes: a Watcher fetches the whole list, then watches it for changes from the version that it has, and starts
// again after a backoff whenever the watch ends.
//
// The Watcher owns the endpoints as they were last passed on, and their version. Run is the one goroutine that fetches
// and watches; all other methods are safe to call from any goroutine. The callback that takes the updates is called by
// whoever calls Apply, UseInitialList or Run.
package discovery

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"rampspread/internal/config"
	"rampspread/internal/dispatch"
)

const (
	// silenceTimeout ends a watch on which nothing comes. While nothing changes an empty line comes every 2 s, so a
	// watch without one for this long is dead. A change that it misses counts as notified 6 s after the watch fell
	// silent; where an agent has the change and lost discovery for a while, as soon as discovery is back.
	silenceTimeout = 2500 * time.Millisecond

	dialTimeout = time.Second

	// agentBackoffDivisor gives the share of the drain deadline that a backoff may take where an agent answers.
	agentBackoffDivisor = 10
)

var errSilent = errors.New("silent for too long")

// Watcher follows one discovery, at an address that may change.
type Watcher struct {
	settings       *config.Settings
	apply          func(full bool, entries []dispatch.Endpoint)
	api            *apiClient
	address        *address
	endpoints      *endpointTable
	backoff        *backoff // only Run uses it
	silenceTimeout time.Duration
	needsFullList  atomic.Bool // there is no list yet, or a change may be missing from it
	malformed      atomic.Int64
	attempts       atomic.Int64  // times that Run has fetched or watched, or failed to
	confirmed      chan struct{} // closed once discovery itself has sent its list; only Run closes it
}

// New returns a Watcher of the discovery at an address (host:port). It passes each update to apply: the whole list if
// full is set, else changes to it. The seed draws the backoffs.
func New(
	addr string, settings *config.Settings, seed uint64, apply func(full bool, entries []dispatch.Endpoint),
) *Watcher {
	w := &Watcher{
		settings:       settings,
		apply:          apply,
		address:        newAddress(addr),
		endpoints:      newEndpointTable(settings),
		backoff:        newBackoff(seed, func() float64 { return float64(settings.Dispatchers) }),
		silenceTimeout: silenceTimeout,
		confirmed:      make(chan struct{}),
	}
	w.api = &apiClient{
		malformed: &w.malformed,
		http: &http.Client{
			Transport: &http.Transport{
				DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext, DisableCompression: true,
			},
		},
	}
	if settings.PushesEndpoints() {
		// An agent answers at once and at no cost, and what it has counts as notified whether or not a watch is open: a
		// backoff takes only a tenth of the time in which that has to bind.
		w.backoff.agent = settings.DrainDeadline() / agentBackoffDivisor
	}
	w.needsFullList.Store(true)
	return w
}

// SetFleetSize makes the backoffs follow the number of dispatchers that share discovery with this one. It must be called
// before Run.
func (w *Watcher) SetFleetSize(size func() float64) { w.backoff.fleetSize = size }

// MoveTo goes on at another address at once: the whole list is fetched there, and the present list holds until then.
func (w *Watcher) MoveTo(addr string) {
	w.address.move(addr, w.api.http.CloseIdleConnections)
}

// Refresh fetches the whole list anew at once, as after MoveTo: the present one may be old.
func (w *Watcher) Refresh() { w.address.interrupt() }

// Address returns where discovery is now.
func (w *Watcher) Address() string {
	addr, _ := w.address.get()
	return addr
}

// Malformed returns how many lists, changes and entries could not be read.
func (w *Watcher) Malformed() int64 { return w.malformed.Load() }

// Version returns the version of the list that was passed on last.
func (w *Watcher) Version() uint64 { return w.endpoints.version.Load() }

// Confirmed returns a channel that is closed once discovery itself has sent its list: the one that a process starts with
// may be old.
func (w *Watcher) Confirmed() <-chan struct{} { return w.confirmed }

// CurrentList returns the whole list as it was passed on, in discovery's form.
func (w *Watcher) CurrentList() (List, error) { return w.endpoints.encode() }

// Peek fetches which version the list has at discovery now, and changes nothing.
func (w *Watcher) Peek(ctx context.Context) (version uint64, err error) {
	list, err := w.api.list(ctx, w.Address())
	return list.Generation, err
}

// UseInitialList passes on the list that the process starts with, which may be old. Where lists are pushed, the agent's
// own list counts as notified from the first moment on and costs nothing, so the whole list is fetched there; elsewhere
// the watch goes on from this one.
func (w *Watcher) UseInitialList(list List) {
	_ = w.Apply(list, true) // the valid entries are better than none
	if w.settings.PushesEndpoints() {
		w.needsFullList.Store(true)
	}
}

// Apply passes on a list, or changes if full is not set, and makes its version the one that the watch goes on from. What
// cannot be read is counted and skipped; a *RejectedEntriesError says how many entries that were.
func (w *Watcher) Apply(list List, full bool) error {
	entries, rejected := w.endpoints.update(list, full)
	w.malformed.Add(int64(rejected))
	w.apply(full, entries)
	// A whole list without a replica is none to go on from: a watch from its version may never send anything.
	w.needsFullList.Store(rejected > 0 || full && len(entries) == 0 || !full && w.needsFullList.Load())
	if rejected > 0 {
		return &RejectedEntriesError{Rejected: rejected}
	}
	return nil
}

// confirm applies what discovery itself has sent.
func (w *Watcher) confirm(list List, full bool) error {
	err := w.Apply(list, full)
	select {
	case <-w.confirmed:
	default:
		close(w.confirmed)
	}
	return err
}

// Run follows discovery until the context ends. Where discovery must be polled, many dispatchers lose it in the same
// moment and share its capacity, so each one backs off for a random time, longer with each failure. The first attempt
// is made at once: the list that a dispatcher starts with may be old, and a replica that is gone must get nothing more.
func (w *Watcher) Run(ctx context.Context) {
	for ctx.Err() == nil {
		addr, moved := w.address.get()
		w.attempts.Add(1)
		err := w.follow(ctx, addr, moved)
		if ctx.Err() != nil {
			return
		}
		// A connection that was idle while the network was cut says nothing, and a second call that hangs on one would
		// take longer than a change may.
		w.api.http.CloseIdleConnections()
		delay := w.backoff.next()
		if w.backoff.failures == 1 { // logging each failure would fill the log while an agent is away
			slog.Info("discovery_lost", "addr", addr, "backoff", delay, "err", err)
		}
		w.wait(ctx, moved, delay)
	}
}

// wait waits for a backoff, or until discovery moves: the new one may count versions otherwise.
func (w *Watcher) wait(ctx context.Context, moved <-chan struct{}, delay time.Duration) {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-moved:
		w.needsFullList.Store(true)
		w.backoff.reset()
		if !w.settings.PushesEndpoints() { // all dispatchers are moved in the same moment
			_, moved = w.address.get()
			w.wait(ctx, moved, w.backoff.next())
		}
	case <-ctx.Done():
	}
}

// follow lists and watches at one address until that fails or discovery moves. The watch goes on from the present
// version, since a whole list costs discovery work for each of its lines; the list is fetched only where it is needed.
func (w *Watcher) follow(ctx context.Context, addr string, moved <-chan struct{}) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-moved:
			cancel()
		case <-ctx.Done():
		}
	}()
	if w.needsFullList.Load() {
		list, err := w.api.list(ctx, addr)
		if err != nil {
			return err
		}
		_ = w.confirm(list, true) // needsFullList says so if an entry was rejected, and the watch goes on
	}
	err := w.watch(ctx, addr)
	select {
	case <-moved:
		w.needsFullList.Store(true)
	default:
	}
	return err
}

// watch applies changes until the watch ends, falls silent or brings what cannot be read. After the last of these a
// change may be missing, so the whole list is fetched next.
func (w *Watcher) watch(ctx context.Context, addr string) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silence := time.AfterFunc(w.silenceTimeout, func() { cancel(errSilent) })
	defer silence.Stop()
	body, err := w.api.watch(ctx, addr, w.Version())
	if err != nil {
		return causeOr(ctx, err)
	}
	defer body.Close()
	slog.Info("discovery_watching", "addr", addr, "version", w.Version(), "attempts", w.backoff.failures)
	changes := newObjectReader(body, func() {
		silence.Reset(w.silenceTimeout)
		w.backoff.reset()
	})
	for {
		var change List
		if err := changes.next(&change); err != nil {
			// A change that was cut off is sent again by its index; one that makes no sense might be no better then.
			if errors.Is(err, errMalformed) {
				w.malformed.Add(1)
				w.needsFullList.Store(true)
			}
			return fmt.Errorf("discovery: watch: %w", causeOr(ctx, err))
		}
		if err := w.confirm(change, change.Reset); err != nil && !change.Reset {
			return fmt.Errorf("discovery: watch: %w", err) // the whole list may have the rejected entries
		}
	}
}
