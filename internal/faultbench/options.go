package faultbench

import (
	"log/slog"
)

// Options say how a scenario is run.
type Options struct {
	Program     string // path of the program's binary
	Dispatchers int
	Seed        uint64
	Dir         string // for the processes' files and logs; none: a temporary one, removed at the end unless a rule broke
	Log         *slog.Logger
	Fleet       bool // the dispatchers are members of one fleet
	// With Fleet:
	NoLeasedTasks      bool // they hold no leases
	Budgets            bool // they share quotas of what they may do together
	Subsets            int  // the fewest prefill replicas that each routes to; 0: all
	IdempotentRequests bool // requests with an idempotency key execute once in the fleet; clients send some to several dispatchers
	LocalIdempotency   bool // such requests are sent, and each dispatcher knows its own only
	Handover           bool // a dispatcher starts with what its earlier process learned
	Bootstrap          bool // a dispatcher that starts learns from the others
	VersionSkew        bool // one whose versions are behind most others' is restricted and fenced
	EndpointFilter     bool // one whose list is older than others' sends nothing to what theirs has withdrawn
	SkipViews          bool // their views are not polled, so that no detection is measured
	// Deployment draws another deployment from this seed; 0: the default one.
	Deployment uint64
	// State gives each dispatcher a folder that outlives its process.
	State bool
	// MemoryMB and Sockets are a dispatcher's limits; 0: 192 and 1,024.
	MemoryMB, Sockets int
	// AdvertisedDispatchers is how many dispatchers the settings announce; 0: as many as run, or as the deployment has.
	AdvertisedDispatchers int
	// MeasureUsage looks at what the processes use every half second, not only at the end.
	MeasureUsage bool
	// Strict judges by the stricter rules too. The program is then one that reads faults of its clock and its system calls
	// from a file.
	Strict bool
	// RateFactor multiplies the scenario's rate; 0 means 1.
	RateFactor float64
}
