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
	// The stream is the request's final answer: when it breaks, neither another attempt nor a release is sent.
	decode.end(routing.ConnectionReset)
	counters := dispatcher.Counters(t.Context())
	if counters.Open != 0 || counters.BrokenStreams != 1 || counters.Served != 1 || len(upstream.sends)+len(upstream.releases) > 0 {
		t.Errorf("counters %+v, %d sends, %d releases", counters, len(upstream.sends), len(upstream.releases))
	}
}

// A non-idempotent request that may have been executed must not be retried: it could be executed twice. Its answer is
// Failed, which does not say that a retry is harmless.
func TestNonIdempotentRequestThatMayHaveRunFails(t *testing.T) {
	for name, outcome := range map[string]routing.Outcome{
		"connection reset": routing.ConnectionReset,
		"errored":          routing.ErrorResponse,
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

// A non-idempotent request is sent to another decode replica if the connection to the first one failed, since it cannot
// have been executed then.
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

// An attempt without a response is aborted at the deadline. The request is answered when the attempt's end is reported,
// and also if it is never reported. Streams and ends that are reported after the answer have no effect.
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
			if counters.Open != 0 || counters.DeadlineFailures+counters.Rejected+counters.Failed != 1 || len(upstream.sends) > 0 {
				t.Errorf("counters %+v, %d more sends", counters, len(upstream.sends))
			}
			// The possible reservation of the prefill is released twice, since the end of the prefill was not observed.
			<-upstream.releases
			<-upstream.releases
		})
	}
}

// An attempt that timed out counts as in flight until its connection is closed, and no further attempt is sent before
// that. Otherwise two attempts could execute the request. A stream that arrives after the timeout is not accepted.
func TestNoSecondAttemptBeforeConnectionIsClosed(t *testing.T) {
	upstream, dispatcher := startDispatcher(t)
	dispatchAsync(t.Context(), dispatcher, nonIdempotentClass, 30*time.Second)
	attempt := <-upstream.sends
	<-upstream.aborts // the Router's timeout for a prefill has passed
	if attempt.observer.FirstToken(fakeStream{}) {
		t.Error("a stream was accepted after the timeout")
	}
	dispatcher.Counters(t.Context())
	if len(upstream.sends) > 0 {
		t.Fatal("a second attempt was sent while the first one was in flight")
	}
	attempt.end(routing.ConnectionReset)
	if next := <-upstream.sends; next.endpoint == attempt.endpoint {
		t.Errorf("the second prefill was sent to %s again", next.endpoint)
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
	attempt.end(routing.PrefillDone) // the prefill succeeded before its connection was closed
	<-upstream.releases
	if counters := dispatcher.Counters(t.Context()); counters.Open != 0 || counters.ClientGone != 1 || len(upstream.sends) > 0 {
		t.Errorf("counters %+v, %d more sends", counters, len(upstream.sends))
	}
}

// If the configuration forbids cancelling attempts, an attempt that still waits for a connection is withdrawn when its
// client disconnects, so that it does not run without a client. This holds for prefills, decodes and retries of both.
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

// AbandonPending is called when the process is about to be killed. It must answer open requests, abort attempts in
// flight, release reservations and reject new requests, since no other process can do so afterwards.
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

// If the first token and the client's disconnect happen at the same time, exactly one of them determines the answer:
// the stream is accepted if and only if the answer is Served.
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

// ApplyPeerLoads finds endpoints by name, ignores unknown ones, and returns false instead of waiting when the mailbox
// is full.
func TestPeerLoadsNeverWait(t *testing.T) {
	_, dispatcher := startDispatcher(t)
	reports := []dispatch.PeerLoad{{Name: "r1", Load: &routing.LoadReport{QueuedRequests: 1}}, {Name: "unknown"}}
	if !dispatcher.ApplyPeerLoads(reports) {
		t.Fatal("the mailbox was reported full although it was empty")
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
