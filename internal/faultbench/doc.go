// Package faultbench is the fault-injection test bench: it runs the real program many times over on one machine, among
// simulated replicas, discovery, front layer and clients, injects faults between them at seeded times, and checks the
// rules over the history of what the simulated parties saw on their sockets.
//
// A Run owns the processes and the simulated parties of one scenario. Play runs one to its report, Soak draws one from a
// seed, StartDemo runs one for people to try. The same seed draws the same plan, targets and requests; when what happens
// is up to the machine. A Run's parties run on goroutines of their own, and all have ended when Play returns.
package faultbench
