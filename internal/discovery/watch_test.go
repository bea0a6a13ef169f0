package discovery

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/iotest"
	"time"

	"rampspread/internal/dispatch"
	"rampspread/internal/testkit"
	"rampspread/routing"
)

const leaving = `{"generation":%d,"reset":%t,"instances":[{"instanceId":"s1","hostPort":"127.0.0.1:9000","zone":"wien",` +
	`"machineType":"prefill","cell":3,"lifecycle":%q,"weight":1.0,"startedAtMs":0}]}` + "\n"

// follow starts a watcher of a fleet so large that discovery, where it had to be asked, would be left alone for a
// minute. It returns what tells the state of s1.
func follow(t *testing.T, addr, discovery string) (*Watcher, func() routing.EndpointState) {
	t.Helper()
	settings := testkit.Settings(t)
	settings.Discovery, settings.Balancers = discovery, 1024
	var state atomic.Int64
	state.Store(int64(routing.Gone))
	w := New(addr, settings, 9, func(_ bool, entries []dispatch.Endpoint) {
		for _, e := range entries {
			state.Store(int64(e.State))
		}
	})
	w.quiet /= 20
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); w.Run(ctx) }()
	t.Cleanup(func() { stop(); <-done })
	return w, func() routing.EndpointState { return routing.EndpointState(state.Load()) }
}

// soon is well under any pause that the fleet of follow would draw if its discovery had to be asked, and well over
// what a call to an agent takes on a slow machine.
func soon(t *testing.T, what string, ok func() bool) {
	t.Helper()
	from := time.Now()
	testkit.Eventually(t, what, ok)
	if took := time.Since(from); took > 3*time.Second {
		t.Errorf("%s took %v", what, took)
	}
}

// A watch that falls silent, is reset or ends is opened anew at once where an agent of the same machine has the news:
// it counts as told whether or not a watch is open. Pauses of up to 15 s at 300 dispatchers broke the drain rule
// (herd+mass and join+mass, all seeds played).
func TestLostWatchOfAnAgent(t *testing.T) {
	for name, lose := range map[string]func(http.ResponseWriter, *http.Request){
		"silent": func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() },
		"reset":  func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
		"ends":   func(http.ResponseWriter, *http.Request) {},
		"cut": func(w http.ResponseWriter, _ *http.Request) {
			io.WriteString(w, leaving[:40])
			http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		},
		"an object without end": func(w http.ResponseWriter, r *http.Request) {
			for r.Context().Err() == nil { // bytes come, but no news
				io.WriteString(w, "[")
				http.NewResponseController(w).Flush()
				time.Sleep(10 * time.Millisecond)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			var watches atomic.Int64
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				switch {
				case r.URL.Query().Get("stream") == "":
					fmt.Fprintf(w, leaving, 1, true, "ready")
				case watches.Add(1) == 1:
					lose(w, r)
				default:
					fmt.Fprintf(w, leaving, 2, false, "draining")
					http.NewResponseController(w).Flush()
					<-r.Context().Done()
				}
			}))
			defer s.Close()
			_, state := follow(t, s.Listener.Addr().String(), "push")
			soon(t, "the drain", func() bool { return state() == routing.Draining })
		})
	}
}

// An agent that is not there, or takes a call and says nothing, is asked again and again: what it gets at its return
// counts at once.
func TestAgentThatWasAway(t *testing.T) {
	addr := testkit.NoOne(t)
	w, state := follow(t, addr, "push")
	testkit.Eventually(t, "five attempts", func() bool { return w.attempts.Load() >= 5 })
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
		fmt.Fprintf(w, leaving, 2, true, "draining")
	})}
	go s.Serve(l)
	defer s.Close()
	soon(t, "the drain", func() bool { return state() == routing.Draining })
}

// Where discovery has to be asked, a fleet that lost it does not come back in step.
func TestLostWatchOfADiscoveryThatIsAsked(t *testing.T) {
	s := httptest.NewServer(http.NotFoundHandler())
	defer s.Close()
	w, _ := follow(t, s.Listener.Addr().String(), "ask")
	testkit.Eventually(t, "the first attempt", func() bool { return w.attempts.Load() == 1 })
	time.Sleep(100 * time.Millisecond) // an agent would have been asked again by now
	if n := w.attempts.Load(); n != 1 {
		t.Errorf("asked %d times in the first 100 ms", n)
	}
}

