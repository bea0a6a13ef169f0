package faultbench

import (
	"log/slog"
)

// Options configures a run of a scenario.
type Options struct {
	Program     string // path of the program's binary
	Dispatchers int    // number of dispatchers
	Seed        uint64
	// Dir is the folder for the processes' files and logs. If it is empty, Play uses a temporary folder and removes it
	// after a run without violations and crashes.
	Dir string
	Log *slog.Logger
	// Fleet makes the dispatchers members of one fleet. NoLeasedTasks, Budgets, Subsets, IdempotentRequests, Bootstrap,
	// VersionSkew, EndpointFilter and SkipViews have an effect only with Fleet.
	Fleet bool
	// NoLeasedTasks configures no voters, so that the dispatchers hold no leases.
	NoLeasedTasks bool
	// Budgets makes the dispatchers share budgets by quotas.
	Budgets bool
	// Subsets is the smallest number of prefill replicas that a dispatcher routes to; 0 means all of them.
	Subsets int
	// IdempotentRequests makes requests with an idempotency key execute once in the fleet. Clients send some of these
	// requests to several dispatchers.
	IdempotentRequests bool
	// LocalIdempotency makes clients send requests with an idempotency key to dispatchers that each keep records of
	// their own only.
	LocalIdempotency bool
	// Handover makes a dispatcher's process start with the state that its previous process learned.
	Handover bool
	// Bootstrap makes a dispatcher take learned state from other members when it starts.
	Bootstrap bool
	// VersionSkew makes the fleet restrict, and later fence, a dispatcher whose endpoint list is older than that of
	// most others, or whose settings differ from theirs.
	VersionSkew bool
	// EndpointFilter keeps a dispatcher with an older endpoint list from sending to replicas that a newer list has
	// withdrawn.
	EndpointFilter bool
	// SkipViews turns the polling of membership views off, so that no detection times are measured.
	SkipViews bool
	// Deployment is the seed from which another deployment is drawn; 0 means the default deployment.
	Deployment uint64
	// State gives each dispatcher a folder that outlives its process.
	State bool
	// MemoryMB and Sockets are the limits of a dispatcher; 0 means 192 MB and 1,024 sockets.
	MemoryMB, Sockets int
	// AdvertisedDispatchers is the number of dispatchers that the settings announce. If it is 0, the settings announce
	// the fleet size of the deployment, or the number of running dispatchers if the deployment has none.
	AdvertisedDispatchers int
	// MeasureUsage measures the resource usage of the processes every half second, not only at the end.
	MeasureUsage bool
	// CheckLimits counts a process over its limit of memory or descriptors as a broken rule. It needs MeasureUsage.
	CheckLimits bool
	// Strict checks the stricter rules too, and adapts the front layer, discovery and the restarts of dispatchers to
	// them. Program must then be rampspread-faults, which reads faults of its clock and its system calls from a file.
	Strict bool
	// RateFactor multiplies the scenario's rate; 0 means 1.
	RateFactor float64
}
