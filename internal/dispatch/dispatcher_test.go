package dispatch_test

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"sync"
	"testing"
	"time"

	"rampspread/internal/dispatch"
	"rampspread/internal/system"
	"rampspread/internal/testkit"
	"rampspread/routing"
)

// fakeUpstream is a set of servers that does only what the test tells it.
type fakeUpstream struct {
	sends    chan sentAttempt
	aborts   chan string
	releases chan string
	withdrew chan string
}

type sentAttempt struct {
	to string
	ev dispatch.AttemptObserver
}

type fakeAttempt struct {
	h  *fakeUpstream
	to string
}

func (a fakeAttempt) Abort() { a.h.aborts <- a.to }

func (a fakeAttempt) Withdraw() { a.h.withdrew <- a.to }

func (h *fakeUpstream) Send(order dispatch.AttemptSpec, ev dispatch.AttemptObserver) dispatch.Attempt {
	h.sends <- sentAttempt{order.Target.Name, ev}
	return fakeAttempt{h, order.Target.Name}
}

func (h *fakeUpstream) Release(call dispatch.Call, _ []dispatch.Target) { h.releases <- call.ID }

func (h *fakeUpstream) PollLoad(_ dispatch.Target, _ time.Duration, told func(*routing.LoadReport)) {
	go told(nil)
}

type noStream struct{ io.ReadCloser }

func start(t *testing.T) (*fakeUpstream, *dispatch.Dispatcher) {
	t.Helper()
	return startWith(t, func(*routing.Config) {})
}

func startWith(t *testing.T, change func(*routing.Config)) (*fakeUpstream, *dispatch.Dispatcher) {
	t.Helper()
	return startOn(t, system.Real(), change)
}

func startOn(t *testing.T, machine system.System, change func(*routing.Config)) (*fakeUpstream, *dispatch.Dispatcher) {
	t.Helper()
	h := &fakeUpstream{sends: make(chan sentAttempt, 64), aborts: make(chan string, 64), releases: make(chan string, 64),
		withdrew: make(chan string, 64)}
	cfg, err := testkit.Settings(t).Router()
	if err != nil {
		t.Fatal(err)
	}
	change(&cfg)
	c, err := dispatch.New(cfg, 1, h, machine, nil)
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	var done sync.WaitGroup
	done.Go(func() { c.Run(ctx) })
	t.Cleanup(func() { stop(); done.Wait() })
	c.UpdateEndpoints(true, []dispatch.Endpoint{
		{Name: "r1", Kind: 0, State: routing.Ready, Weight: 1}, {Name: "r2", Kind: 0, State: routing.Ready, Weight: 1},
		{Name: "w1", Kind: 1, State: routing.Ready, Weight: 1}, {Name: "w2", Kind: 1, State: routing.Ready, Weight: 1},
	})
	return h, c
}

func dispatchAsync(ctx context.Context, c *dispatch.Dispatcher, class int, wait time.Duration) chan dispatch.Answer {
	got := make(chan dispatch.Answer, 2)
	req := dispatch.Request{Call: dispatch.Call{ID: "x"}, Class: class, PromptTokens: 100, Deadline: time.Now().Add(wait)}
	go func() { got <- c.Dispatch(ctx, req) }()
	return got
}

func TestServed(t *testing.T) {
	h, c := start(t)
	got := dispatchAsync(context.Background(), c, 1, time.Minute)
	(<-h.sends).ev.Ended(dispatch.AttemptResult{Outcome: routing.PrefillDone})
	w := <-h.sends
	if w.to != "w1" && w.to != "w2" || !w.ev.FirstToken(noStream{}) {
		t.Fatalf("written at %s, or the stream was not taken", w.to)
	}
	if a := <-got; a.Kind != dispatch.Served || a.Stream == nil {
		t.Fatalf("answer %+v", a)
	}
	// What breaks after the first event has its answer: nothing more is sent, not even a release.
	w.ev.Ended(dispatch.AttemptResult{Outcome: routing.ConnectionReset})
	if n := c.Counters(context.Background()); n.Open != 0 || n.BrokenStreams != 1 || n.Served != 1 || len(h.sends)+len(h.releases) > 0 {
		t.Errorf("counters %+v, %d sends, %d releases", n, len(h.sends), len(h.releases))
	}
}

