package routing

import (
	"reflect"
	"strconv"
	"testing"
	"time"
)

func TestRequestIsServedInItsCell(t *testing.T) {
	h := newHarness(t, nil)
	_, decodeReplica := h.completePrefill(1, 0)
	if decodeReplica == 13 {
		t.Error("a decode replica outside the cell was chosen although the cell has capacity")
	}
	h.handle(20*ms, FirstToken{Request: 1, Attempt: 1, Endpoint: decodeReplica, Elapsed: 20 * ms})
	_, other := h.completePrefill(2, 0)
	if other == decodeReplica || other == 13 {
		t.Errorf("the second request went to %d, want the other decode replica of the cell than %d", other, decodeReplica)
	}
	h.handle(ms, AttemptEnded{Request: 1, Attempt: 1, Endpoint: decodeReplica, Outcome: Served, Final: true})
	if h.r.requests[1] != nil || h.r.byID[decodeReplica].streams != 0 {
		t.Error("a served request is still open or its stream is still counted")
	}
}

func TestNonIdempotentRequestNeverRunsTwice(t *testing.T) {
	for o := Served + 1; o < PrefillDone; o++ {
		h := newHarness(t, nil)
		_, decodeReplica := h.completePrefill(1, 1)
		acts := h.handle(50*ms, AttemptEnded{Request: 1, Attempt: 1, Endpoint: decodeReplica, Outcome: o})
		if o.NeverRan() != (containsAction[Send](acts) || containsAction[SetTimer](acts)) || !o.NeverRan() != containsAction[Fail](acts) || containsAction[Reject](acts) {
			t.Errorf("outcome %d: got %+v", o, acts)
		}
	}
}

func TestQueueFullRetriesDecodeAndStateMissingRetriesPrefill(t *testing.T) {
	h := newHarness(t, nil)
	_, decodeReplica := h.completePrefill(1, 1)
	next := h.sentTo(h.handle(ms, AttemptEnded{Request: 1, Attempt: 1, Endpoint: decodeReplica, Outcome: QueueFull}))
	if next == decodeReplica || next < 11 {
		t.Errorf("after QueueFull it went to %d, want another decode replica", next)
	}
	if again := h.sentTo(h.handle(ms, AttemptEnded{Request: 1, Attempt: 2, Endpoint: next, Outcome: PrefillResultMissing})); again > 2 {
		t.Errorf("after PrefillResultMissing it went to %d, want a prefill replica", again)
	}
}

func TestClientGoneCancelsAndReleases(t *testing.T) {
	h := newHarness(t, nil)
	prefillReplica := h.sentTo(h.arrive(1, 0))
	if !containsAction[Cancel](h.handle(ms, ClientGone{1})) {
		t.Error("the prefill was not cancelled")
	}
	acts := h.handle(ms, AttemptEnded{Request: 1, Endpoint: prefillReplica, Outcome: PrefillDone, Final: true})
	if !reflect.DeepEqual(acts, []Action{Release{1, LateOutcome}}) || len(h.r.requests) != 0 {
		t.Errorf("got %+v, want only the release", acts)
	}
	for _, ev := range []Event{TimerFired{1}, ClientGone{1}, AttemptEnded{Request: 1, Endpoint: prefillReplica}, FirstToken{Request: 1},
		AttemptEnded{Request: 8, Endpoint: 99}} {
		if acts := h.handle(-time.Second, ev); len(acts) != 0 {
			t.Errorf("%T of a closed request or unknown replica: %+v", ev, acts)
		}
	}
}

// A timeout at the deadline fails the request at once.
func TestTimeoutAtDeadlineFailsAtOnce(t *testing.T) {
	h := newHarness(t, nil)
	_, decodeReplica := h.completePrefill(1, 1)
	acts := h.handle(4*time.Second, AttemptEnded{Request: 1, Attempt: 1, Endpoint: decodeReplica, Outcome: TimedOut})
	if !containsAction[Fail](acts) || !containsAction[Release](acts) {
		t.Errorf("got %+v", acts)
	}
}

// If all decode replicas drain between prefill and decode, the reservation is released within its TTL.
func TestReservationIsReleasedWithoutDecodeReplica(t *testing.T) {
	h := newHarness(t, nil)
	prefillReplica := h.sentTo(h.arrive(1, 1))
	h.handle(ms, EndpointUpdate{Endpoints: []Endpoint{{ID: 11, Kind: 1, State: Draining}, {ID: 12, Kind: 1, State: Gone},
		{ID: 13, Kind: 1, State: Draining}}})
	acts := h.handle(20*ms, AttemptEnded{Request: 1, Endpoint: prefillReplica, Outcome: PrefillDone, Elapsed: 20 * ms})
	for start := h.now; !containsAction[Release](acts); acts = h.handle(selectionRetryInterval, TimerFired{1}) {
		if !containsAction[SetTimer](acts) || containsAction[Send](acts) || h.now > start+h.r.cfg.ReservationTTL {
			t.Fatalf("after %v: %+v", h.now-start, acts)
		}
	}
	if !containsAction[Reject](acts) {
		t.Errorf("got %+v, want a rejection: nothing has run", acts)
	}
}

