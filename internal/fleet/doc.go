// Package fleet makes a process a member of its fleet of dispatchers: it learns by gossip which others are reachable,
// and shares work, budgets and knowledge with them.
//
// Gossip and failure detection are SWIM with the Lifeguard extensions, as github.com/hashicorp/memberlist implements
// them (Das, Gupta, Motivala: SWIM, DSN 2002; Dadgar, Phillips, Currey: Lifeguard, 2018). Heartbeats that members
// send straight to each other tell how fresh the knowledge of a member is; package membership makes a view of both.
// On top are optional components: tasks that one member runs for all under a lease by a quorum (package lease),
// budgets lent by voters (package quota), transfer of learned state to members that start (package bootstrap),
// tombstones of endpoints that newer lists have removed (package tombstone), and detection of members that act on old
// versions (package versionskew).
//
// This package does the input and output and owns the clock; those packages decide what follows from it. It owns the
// peer address, the membership table and the messages between members. Each component runs in a goroutine of its own.
// The core never waits for any of it.
package fleet
