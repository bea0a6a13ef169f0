package dispatch_test

import (
	"context"
	"io"
	"sync"
	"testing"
	"time"

	"rampspread/internal/dispatch"
	"rampspread/internal/hostos"
	"rampspread/internal/testutil"
	"rampspread/routing"
)

// The kinds and classes of testutil.Settings.
const (
	prefillKind = 0
	decodeKind  = 1

	idempotentClass    = 0
	nonIdempotentClass = 1
)

// fakeUpstream is an Upstream whose attempts end only when the test ends them. Its channels record the dispatcher's
// calls: the attempts sent, the names of the endpoints of aborted and withdrawn attempts, and the IDs of the requests
// whose reservations are released.
type fakeUpstream struct {
	sends       chan sentAttempt
	aborts      chan string
	releases    chan string
	withdrawals chan string
}

// sentAttempt is an attempt that the dispatcher has sent.
type sentAttempt struct {
	endpoint string
	observer dispatch.AttemptObserver
}

func newFakeUpstream() *fakeUpstream {
	const capacity = 64 // more calls than any test causes
	return &fakeUpstream{
		sends:       make(chan sentAttempt, capacity),
		aborts:      make(chan string, capacity),
		releases:    make(chan string, capacity),
		withdrawals: make(chan string, capacity),
	}
}

// Send implements dispatch.Upstream.
func (u *fakeUpstream) Send(spec dispatch.AttemptSpec, observer dispatch.AttemptObserver) dispatch.Attempt {
	u.sends <- sentAttempt{spec.Target.Name, observer}
	return fakeAttempt{u, spec.Target.Name}
}

// Release implements dispatch.Upstream.
func (u *fakeUpstream) Release(call dispatch.UpstreamCall, _ []dispatch.EndpointAddress) {
	u.releases <- call.ID
}

// PollLoad implements dispatch.Upstream. No endpoint reports its load.
func (u *fakeUpstream) PollLoad(_ dispatch.EndpointAddress, _ time.Duration, onReport func(*routing.LoadReport)) {
	go onReport(nil)
}

type fakeAttempt struct {
	upstream *fakeUpstream
	endpoint string
}

// Abort implements dispatch.Attempt.
func (a fakeAttempt) Abort() { a.upstream.aborts <- a.endpoint }

// Withdraw implements dispatch.Attempt.
func (a fakeAttempt) Withdraw() { a.upstream.withdrawals <- a.endpoint }

// fakeStream is a stream that must not be read.
type fakeStream struct{ io.ReadCloser }

// readyEndpoint returns an entry of the endpoint list in state Ready.
func readyEndpoint(name string, kind int) dispatch.Endpoint {
	return dispatch.Endpoint{Name: name, Kind: kind, State: routing.Ready, Weight: 1}
}

// startDispatcher runs a dispatcher with the endpoints r1 and r2 (prefill), w1 and w2 (decode).
func startDispatcher(t *testing.T) (*fakeUpstream, *dispatch.Dispatcher) {
	t.Helper()
	return startDispatcherWith(t, hostos.Real(), func(*routing.Config) {})
}

// startDispatcherWith does the same as startDispatcher with the given system and a changed configuration.
func startDispatcherWith(
	t *testing.T, machine hostos.System, change func(*routing.Config),
) (*fakeUpstream, *dispatch.Dispatcher) {
	t.Helper()
	upstream := newFakeUpstream()
	config := routerConfig(t)
	change(&config)
	dispatcher, err := dispatch.New(config, 1, upstream, machine, nil)
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { dispatcher.Run(ctx) })
	t.Cleanup(func() { stop(); running.Wait() })
	dispatcher.UpdateEndpoints(true, []dispatch.Endpoint{
		readyEndpoint("r1", prefillKind), readyEndpoint("r2", prefillKind),
		readyEndpoint("w1", decodeKind), readyEndpoint("w2", decodeKind),
	})
	return upstream, dispatcher
}

func routerConfig(t *testing.T) routing.Config {
	t.Helper()
	config, err := testutil.Settings(t).Router()
	if err != nil {
		t.Fatal(err)
	}
	return config
}

// dispatchAsync dispatches a request whose deadline is the timeout from now, and returns a channel with its answer.
func dispatchAsync(
	client context.Context, dispatcher *dispatch.Dispatcher, class int, timeout time.Duration,
) <-chan dispatch.Answer {
	answer := make(chan dispatch.Answer, 2)
	request := dispatch.Request{
		Call: dispatch.UpstreamCall{ID: "x"}, Class: class, PromptTokens: 100, Deadline: time.Now().Add(timeout),
	}
	go func() { answer <- dispatcher.Dispatch(client, request) }()
	return answer
}

// finishPrefill receives the next attempt that is sent, which must be a prefill, and ends it with PrefillDone.
func (u *fakeUpstream) finishPrefill() {
	(<-u.sends).observer.Ended(dispatch.AttemptResult{Outcome: routing.PrefillDone})
}

// end ends the attempt with an outcome.
func (a sentAttempt) end(outcome routing.Outcome) {
	a.observer.Ended(dispatch.AttemptResult{Outcome: outcome})
}
