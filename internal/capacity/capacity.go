// Package capacity computes what a process may hold at the same time, from the memory, descriptors and processor time
// that its settings give it. One Plan, computed at the start, serves the whole process: connections, open requests, the
// bytes of requests and answers, socket buffers and the garbage collector's limit add up to the memory limit.
// docs/CAPACITY.md explains the shares and says who is turned away first.
//
// The package is pure.
package capacity

// Limits are the resources that the platform lets the process use.
type Limits struct {
	MemoryBytes int64
	Descriptors int
	Cores       float64 // may be less than one
	// XDS says that the program has an xDS server, whose code takes memory too.
	XDS bool
}

// programBytes returns the memory that the program itself takes.
func (l Limits) programBytes() int64 {
	if l.XDS {
		return ProgramBytes + XDSProgramBytes
	}
	return ProgramBytes
}

// Plan is what the process may hold or do.
type Plan struct {
	Processors int // threads that run Go code at the same time
	// RuntimeBytes is the resident memory for what the Go runtime manages: heap, stacks and its own structures.
	RuntimeBytes int64
	// CollectorBytes is the soft limit to set in the Go runtime. It is larger than RuntimeBytes, since the runtime also
	// counts memory that it has mapped and never uses.
	CollectorBytes int64
	// PayloadBytes is the memory for the heads, the bodies and the collected answers of all requests.
	PayloadBytes int64
	// StoredAnswerBytes is the memory for answers that are kept for repeats of idempotency keys.
	StoredAnswerBytes int64
	// SentAheadBytes is the memory for what clients send behind requests that are not answered yet.
	SentAheadBytes int64
	// SocketBufferBytes is the size to set for each send and each receive buffer of a connection. The kernel allows for
	// its own overhead by doubling it.
	SocketBufferBytes int

	Requests          int // requests that are open at the same time, on all frontends
	ClientConnections int // connections to all frontends
	ChatConnections   int // part of ClientConnections for the chat frontend, if there is one
	StalledStreams    int // answers whose clients have stopped reading

	UpstreamConnections int // connections to any one replica, and idle ones to all
	ReleaseCalls        int // calls in flight that release what replicas hold
	XDSConnections      int // connections from other proxies

	// RequestsPerSecond is the rate of requests that one client's connection may send in the long run.
	RequestsPerSecond float64
}

const (
	kib = 1 << 10
	mib = 1 << 20
)

// ProgramBytes is the memory for the program's code and constant data, of which the kernel may map all, the C library
// and static data.
const ProgramBytes = 14 * mib

// XDSProgramBytes is the further code and constant data of a program with an xDS server.
const XDSProgramBytes = 14 * mib

const (
	defaultMemoryBytes = 256 * mib
	defaultDescriptors = 1024

	// spareBytes remains for the runtime's overshoot between two collections.
	spareBytes = 3 * mib
	// unusedRuntimeBytes is what the runtime counts towards its limit and never uses: tables that it maps in advance.
	unusedRuntimeBytes = 9 * mib / 2
	// The runtime gets at most runtimeNumerator/runtimeDenominator of the memory.
	runtimeNumerator, runtimeDenominator = 2, 3
	minRuntimeBytes                      = 6 * mib
	// idleBytes is what the runtime and the process's own tables need without any client.
	idleBytes = 3 * mib
	// garbageDivisor is the part of the remaining memory that is left for garbage. With less the collector runs more
	// often and takes the processor from the requests.
	garbageDivisor = 2
	// payloadDivisor is the part of the clients' memory for payload, at least.
	payloadDivisor = 4
	// maxPayloadDivisor bounds the payload to a part of the whole memory.
	maxPayloadDivisor = 8
	// storedAnswersDivisor is the part of the payload for stored answers.
	storedAnswersDivisor = 6
	// sentAheadDivisor is the part of the payload for bytes that were sent ahead. They have a part of their own: clients
	// that send much ahead must not take the memory of those that wait for their answers.
	sentAheadDivisor = 6

	// connectionBytes is what a connection without an open request holds: its goroutine's stack and net/http's buffers.
	connectionBytes = 12 * kib
	// requestBytes is what an open request holds with its connection and the one to a replica, without its payload.
	requestBytes = 52 * kib
	// requestShareNumerator/requestShareDenominator of the memory for connections is for open requests.
	requestShareNumerator, requestShareDenominator = 4, 5
	minRequests                                    = 4

	// At most 1/requestDescriptorsDivisor of the descriptors are for open requests, each of which can need another one
	// to a replica. Client connections without an open request get another 1/spareDescriptorsDivisor, and connections
	// to replicas get 1/upstreamDescriptorsDivisor. The rest is for discovery, releases and the process itself.
	requestDescriptorsDivisor  = 3
	spareDescriptorsDivisor    = 8
	upstreamDescriptorsDivisor = 8
	minUpstreamConnections     = 4 // lets a process with very few descriptors work
	chatDescriptorsDivisor     = 8
	chatConnectionsDivisor     = 3 // at most this part of the client connections, since each holds more
	xdsDescriptorsDivisor      = 32

	// Calls that release what replicas hold may use a connection each: 1/releaseCallsDivisor of the open requests.
	releaseCallsDivisor = 4
	minReleaseCalls     = 12
	// stalledDivisor is the part of a replica's connections that answers may hold whose clients have stopped reading.
	stalledDivisor = 8
	minStalled     = 2

	// kernelDivisor is the part of the memory for the kernel's buffers.
	kernelDivisor        = 8
	minSocketBufferBytes = 8 * kib
	maxSocketBufferBytes = 256 * kib
	buffersPerConnection = 2 // one for each direction

	// requestsPerCoreSecond is how many requests of one connection a core serves in a second, at most: a fraction of
	// what it could, so that no connection takes the core from the others.
	requestsPerCoreSecond                = 50
	minRequestRate, maxRequestRate       = 4, 50
	defaultCores                         = 1
	minPayloadBytes                int64 = 512 * kib
)

