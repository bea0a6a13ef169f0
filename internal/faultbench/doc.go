// Package faultbench is the fault-injection test bench. It runs many processes of the real program on one machine,
// surrounds them with a simulated front layer and simulated replicas, discovery and clients, injects faults at seeded
// times, and checks the rules against the history of what the simulated parties saw on their sockets.
//
// A Run owns the processes and the simulated parties of one scenario. Play plays a scenario and returns its report,
// Soak plays a plan that it draws from a seed, and StartDemo runs a fleet for people to try. The same seed draws the
// same plan, targets and requests, but the exact timing depends on the machine. The simulated parties run on their own
// goroutines, which have all ended when Play returns.
package faultbench
