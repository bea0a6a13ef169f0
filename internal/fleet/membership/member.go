package membership

import "time"

// MemberInfo is what a member publishes about itself.
type MemberInfo struct {
	Name string
	Zone string
	// Incarnation orders the processes that have used one name: a later process has a higher incarnation, whatever the
	// wall clocks say.
	Incarnation    uint64
	Started        time.Time // start time of the member, by its own wall clock
	Version        string    // version of the program
	SettingsDigest uint64    // fingerprint of the settings in force
	ListVersion    uint64    // version of the endpoint list from discovery that the member uses
	HighestToken   uint64    // highest fencing token that the member had seen at its last heartbeat
	Serving        bool
	Leaving        bool
}

// Member is the state of one configured name as this process sees it.
type Member struct {
	MemberInfo
	State         State
	StateSince    time.Duration // when State last changed, or when a later incarnation appeared
	LastHeartbeat time.Duration // when the member was last heard from; the longer ago, the less certain State is
	Incarnations  int           // number of incarnations seen under this name
}

// Active reports whether work may be shared with the member.
func (m Member) Active() bool { return m.State == Alive || m.State == Suspect }

// State is the state of a member as this process sees it.
//
// Joining, Alive and Left follow from what the member publishes. A member alternates between Alive and Suspect by the
// age of its last heartbeat. When the gossip layer reports a member as lost, the member becomes Unreachable, or Left if
// it had announced that it leaves. Only a report of the gossip layer or a heartbeat of a later incarnation brings a
// member back from these two states.
type State uint8

// The states of a member.
const (
	Unknown     State = iota // configured, but never heard from
	Joining                  // running, but not serving yet
	Alive                    // serving
	Suspect                  // was serving, and its heartbeats are overdue
	Unreachable              // reported as lost, though it may still be running
	Left                     // announced that it leaves
)

var stateNames = [...]string{"unknown", "joining", "alive", "suspect", "unreachable", "left"}

// String returns the name of the state as shown to operators.
func (s State) String() string { return stateNames[s] }
