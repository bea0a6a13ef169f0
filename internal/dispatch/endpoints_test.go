package dispatch_test

import (
	"fmt"
	"reflect"
	"runtime"
	"testing"
	"time"

	"rampspread/internal/dispatch"
	"rampspread/internal/testutil"
	"rampspread/routing"
)

// Discovery may report the same endpoint list again, for example after the client has switched to another discovery
// server. This must not reset an endpoint's statistics or its slow-start credit.
func TestRepeatedListChangesNothing(t *testing.T) {
	_, dispatcher := startDispatcher(t)
	list := []dispatch.Endpoint{
		{Name: "r1", Kind: prefillKind, State: routing.Ready, Weight: 1, Started: time.Now().Add(-time.Second)},
		{Name: "w1", Kind: decodeKind, State: routing.Ready, Weight: 1, Started: time.Now().Add(-time.Hour)},
	}
	var first []routing.EndpointStats
	for n := range 5 {
		dispatcher.UpdateEndpoints(true, list)
		snapshot, ok := dispatcher.Snapshot(t.Context(), 0)
		if !ok || len(snapshot.Endpoints) != len(list) {
			t.Fatalf("Snapshot: %d endpoints, ok %t", len(snapshot.Endpoints), ok)
		}
		if n == 0 {
			first = snapshot.Endpoints
		} else if !reflect.DeepEqual(first, snapshot.Endpoints) {
			t.Fatalf("after the repeated list:\n%+v\nafter the first list:\n%+v", snapshot.Endpoints, first)
		}
	}
}

// Records of endpoints that are gone and answered requests must not stay in memory, even if a request's deadline is far
// ahead. The deadline's timer would keep the request and its body in memory if it were not stopped.
func TestGoneEndpointsAndAnsweredRequestsAreForgotten(t *testing.T) {
	upstream, dispatcher := startDispatcher(t)
	for n := range 100 {
		dispatcher.UpdateEndpoints(false, []dispatch.Endpoint{
			readyEndpoint(fmt.Sprint("s", n), decodeKind),
			{Name: fmt.Sprint("s", n-1), State: routing.Gone},
		})
	}
	if n := dispatcher.Counters(t.Context()); n.Endpoints != 5 {
		t.Errorf("%d endpoints listed, want 5", n.Endpoints)
	}
	collected := make(chan bool, 1)
	func() {
		body := make([]byte, 1<<20)
		runtime.AddCleanup(&body[0], func(int) { collected <- true }, 0)
		answer := make(chan dispatch.Answer)
		request := dispatch.Request{
			Call: dispatch.UpstreamCall{ID: "x", Body: body}, PromptTokens: 100, Deadline: time.Now().Add(time.Hour),
		}
		go func() { answer <- dispatcher.Dispatch(t.Context(), request) }()
		upstream.finishPrefill()
		decode := <-upstream.sends
		decode.observer.FirstToken(fakeStream{})
		<-answer
		decode.end(routing.Served)
	}()
	testutil.Eventually(t, "the request's body to be collected", func() bool {
		runtime.GC()
		return len(collected) == 1
	})
}

// An attempt that waits for a connection is withdrawn when its endpoint begins to drain, is gone or is missing from a
// full list, and the request is sent to another endpoint. Updates of other endpoints do not withdraw the attempt.
func TestWaitingAttemptIsWithdrawnFromLeavingEndpoint(t *testing.T) {
	for name, update := range map[string]func(d *dispatch.Dispatcher, leaving string){
		"draining": func(d *dispatch.Dispatcher, leaving string) {
			d.UpdateEndpoints(false, []dispatch.Endpoint{
				{Name: leaving, Kind: prefillKind, State: routing.Draining, Weight: 1},
			})
		},
		"gone": func(d *dispatch.Dispatcher, leaving string) {
			d.UpdateEndpoints(false, []dispatch.Endpoint{{Name: leaving, State: routing.Gone}})
		},
		"missing from a full list": func(d *dispatch.Dispatcher, leaving string) {
			other := map[string]string{"r1": "r2", "r2": "r1"}[leaving]
			d.UpdateEndpoints(true, []dispatch.Endpoint{readyEndpoint(other, prefillKind), readyEndpoint("w1", decodeKind)})
		},
	} {
		t.Run(name, func(t *testing.T) {
			upstream, dispatcher := startDispatcher(t)
			answer := dispatchAsync(t.Context(), dispatcher, nonIdempotentClass, time.Minute)
			attempt := <-upstream.sends
			unrelated := dispatch.Endpoint{Name: "w2", Kind: decodeKind, State: routing.Draining, Weight: 1}
			dispatcher.UpdateEndpoints(false, []dispatch.Endpoint{unrelated})
			update(dispatcher, attempt.endpoint)
			if withdrawnFrom := <-upstream.withdrawals; withdrawnFrom != attempt.endpoint || len(upstream.withdrawals) > 0 {
				t.Errorf("withdrawn from %s and %d more withdrawals; the attempt was sent to %s",
					withdrawnFrom, len(upstream.withdrawals), attempt.endpoint)
			}
			attempt.end(routing.ConnectFailed)
			next := <-upstream.sends
			if next.endpoint == attempt.endpoint {
				t.Errorf("sent to %s again", next.endpoint)
			}
			next.end(routing.PrefillDone)
			(<-upstream.sends).observer.FirstToken(fakeStream{})
			if a := <-answer; a.Kind != dispatch.Served {
				t.Errorf("answer %+v", a)
			}
		})
	}
}
