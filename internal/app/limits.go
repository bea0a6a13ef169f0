package app

import (
	"runtime"
	"runtime/debug"

	"rampspread/internal/capacity"
	"rampspread/internal/config"
)

// planOf returns what a configuration's limits let the process hold.
func planOf(cfg *config.Config, program Program) capacity.Plan {
	return capacity.NewPlan(capacity.Limits{
		MemoryBytes: int64(cfg.Limits.MemoryMB) << 20, Descriptors: cfg.Limits.Sockets, Cores: cfg.Limits.Cores,
		XDS: program.NewXDSServer != nil,
	})
}

// limitRuntime sets the CPU and memory limits of the Go runtime.
func limitRuntime(plan capacity.Plan) {
	runtime.GOMAXPROCS(plan.Processors)
	debug.SetMemoryLimit(plan.CollectorBytes)
}
