package simcodec

import "reflect"

// Events, with their fields in wire order. Times are in milliseconds. Router is the number of the instance, OpID the
// number of the request, Worker the number of the replica, and Hop the index of the attempt. The tag "count" gives the
// width in bytes of a slice's element count on the wire.
type (
	// Init starts an instance. Conf holds its settings in JSON, Seed the seed of its random number generator.
	Init struct {
		Router uint16
		Seed   uint64
		Conf   []byte `count:"4"`
	}
	// Directory is a list of replicas, which all instances of the process share. Bank is its number.
	Directory struct {
		Bank    uint16
		Records []Entry `count:"4"`
	}
	// Fleet applies the Directory with the number Bank to an instance. Form says whether the Directory is a delta, a
	// full list or a cached list, or whether discovery failed.
	Fleet struct {
		Router uint16
		Form   uint8
		Gen    uint64
		Bank   uint16
	}
	// Order is a client's request. Priority is its class, Team its tenant, Talk its session, NPrefix the number of
	// tokens in its shared prefix.
	Order struct {
		Router       uint16
		OpID         uint64
		Priority     uint16
		Team         uint16
		Talk         uint64
		ExpiresInMs  float64
		EstimateMs   float64
		SharedPrefix uint64
		InputLen     float32
		NPrefix      float32
		MaxOut       float32
		Attrs        uint8
	}
	// Detach reports that an instance was killed.
	Detach struct{ Router uint16 }
	// ClientGone reports that a client has disconnected.
	ClientGone struct {
		Router uint16
		OpID   uint64
	}
	// Accepted reports that a streamed answer has started.
	Accepted struct {
		Router      uint16
		OpID        uint64
		Hop         uint16
		Worker      uint32
		DelaySeenMs float64
	}
	// Response reports the end of an attempt. RC is the outcome. Detail is the number of cached tokens, with one
	// exception: if RC says that the queue was full, a Detail of 1 says that the attempt failed because there was no
	// prefill state to fetch. Final is not 0 if the request has ended.
	Response struct {
		Router      uint16
		OpID        uint64
		DelaySeenMs float64
		RC          uint8
		Detail      uint32
		Final       uint8
		Hop         uint16
		Worker      uint32
		Load        []float32 `count:"1"`
	}
	// Pong reports the result of a Poll.
	Pong struct {
		Router      uint16
		Worker      uint32
		RC          uint8
		DelaySeenMs float64
		Load        []float32 `count:"1"`
	}
	// Reminder reports that the timer Ref has fired.
	Reminder struct {
		Router uint16
		Ref    uint64
	}
	// NeighbourSays is a message from the peer instance Who.
	NeighbourSays struct {
		Router   uint16
		Who      uint32
		Contents []byte `count:"2"`
	}
	// SeatNews answers a PrePair and says whether the slot is reserved.
	SeatNews struct {
		Router uint16
		OpID   uint64
		Worker uint32
		Hop    uint16
		Kind   uint8
		Level  float32
	}
)

// Actions, with their fields in wire order. Times are in milliseconds. Fields that also occur in events have the same
// meaning.
type (
	// Send starts an attempt with the timeout PatienceMs.
	Send struct {
		Router     uint16
		OpID       uint64
		Worker     uint32
		PatienceMs float64
	}
	// Schedule sets the timer Ref, which fires after SpanMs as a Reminder.
	Schedule struct {
		Router uint16
		SpanMs float64
		Ref    uint64
	}
	// Surrender gives the final answer "failed".
	Surrender struct {
		Router uint16
		OpID   uint64
	}
	// BroadcastTo sends bytes to peer instances.
	BroadcastTo struct {
		Router      uint16
		NeighbourID uint32
		Contents    []byte `count:"2"`
	}
	// PrePair reserves a slot at a decode replica.
	PrePair struct {
		Router uint16
		OpID   uint64
		Worker uint32
	}
	// GetList requests the full endpoint list from discovery.
	GetList struct{ Router uint16 }
	// Die reports that the instance has failed.
	Die struct {
		Router  uint16
		Message []byte `count:"2"`
	}
	// Poll requests a load report from a replica, which arrives as a Pong.
	Poll struct {
		Router uint16
		Worker uint32
	}
	// DropState releases the prefill state and the slot that are reserved for a request.
	DropState struct {
		Router uint16
		OpID   uint64
	}
	// Listen switches the subscription to discovery on or off.
	Listen struct {
		Router uint16
		Enable uint8
	}
	// Log writes a line to the report.
	Log struct {
		Router  uint16
		Message []byte `count:"2"`
	}
	// Release closes idle connections to a replica.
	Release struct {
		Router uint16
		Worker uint32
	}
	// Bounce ends a running stream gracefully, so that it can resume at another replica.
	Bounce struct {
		Router uint16
		OpID   uint64
	}
	// Refuse gives the final answer "rejected". StayAwayMs is its Retry-After.
	Refuse struct {
		Router     uint16
		OpID       uint64
		StayAwayMs float64
	}
	// Retract cancels an attempt.
	Retract struct {
		Router uint16
		OpID   uint64
		Hop    uint16
	}
)

// eventTypes and actionTypes map codes on the wire to types. The codes of events and actions overlap but are unrelated.
var eventTypes = map[uint8]reflect.Type{
	16: reflect.TypeFor[Fleet](), 17: reflect.TypeFor[SeatNews](), 18: reflect.TypeFor[Pong](),
	19: reflect.TypeFor[Directory](), 20: reflect.TypeFor[Init](), 21: reflect.TypeFor[Reminder](),
	22: reflect.TypeFor[Response](), 23: reflect.TypeFor[Accepted](), 24: reflect.TypeFor[Order](),
	25: reflect.TypeFor[NeighbourSays](), 26: reflect.TypeFor[Detach](), 27: reflect.TypeFor[ClientGone](),
}

var actionTypes = map[uint8]reflect.Type{
	16: reflect.TypeFor[Poll](), 17: reflect.TypeFor[Die](), 18: reflect.TypeFor[DropState](),
	19: reflect.TypeFor[Release](), 20: reflect.TypeFor[Surrender](), 21: reflect.TypeFor[PrePair](),
	22: reflect.TypeFor[Log](), 23: reflect.TypeFor[Listen](), 24: reflect.TypeFor[Refuse](),
	25: reflect.TypeFor[Retract](), 26: reflect.TypeFor[Schedule](), 27: reflect.TypeFor[Bounce](),
	28: reflect.TypeFor[BroadcastTo](), 29: reflect.TypeFor[GetList](), 30: reflect.TypeFor[Send](),
}

var eventCodes, actionCodes = invert(eventTypes), invert(actionTypes)

// invert returns the map from types to codes.
func invert(types map[uint8]reflect.Type) map[reflect.Type]uint8 {
	codes := make(map[reflect.Type]uint8, len(types))
	for code, t := range types {
		codes[t] = code
	}
	return codes
}

// Entry is one replica of a Directory. Condition is its lifecycle state, Bay its cell, Shape its kind, PowerHint its
// weight, and LastStartMs the time at which its process was started.
type Entry struct {
	Zone        uint8
	Condition   uint8
	Bay         uint16
	PowerHint   float32
	LastStartMs float64
	Worker      uint32
	Shape       uint8
}
