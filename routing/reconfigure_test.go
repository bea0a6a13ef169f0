package routing

import (
	"testing"
	"time"
)

// A request that is open during a reconfiguration keeps the rules under which it arrived. A non-idempotent request is
// not retried if the name of its class now means an idempotent class, and a request makes no more attempts than the
// smallest limit that has been in force since it arrived. A new class applies at once. A reconfiguration that would
// renumber the classes fails.
func TestReconfigureKeepsRulesOfOpenRequests(t *testing.T) {
	h := newHarness(t, nil)
	_, decodeReplica := h.completePrefill(1, 1) // non-idempotent
	cfg := testConfig()
	// Class 5 has the name of class 1, which is now idempotent.
	cfg.Classes = append(cfg.Classes, Class{TTFTObjective: 2 * time.Second, Weight: 3, Idempotency: Idempotent})
	cfg.MaxAttempts = 2 // a prefill and a decode
	if err := h.r.Reconfigure(h.now, cfg); err != nil {
		t.Fatal(err)
	}
	if acts := h.handle(50*ms, AttemptEnded{Request: 1, Attempt: 1, Endpoint: decodeReplica, Outcome: ConnectionReset}); containsAction[Send](acts) || !containsAction[Fail](acts) {
		t.Errorf("the non-idempotent request that may have run: %+v", acts)
	}
	if acts := h.arrive(2, 5); !containsAction[Send](acts) {
		t.Errorf("the new class: %+v", acts)
	}
	// The limit is two attempts: after a failed prefill, too few remain for another prefill and a decode.
	if acts := h.handle(30*ms, AttemptEnded{Request: 3, Attempt: 1, Endpoint: h.sentTo(h.arrive(3, 0)), Outcome: ConnectFailed}); containsAction[Send](acts) {
		t.Errorf("a third attempt where the limit is two: %+v", acts)
	}
	cfg.MaxAttempts = 5
	if err := h.r.Reconfigure(h.now, cfg); err != nil {
		t.Fatal(err)
	}
	if n := h.r.maxAttempts(h.r.requests[2]); n != 2 {
		t.Errorf("a request open while the limit was 2 may make %d attempts", n)
	}
	if acts := h.arrive(4, 0); !containsAction[Send](acts) || h.r.maxAttempts(h.r.requests[4]) != 5 {
		t.Errorf("a request after the second reconfiguration: %+v", acts)
	}
	dropped := testConfig()
	dropped.Classes = dropped.Classes[1:]
	if err := h.r.Reconfigure(h.now, dropped); err == nil {
		t.Error("a reconfiguration that renumbers the classes was accepted")
	}
}
