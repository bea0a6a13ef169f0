package precondition

import (
	"testing"
	"time"

	"rampspread/routing"
)

// checker is implemented by each struct of facts.
type checker interface{ Check() Reason }

// checkCase holds a struct of facts and the Reason that its Check is expected to return.
type checkCase struct {
	name  string
	facts checker
	want  Reason
}

func runChecks(t *testing.T, cases []checkCase) {
	t.Helper()
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got := c.facts.Check(); got != c.want {
				t.Errorf("%T%+v: %v, want %v", c.facts, c.facts, got, c.want)
			}
		})
	}
}

func TestAcceptIsAllowedUnlessAFactIsAgainstIt(t *testing.T) {
	runChecks(t, []checkCase{
		{"no condition forbids it", Accept{}, Allowed},
		{"evicted comes before client gone", Accept{Evicted: true, ClientGone: true}, Evicted},
		{"client gone", Accept{ClientGone: true}, ClientDisconnected},
		{"shutting down", Accept{ShuttingDown: true}, ShuttingDown},
		{"draining", Accept{Draining: true}, Draining},
	})
}

func TestAttemptIsAllowedUnlessAFactIsAgainstIt(t *testing.T) {
	allowed := Attempt{RemainingTime: time.Second, Executes: true}
	with := func(change func(*Attempt)) Attempt {
		facts := allowed
		change(&facts)
		return facts
	}
	repeat := func(idempotency routing.Idempotency, change func(*Attempt)) Attempt {
		return with(func(a *Attempt) {
			a.MayHaveRun, a.Idempotency = true, idempotency
			change(a)
		})
	}
	runChecks(t, []checkCase{
		{"no condition forbids it", allowed, Allowed},
		{"answered", with(func(a *Attempt) { a.Answered = true }), AlreadyAnswered},
		{"client gone", with(func(a *Attempt) { a.ClientGone = true }), ClientDisconnected},
		{"endpoint leaving", with(func(a *Attempt) { a.EndpointLeaving = true }), EndpointLeaving},
		{"no time remaining", with(func(a *Attempt) { a.RemainingTime = 0 }), DeadlineExceeded},
		{"attempt in flight", with(func(a *Attempt) { a.AttemptInFlight = true }), AttemptInFlight},
		{"repeat of an idempotent request", repeat(routing.Idempotent, func(*Attempt) {}), Allowed},
		{"repeat of a non-idempotent request", repeat(routing.NonIdempotent, func(*Attempt) {}), MayHaveRun},
		{"prefill of a non-idempotent request", repeat(routing.NonIdempotent, func(a *Attempt) {
			a.Executes = false
		}), Allowed},
		{"repeat by key outside the dedup scope", repeat(routing.IdempotentByKey, func(a *Attempt) {
			a.DedupWindow = time.Second
		}), MayHaveRun},
		{"repeat by key at the window's end", repeat(routing.IdempotentByKey, func(a *Attempt) {
			a.InDedupScope, a.DedupWindow = true, MaxStall
		}), DedupWindowExpired},
		{"repeat by key within the window", repeat(routing.IdempotentByKey, func(a *Attempt) {
			a.InDedupScope, a.DedupWindow = true, MaxStall+1
		}), Allowed},
	})
}

func TestFirstByteIsAllowedUnlessAFactIsAgainstIt(t *testing.T) {
	runChecks(t, []checkCase{
		{"no condition forbids it", FirstByte{RemainingTime: 1}, Allowed},
		{"withdrawn", FirstByte{Withdrawn: true, RemainingTime: 1}, Withdrawn},
		{"client gone", FirstByte{ClientGone: true, RemainingTime: 1}, ClientDisconnected},
		{"no time remaining", FirstByte{}, DeadlineExceeded},
		{"retry at the window's end", FirstByte{RemainingTime: 1, MayHaveRun: true, DedupWindow: MaxStall}, DedupWindowExpired},
		{"retry within the window", FirstByte{RemainingTime: 1, MayHaveRun: true, DedupWindow: time.Second}, Allowed},
	})
}

func TestConnectionCloseIsAllowedUnlessAFactIsAgainstIt(t *testing.T) {
	partial := func(idle, timeout time.Duration, cause Cause) CloseConnection {
		return CloseConnection{
			AwaitingBytes: true, PartialRequest: true, Idle: idle, PartialRequestTimeout: timeout, Cause: cause,
		}
	}
	unread := func(cause Cause) CloseConnection {
		return CloseConnection{AwaitingBytes: true, UnreadBytes: true, Cause: cause}
	}
	runChecks(t, []checkCase{
		{"idle", CloseConnection{AwaitingBytes: true}, Allowed},
		{"request open", CloseConnection{AwaitingBytes: true, RequestInProgress: true}, RequestUnanswered},
		{"read bytes not parsed", CloseConnection{}, RequestArriving},
		{"partial request within its timeout", partial(1, 2, CauseCapacity), RequestArriving},
		{"partial request after its timeout", partial(2, 2, CauseCapacity), Allowed},
		{"partial request at shutdown", partial(2, 0, CauseShutdown), RequestArriving},
		{"unread bytes at a drain", unread(CauseDrain), UnreadBytes},
		{"unread bytes at shutdown", unread(CauseShutdown), Allowed},
	})
}

func TestFinalAnswerIsAllowedUnlessAFactIsAgainstIt(t *testing.T) {
	runChecks(t, []checkCase{
		{"unanswered", FinalAnswer{}, Allowed},
		{"answered", FinalAnswer{Answered: true}, AlreadyAnswered},
	})
}

func TestViolationCounterCountsByReason(t *testing.T) {
	var nilCounter *ViolationCounter
	nilCounter.Record(OperationSend, AttemptInFlight, "a")
	var counter ViolationCounter
	counter.Record(OperationSend, AttemptInFlight, "a")
	counter.Record(OperationSend, AttemptInFlight, "b")
	counter.Record(OperationClose, RequestUnanswered, "")
	if nilCounter.Total() != 0 || counter.Total() != 3 || counter.String() != " violation_copy_out=2 violation_unanswered=1" {
		t.Errorf("%d, %q", counter.Total(), counter.String())
	}
}
