// Package history records what the stand-ins round a fleet saw, on one clock, and checks the rules over it.
package history

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"sync"
	"time"
)

// Kind is what an event tells.
type Kind string

// The kinds of event, by who saw them.
const (
	// Clients.
	RequestSent             Kind = "asked"    // the last byte of a request went to a dispatcher; Until is the client's deadline
	ResponseReceived        Kind = "answered" // by a dispatcher, with Status; Whole: an answer with all its events; at the stream's end
	FirstEventReceived      Kind = "first"    // the first event of a stream came
	ExtraBytesReceived      Kind = "extra"    // bytes came behind a final answer
	ForeignResponseReceived Kind = "foreign"  // an answer with what no replica made for the request
	ClientClosed            Kind = "closed"   // the client closed its connection, or its half of it, of its own accord
	PartialRequestEnded     Kind = "waited"   // a client that stopped in the middle of a request had its error or the close, after Lasted
	ConnectionDropped       Kind = "dropped"  // a used connection broke without an answer, and the client sends the request once more
	ClientGaveUp            Kind = "quit"     // the client gave up, or its connection broke without an answer
	// Replicas.
	AttemptArrived    Kind = "came"  // a request for work came, with its work as Weight; Sent is when its sender had sent it
	ExecutionStarted  Kind = "began" // an attempt at a writer runs
	AttemptEnded      Kind = "ended" // an attempt that came is over
	StateReserved     Kind = "held"  // a read state waits at a reader
	StateReleased     Kind = "freed" // it was fetched, released or lost
	ReplicaOverloaded Kind = "fell"  // a cold replica fell over
	ReplicaStarted    Kind = "cold"  // a replica started; it is warm at Until and has Weight as its warm capacity a second
	LoadPolled        Kind = "probe" // a replica was asked for its load
	// Discovery.
	DiscoveryRequested Kind = "called" // a dispatcher asked for the list, or to follow it
	EndpointWithdrawn  Kind = "told"   // a dispatcher was told that a replica drains or is gone
	EndpointReady      Kind = "listed" // a dispatcher was told that a replica is ready
	// Views: Dispatcher shows that it holds the member Replica to be in the state Request.
	MembershipView Kind = "view"
	// Health: Dispatcher begins (Whole) or ends to say no to new clients; Old: it is told an old list from At on, until Until.
	AdmissionChanged Kind = "shut"
	StaleListServed  Kind = "old"
	// Faults of a process: from At on it is not to blame for what it does not do, until Until (0: for good).
	ProcessDown Kind = "down"
	// ConnectionLingers: so long after an operator's drain a connection of a client was there that should have ended.
	ConnectionLingers Kind = "held_open"
)

// The classes of Down: why a process was down.
const (
	DownKilled = "killed" // by SIGKILL
	DownEnded  = "ended"  // by itself, as it was told to by SIGTERM, or by a fault of its own
	DownPaused = "paused" // by SIGSTOP
)

// Event is one thing that a stand-in saw. Which fields hold depends on the kind.
type Event struct {
	At               time.Duration `json:"at"` // since the run began
	Kind             Kind          `json:"kind"`
	Request          string        `json:"request,omitempty"` // its id, new for each try
	Group            string        `json:"group,omitempty"`   // the first try's id, which its repeats share
	Class            string        `json:"class,omitempty"`
	Dispatcher       int           `json:"dispatcher"` // from 0; -1: none
	Replica          string        `json:"replica,omitempty"`
	Status           int           `json:"status,omitempty"`
	Complete         bool          `json:"whole,omitempty"`
	Weight           float64       `json:"weight,omitempty"`
	Until            time.Duration `json:"until,omitempty"`
	SentAt           time.Duration `json:"sent,omitempty"`    // 0: at At
	LastByteAt       time.Duration `json:"last,omitempty"`    // in Came: when its last byte came; 0: at At
	LinkHealthy      bool          `json:"sound,omitempty"`   // the link was without a fault all the while
	Version          uint64        `json:"version,omitempty"` // of the list, in what discovery told
	AnnouncedTimeout time.Duration `json:"told,omitempty"`    // in Came: the time that the attempt says is left
	Elapsed          time.Duration `json:"lasted,omitempty"`  // in Answered and Waited: since it was asked, or stopped
	MaxEventDelay    time.Duration `json:"lag,omitempty"`     // in Answered: the longest that an event was on its way
}

// Recorder takes events from any goroutine.
type Recorder struct {
	start  time.Time
	mu     sync.Mutex
	events []Event
}

// NewRecorder starts the one clock.
func NewRecorder() *Recorder { return &Recorder{start: time.Now()} }

// Now is the time since the run began.
func (r *Recorder) Now() time.Duration { return time.Since(r.start) }

// At is a time on the run's clock.
func (r *Recorder) At(t time.Time) time.Duration { return t.Sub(r.start) }

// Add records an event; one without a time happens now.
func (r *Recorder) Add(e Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e.At == 0 {
		e.At = time.Since(r.start)
	}
	r.events = append(r.events, e)
}

// Events is a copy of all events so far, in the order in which they were recorded.
func (r *Recorder) Events() []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Event(nil), r.events...)
}

// Write writes events as lines of JSON.
func Write(w io.Writer, events []Event) error {
	b := bufio.NewWriter(w)
	out := json.NewEncoder(b)
	for _, e := range events {
		if err := out.Encode(e); err != nil {
			return fmt.Errorf("history: %w", err)
		}
	}
	if err := b.Flush(); err != nil {
		return fmt.Errorf("history: %w", err)
	}
	return nil
}
