package membership

import "time"

// MemberInfo is what a member publishes about itself.
type MemberInfo struct {
	Name string
	Zone string
	// Incarnation orders the processes that have used one name: a later process has a higher one, whatever the
	// clocks say.
	Incarnation    uint64
	Started        time.Time // by its own wall clock
	Version        string    // of the program
	SettingsDigest uint64    // fingerprint of the settings in force
	ListVersion    uint64    // version of the endpoint list from discovery that it acts on
	HighestToken   uint64    // the highest fencing token that it knew at its last heartbeat
	Serving        bool
	Leaving        bool
}

// Member is one configured name as this process sees it.
type Member struct {
	MemberInfo
	State         State
	StateSince    time.Duration // when State last changed, or a later incarnation appeared
	LastHeartbeat time.Duration // when it was last heard from: how certain State is
	Incarnations  int           // number of incarnations seen of this name
}

// Active reports whether work may be shared with the member.
func (m Member) Active() bool { return m.State == Alive || m.State == Suspect }

// State is the state of a member as this process sees it.
//
// Joining, Alive and Left follow what the member publishes. Alive and Suspect alternate with its heartbeats. When the
// gossip layer gives a member up it becomes Unreachable, or Left if it had announced that it leaves. From these two
// only the gossip layer, or a heartbeat of a later incarnation, brings it back.
type State uint8

// The states of a member.
const (
	Unknown     State = iota // configured, and never heard from
	Joining                  // it runs and does not serve yet
	Alive                    // it serves
	Suspect                  // it served, and its heartbeats are overdue
	Unreachable              // it was given up, though it may still run
	Left                     // it announced that it leaves
)

var stateNames = [...]string{"unknown", "joining", "alive", "suspect", "unreachable", "left"}

// String is the state's name as shown to operators.
func (s State) String() string { return stateNames[s] }
