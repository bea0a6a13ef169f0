// Package fleet makes a process a member of a fleet of dispatchers. The process detects by gossip which other members
// are reachable, and shares tasks, budgets and learned state with them.
//
// Gossip and failure detection use SWIM with the Lifeguard extensions, as implemented by
// github.com/hashicorp/memberlist (Das, Gupta, Motivala: SWIM, DSN 2002; Dadgar, Phillips, Currey: Lifeguard, 2018). In
// addition, members send heartbeats directly to each other, which show how recent the information about a member is.
// Package membership combines both into a view. Optional components use this view: tasks that one member runs for all
// under a lease granted by a quorum (package lease), shares of the budgets lent by voters (package quota), transfer of
// learned state to starting members (package bootstrap), tombstones of endpoints that newer lists have removed (package
// tombstone), and detection of members that act on old versions of the settings or the endpoint list (package
// versionskew).
//
// This package does the I/O and reads the clock; those packages contain the decision logic and do neither. It owns the
// peer address, the membership table and the messages between members. Each component runs in its own goroutine. The
// core of the dispatcher never waits for this package.
package fleet
