package precondition

import (
	"slices"
	"testing"
)

// Clients are sent the text of a reason, and the counters' names hold it: each stays at its reason.
func TestGoldenReasons(t *testing.T) {
	want := map[Reason]string{
		Allowed: "allowed", ClientDisconnected: "client_gone", AlreadyAnswered: "answered", DeadlineExceeded: "deadline_over", EndpointLeaving: "server_leaving",
		Withdrawn: "withdrawn", AttemptInFlight: "copy_out", MayHaveRun: "may_have_run", DedupWindowExpired: "window_over", ShuttingDown: "ending", Draining: "drained",
		Evicted: "gave_way", RequestUnanswered: "unanswered", RequestArriving: "arriving", UnreadBytes: "unread", reasonCount: "unknown",
	}
	if len(want) != int(reasonCount)+1 {
		t.Errorf("%d reasons, %d texts", reasonCount, len(want)-1)
	}
	for reason, text := range want {
		if got := reason.String(); got != text {
			t.Errorf("reason %d: %q, want %q", reason, got, text)
		}
	}
	if acts := []Operation{OperationSend, OperationClose, OperationAnswer}; !slices.Equal(acts, []Operation{"send", "close", "answer"}) {
		t.Errorf("acts %q", acts)
	}
}