// A filing that may have run is not sent again, and its answer promises nothing.
func TestFilingMayHaveRun(t *testing.T) {
	for _, o := range []routing.Outcome{routing.ConnectionReset, routing.Errored, routing.TimedOut} {
		h, c := start(t)
		got := dispatchAsync(context.Background(), c, 1, time.Minute)
		(<-h.sends).ev.Ended(dispatch.AttemptResult{Outcome: routing.PrefillDone})
		(<-h.sends).ev.Ended(dispatch.AttemptResult{Outcome: o})
		if a := <-got; a.Kind != dispatch.Failed || len(h.sends) > 0 {
			t.Errorf("outcome %d: answer %+v, %d more sends", o, a, len(h.sends))
		}
		<-h.releases
	}
}

// A filing whose writer surely never got it goes to another.
func TestFilingNeverRan(t *testing.T) {
	h, c := start(t)
	got := dispatchAsync(context.Background(), c, 1, time.Minute)
	(<-h.sends).ev.Ended(dispatch.AttemptResult{Outcome: routing.PrefillDone})
	first := <-h.sends
	first.ev.Ended(dispatch.AttemptResult{Outcome: routing.ConnectFailed})
	second := <-h.sends
	if second.to == first.to || !second.ev.FirstToken(noStream{}) {
		t.Errorf("second writer %s after %s", second.to, first.to)
	}
	<-got
}

// At the deadline a silent attempt is aborted; the answer comes when its connection is closed, and even
// if that is never told. Whatever comes afterwards changes nothing.
func TestSilentUntilDeadline(t *testing.T) {
	for _, told := range []bool{true, false} {
		h, c := start(t)
		got := dispatchAsync(context.Background(), c, 0, 300*time.Millisecond)
		s := <-h.sends
		<-h.aborts
		if told {
			s.ev.Ended(dispatch.AttemptResult{Outcome: routing.ConnectionReset})
		}
		if a := <-got; a.Kind == dispatch.Served {
			t.Fatalf("told %t: answer %+v", told, a)
		}
		if s.ev.FirstToken(noStream{}) {
			t.Errorf("told %t: a stream was taken after the answer", told)
		}
		s.ev.Ended(dispatch.AttemptResult{Outcome: routing.ConnectionReset})
		n := c.Counters(context.Background())
		if n.Open != 0 || n.DeadlineForced+n.Rejected+n.Failed != 1 || len(h.sends) > 0 {
			t.Errorf("told %t: counters %+v, %d more sends", told, n, len(h.sends))
		}
		// What the read may have left is let go, and again once it must have shown.
		<-h.releases
		<-h.releases
	}
}

// An attempt that timed out counts as out until its connection is closed, so the next one waits for that, also where a stream comes
// for it in that moment.
func TestNoCopyBeforeClose(t *testing.T) {
	h, c := start(t)
	got := dispatchAsync(context.Background(), c, 1, 30*time.Second)
	s := <-h.sends
	<-h.aborts // the module's time-out for a read
	if s.ev.FirstToken(noStream{}) {
		t.Error("a stream was taken after the time-out")
	}
	c.Counters(context.Background())
	if len(h.sends) > 0 {
		t.Fatal("a copy was sent while the first was out")
	}
	s.ev.Ended(dispatch.AttemptResult{Outcome: routing.ConnectionReset})
	if next := <-h.sends; next.to == s.to {
		t.Errorf("the read went to %s again", next.to)
	}
	_ = got
}

func TestClientLeft(t *testing.T) {
	h, c := start(t)
	ctx, leave := context.WithCancel(context.Background())
	got := dispatchAsync(ctx, c, 0, time.Minute)
	s := <-h.sends
	leave()
	if a := <-got; a.Kind != dispatch.ClientGone {
		t.Fatalf("answer %+v", a)
	}
	<-h.aborts
	s.ev.Ended(dispatch.AttemptResult{Outcome: routing.PrefillDone}) // the read won the race against the close
	<-h.releases
	if n := c.Counters(context.Background()); n.Open != 0 || n.ClientGone != 1 || len(h.sends) > 0 {
		t.Errorf("counters %+v, %d more sends", n, len(h.sends))
	}
}

