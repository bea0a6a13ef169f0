// Package discovery follows the endpoint list of service discovery. It uses the list-and-watch pattern, as the client
// of Kubernetes does: a Watcher fetches the full list, then watches it for changes after the version that it has, and
// starts again after a backoff whenever the watch ends.
//
// The Watcher owns the endpoint list as it was last passed on, and its version. Only the goroutine that calls Run
// follows discovery; all other methods are safe for concurrent use. The callback that receives the updates is called in
// the goroutine that calls Apply, UseInitialList or Run.
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
	// silenceTimeout ends a watch that receives nothing. While nothing changes, discovery sends an empty line every
	// 2 s, so a watch that receives nothing for this long is dead. If such a watch misses a change, the dispatcher
	// counts as notified of the change 6 s after the watch fell silent.
	//
	// An agent, which is a process on the dispatcher's machine that gets the lists from discovery and pushes them, can
	// itself lose discovery. When discovery is back, the agent receives the changes that it missed, and the dispatcher
	// counts as notified of them from that moment on.
	silenceTimeout = 2500 * time.Millisecond

	dialTimeout = time.Second // limit for connecting to discovery

	// agentBackoffDivisor sets the backoff if discovery is a local agent: the drain deadline divided by it.
	agentBackoffDivisor = 10
)

var errSilent = errors.New("watch received nothing within the silence timeout")

// Watcher follows one service discovery, whose address may change.
type Watcher struct {
	settings       *config.Settings
	onUpdate       func(full bool, entries []dispatch.Endpoint)
	api            *apiClient
	address        *address
	endpoints      *endpointTable
	backoff        *backoff // used only by Run
	silenceTimeout time.Duration
	needsFullList  atomic.Bool // no list has been received, or the list may lack a change
	malformed      atomic.Int64
	attempts       atomic.Int64  // number of attempts of Run to list and watch
	confirmed      chan struct{} // closed by Run once discovery itself has sent its list or a change
}

// New returns a Watcher of the discovery at an address (host:port). It passes each update to onUpdate: the full list if
// full is true, otherwise changes to it. The seed determines the random backoffs.
func New(
	addr string, settings *config.Settings, seed uint64, onUpdate func(full bool, entries []dispatch.Endpoint),
) *Watcher {
	w := &Watcher{
		settings:       settings,
		onUpdate:       onUpdate,
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
		// An agent answers at once and at no cost, and the dispatcher counts as notified of each change that the agent
		// has, whether or not a watch is open. So a backoff takes only a tenth of the time in which a change must take
		// effect.
		w.backoff.agentDelay = settings.DrainDeadline() / agentBackoffDivisor
	}
	w.needsFullList.Store(true)
	return w
}

// SetFleetSize sets the function that returns the number of dispatchers that share discovery, which determines the
// backoffs. SetFleetSize must be called before Run.
func (w *Watcher) SetFleetSize(size func() float64) { w.backoff.fleetSize = size }

// MoveTo makes Run continue at another address: at once if discovery is a local agent, and after a random backoff if it
// must be polled. The full list is fetched there; until then the current list remains valid.
func (w *Watcher) MoveTo(addr string) {
	w.address.move(addr, w.api.http.CloseIdleConnections)
}

// Refresh makes Run fetch the full list again, as soon as after MoveTo, because the current one may be old.
func (w *Watcher) Refresh() { w.address.interrupt() }

// Address returns the current address of discovery.
func (w *Watcher) Address() string {
	addr, _ := w.address.get()
	return addr
}

// Malformed returns how many lists, changes and entries could not be read.
func (w *Watcher) Malformed() int64 { return w.malformed.Load() }

// Version returns the version of the list that was passed on last.
func (w *Watcher) Version() uint64 { return w.endpoints.version.Load() }

// Confirmed returns a channel that is closed once discovery itself has sent its list or a change. The list that a
// process starts with may be old.
func (w *Watcher) Confirmed() <-chan struct{} { return w.confirmed }

// CurrentList returns the full list as it was last passed on, in discovery's format.
func (w *Watcher) CurrentList() (List, error) { return w.endpoints.encode() }

// FetchVersion returns the current version of the list at discovery, without applying the list.
func (w *Watcher) FetchVersion(ctx context.Context) (version uint64, err error) {
	list, err := w.api.list(ctx, w.Address())
	return list.Generation, err
}

