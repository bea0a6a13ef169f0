package dispatch_test

import (
	"context"
	"testing"
	"time"

	"rampspread/internal/dispatch"
	"rampspread/internal/hostos"
	"rampspread/routing"
)

func TestStreamOfDecodeIsServed(t *testing.T) {
	upstream, dispatcher := startDispatcher(t)
	answer := dispatchAsync(t.Context(), dispatcher, nonIdempotentClass, time.Minute)
	upstream.finishPrefill()
	decode := <-upstream.sends
	if decode.endpoint != "w1" && decode.endpoint != "w2" || !decode.observer.FirstToken(fakeStream{}) {
		t.Fatalf("decode at %s, or the stream was not accepted", decode.endpoint)
	}
	if a := <-answer; a.Kind != dispatch.Served || a.Stream == nil {
		t.Fatalf("answer %+v", a)
	}
	// A request whose stream breaks has its answer: nothing more is sent, not even a release.
	decode.end(routing.ConnectionReset)
	counters := dispatcher.Counters(t.Context())
	if counters.Open != 0 || counters.BrokenStreams != 1 || counters.Served != 1 || len(upstream.sends)+len(upstream.releases) > 0 {
		t.Errorf("counters %+v, %d sends, %d releases", counters, len(upstream.sends), len(upstream.releases))
	}
}

// A non-idempotent request that may have run is not sent again, and its answer promises nothing.
func TestNonIdempotentRequestThatMayHaveRunFails(t *testing.T) {
	for name, outcome := range map[string]routing.Outcome{
		"connection reset": routing.ConnectionReset,
		"errored":          routing.Errored,
		"timed out":        routing.TimedOut,
	} {
		t.Run(name, func(t *testing.T) {
			upstream, dispatcher := startDispatcher(t)
			answer := dispatchAsync(t.Context(), dispatcher, nonIdempotentClass, time.Minute)
			upstream.finishPrefill()
			(<-upstream.sends).end(outcome)
			if a := <-answer; a.Kind != dispatch.Failed || len(upstream.sends) > 0 {
				t.Errorf("answer %+v, %d more sends", a, len(upstream.sends))
			}
			<-upstream.releases
		})
	}
}

// A non-idempotent request that surely never reached its decode replica goes to another.
func TestNonIdempotentRequestThatNeverRanIsRetried(t *testing.T) {
	upstream, dispatcher := startDispatcher(t)
	answer := dispatchAsync(t.Context(), dispatcher, nonIdempotentClass, time.Minute)
	upstream.finishPrefill()
	first := <-upstream.sends
	first.end(routing.ConnectFailed)
	second := <-upstream.sends
	if second.endpoint == first.endpoint || !second.observer.FirstToken(fakeStream{}) {
		t.Errorf("second decode at %s after %s", second.endpoint, first.endpoint)
	}
	<-answer
}

// At the deadline a silent attempt is aborted. The answer comes when its connection is closed, and even if that is
// never reported. Whatever comes afterwards changes nothing.
func TestSilentAttemptIsAbortedAtDeadline(t *testing.T) {
	for name, endReported := range map[string]bool{"end reported": true, "end not reported": false} {
		t.Run(name, func(t *testing.T) {
			upstream, dispatcher := startDispatcher(t)
			answer := dispatchAsync(t.Context(), dispatcher, idempotentClass, 300*time.Millisecond)
			attempt := <-upstream.sends
			<-upstream.aborts
			if endReported {
				attempt.end(routing.ConnectionReset)
			}
			if a := <-answer; a.Kind == dispatch.Served {
				t.Fatalf("answer %+v", a)
			}
			if attempt.observer.FirstToken(fakeStream{}) {
				t.Error("a stream was accepted after the answer")
			}
			attempt.end(routing.ConnectionReset)
			counters := dispatcher.Counters(t.Context())
			if counters.Open != 0 || counters.DeadlineForced+counters.Rejected+counters.Failed != 1 || len(upstream.sends) > 0 {
				t.Errorf("counters %+v, %d more sends", counters, len(upstream.sends))
			}
			// What the prefill may have reserved is released, and again once it must have shown.
			<-upstream.releases
			<-upstream.releases
		})
	}
}

// An attempt that timed out counts as in flight until its connection is closed, so the next one waits for that, also
// where a stream comes for it in that moment.
func TestNoSecondAttemptBeforeConnectionIsClosed(t *testing.T) {
	upstream, dispatcher := startDispatcher(t)
	dispatchAsync(t.Context(), dispatcher, nonIdempotentClass, 30*time.Second)
	attempt := <-upstream.sends
	<-upstream.aborts // the Router's timeout for a prefill
	if attempt.observer.FirstToken(fakeStream{}) {
		t.Error("a stream was accepted after the timeout")
	}
	dispatcher.Counters(t.Context())
	if len(upstream.sends) > 0 {
		t.Fatal("a copy was sent while the first attempt was in flight")
	}
	attempt.end(routing.ConnectionReset)
	if next := <-upstream.sends; next.endpoint == attempt.endpoint {
		t.Errorf("the prefill went to %s again", next.endpoint)
	}
}

func TestDisconnectedClientEndsItsRequest(t *testing.T) {
	upstream, dispatcher := startDispatcher(t)
	client, disconnect := context.WithCancel(t.Context())
	answer := dispatchAsync(client, dispatcher, idempotentClass, time.Minute)
	attempt := <-upstream.sends
	disconnect()
	if a := <-answer; a.Kind != dispatch.ClientDisconnected {
		t.Fatalf("answer %+v", a)
	}
	<-upstream.aborts
	attempt.end(routing.PrefillDone) // the prefill won the race against the close
	<-upstream.releases
	if counters := dispatcher.Counters(t.Context()); counters.Open != 0 || counters.ClientGone != 1 || len(upstream.sends) > 0 {
		t.Errorf("counters %+v, %d more sends", counters, len(upstream.sends))
	}
}

