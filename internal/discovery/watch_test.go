package discovery

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"rampspread/internal/dispatch"
	"rampspread/internal/testutil"
	"rampspread/routing"
)

// listFormat is the format of a list of the replica s1. Its arguments are the generation, whether the list is full, and
// the lifecycle.
const listFormat = `{"generation":%d,"reset":%t,"instances":[{"instanceId":"s1","hostPort":"127.0.0.1:9000","zone":"wien",` +
	`"machineType":"prefill","cell":3,"lifecycle":%q,"weight":1.0,"startedAtMs":0}]}` + "\n"

// startWatcher starts a watcher in a fleet so large that without maxBackoff its backoffs at a polled discovery would
// spread over a minute. It also returns a function that returns the state of s1.
func startWatcher(t *testing.T, addr, discovery string) (*Watcher, func() routing.EndpointState) {
	t.Helper()
	settings := testutil.Settings(t)
	settings.Discovery, settings.Dispatchers = discovery, 1024
	var state atomic.Int64
	state.Store(int64(routing.Gone))
	w := New(addr, settings, 9, func(_ bool, entries []dispatch.Endpoint) {
		for _, e := range entries {
			state.Store(int64(e.State))
		}
	})
	w.silenceTimeout /= 20
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); w.Run(ctx) }()
	t.Cleanup(func() { stop(); <-done })
	return w, func() routing.EndpointState { return routing.EndpointState(state.Load()) }
}

// eventuallySoon checks that a condition becomes true within 3 s. That is well below the backoffs that the fleet of
// startWatcher would draw without maxBackoff if its discovery had to be polled, and well above the duration of a call
// to an agent on a slow machine.
func eventuallySoon(t *testing.T, what string, ok func() bool) {
	t.Helper()
	from := time.Now()
	testutil.Eventually(t, what, ok)
	if took := time.Since(from); took > 3*time.Second {
		t.Errorf("%s took %v", what, took)
	}
}

// A watch that falls silent, is reset or ends must be reopened at once if an agent on the same machine has the change,
// since the dispatcher counts as notified whether or not a watch is open. Backoffs of up to 15 s with 300 dispatchers
// violated the drain rule (scenarios herd+mass and join+mass, with all seeds).
func TestLostWatchOfAnAgentIsOpenedAnewAtOnce(t *testing.T) {
	for name, loseWatch := range map[string]func(http.ResponseWriter, *http.Request){
		"silent": func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() },
		"reset":  func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
		"ends":   func(http.ResponseWriter, *http.Request) {},
		"cut": func(w http.ResponseWriter, _ *http.Request) {
			io.WriteString(w, listFormat[:40])
			http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		},
		"an object without end": func(w http.ResponseWriter, r *http.Request) {
			for r.Context().Err() == nil { // bytes arrive, but no change
				io.WriteString(w, "[")
				http.NewResponseController(w).Flush()
				time.Sleep(10 * time.Millisecond) // interval between the bytes
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			var watches atomic.Int64
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				switch {
				case r.URL.Query().Get("stream") == "":
					fmt.Fprintf(w, listFormat, 1, true, "ready")
				case watches.Add(1) == 1:
					loseWatch(w, r)
				default:
					fmt.Fprintf(w, listFormat, 2, false, "draining")
					http.NewResponseController(w).Flush()
					<-r.Context().Done()
				}
			}))
			defer s.Close()
			_, state := startWatcher(t, s.Listener.Addr().String(), "push")
			eventuallySoon(t, "the drain", func() bool { return state() == routing.Draining })
		})
	}
}

// An agent that is unreachable, or that accepts a call and never responds, must be called again and again: the
// dispatcher counts as notified of the agent's list as soon as the agent returns.
func TestUnreachableAgentIsRetriedUntilItReturns(t *testing.T) {
	addr := testutil.UnusedAddress(t)
	w, state := startWatcher(t, addr, "push")
	testutil.Eventually(t, "five attempts", func() bool { return w.attempts.Load() >= 5 })
	l, err := net.Listen("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	var calls atomic.Int64
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if calls.Add(1) == 1 {
			<-r.Context().Done()
			return
		}
		fmt.Fprintf(w, listFormat, 2, true, "draining")
	})}
	go s.Serve(l)
	defer s.Close()
	eventuallySoon(t, "the drain", func() bool { return state() == routing.Draining })
}

// A fleet that lost a polled discovery must not reconnect all at the same time, so a dispatcher must not retry at once.
func TestLostPolledDiscoveryIsNotRetriedAtOnce(t *testing.T) {
	s := httptest.NewServer(http.NotFoundHandler())
	defer s.Close()
	w, _ := startWatcher(t, s.Listener.Addr().String(), "ask")
	testutil.Eventually(t, "the first attempt", func() bool { return w.attempts.Load() == 1 })
	time.Sleep(100 * time.Millisecond) // an agent would have been called again by now
	if n := w.attempts.Load(); n != 1 {
		t.Errorf("%d attempts in the first 100 ms", n)
	}
}

// A dispatcher counts as notified of a change 6 s after discovery had it and could be reached, regardless of the
// results of earlier calls. In a fleet of 1,024, each dispatcher must have the change within 5.5 s after calls that
// were unanswered, rejected, cut off or answered only in part.
func TestNotifiedInTimeAfterAnyFailedCall(t *testing.T) {
	for name, fail := range map[string]func(http.ResponseWriter, *http.Request){
		"silent":   func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() },
		"rejected": func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) },
		"cut":      func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
		"half a line": func(w http.ResponseWriter, r *http.Request) {
			io.WriteString(w, listFormat[:40])
			http.NewResponseController(w).Flush()
			<-r.Context().Done()
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var reachable atomic.Bool
			var calls atomic.Int64
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				switch {
				case !reachable.Load():
					calls.Add(1)
					fail(w, r)
				case r.URL.Query().Get("stream") == "":
					fmt.Fprintf(w, listFormat, 2, true, "draining")
				default:
					fmt.Fprintf(w, listFormat, 2, false, "draining")
					http.NewResponseController(w).Flush()
					<-r.Context().Done()
				}
			}))
			defer s.Close()
			const dispatchers = 16 // of the 1,024
			var notified [dispatchers]atomic.Int64
			ctx, stop := context.WithCancel(t.Context())
			var done sync.WaitGroup
			for i := range notified {
				settings := testutil.Settings(t)
				settings.Discovery, settings.Dispatchers = "ask", 1024
				w := New(s.Listener.Addr().String(), settings, uint64(i), func(_ bool, entries []dispatch.Endpoint) {
					if entries[0].State == routing.Draining {
						notified[i].CompareAndSwap(0, time.Now().UnixNano())
					}
				})
				done.Go(func() { w.Run(ctx) })
			}
			defer func() { stop(); s.CloseClientConnections(); done.Wait() }()
			testutil.Eventually(t, "two calls each", func() bool { return calls.Load() >= 2*dispatchers })
			reachable.Store(true)
			from := time.Now()
			for i := range notified {
				testutil.Eventually(t, "the drain", func() bool { return notified[i].Load() != 0 })
				if took := time.Unix(0, notified[i].Load()).Sub(from); took > notificationDeadline-drainDeadline {
					t.Errorf("dispatcher %d was notified after %v", i, took)
				}
			}
		})
	}
}
