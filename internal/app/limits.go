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
	// The Go runtime collects garbage more often once it uses 6/10 of the memory. The rest is for stacks, kernel
	// buffers and peaks.
	softMemoryNumerator, softMemoryDenominator = 6, 10
	// bodyMemoryDivisor bounds the request bodies in memory at any time to 1/8 of the memory.
	bodyMemoryDivisor = 8

	// Clients use at most 1/3 of the sockets for open requests, each of which can need another socket to a replica.
	// Client connections without an open request get another 1/8 of the sockets, and idle connections to replicas get
	// 1/8. The rest is for discovery, releases and the process itself.
	clientSocketsNumerator, clientSocketsDenominator = 11, 24 // 1/3 + 1/8
	upstreamSocketsDivisor                           = 8
	// The chat frontend's connections are taken from the sockets of the clients, and the connections of other proxies,
	// which use xDS, from the rest.
	chatSocketsDivisor = 8
	xdsSocketsDivisor  = 32
	// minUpstreamConnections lets a process with very few sockets work.
	minUpstreamConnections = 4
)

// resourceLimits holds the resources that the platform lets the process use.
type resourceLimits struct {
	cores       int
	memoryBytes int64
	sockets     int
}

// limitsOf returns the limits of a configuration, with defaults for limits that it does not set.
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

// apply sets the CPU and memory limits of the Go runtime.
func (l resourceLimits) apply() {
	runtime.GOMAXPROCS(l.cores)
	debug.SetMemoryLimit(l.memoryBytes * softMemoryNumerator / softMemoryDenominator)
}

// bodyBytes returns the maximum size of all request bodies in memory.
func (l resourceLimits) bodyBytes() int64 { return l.memoryBytes / bodyMemoryDivisor }

// clientConnections returns the maximum number of connections to the platform's frontend: the clients' connections
// minus the chat frontend's part, if there is a chat frontend.
func (l resourceLimits) clientConnections(chat *chatapi.Config) int {
	connections := l.sockets * clientSocketsNumerator / clientSocketsDenominator
	if chat != nil {
		connections -= l.chatConnections()
	}
	return connections
}

// chatConnections returns the maximum number of connections to the chat frontend.
func (l resourceLimits) chatConnections() int { return l.sockets / chatSocketsDivisor }

// upstreamConnections returns the maximum number of connections to any one replica, and of idle connections to all.
func (l resourceLimits) upstreamConnections() int {
	return max(l.sockets/upstreamSocketsDivisor, minUpstreamConnections)
}

// xdsConnections returns the maximum number of connections from other proxies, which use xDS.
func (l resourceLimits) xdsConnections() int { return l.sockets / xdsSocketsDivisor }