// Where attempts may not be cancelled, one that still waits for its connection does not begin once its client has
// disconnected: a prefill, a decode, and the second attempt of either.
func TestWaitingAttemptIsWithdrawnWhenClientDisconnects(t *testing.T) {
	outcomes := func(all ...routing.Outcome) []routing.Outcome { return all }
	for name, earlierOutcomes := range map[string][]routing.Outcome{
		"prefill":        nil,
		"second prefill": outcomes(routing.ConnectFailed),
		"decode":         outcomes(routing.PrefillDone),
		"second decode":  outcomes(routing.PrefillDone, routing.ConnectFailed),
	} {
		t.Run(name, func(t *testing.T) {
			upstream, dispatcher := startDispatcherWith(t, hostos.Real(), func(c *routing.Config) { c.CanCancel = false })
			client, disconnect := context.WithCancel(t.Context())
			answer := dispatchAsync(client, dispatcher, idempotentClass, time.Minute)
			attempt := <-upstream.sends
			for _, outcome := range earlierOutcomes {
				attempt.end(outcome)
				attempt = <-upstream.sends
			}
			disconnect()
			if a := <-answer; a.Kind != dispatch.ClientDisconnected {
				t.Fatalf("answer %+v", a)
			}
			withdrawnFrom := <-upstream.withdrawals
			if withdrawnFrom != attempt.endpoint || len(upstream.withdrawals) > 0 || len(upstream.aborts) > 0 {
				t.Errorf("withdrawn from %s, sent to %s; %d more withdrawn, %d aborted",
					withdrawnFrom, attempt.endpoint, len(upstream.withdrawals), len(upstream.aborts))
			}
			attempt.end(routing.ConnectFailed)
			<-upstream.releases
			if counters := dispatcher.Counters(t.Context()); counters.Open != 0 || len(upstream.sends) > 0 {
				t.Errorf("%d open, %d more sends", counters.Open, len(upstream.sends))
			}
		})
	}
}

// A process that is about to be killed answers what is open, ends what is in flight, releases what is reserved, and
// accepts nothing more.
func TestAbandonPendingAnswersOpenRequestsAndRejectsNewOnes(t *testing.T) {
	upstream, dispatcher := startDispatcher(t)
	answer := dispatchAsync(t.Context(), dispatcher, nonIdempotentClass, 30*time.Second)
	upstream.finishPrefill()
	decode := <-upstream.sends
	dispatcher.AbandonPending()
	if a := <-answer; a.Kind != dispatch.Failed {
		t.Errorf("a non-idempotent request that may run was answered %+v", a)
	}
	if endpoint := <-upstream.aborts; endpoint != decode.endpoint {
		t.Errorf("%s was aborted, not %s", endpoint, decode.endpoint)
	}
	decode.end(routing.ConnectionReset)
	<-upstream.releases
	later := dispatchAsync(t.Context(), dispatcher, idempotentClass, 30*time.Second)
	if a := <-later; a.Kind != dispatch.Rejected || a.RetryAfter <= 0 {
		t.Errorf("a later request was answered %+v", a)
	}
	if counters := dispatcher.Counters(t.Context()); counters.Open != 0 || len(upstream.sends) > 0 {
		t.Errorf("%d open, %d more sends", counters.Open, len(upstream.sends))
	}
}

// A first token races the client's disconnect: one of them wins, and a stream that lost is refused.
func TestFirstTokenRacesDisconnect(t *testing.T) {
	const rounds = 50
	upstream, dispatcher := startDispatcher(t)
	for range rounds {
		client, disconnect := context.WithCancel(t.Context())
		answer := dispatchAsync(client, dispatcher, idempotentClass, time.Minute)
		upstream.finishPrefill()
		decode := <-upstream.sends
		accepted := make(chan bool)
		go func() { accepted <- decode.observer.FirstToken(fakeStream{}) }()
		disconnect()
		a := <-answer
		if won := <-accepted; won != (a.Kind == dispatch.Served) {
			t.Fatalf("stream accepted %t, answer %+v", won, a)
		} else if won {
			decode.end(routing.Served)
		} else {
			decode.end(routing.ConnectionReset)
		}
	}
	if counters := dispatcher.Counters(t.Context()); counters.Open != 0 || counters.Served+counters.ClientGone != rounds {
		t.Errorf("counters %+v", counters)
	}
}

// Load reports of other dispatchers reach the Router by name, unknown endpoints are ignored, and nobody waits for a
// free slot of the mailbox.
func TestPeerLoadsNeverWait(t *testing.T) {
	_, dispatcher := startDispatcher(t)
	reports := []dispatch.PeerLoad{{Name: "r1", Load: &routing.LoadReport{QueuedRequests: 1}}, {Name: "unknown"}}
	if !dispatcher.ApplyPeerLoads(reports) {
		t.Fatal("an empty mailbox was full")
	}
	if n := dispatcher.Counters(t.Context()); n.PeerLoadReports != 1 {
		t.Errorf("counters %+v", n)
	}
	notRunning, err := dispatch.New(routerConfig(t), 1, newFakeUpstream(), hostos.Real(), nil)
	if err != nil {
		t.Fatal(err)
	}
	const tooMany = 1 << 20
	for n := 0; notRunning.ApplyPeerLoads([]dispatch.PeerLoad{{Name: "r1"}}); n++ {
		if n > tooMany {
			t.Fatal("the mailbox is unbounded")
		}
	}
}
