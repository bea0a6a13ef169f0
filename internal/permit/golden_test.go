package permit

import (
	"slices"
	"testing"
)

// Clients are sent the text of a reason, and the counters' names hold it: each stays at its reason.
func TestGoldenReasons(t *testing.T) {
	want := map[Reason]string{
		Allowed: "allowed", ClientGone: "client_gone", Answered: "answered", DeadlineOver: "deadline_over", ServerLeaving: "server_leaving",
		Withdrawn: "withdrawn", CopyOut: "copy_out", MayHaveRun: "may_have_run", WindowOver: "window_over", Ending: "ending", Drained: "drained",
		GaveWay: "gave_way", Unanswered: "unanswered", Arriving: "arriving", Unread: "unread", reasons: "unknown",
	}
	if len(want) != int(reasons)+1 {
		t.Errorf("%d reasons, %d texts", reasons, len(want)-1)
	}
	for reason, text := range want {
		if got := reason.String(); got != text {
			t.Errorf("reason %d: %q, want %q", reason, got, text)
		}
	}
	if acts := []Act{ActSend, ActClose, ActAnswer}; !slices.Equal(acts, []Act{"send", "close", "answer"}) {
		t.Errorf("acts %q", acts)
	}
}
