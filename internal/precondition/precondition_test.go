package precondition

import (
	"testing"
	"time"

	"rampspread/routing"
)

const second = time.Second

// check is any of the questions.
type check interface{ Check() Reason }

func TestEachReason(t *testing.T) {
	sound := Attempt{TimeLeft: second, Executes: true}
	with := func(change func(*Attempt)) Attempt { s := sound; change(&s); return s }
	for _, c := range []struct {
		ask  check
		want Reason
	}{
		{Accept{}, Allowed}, {Accept{Evicted: true, ClientGone: true}, Evicted}, {Accept{ClientGone: true}, ClientDisconnected}, {Accept{ShuttingDown: true}, ShuttingDown}, {Accept{Draining: true}, Draining},
		{sound, Allowed},
		{with(func(s *Attempt) { s.Answered = true }), AlreadyAnswered},
		{with(func(s *Attempt) { s.ClientGone = true }), ClientDisconnected},
		{with(func(s *Attempt) { s.EndpointLeaving = true }), EndpointLeaving},
		{with(func(s *Attempt) { s.TimeLeft = 0 }), DeadlineExceeded},
		{with(func(s *Attempt) { s.AttemptInFlight = true }), AttemptInFlight},
		{with(func(s *Attempt) { s.MayHaveRun = true }), Allowed},
		{with(func(s *Attempt) { s.MayHaveRun, s.Idempotency = true, routing.NonIdempotent }), MayHaveRun},
		{with(func(s *Attempt) { s.MayHaveRun, s.Idempotency, s.Executes = true, routing.NonIdempotent, false }), Allowed}, // a read has no effect
		{with(func(s *Attempt) { s.MayHaveRun, s.Idempotency, s.DedupWindow = true, routing.IdempotentByKey, second }), MayHaveRun},
		{with(func(s *Attempt) {
			s.MayHaveRun, s.Idempotency, s.InDedupScope, s.DedupWindow = true, routing.IdempotentByKey, true, MaxStall
		}), DedupWindowExpired},
		{with(func(s *Attempt) {
			s.MayHaveRun, s.Idempotency, s.InDedupScope, s.DedupWindow = true, routing.IdempotentByKey, true, MaxStall+1
		}), Allowed},
		{FirstByte{TimeLeft: 1}, Allowed}, {FirstByte{Withdrawn: true, TimeLeft: 1}, Withdrawn}, {FirstByte{ClientGone: true, TimeLeft: 1}, ClientDisconnected},
		{FirstByte{}, DeadlineExceeded}, {FirstByte{TimeLeft: 1, Retry: true, DedupWindow: MaxStall}, DedupWindowExpired}, {FirstByte{TimeLeft: 1, Retry: true, DedupWindow: second}, Allowed},
		{CloseConnection{AwaitingBytes: true}, Allowed}, {CloseConnection{AwaitingBytes: true, RequestOpen: true}, RequestUnanswered}, {CloseConnection{}, RequestArriving},
		{CloseConnection{AwaitingBytes: true, PartialRequest: true, Idle: 1, PartialRequestTimeout: 2}, RequestArriving}, {CloseConnection{AwaitingBytes: true, PartialRequest: true, Idle: 2, PartialRequestTimeout: 2}, Allowed},
		{CloseConnection{AwaitingBytes: true, PartialRequest: true, Idle: 2, Cause: AtShutdown}, RequestArriving},
		{CloseConnection{AwaitingBytes: true, UnreadBytes: true, Cause: ForDrain}, UnreadBytes}, {CloseConnection{AwaitingBytes: true, UnreadBytes: true, Cause: AtShutdown}, Allowed},
		{FinalAnswer{}, Allowed}, {FinalAnswer{Answered: true}, AlreadyAnswered},
	} {
		if got := c.ask.Check(); got != c.want {
			t.Errorf("%T%+v: %v, want %v", c.ask, c.ask, got, c.want)
		}
	}
}

func TestAudit(t *testing.T) {
	var none *ViolationCounter
	none.Record(OperationSend, AttemptInFlight, "a")
	var a ViolationCounter
	a.Record(OperationSend, AttemptInFlight, "a")
	a.Record(OperationSend, AttemptInFlight, "b")
	a.Record(OperationClose, RequestUnanswered, "")
	if none.Total() != 0 || a.Total() != 3 || a.String() != " violation_copy_out=2 violation_unanswered=1" {
		t.Errorf("%d, %q", a.Total(), a.String())
	}
}