// A change counts as told 6 s after discovery had it and could be reached, whatever became of the calls before: of a fleet of 1,024 each
// has it in 5.5 s, after a watch that falls silent and after calls that were refused, turned away, cut, held, or held on a connection that had
// rested.
func TestToldAfterAnyCall(t *testing.T) {
	for name, down := range map[string]func(http.ResponseWriter, *http.Request){
		"silent":      func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() },
		"turned away": func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) },
		"cut":         func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
		"half a line": func(w http.ResponseWriter, r *http.Request) {
			io.WriteString(w, leaving[:40])
			http.NewResponseController(w).Flush()
			<-r.Context().Done()
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var up atomic.Bool
			var calls atomic.Int64
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				switch {
				case !up.Load():
					calls.Add(1)
					down(w, r)
				case r.URL.Query().Get("stream") == "":
					fmt.Fprintf(w, leaving, 2, true, "draining")
				default:
					fmt.Fprintf(w, leaving, 2, false, "draining")
					http.NewResponseController(w).Flush()
					<-r.Context().Done()
				}
			}))
			defer s.Close()
			const fleet = 16 // of the 1,024
			var told [fleet]atomic.Int64
			ctx, stop := context.WithCancel(context.Background())
			var done sync.WaitGroup
			for i := range told {
				settings := testkit.Settings(t)
				settings.Discovery, settings.Balancers = "ask", 1024
				w := New(s.Listener.Addr().String(), settings, uint64(i), func(_ bool, entries []dispatch.Endpoint) {
					if entries[0].State == routing.Draining {
						told[i].CompareAndSwap(0, time.Now().UnixNano())
					}
				})
				done.Go(func() { w.Run(ctx) })
			}
			defer func() { stop(); s.CloseClientConnections(); done.Wait() }()
			testkit.Eventually(t, "two calls each", func() bool { return calls.Load() >= 2*fleet })
			up.Store(true)
			from := time.Now()
			for i := range told {
				testkit.Eventually(t, "the drain", func() bool { return told[i].Load() != 0 })
				if took := time.Unix(0, told[i].Load()).Sub(from); took > toldWithin-spare {
					t.Errorf("dispatcher %d was told after %v", i, took)
				}
			}
		})
	}
}

// Objects come on a line each or indented, in pieces, with empty lines between them; what makes no sense is told
// apart from what was cut off.
func TestLines(t *testing.T) {
	const text = "\n\n{\"generation\":1}\n\r\n{\n  \"generation\": 2,\n  \"reset\": true\n}\n\n{\"generation\":3}{\"generation\":4}\n"
	for name, from := range map[string]io.Reader{
		"at once": strings.NewReader(text), "byte by byte": iotest.OneByteReader(strings.NewReader(text)),
		"in halves": iotest.HalfReader(strings.NewReader(text)),
	} {
		heard := 0
		l := newLines(from, func() { heard++ })
		for want := uint64(1); want <= 4; want++ {
			var got List
			if err := l.next(&got); err != nil || got.Generation != want || got.Reset != (want == 2) {
				t.Fatalf("%s: object %d: %+v, %v", name, want, got, err)
			}
		}
		if err := l.next(&List{}); !errors.Is(err, io.EOF) || errors.Is(err, errUnread) {
			t.Errorf("%s: the end is %v", name, err)
		}
		if heard < 4 {
			t.Errorf("%s: heard %d times", name, heard)
		}
	}
	for text, unread := range map[string]bool{
		`{"generation":1`:        false, // cut off
		`{"generation":"x"}`:     true,
		`{cut`:                   true,
		"]":                      true,
		strings.Repeat("[", 2e6): true, // without end
		`{"instances":["` + strings.Repeat("a", maxList) + `"]}`: true,
	} {
		if err := newLines(strings.NewReader(text), func() {}).next(&List{}); err == nil || errors.Is(err, errUnread) != unread {
			t.Errorf("%.40q: %v", text, err)
		}
	}
	// Empty lines are no object's, however many come before it.
	l := newLines(io.MultiReader(strings.NewReader(strings.Repeat("\n", 2*maxList)), strings.NewReader(`{"generation":7}`)), func() {})
	var got List
	if err := l.next(&got); err != nil || got.Generation != 7 {
		t.Errorf("behind many empty lines: %+v, %v", got, err)
	}
}

func FuzzLines(f *testing.F) {
	for _, text := range testkit.Broken(5, fmt.Sprintf(leaving, 1, true, "ready")+"\n\n"+fmt.Sprintf(leaving, 2, false, "gone"), "{\n \"generation\": 3\n}\n") {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		read := func(from io.Reader) (all []uint64) {
			l := newLines(from, func() {})
			for {
				var got List
				if l.next(&got) != nil {
					return all
				}
				all = append(all, got.Generation)
			}
		}
		// However the bytes are cut, the same objects come out of them.
		if a, b := read(strings.NewReader(text)), read(iotest.OneByteReader(strings.NewReader(text))); fmt.Sprint(a) != fmt.Sprint(b) {
			t.Errorf("%v at once, %v byte by byte", a, b)
		}
	})
}
