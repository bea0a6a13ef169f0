// Package dispatch runs one routing.Router against real traffic. The Router makes the decisions and does no I/O; this
// package passes events to it, each with its time, and executes the actions that it returns: it sends attempts, polls
// endpoints for their load, releases reservations, sets timers and gives the final answers. The package is independent
// of any wire format: frontends call [Dispatcher.Dispatch], and endpoints are reached through the interface [Upstream].
//
// A [Dispatcher] is an actor: one goroutine, the owner, runs [Dispatcher.Run] and is the only one that accesses the
// Router, the table of open requests, the endpoint list and the counters. Other goroutines access that state through
// the mailbox, a bounded queue of functions that Run calls one after the other. New requests wait in a queue of their
// own, which Run serves only while the mailbox is empty: what concerns open requests comes before new ones.
//
// The owner never blocks. It calls Upstream methods, which do not wait, and sends only on channels that have a free
// slot. It never posts to its own mailbox: if the mailbox were full, the post would wait for the owner itself and never
// return. Work that the owner schedules for later is posted by a timer's goroutine. Unexported methods of Dispatcher
// run on the owner, unless their comment says otherwise.
//
// Exported methods may be called from any goroutine but the owner. The callback of SetQuotaShare runs on the owner and
// therefore must not call them.
//   - Dispatch waits for the request's final answer; Reconfigure, Counters and Snapshot wait for their result.
//   - UpdateEndpoints, AbandonPending, Restore and RestoreFromPeer wait only while the mailbox is full.
//   - ApplyPeerLoads, SetQuotaShare and SetSubset never wait, and return false if the mailbox is full.
//   - Accepted and PendingReleases are atomic reads.
//
// Upstream calls the methods of AttemptObserver and the callback of PollLoad from its own goroutines.
package dispatch

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"rampspread/internal/hostos"
	"rampspread/internal/precondition"
	"rampspread/routing"
)

const (
	// mailboxCapacity is the maximum number of functions queued for the owner.
	mailboxCapacity = 4096
	// arrivalsCapacity is the maximum number of new requests queued for the owner.
	arrivalsCapacity = 64
)

// errStopped is returned by calls that the owner cannot serve because Run has ended.
var errStopped = errors.New("dispatcher is stopped")

// Dispatcher owns a Router and executes its actions. Only the goroutine of Run accesses its fields, except the fields
// that never change after New, the mailbox and the atomic counters.
type Dispatcher struct {
	router     *routing.Router
	config     routing.Config // current configuration of the Router
	upstream   Upstream
	system     hostos.System
	violations *precondition.ViolationCounter

	startedAt   time.Time
	epochOffset time.Duration // wall clock time at startedAt, as the time since 1970
	mailbox     chan func()
	arrivals    chan *request
	stopped     chan struct{} // closed when Run returns

	lastRequestID   routing.RequestID
	requests        map[routing.RequestID]*request
	endpoints       map[routing.EndpointID]*endpointRecord
	endpointsByName map[string]*endpointRecord

	actionBuffer    []routing.Action // buffer reused for each event
	pendingEvents   []routing.Event  // event being handled, followed by the events that its actions have caused
	pendingRemovals []*request       // answered requests to pass to removeIfDone when no event is pending
	abandoned       bool             // set by AbandonPending: every new request is rejected
	counters        Counters

	lateAnswers     atomic.Int64 // requests that Dispatch answered because the owner did not
	accepted        atomic.Int64 // equals counters.Accepted
	pendingReleases atomic.Int64 // number of scheduled second releases (secondReleaseDelay)
}

// New returns a Dispatcher, which handles nothing until Run is called. seed seeds the Router's random number generator;
// violations may be nil. New fails if the Router rejects the configuration.
func New(
	cfg routing.Config, seed uint64, upstream Upstream, machine hostos.System, violations *precondition.ViolationCounter,
) (*Dispatcher, error) {
	router, err := routing.New(cfg, seed)
	if err != nil {
		return nil, fmt.Errorf("router: %w", err)
	}
	return &Dispatcher{
		router:          router,
		config:          cfg,
		upstream:        upstream,
		system:          machine,
		violations:      violations,
		startedAt:       time.Now(),
		epochOffset:     time.Duration(machine.Wall().UnixNano()),
		mailbox:         make(chan func(), mailboxCapacity),
		arrivals:        make(chan *request, arrivalsCapacity),
		stopped:         make(chan struct{}),
		requests:        map[routing.RequestID]*request{},
		endpoints:       map[routing.EndpointID]*endpointRecord{},
		endpointsByName: map[string]*endpointRecord{},
	}, nil
}

// Run makes the calling goroutine the owner until the context is done. It must be called exactly once.
func (d *Dispatcher) Run(ctx context.Context) {
	defer close(d.stopped)
	for {
		select {
		case work := <-d.mailbox:
			work()
			continue
		case <-ctx.Done():
			return
		default:
		}
		select {
		case work := <-d.mailbox:
			work()
		case req := <-d.arrivals:
			d.acceptRequest(req)
		case <-ctx.Done():
			return
		}
	}
}

// post passes work to the owner. It waits while the mailbox is full, and returns false if Run has ended. Any goroutine
// but the owner may call it.
func (d *Dispatcher) post(work func()) (posted bool) {
	select {
	case d.mailbox <- work:
		return true
	case <-d.stopped:
		return false
	}
}

// tryPost passes work to the owner if the mailbox has a free slot, and returns false otherwise. It never waits.
func (d *Dispatcher) tryPost(work func()) (posted bool) {
	select {
	case d.mailbox <- work:
		return true
	default:
		return false
	}
}

// query calls read on the owner and returns its result. It returns the context's error if the context is done first,
// and errStopped if Run has ended. Any goroutine but the owner may call it.
func query[T any](ctx context.Context, d *Dispatcher, read func() T) (T, error) {
	var zero T
	result := make(chan T, 1)
	if !d.post(func() { result <- read() }) {
		return zero, errStopped
	}
	select {
	case got := <-result:
		return got, nil
	case <-ctx.Done():
		return zero, ctx.Err()
	case <-d.stopped:
		return zero, errStopped
	}
}

// now returns the time on the Router's clock: the wall clock time at the start (since 1970) plus the time elapsed since
// then by the monotonic clock. It does not jump when the wall clock is stepped.
func (d *Dispatcher) now() time.Duration { return d.epochOffset + time.Since(d.startedAt) }

// clockTime converts a time that has a monotonic clock reading of this process to the Router's clock.
func (d *Dispatcher) clockTime(t time.Time) time.Duration { return d.epochOffset + t.Sub(d.startedAt) }
