package upstream_test

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"rampspread/internal/dispatch"
	"rampspread/internal/testutil"
	"rampspread/routing"
)

// silentTargets returns count replicas that accept calls and never answer.
func silentTargets(t *testing.T, count int) (through []dispatch.EndpointAddress) {
	t.Helper()
	for i := range count {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { l.Close() })
		through = append(through, dispatch.EndpointAddress{Name: fmt.Sprint("silent", i), Addr: l.Addr().String()})
	}
	return through
}

// A release arrives in time though the first four replicas accept the call and never answer, as at a process that has
// just started and does not know which of them answer.
func TestReleaseIsHedgedPastSilentReplicas(t *testing.T) {
	through := silentTargets(t, 4)
	live := testutil.NewReplica(t, testutil.ServePrefill)
	client := newClient(t, 8)
	start := time.Now()
	client.Release(call, append(through, dispatch.EndpointAddress{Name: "live", Addr: live.Addr}))
	testutil.Eventually(t, "the release", func() bool { return live.Releases(call.ID) == 1 })
	if took := time.Since(start); took > 300*time.Millisecond {
		t.Errorf("it took %v", took)
	}
}

// A release arrives in time, and while it still counts, though all replicas but the last of many are silent.
func TestReleaseReachesTheLastOfManyReplicas(t *testing.T) {
	through := silentTargets(t, 10)
	live := testutil.NewReplica(t, testutil.ServePrefill)
	client := newClient(t, 8)
	start := time.Now()
	client.Release(call, append(through, dispatch.EndpointAddress{Name: "live", Addr: live.Addr}))
	testutil.Eventually(t, "the release", func() bool { return live.Releases(call.ID) > 0 || time.Since(start) > time.Second })
	if took := time.Since(start); took > 600*time.Millisecond {
		t.Errorf("it took %v", took)
	}
}

// A release that no replica confirms is repeated for a while, at a bounded rate, and then ends.
func TestUnconfirmedReleaseIsRepeatedAtABoundedRateThenEnds(t *testing.T) {
	var calls atomic.Int64
	refusing := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		calls.Add(1)
		w.WriteHeader(http.StatusNotFound)
	}))
	defer refusing.Close()
	client := newClient(t, 8)
	start := time.Now()
	client.Release(call, []dispatch.EndpointAddress{
		{Name: "dead", Addr: testutil.UnusedAddress(t)},
		{Name: "refusing", Addr: refusing.Listener.Addr().String()},
	})
	client.Release(call, nil)
	testutil.Eventually(t, "its end", func() bool { return client.PendingReleases() == 0 })
	if n, took := calls.Load(), time.Since(start); n < 3 || n > 20 || took < time.Second {
		t.Errorf("%d calls in %v", n, took)
	}
}

// A release goes on to the next replica until a live one has confirmed it.
func TestReleaseGoesOnAfterADeadReplica(t *testing.T) {
	dead := testutil.UnusedAddress(t)
	live := testutil.NewReplica(t, testutil.ServePrefill)
	client := newClient(t, 8)
	client.Release(call, []dispatch.EndpointAddress{{Name: "dead", Addr: dead}, {Name: "live", Addr: live.Addr}})
	testutil.Eventually(t, "the release", func() bool { return live.Releases(call.ID) == 1 })
}

// A call that is sent just after its release waits until that has been confirmed: a release that arrives during a prefill
// would release what the prefill makes.
func TestCallWaitsForItsRelease(t *testing.T) {
	arrived := make(chan string, 16) // a release may be made more than once
	replica := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodDelete {
			time.Sleep(20 * time.Millisecond) // the release takes this long to arrive
		}
		arrived <- r.Method
		testutil.ServePrefill(w, r, 0)
	}))
	defer replica.Close()
	target := dispatch.EndpointAddress{Name: "r", Addr: replica.Listener.Addr().String()}
	client, obs := newClient(t, 8), newObserver()
	client.Release(call, []dispatch.EndpointAddress{target})
	client.Send(dispatch.AttemptSpec{Call: call, Target: target, Timeout: 5 * time.Second}, obs)
	if o := <-obs.ended; o.Outcome != routing.PrefillDone {
		t.Errorf("outcome %d", o.Outcome)
	}
	if first := <-arrived; first != http.MethodDelete {
		t.Errorf("%s arrived before the release", first)
	}
}
