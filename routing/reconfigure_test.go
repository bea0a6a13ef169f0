package routing

import (
	"testing"
	"time"
)

// A request that was open at a retune keeps the rules it came with: an unsafe one is not sent again when its
// class's name now stands for a safe class, and none takes more attempts than the least in force since it came.
// A new class binds from the retune on, and a retune that would renumber the classes is refused.
func TestReconfigureKeepsRulesOfOpenRequests(t *testing.T) {
	b := newHarness(t, nil)
	_, w := b.completePrefill(1, 1) // unsafe
	cfg := testConfig()
	cfg.Classes = append(cfg.Classes, Class{TTFTObjective: 2 * time.Second, Weight: 3, Idempotency: Idempotent}) // 5: the name of 1, now safe
	cfg.MaxAttempts = 2                                                                                          // a read and a write
	if err := b.r.Reconfigure(b.now, cfg); err != nil {
		t.Fatal(err)
	}
	if acts := b.handle(50*ms, AttemptEnded{Request: 1, Attempt: 1, Endpoint: w, Outcome: ConnectionReset}); containsAction[Send](acts) || !containsAction[Fail](acts) {
		t.Errorf("the unsafe request that may have run: %+v", acts)
	}
	if acts := b.arrive(2, 5); !containsAction[Send](acts) {
		t.Errorf("the new class: %+v", acts)
	}
	// Two attempts are in force: a read that failed leaves no room for another and a write.
	if acts := b.handle(30*ms, AttemptEnded{Request: 3, Attempt: 1, Endpoint: b.sentTo(b.arrive(3, 0)), Outcome: ConnectFailed}); containsAction[Send](acts) {
		t.Errorf("a third attempt where two are in force: %+v", acts)
	}
	cfg.MaxAttempts = 5
	if err := b.r.Reconfigure(b.now, cfg); err != nil {
		t.Fatal(err)
	}
	if n := b.r.maxAttempts(b.r.requests[2]); n != 2 {
		t.Errorf("a request open while 2 attempts were in force may take %d", n)
	}
	if acts := b.arrive(4, 0); !containsAction[Send](acts) || b.r.maxAttempts(b.r.requests[4]) != 5 {
		t.Errorf("a request after the second retune: %+v", acts)
	}
	dropped := testConfig()
	dropped.Classes = dropped.Classes[1:]
	if err := b.r.Reconfigure(b.now, dropped); err == nil {
		t.Error("a retune that renumbers the classes was taken")
	}
}
