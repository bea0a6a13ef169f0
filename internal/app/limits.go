package app

import (
	"runtime"
	"runtime/debug"

	"rampspread/internal/chatapi"
	"rampspread/internal/config"
)

const (
	defaultMemoryBytes = 256 << 20
	defaultSockets     = 1024
	// The Go runtime collects garbage harder from 6/10 of the memory on: the rest is for stacks, buffers of the kernel
	// and peaks.
	softMemoryNumerator, softMemoryDenominator = 6, 10
	// bodyMemoryDivisor bounds the request bodies that are held at a time to 1/8 of the memory.
	bodyMemoryDivisor = 8

	// Clients hold at most 1 in 3 of the sockets for requests, and each of those can need one to a replica. Connections
	// without an open request get 1 in 8 more, idle ones to replicas as many, and the rest is for discovery, releases
	// and the process itself.
	clientSocketsNumerator, clientSocketsDenominator = 11, 24 // 1/3 + 1/8
	upstreamSocketsDivisor                           = 8
	// The chat front's connections are part of those of the clients, and other proxies' of the rest.
	chatSocketsDivisor = 8
	xdsSocketsDivisor  = 32
	// minUpstreamConnections lets a process with very few sockets work.
	minUpstreamConnections = 4
)

// resourceLimits is what the platform lets the process use.
type resourceLimits struct {
	cores       int
	memoryBytes int64
	sockets     int
}

// limitsOf returns the limits of a configuration, with the defaults for those that it does not have.
func limitsOf(cfg *config.Config) resourceLimits {
	limits := resourceLimits{cores: max(1, int(cfg.Limits.Cores)), memoryBytes: defaultMemoryBytes, sockets: defaultSockets}
	if cfg.Limits.MemoryMB > 0 {
		limits.memoryBytes = int64(cfg.Limits.MemoryMB) << 20
	}
	if cfg.Limits.Sockets > 0 {
		limits.sockets = cfg.Limits.Sockets
	}
	return limits
}

// apply sets the limits of the Go runtime.
func (l resourceLimits) apply() {
	runtime.GOMAXPROCS(l.cores)
	debug.SetMemoryLimit(l.memoryBytes * softMemoryNumerator / softMemoryDenominator)
}

// bodyBytes bounds the request bodies in memory.
func (l resourceLimits) bodyBytes() int64 { return l.memoryBytes / bodyMemoryDivisor }

// clientConnections bounds the connections of the platform's front; the chat front, if there is one, gets its part of
// them.
func (l resourceLimits) clientConnections(chat *chatapi.Config) int {
	connections := l.sockets * clientSocketsNumerator / clientSocketsDenominator
	if chat != nil {
		connections -= l.chatConnections()
	}
	return connections
}

// chatConnections bounds the connections of the chat front.
func (l resourceLimits) chatConnections() int { return l.sockets / chatSocketsDivisor }

// upstreamConnections bounds the connections to any one replica, and the idle ones to all.
func (l resourceLimits) upstreamConnections() int {
	return max(l.sockets/upstreamSocketsDivisor, minUpstreamConnections)
}

// xdsConnections bounds the connections of other proxies.
func (l resourceLimits) xdsConnections() int { return l.sockets / xdsSocketsDivisor }