// A class that is not configured gets an answer, not a panic.
func TestUnknownClassFails(t *testing.T) {
	h := newHarness(t, nil)
	if acts := h.arrive(1, 99); !reflect.DeepEqual(acts, []Action{Fail{1, UnknownClass}}) {
		t.Errorf("got %+v", acts)
	}
}

func BenchmarkArrival(b *testing.B) {
	d := newDriver(b, 1)
	d.run(d.now + time.Minute)
	var out []Action
	id := RequestID(1 << 40)
	for b.Loop() {
		id++
		out = d.r.Handle(d.now, RequestArrived{Request: id, Session: Key(id % 100), PromptTokens: 900, RemainingTime: time.Second}, out[:0])
		d.now += ms
		d.r.Handle(d.now, ClientGone{id}, nil)
		for i := range 12 {
			d.r.Handle(d.now, AttemptEnded{Request: id, Endpoint: EndpointID(100 + 7*i), Outcome: PrefillDone, Final: true}, nil)
		}
	}
}

// The admission test applies to every prefill attempt: a request that returns from a full or silent replica is not sent
// on into an overload.
func TestPrefillRetryPassesAdmissionAgain(t *testing.T) {
	h := newHarness(t, nil)
	first := h.sentTo(h.arrive(1, 0))
	for range 20 {
		h.r.commonQueueDelay.add(h.now, 5000)
	}
	acts := h.handle(ms, AttemptEnded{Request: 1, Endpoint: first, Outcome: QueueFull})
	if !containsAction[Reject](acts) || containsAction[Send](acts) {
		t.Errorf("got %+v, want a rejection", acts)
	}
}

func BenchmarkFleet(b *testing.B) {
	for _, n := range []int{20, 100, 400} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			cfg := testConfig()
			cfg.Routers = 200
			r, err := New(cfg, 1)
			if err != nil {
				b.Fatal(err)
			}
			now := time.Hour
			out := r.Handle(now, EndpointUpdate{Full: true, Endpoints: mixedEndpoints(n)}, nil)
			id := RequestID(0)
			for b.Loop() {
				id++
				now += ms
				out = r.Handle(now, RequestArrived{Request: id, Tenant: -1, Session: Key(id % 100), PromptTokens: 900,
					RemainingTime: time.Second}, out[:0])
				prefillReplica := out[0].(Send).Endpoint
				out = r.Handle(now, AttemptEnded{Request: id, Endpoint: prefillReplica, Outcome: PrefillDone, Elapsed: ms}, out[:0])
				decodeReplica := out[0].(Send).Endpoint
				out = r.Handle(now, FirstToken{Request: id, Attempt: 1, Endpoint: decodeReplica, Elapsed: ms}, out[:0])
				out = r.Handle(now, AttemptEnded{Request: id, Attempt: 1, Endpoint: decodeReplica, Final: true}, out[:0])
			}
		})
	}
}

// A decode attempt that breaks after its stream has begun has consumed the prefill result. An idempotent request is
// prefilled again at once if enough attempts remain; any other request is not retried.
func TestBrokenStreamRetriesPrefill(t *testing.T) {
	h := newHarness(t, nil)
	_, decodeReplica := h.completePrefill(1, 0)
	acts := h.handle(20*ms, AttemptEnded{Request: 1, Attempt: 1, Endpoint: decodeReplica, Outcome: ConnectionReset, StreamStarted: true})
	if s := h.sentTo(acts); s > 2 || !containsAction[Release](acts) {
		t.Errorf("sent to %d: %+v", s, acts)
	}
}

// Retry-After has jitter, so that clients that are rejected in an overload do not all retry at the same time, and it
// does not exceed MaxRetryAfter.
func TestRetryAfterHasJitter(t *testing.T) {
	h := newHarness(t, nil)
	var least, most time.Duration
	for id := range RequestID(200) {
		h.r.requests[id+1] = &request{RequestArrived: RequestArrived{Request: id + 1}}
		h.r.rejectOrFail(h.r.requests[id+1], AttemptsExhausted, 5000)
		reject := h.r.actions[len(h.r.actions)-1].(Reject)
		if id == 0 {
			least = reject.RetryAfter
		}
		least, most = min(least, reject.RetryAfter), max(most, reject.RetryAfter)
	}
	if limit := h.r.cfg.MaxRetryAfter; least < limit/2 || most > limit || most-least < limit*2/5 {
		t.Errorf("Retry-After between %v and %v", least, most)
	}
}

// A request that may have run is not retried shortly before its deduplication window ends: a process that stalls for
// 0.15 s would write it after the replicas have stopped discarding its duplicates.
func TestRetryEndsBeforeDedupWindowByProcessStall(t *testing.T) {
	for remaining, retried := range map[time.Duration]bool{100 * ms: false, 500 * ms: true} {
		h := newHarness(t, func(c *Config) { c.Classes[2].DedupWindow = 3 * time.Second })
		_, decodeReplica := h.completePrefill(1, 2)
		acts := h.handle(3*time.Second-remaining, AttemptEnded{Request: 1, Attempt: 1, Endpoint: decodeReplica, Outcome: ConnectionReset, Elapsed: 3*time.Second - remaining})
		if containsAction[Send](acts) != retried {
			t.Errorf("%v before the end of the window: %+v", remaining, acts)
		}
	}
}
