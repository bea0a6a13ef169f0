package routing

import "testing"

// TestObservePrefills checks that with the option, the end of each prefill attempt reports what was estimated, also
// after a reconfiguration without the option.
func TestObservePrefills(t *testing.T) {
	h := newHarness(t, func(cfg *Config) { cfg.ObservePrefills = true })
	replica := h.sentTo(h.arrive(1, 0))
	if err := h.r.Reconfigure(h.now, testConfig()); err != nil {
		t.Fatal(err)
	}
	h.handle(20*ms, AttemptEnded{Request: 1, Endpoint: replica, Outcome: PrefillDone, Elapsed: 20 * ms, CachedTokens: 16})
	var got []PrefillObserved
	for _, action := range h.lastActions {
		if observed, ok := action.(PrefillObserved); ok {
			got = append(got, observed)
		}
	}
	if len(got) != 1 || got[0].Endpoint != replica || got[0].CachedTokens != 16 || got[0].Elapsed != 20*ms {
		t.Fatalf("observed %+v", got)
	}
	estimate := got[0].Estimate
	if estimate.PromptTokens != 1000 || estimate.Session != 1 || !(estimate.PrefillMS > 0) || estimate.Load.SlotUtilization >= 0 {
		t.Errorf("estimate %+v", estimate)
	}
}

// TestPrefillsAreNotObservedByDefault checks that without the option no PrefillObserved is emitted.
func TestPrefillsAreNotObservedByDefault(t *testing.T) {
	h := newHarness(t, nil)
	h.completePrefill(1, 0)
	if containsAction[PrefillObserved](h.lastActions) {
		t.Errorf("observed: %+v", h.lastActions)
	}
}
