// Package hostos puts the wall clock, which may be stepped at any time, and the system calls that can fail behind an
// interface, so that faults can be injected. Real injects none; tests and soak runs use Faulty, which reads the faults
// to inject from a file.
package hostos

import (
	"os"
	"strings"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Op identifies a kind of system call into which faults can be injected.
type Op string

// The kinds of system call.
const (
	Accept  Op = "accept"  // accepts a connection on a listening socket
	Connect Op = "connect" // connects to a replica; faults are injected before the socket is created
	Write   Op = "write"   // writes to a file
	Sync    Op = "sync"    // syncs a file or a folder to disk
	Rename  Op = "rename"  // renames a file
)

// System provides the wall clock and injects faults into system calls. It is safe for concurrent use.
type System interface {
	// Wall returns the wall clock time, without a monotonic clock reading. Code that measures durations must not use
	// it.
	Wall() time.Time
	// BeforeCall is called before each system call of the given kind. If it returns an error, the caller returns this
	// error instead of making the system call.
	BeforeCall(Op) error
}

type realSystem struct{}

// Real returns the System of the host, which injects no faults.
func Real() System { return realSystem{} }

// Wall implements System.
func (realSystem) Wall() time.Time { return time.Now().Round(0) }

// BeforeCall implements System.
func (realSystem) BeforeCall(Op) error { return nil }

// Stamp is a point in time on two clocks: the wall clock, which may be stepped, and the boot clock, which restarts with
// each boot of the machine. Other versions of the program read stored stamps, so the JSON names must not change.
type Stamp struct {
	Wall   int64  `json:"Wall"`   // ns since the Unix epoch
	Boot   int64  `json:"Boot"`   // ns since boot, including time in suspend
	BootID string `json:"BootID"` // identifies the boot; empty if Boot is unknown
}

// Now returns the current time on both clocks.
func Now(s System) Stamp {
	out := Stamp{Wall: s.Wall().UnixNano()}
	var ts unix.Timespec
	if id := bootID(); id != "" && unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts) == nil {
		out.Boot, out.BootID = ts.Nano(), id
	}
	return out
}

// bootID returns the kernel's identifier of the current boot, or "" if it cannot be read. It is read only once, since
// no process survives a reboot.
var bootID = sync.OnceValue(func() string {
	id, err := os.ReadFile("/proc/sys/kernel/random/boot_id")
	if err != nil {
		return ""
	}
	return strings.TrimSpace(string(id))
})

// Age returns the time from s to now. If both stamps are from the same boot, it uses the boot clock, which steps of the
// wall clock do not affect; otherwise it uses the wall clock.
func (s Stamp) Age(now Stamp) time.Duration {
	if s.BootID != "" && s.BootID == now.BootID {
		return time.Duration(now.Boot - s.Boot)
	}
	return time.Duration(now.Wall - s.Wall)
}