// Where attempts may not be cancelled, one that still waits for its connection does not begin once its client has left: at a reader, at
// a writer, and when it is the second at either.
func TestClientLeftBeforeAnAttemptBegan(t *testing.T) {
	outcomes := func(all ...routing.Outcome) []routing.Outcome { return all }
	for name, before := range map[string][]routing.Outcome{
		"reading":       nil,
		"reading again": outcomes(routing.ConnectFailed),
		"writing":       outcomes(routing.PrefillDone),
		"writing again": outcomes(routing.PrefillDone, routing.ConnectFailed),
	} {
		h, c := startWith(t, func(cfg *routing.Config) { cfg.CanCancel = false })
		ctx, leave := context.WithCancel(context.Background())
		got := dispatchAsync(ctx, c, 0, time.Minute)
		s := <-h.sends
		for _, o := range before {
			s.ev.Ended(dispatch.AttemptResult{Outcome: o})
			s = <-h.sends
		}
		leave()
		if a := <-got; a.Kind != dispatch.ClientGone {
			t.Fatalf("%s: answer %+v", name, a)
		}
		if to := <-h.withdrew; to != s.to || len(h.withdrew) > 0 || len(h.aborts) > 0 {
			t.Errorf("%s: withdrawn from %s, sent to %s; %d more, %d aborted", name, to, s.to, len(h.withdrew), len(h.aborts))
		}
		s.ev.Ended(dispatch.AttemptResult{Outcome: routing.ConnectFailed})
		<-h.releases
		if n := c.Counters(context.Background()); n.Open != 0 || len(h.sends) > 0 {
			t.Errorf("%s: %d open, %d more sends", name, n.Open, len(h.sends))
		}
	}
}

// A process that is about to be killed answers what is unanswered, ends what is out, lets go of what is held, and takes nothing more.
func TestGiveUp(t *testing.T) {
	h, c := start(t)
	waits := dispatchAsync(context.Background(), c, 1, 30*time.Second)
	read := <-h.sends
	read.ev.Ended(dispatch.AttemptResult{Outcome: routing.PrefillDone})
	write := <-h.sends
	c.AbandonPending()
	if a := <-waits; a.Kind != dispatch.Failed {
		t.Errorf("a filing that may run was answered %+v", a)
	}
	if to := <-h.aborts; to != write.to {
		t.Errorf("%s was aborted, not %s", to, write.to)
	}
	write.ev.Ended(dispatch.AttemptResult{Outcome: routing.ConnectionReset})
	<-h.releases
	if a := <-dispatchAsync(context.Background(), c, 0, 30*time.Second); a.Kind != dispatch.Rejected || a.RetryAfter <= 0 {
		t.Errorf("what came later was answered %+v", a)
	}
	if n := c.Counters(context.Background()); n.Open != 0 || len(h.sends) > 0 {
		t.Errorf("%d open, %d more sends", n.Open, len(h.sends))
	}
}

// A first event races the client's leaving: one of them wins, and a lost stream is refused.
func TestRaces(t *testing.T) {
	h, c := start(t)
	for range 50 {
		ctx, leave := context.WithCancel(context.Background())
		got := dispatchAsync(ctx, c, 0, time.Minute)
		(<-h.sends).ev.Ended(dispatch.AttemptResult{Outcome: routing.PrefillDone})
		w := <-h.sends
		taken := make(chan bool)
		go func() { taken <- w.ev.FirstToken(noStream{}) }()
		leave()
		a := <-got
		if won := <-taken; won != (a.Kind == dispatch.Served) {
			t.Fatalf("stream taken %t, answer %+v", won, a)
		} else if won {
			w.ev.Ended(dispatch.AttemptResult{Outcome: routing.Served})
		} else {
			w.ev.Ended(dispatch.AttemptResult{Outcome: routing.ConnectionReset})
		}
	}
	if n := c.Counters(context.Background()); n.Open != 0 || n.Served+n.ClientGone != 50 {
		t.Errorf("counters %+v", n)
	}
}

