// Package dispatch runs one routing.Router against real traffic. The Router decides and has no I/O of its own; this
// package feeds it events with the time at which they happened and carries out the actions that it returns: it sends
// attempts, polls loads, releases reservations, sets timers and gives the final answers. It knows no wire format:
// frontends call [Dispatcher.Dispatch], and replicas are reached through the interface [Upstream].
//
// A [Dispatcher] is an actor: the goroutine of [Dispatcher.Run] is the only one that touches the Router, the table of
// open requests, the endpoint list and the counters. Every other goroutine reaches that state through the mailbox, a
// bounded queue of functions that Run calls one after the other.
//
// The owner never blocks. It calls Upstream methods, which do not wait, and sends only on channels that have a free
// slot. It never posts to its own mailbox, which might be full and would then never be emptied: what is to happen
// later is posted by a timer's goroutine. Unexported methods of Dispatcher run on the owner, unless their comment says
// otherwise.
//
// Exported methods may be called from any goroutine but the owner, thus not from the callback of SetQuotaShare:
//   - Dispatch waits for the request's final answer; Reconfigure, Counters and Snapshot wait for their result.
//   - UpdateEndpoints, AbandonPending, Restore and RestoreFromPeer wait only while the mailbox is full.
//   - ApplyPeerLoads, SetQuotaShare and SetSubset never wait, and report false while the mailbox is full.
//   - Accepted and PendingReleases are atomic reads.
//
// Upstream calls the methods of AttemptObserver and the callback of PollLoad from goroutines of its own.
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

// mailboxCapacity bounds the functions that wait for the owner.
const mailboxCapacity = 4096

// errStopped says that Run has ended.
var errStopped = errors.New("dispatcher is stopped")

// Dispatcher owns a Router and carries out its actions. Only the goroutine of Run touches its fields, except those
// that never change after New, the mailbox and the atomic counters.
type Dispatcher struct {
	router     *routing.Router
	config     routing.Config // in force
	upstream   Upstream
	system     hostos.System
	violations *precondition.ViolationCounter

	startedAt   time.Time
	epochOffset time.Duration // wall clock time at startedAt, since 1970
	mailbox     chan func()
	stopped     chan struct{} // closed once Run has ended

	lastRequestID   routing.RequestID
	requests        map[routing.RequestID]*request
	endpoints       map[routing.EndpointID]*endpointRecord
	endpointsByName map[string]*endpointRecord

	actionBuffer    []routing.Action // reused for each event
	pendingEvents   []routing.Event  // the event in progress, and those that follow from carrying out its actions
	pendingRemovals []*request       // answered requests that forget looks at once no event is pending
	abandoned       bool             // AbandonPending was called: every new request is rejected
	counters        Counters

	accepted        atomic.Int64 // equals counters.Accepted
	pendingReleases atomic.Int64 // second releases that are scheduled
}

// New returns a Dispatcher that Run must drive. seed seeds the Router's random draws; violations may be nil. It fails
// if the Router refuses the configuration.
func New(
	cfg routing.Config, seed uint64, upstream Upstream, hostSystem hostos.System, violations *precondition.ViolationCounter,
) (*Dispatcher, error) {
	router, err := routing.New(cfg, seed)
	if err != nil {
		return nil, fmt.Errorf("router: %w", err)
	}
	return &Dispatcher{
		router:          router,
		config:          cfg,
		upstream:        upstream,
		system:          hostSystem,
		violations:      violations,
		startedAt:       time.Now(),
		epochOffset:     time.Duration(hostSystem.Wall().UnixNano()),
		mailbox:         make(chan func(), mailboxCapacity),
		stopped:         make(chan struct{}),
		requests:        map[routing.RequestID]*request{},
		endpoints:       map[routing.EndpointID]*endpointRecord{},
		endpointsByName: map[string]*endpointRecord{},
	}, nil
}

// Run makes the calling goroutine the owner until the context ends. It must be called once.
func (d *Dispatcher) Run(ctx context.Context) {
	defer close(d.stopped)
	for {
		select {
		case work := <-d.mailbox:
			work()
		case <-ctx.Done():
			return
		}
	}
}

// post passes work to the owner. It waits while the mailbox is full, and reports false once Run has ended. Any
// goroutine but the owner may call it.
func (d *Dispatcher) post(work func()) (posted bool) {
	select {
	case d.mailbox <- work:
		return true
	case <-d.stopped:
		return false
	}
}

// tryPost passes work to the owner if the mailbox has a free slot, and reports false if it has none. It never waits.
func (d *Dispatcher) tryPost(work func()) (posted bool) {
	select {
	case d.mailbox <- work:
		return true
	default:
		return false
	}
}

// query calls read on the owner and returns its result. It fails with the context's error, or with errStopped. Any
// goroutine but the owner may call it.
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

// now is the Router's clock: the time since 1970 as the wall clock had it at the start, advanced by the monotonic
// clock, so that it never jumps when the wall clock is stepped.
func (d *Dispatcher) now() time.Duration { return d.epochOffset + time.Since(d.startedAt) }

// clockTime converts a time with a monotonic reading of this process to the Router's clock.
func (d *Dispatcher) clockTime(t time.Time) time.Duration { return d.epochOffset + t.Sub(d.startedAt) }
