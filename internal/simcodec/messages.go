package simcodec

import "reflect"

// Events, with their fields in the order of the wire. Times are in milliseconds; Router is the instance concerned, OpID
// the request, Worker the replica, Hop the index of the attempt.
type (
	// Init starts an instance: Conf is the settings in JSON.
	Init struct {
		Router uint16
		Seed   uint64
		Conf   []byte `count:"4"`
	}
	// Directory is a list of replicas, numbered by Bank and shared by all instances of the process.
	Directory struct {
		Bank    uint16
		Records []Entry `count:"4"`
	}
	// Fleet applies a Directory to an instance; Form says whether it is a delta, a full or cached list, or failed.
	Fleet struct {
		Router uint16
		Form   uint8
		Gen    uint64
		Bank   uint16
	}
	// Order is a client's request. Priority is its class, Team its tenant, Talk its session.
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
	// Detach says that an instance was killed.
	Detach struct{ Router uint16 }
	// ClientGone says that a client has disconnected.
	ClientGone struct {
		Router uint16
		OpID   uint64
	}
	// Accepted says that a streamed answer has started.
	Accepted struct {
		Router      uint16
		OpID        uint64
		Hop         uint16
		Worker      uint32
		DelaySeenMs float64
	}
	// Response is the end of an attempt. RC is its outcome; Final is set if the request has ended.
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
	// Pong is the result of a Poll.
	Pong struct {
		Router      uint16
		Worker      uint32
		RC          uint8
		DelaySeenMs float64
		Load        []float32 `count:"1"`
	}
	// Reminder is a timer that has fired.
	Reminder struct {
		Router uint16
		Ref    uint64
	}
	// NeighbourSays is a message of a peer instance.
	NeighbourSays struct {
		Router   uint16
		Who      uint32
		Contents []byte `count:"2"`
	}
	// SeatNews answers a PrePair: whether the place is reserved.
	SeatNews struct {
		Router uint16
		OpID   uint64
		Worker uint32
		Hop    uint16
		Kind   uint8
		Level  float32
	}
)

// Actions, with their fields in the order of the wire. Times are in milliseconds.
type (
	// Send starts an attempt, whose timeout is PatienceMs.
	Send struct {
		Router     uint16
		OpID       uint64
		Worker     uint32
		PatienceMs float64
	}
	// Schedule sets a timer, which fires as a Reminder.
	Schedule struct {
		Router uint16
		SpanMs float64
		Ref    uint64
	}
	// Surrender is the final answer 'failed'.
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
	// PrePair reserves a place at a decode replica.
	PrePair struct {
		Router uint16
		OpID   uint64
		Worker uint32
	}
	// GetList requests the full endpoint list from discovery.
	GetList struct{ Router uint16 }
	// Die declares that the decision code has failed.
	Die struct {
		Router  uint16
		Message []byte `count:"2"`
	}
	// Poll requests a load report of a replica, which comes as a Pong.
	Poll struct {
		Router uint16
		Worker uint32
	}
	// DropState releases the state and the place that are reserved for a request.
	DropState struct {
		Router uint16
		OpID   uint64
	}
	// Listen subscribes to discovery.
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
	// Bounce ends a running stream in an orderly way, so that it can resume elsewhere.
	Bounce struct {
		Router uint16
		OpID   uint64
	}
	// Refuse is the final answer 'rejected'; StayAwayMs is its Retry-After.
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

// eventTypes and actionTypes are the types by their codes on the wire. The two spaces of codes are independent.
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

func invert(types map[uint8]reflect.Type) map[reflect.Type]uint8 {
	codes := make(map[reflect.Type]uint8, len(types))
	for code, t := range types {
		codes[t] = code
	}
	return codes
}

// Entry is one replica of a Directory. Condition is its lifecycle state, Bay its cell, Shape its kind of machine,
// PowerHint its weight.
type Entry struct {
	Zone        uint8
	Condition   uint8
	Bay         uint16
	PowerHint   float32
	LastStartMs float64
	Worker      uint32
	Shape       uint8
}
