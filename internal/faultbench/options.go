package faultbench

import (
	"log/slog"
)

// Options say how a scenario is run.
type Options struct {
	Program            string // path of the program's binary
	Dispatchers        int
	Seed               uint64
	Dir                string // for the processes' files and logs; none: a temporary one, removed at the end unless a rule broke
	Log                *slog.Logger
	Fleet              bool // the dispatchers know of each other
	NoLeasedTasks      bool // and do nothing in turn
	Budgets            bool // and share what they may do together
	Subsets            int  // and keep to so many readers each; 0: to all
	IdempotentRequests bool // and filings run once in the fleet; clients send some, each to several dispatchers
	LocalIdempotency   bool // filings are sent, and each dispatcher knows its own only
	Handover           bool // a dispatcher begins with what its earlier life learnt
	Bootstrap          bool // a dispatcher that starts learns from the others
	VersionSkew        bool // one that is behind most is restricted and shut out
	EndpointFilter     bool // one whose list is older than others' sends nothing to what theirs has ended
	SkipViews          bool // and nobody asks them for their views
	// Deployment draws other settings from this seed; 0: the usual ones.
	Deployment uint64
	// State gives each dispatcher a folder that outlives its process.
	State bool
	// MemoryMB and Sockets are a dispatcher's limits; 0: 192 and 1,024.
	MemoryMB, Sockets int
	// AdvertisedDispatchers is how many dispatchers the settings tell of; 0: as many as there are, or as the deployment has.
	AdvertisedDispatchers int
	// MeasureUsage looks at what the processes take every half a second, not only at the end.
	MeasureUsage bool
	// Strict judges by the stricter rules too. The program is then one that takes faults of its clock and its system calls from a file.
	Strict bool
	// RateFactor is a factor on the scenario's rate; 0 means 1.
	RateFactor float64
}