// UseInitialList passes on the list that the process starts with, which may be old. If an agent pushes lists, the
// dispatcher counts as notified of the agent's list from the start, and fetching it costs nothing, so Run fetches the
// full list. Otherwise the watch continues from the version of the initial list.
func (w *Watcher) UseInitialList(list List) {
	_ = w.Apply(list, true) // rejected entries are ignored, since the valid ones are better than none
	if w.settings.PushesEndpoints() {
		w.needsFullList.Store(true)
	}
}

// Apply passes on a full list, or changes if full is false. The next watch continues from the list's version. Entries
// that cannot be read are counted as malformed, and a *RejectedEntriesError returns their number.
func (w *Watcher) Apply(list List, full bool) error {
	entries, rejected := w.endpoints.update(list, full)
	w.malformed.Add(int64(rejected))
	w.onUpdate(full, entries)
	// A full list without a replica is no basis for a watch: a watch from its version may never send anything.
	w.needsFullList.Store(rejected > 0 || full && len(entries) == 0 || !full && w.needsFullList.Load())
	if rejected > 0 {
		return &RejectedEntriesError{Rejected: rejected}
	}
	return nil
}

// applyConfirmed applies a list, or changes, that discovery itself has sent, and closes confirmed.
func (w *Watcher) applyConfirmed(list List, full bool) error {
	err := w.Apply(list, full)
	select {
	case <-w.confirmed:
	default:
		close(w.confirmed)
	}
	return err
}

// Run follows discovery until the context ends. If discovery must be polled, many dispatchers lose it at the same
// moment and share its capacity, so each one backs off for a random time, which grows with each failure. The first
// attempt is made at once: the list that a dispatcher starts with may be old, and a replica that is gone must not
// receive further requests.
func (w *Watcher) Run(ctx context.Context) {
	for ctx.Err() == nil {
		addr, interrupted := w.address.get()
		w.attempts.Add(1)
		err := w.listAndWatch(ctx, addr, interrupted)
		if ctx.Err() != nil {
			return
		}
		// A connection that was idle while the network was down may hang without an error, and a second call that hangs
		// would take longer than a change may take to arrive.
		w.api.http.CloseIdleConnections()
		delay := w.backoff.next()
		if w.backoff.failures == 1 { // logging each failure would fill the log while an agent is unreachable
			slog.Info("discovery_lost", "addr", addr, "backoff", delay, "err", err)
		}
		w.waitBackoff(ctx, interrupted, delay)
	}
}

// waitBackoff waits for a backoff, or until discovery moves or Refresh is called. The full list is needed then, since a
// new discovery may count the list's versions differently. If discovery must be polled, waitBackoff then waits for
// another backoff, drawn from the shortest span.
func (w *Watcher) waitBackoff(ctx context.Context, interrupted <-chan struct{}, delay time.Duration) {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-interrupted:
		w.needsFullList.Store(true)
		w.backoff.reset()
		if !w.settings.PushesEndpoints() { // all dispatchers are moved at the same moment
			_, interrupted = w.address.get()
			w.waitBackoff(ctx, interrupted, w.backoff.next())
		}
	case <-ctx.Done():
	}
}

// listAndWatch lists and watches at one address until it fails or is interrupted. The watch continues from the current
// version. The full list is fetched only if it is needed, since it costs discovery work for each of its lines.
func (w *Watcher) listAndWatch(ctx context.Context, addr string, interrupted <-chan struct{}) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-interrupted:
			cancel()
		case <-ctx.Done():
		}
	}()
	if w.needsFullList.Load() {
		list, err := w.api.list(ctx, addr)
		if err != nil {
			return err
		}
		_ = w.applyConfirmed(list, true) // needsFullList records whether an entry was rejected; watching continues
	}
	err := w.watch(ctx, addr)
	select {
	case <-interrupted:
		w.needsFullList.Store(true)
	default:
	}
	return err
}

// watch applies changes until the watch ends, falls silent, or sends malformed data or changes with a malformed entry.
// Malformed data may have been a change, so the full list is fetched next.
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
			// A truncated change is sent again on the next watch from the same version. A malformed change might be
			// malformed again, so the full list is fetched instead.
			if errors.Is(err, errMalformed) {
				w.malformed.Add(1)
				w.needsFullList.Store(true)
			}
			return fmt.Errorf("discovery: watch: %w", causeOr(ctx, err))
		}
		if err := w.applyConfirmed(change, change.Reset); err != nil && !change.Reset {
			return fmt.Errorf("discovery: watch: %w", err) // the full list may have these entries in a valid form
		}
	}
}