// NewPlan returns the plan for the given limits. A limit that is not over 0 counts as the default: 256 MB, 1,024
// descriptors, one core.
func NewPlan(l Limits) Plan {
	l = l.withDefaults()
	p := Plan{Processors: max(int(l.Cores), 1)}
	p.RuntimeBytes = l.runtimeBytes()
	p.CollectorBytes = p.RuntimeBytes + unusedRuntimeBytes
	p.planConnections(l)
	p.planSocketBuffers(l)
	p.RequestsPerSecond = min(max(requestsPerCoreSecond*l.Cores, minRequestRate), maxRequestRate)
	return p
}

// runtimeBytes returns the memory for what the Go runtime manages.
func (l Limits) runtimeBytes() int64 {
	share := l.MemoryBytes * runtimeNumerator / runtimeDenominator
	rest := l.MemoryBytes - l.programBytes() - spareBytes
	return max(min(share, rest), minRuntimeBytes)
}

func (l Limits) withDefaults() Limits {
	if l.MemoryBytes <= 0 {
		l.MemoryBytes = defaultMemoryBytes
	}
	if l.Descriptors <= 0 {
		l.Descriptors = defaultDescriptors
	}
	if l.Cores <= 0 {
		l.Cores = defaultCores
	}
	return l
}

// planConnections divides the memory that clients may use among payload, open requests and further connections, within
// the descriptors.
func (p *Plan) planConnections(l Limits) {
	clientBytes := max(p.RuntimeBytes-idleBytes, 0)
	clientBytes -= clientBytes / garbageDivisor
	connectionsBytes := clientBytes - clientBytes/payloadDivisor
	requestsBytes := connectionsBytes * requestShareNumerator / requestShareDenominator
	p.Requests = max(min(int(requestsBytes/requestBytes), l.Descriptors/requestDescriptorsDivisor), minRequests)
	spare := min(int((connectionsBytes-requestsBytes)/connectionBytes), l.Descriptors/spareDescriptorsDivisor)
	p.ClientConnections = p.Requests + max(spare, 1)
	p.ChatConnections = max(min(l.Descriptors/chatDescriptorsDivisor, p.ClientConnections/chatConnectionsDivisor), 1)
	used := int64(p.Requests)*requestBytes + int64(spare)*connectionBytes
	p.PayloadBytes = max(min(clientBytes-used, l.MemoryBytes/maxPayloadDivisor), minPayloadBytes)
	p.StoredAnswerBytes = p.PayloadBytes / storedAnswersDivisor
	p.SentAheadBytes = p.PayloadBytes / sentAheadDivisor
	p.PayloadBytes -= p.StoredAnswerBytes + p.SentAheadBytes
	p.UpstreamConnections = max(min(l.Descriptors/upstreamDescriptorsDivisor, p.Requests), minUpstreamConnections)
	p.ReleaseCalls = max(p.Requests/releaseCallsDivisor, minReleaseCalls)
	p.XDSConnections = max(l.Descriptors/xdsDescriptorsDivisor, 1)
	p.StalledStreams = max(p.UpstreamConnections/stalledDivisor, minStalled)
}

// planSocketBuffers divides the memory for the kernel's buffers among the connections to clients and replicas.
func (p *Plan) planSocketBuffers(l Limits) {
	buffers := int64(p.ClientConnections+p.Requests) * buffersPerConnection
	p.SocketBufferBytes = int(min(max(l.MemoryBytes/kernelDivisor/buffers, minSocketBufferBytes), maxSocketBufferBytes))
}
