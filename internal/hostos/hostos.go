// Package hostos is the host operating system behind an interface, so that tests can make it fail: the wall clock, which may be
// stepped at any time, and the system calls that can fail. The program uses Real; tests and the soak use a Faulty one.
package hostos

import (
	"os"
	"strings"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Op is a kind of system call that can be made to fail.
type Op string

// The kinds of system call.
const (
	Accept  Op = "accept"  // of a connection at a listening socket
	Connect Op = "connect" // to a replica, from before the socket is made
	Write   Op = "write"   // to a file
	Sync    Op = "sync"    // of a file or a folder
	Rename  Op = "rename"
)

// System is the machine as the program sees it. It is safe for use by several goroutines.
type System interface {
	// Wall is the time of day. It has no monotonic reading: spans of time are never measured by it.
	Wall() time.Time
	// Before is asked before a system call of this kind is made. An error takes the call's place.
	Before(Op) error
}

type machine struct{}

// Real is the machine itself.
func Real() System { return machine{} }

// Wall implements System.
func (machine) Wall() time.Time { return time.Now().Round(0) }

// Before implements System.
func (machine) Before(Op) error { return nil }

// Stamp is a moment by both clocks of a machine: the wall clock may be stepped, and the other begins anew with each boot. The tags are its
// names in stored files, which other versions of the program read: they never change.
type Stamp struct {
	Wall   int64  `json:"Wall"`   // ns since 1970
	Boot   int64  `json:"Boot"`   // ns since the machine started, asleep or not
	BootID string `json:"BootID"` // of this start; empty: Boot is not known
}

// Now reads both clocks.
func Now(s System) Stamp {
	out := Stamp{Wall: s.Wall().UnixNano()}
	var ts unix.Timespec
	if id := bootID(); id != "" && unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts) == nil {
		out.Boot, out.BootID = ts.Nano(), id
	}
	return out
}

// bootID names this start of the machine, which no process outlives: it is read once. Empty: it cannot be read.
var bootID = sync.OnceValue(func() string {
	id, err := os.ReadFile("/proc/sys/kernel/random/boot_id")
	if err != nil {
		return ""
	}
	return strings.TrimSpace(string(id))
})

// Age is how long before now a stamp was: by the machine's own clock within one of its starts, whatever was done to the wall clock,
// and by the wall clock else.
func (s Stamp) Age(now Stamp) time.Duration {
	if s.BootID != "" && s.BootID == now.BootID {
		return time.Duration(now.Boot - s.Boot)
	}
	return time.Duration(now.Wall - s.Wall)
}
