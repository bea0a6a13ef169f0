package permit

import (
	"testing"
	"time"

	"rampspread/decide"
)

const second = time.Second

// check is any of the questions.
type check interface{ Check() Reason }

func TestEachReason(t *testing.T) {
	sound := Send{Left: second, Runs: true}
	with := func(change func(*Send)) Send { s := sound; change(&s); return s }
	for _, c := range []struct {
		ask  check
		want Reason
	}{
		{Take{}, Allowed}, {Take{GaveWay: true, ClientGone: true}, GaveWay}, {Take{ClientGone: true}, ClientGone}, {Take{Ending: true}, Ending}, {Take{Drained: true}, Drained},
		{sound, Allowed},
		{with(func(s *Send) { s.Answered = true }), Answered},
		{with(func(s *Send) { s.ClientGone = true }), ClientGone},
		{with(func(s *Send) { s.Leaving = true }), ServerLeaving},
		{with(func(s *Send) { s.Left = 0 }), DeadlineOver},
		{with(func(s *Send) { s.CopyOut = true }), CopyOut},
		{with(func(s *Send) { s.MayHaveRun = true }), Allowed},
		{with(func(s *Send) { s.MayHaveRun, s.Effect = true, decide.NonIdempotent }), MayHaveRun},
		{with(func(s *Send) { s.MayHaveRun, s.Effect, s.Runs = true, decide.NonIdempotent, false }), Allowed}, // a read has no effect
		{with(func(s *Send) { s.MayHaveRun, s.Effect, s.Window = true, decide.IdempotentByKey, second }), MayHaveRun},
		{with(func(s *Send) { s.MayHaveRun, s.Effect, s.Alike, s.Window = true, decide.IdempotentByKey, true, HeldUp }), WindowOver},
		{with(func(s *Send) { s.MayHaveRun, s.Effect, s.Alike, s.Window = true, decide.IdempotentByKey, true, HeldUp+1 }), Allowed},
		{Begin{Left: 1}, Allowed}, {Begin{Withdrawn: true, Left: 1}, Withdrawn}, {Begin{ClientGone: true, Left: 1}, ClientGone},
		{Begin{}, DeadlineOver}, {Begin{Left: 1, Repeat: true, Window: HeldUp}, WindowOver}, {Begin{Left: 1, Repeat: true, Window: second}, Allowed},
		{Close{Waits: true}, Allowed}, {Close{Waits: true, Open: true}, Unanswered}, {Close{}, Arriving},
		{Close{Waits: true, Half: true, Silent: 1, Patience: 2}, Arriving}, {Close{Waits: true, Half: true, Silent: 2, Patience: 2}, Allowed},
		{Close{Waits: true, Half: true, Silent: 2, Cause: AtShutdown}, Arriving},
		{Close{Waits: true, Unread: true, Cause: ForDrain}, Unread}, {Close{Waits: true, Unread: true, Cause: AtShutdown}, Allowed},
		{Answer{}, Allowed}, {Answer{Answered: true}, Answered},
	} {
		if got := c.ask.Check(); got != c.want {
			t.Errorf("%T%+v: %v, want %v", c.ask, c.ask, got, c.want)
		}
	}
}

func TestAudit(t *testing.T) {
	var none *Audit
	none.Violation(ActSend, CopyOut, "a")
	var a Audit
	a.Violation(ActSend, CopyOut, "a")
	a.Violation(ActSend, CopyOut, "b")
	a.Violation(ActClose, Unanswered, "")
	if none.Total() != 0 || a.Total() != 3 || a.String() != " violation_copy_out=2 violation_unanswered=1" {
		t.Errorf("%d, %q", a.Total(), a.String())
	}
}