// Nothing stays of servers that are gone, nor of answered requests, however far their deadlines are.
func TestNothingGrows(t *testing.T) {
	h, c := start(t)
	for n := range 100 {
		c.UpdateEndpoints(false, []dispatch.Endpoint{{Name: fmt.Sprint("s", n), Kind: 1, State: routing.Ready, Weight: 1},
			{Name: fmt.Sprint("s", n-1), State: routing.Gone}})
	}
	if n := c.Counters(context.Background()); n.Endpoints != 5 {
		t.Errorf("%d servers listed, want 5", n.Endpoints)
	}
	gone := make(chan bool, 1)
	func() {
		body := make([]byte, 1<<20)
		runtime.AddCleanup(&body[0], func(int) { gone <- true }, 0)
		got := make(chan dispatch.Answer)
		req := dispatch.Request{Call: dispatch.Call{ID: "x", Body: body}, PromptTokens: 100, Deadline: time.Now().Add(time.Hour)}
		go func() { got <- c.Dispatch(context.Background(), req) }()
		(<-h.sends).ev.Ended(dispatch.AttemptResult{Outcome: routing.PrefillDone})
		w := <-h.sends
		w.ev.FirstToken(noStream{})
		<-got
		w.ev.Ended(dispatch.AttemptResult{Outcome: routing.Served})
	}()
	testkit.Eventually(t, "the request's body to be let go", func() bool {
		runtime.GC()
		return len(gone) == 1
	})
}

// News from other dispatchers reaches the module by name, strangers are passed over, and nobody waits for room.
func TestHeardNeverWaits(t *testing.T) {
	_, c := start(t)
	if !c.ApplyPeerLoads([]dispatch.PeerLoad{{Name: "r1", Load: &routing.LoadReport{QueuedRequests: 1}}, {Name: "stranger"}}) {
		t.Fatal("no room in an empty queue")
	}
	if n := c.Counters(context.Background()); n.PeerLoadReports != 1 {
		t.Errorf("counters %+v", n)
	}
	cfg, err := testkit.Settings(t).Router()
	if err != nil {
		t.Fatal(err)
	}
	stopped, err := dispatch.New(cfg, 1, &fakeUpstream{}, system.Real(), nil) // nobody takes from its queue
	if err != nil {
		t.Fatal(err)
	}
	for n := 0; stopped.ApplyPeerLoads([]dispatch.PeerLoad{{Name: "r1"}}); n++ {
		if n > 1<<20 {
			t.Fatal("a queue without bounds")
		}
	}
}

// An attempt that waits for its connection while its server begins to drain, or is left out of the whole list, is
// withdrawn, and the request goes elsewhere; others are left alone.
func TestWithdrawnFromLeavingServers(t *testing.T) {
	for name, tell := range map[string]func(c *dispatch.Dispatcher, leaving string){
		"draining": func(c *dispatch.Dispatcher, leaving string) {
			c.UpdateEndpoints(false, []dispatch.Endpoint{{Name: leaving, Kind: 0, State: routing.Draining, Weight: 1}})
		},
		"gone": func(c *dispatch.Dispatcher, leaving string) {
			c.UpdateEndpoints(false, []dispatch.Endpoint{{Name: leaving, State: routing.Gone}})
		},
		"left out": func(c *dispatch.Dispatcher, leaving string) {
			other := map[string]string{"r1": "r2", "r2": "r1"}[leaving]
			c.UpdateEndpoints(true, []dispatch.Endpoint{{Name: other, Kind: 0, State: routing.Ready, Weight: 1}, {Name: "w1", Kind: 1, State: routing.Ready, Weight: 1}})
		},
	} {
		h, c := start(t)
		got := dispatchAsync(context.Background(), c, 1, time.Minute)
		s := <-h.sends
		c.UpdateEndpoints(false, []dispatch.Endpoint{{Name: "w2", Kind: 1, State: routing.Draining, Weight: 1}}) // has nothing to do with it
		tell(c, s.to)
		if to := <-h.withdrew; to != s.to || len(h.withdrew) > 0 {
			t.Errorf("%s: withdrawn from %s, and %d more; sent to %s", name, to, len(h.withdrew), s.to)
		}
		s.ev.Ended(dispatch.AttemptResult{Outcome: routing.ConnectFailed})
		next := <-h.sends
		if next.to == s.to {
			t.Errorf("%s: sent to %s again", name, next.to)
		}
		next.ev.Ended(dispatch.AttemptResult{Outcome: routing.PrefillDone})
		(<-h.sends).ev.FirstToken(noStream{})
		if a := <-got; a.Kind != dispatch.Served {
			t.Errorf("%s: answer %+v", name, a)
		}
	}
}
