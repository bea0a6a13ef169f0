package routing

import (
	"math"
	"testing"
)

func TestNewRejectsInvalidConfig(t *testing.T) {
	for name, change := range map[string]func(*Config){
		"no classes":         func(c *Config) { c.Classes = nil },
		"no routers":         func(c *Config) { c.Routers = 0 },
		"no attempts":        func(c *Config) { c.MaxAttempts = 0 },
		"idempotency":        func(c *Config) { c.Classes[0].Idempotency = 9 },
		"negative objective": func(c *Config) { c.Classes[0].TTFTObjective = -1 },
		"role":               func(c *Config) { c.Kinds[0].Role = 9 },
		"reservation TTL":    func(c *Config) { c.ReservationTTL = -1 },
	} {
		cfg := testConfig()
		change(&cfg)
		if r, err := New(cfg, 1); err == nil || r != nil {
			t.Errorf("%s: New returned no error", name)
		}
	}
}

// Unusual endpoint lists and configurations cause no panic, and a request is sent or rejected.
func TestUnusualEndpointLists(t *testing.T) {
	for name, list := range map[string][]Endpoint{
		"empty":           nil,
		"decode only":     {{ID: 1, Kind: 1, State: Ready}},
		"invalid weights": {{ID: 1, State: Ready, Weight: math.NaN()}, {ID: 2, Kind: 1, State: Ready, Weight: -3}},
		"unknown kinds":   {{ID: 1, Kind: 99, State: Ready}, {ID: 2, Kind: -1, State: Ready}},
		"thousands":       mixedEndpoints(3000),
	} {
		h := newHarness(t, func(c *Config) { c.Routers = 5000 })
		h.handle(ms, EndpointUpdate{Full: true, Endpoints: list})
		acts := h.arrive(1, 0)
		for range 200 {
			if !containsAction[SetTimer](acts) {
				break
			}
			acts = h.handle(selectionRetryInterval, TimerFired{1})
		}
		if !containsAction[Reject](acts) && !containsAction[Send](acts) {
			t.Errorf("%s: got %+v", name, acts)
		}
	}
}
