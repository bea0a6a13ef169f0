package process

import (
	"context"
	"fmt"
	"os"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"time"

	"rampspread/internal/faultbench/timing"
)

// measureInterval is the interval at which MonitorUsage reads the usage of a process.
const measureInterval = 500 * time.Millisecond

// Usage is the resource usage of a process.
type Usage struct {
	RSSMB      float64       // peak resident memory
	OwnMB      float64       // largest measured resident memory without file pages, which the kernel can reclaim
	FDs        int           // largest measured number of open file descriptors
	ReadyAfter time.Duration // time from the start until the process was serving
	CPU        time.Duration // user and system time
}

// Usage reads the resource usage of the current process. FDs, RSSMB and OwnMB are the largest values that any call has
// read so far, also from earlier processes of the dispatcher.
func (p *Process) Usage() (u Usage) {
	pid := p.PID()
	status, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	u.RSSMB, u.OwnMB = statusMB(status, peakResidentLine), statusMB(status, anonymousResidentLine)
	fds, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	p.mu.Lock()
	p.maxFDs = max(p.maxFDs, len(fds))
	p.maxOwnMB, p.maxRSSMB = max(p.maxOwnMB, u.OwnMB), max(p.maxRSSMB, u.RSSMB)
	u.FDs, u.RSSMB, u.OwnMB, u.ReadyAfter = p.maxFDs, p.maxRSSMB, p.maxOwnMB, p.readyAfter
	p.mu.Unlock()
	stat, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	u.CPU = cpuTime(string(stat))
	return u
}

var (
	peakResidentLine      = regexp.MustCompile(`(?m)^VmHWM:\s+(\d+) kB`)
	anonymousResidentLine = regexp.MustCompile(`(?m)^RssAnon:\s+(\d+) kB`)
)

// statusMB returns a size in MB from /proc/PID/status, or 0 if the line is missing.
func statusMB(status []byte, line *regexp.Regexp) float64 {
	m := line.FindSubmatch(status)
	if m == nil {
		return 0
	}
	kb, _ := strconv.ParseFloat(string(m[1]), 64)
	return kb / 1024
}

// Indices of the fields of /proc/PID/stat after the command name, and the unit of their times.
const (
	userTimeField   = 11
	systemTimeField = 12
	clockTick       = 10 * time.Millisecond
)

// cpuTime returns the sum of user and system time from /proc/PID/stat, or 0 if they are missing.
func cpuTime(stat string) time.Duration {
	_, rest, ok := strings.Cut(stat, ") ")
	fields := strings.Fields(rest)
	if !ok || len(fields) <= systemTimeField {
		return 0
	}
	user, _ := strconv.Atoi(fields[userTimeField])
	system, _ := strconv.Atoi(fields[systemTimeField])
	return time.Duration(user+system) * clockTick
}

// MonitorUsage reads the usage of the process every measureInterval until the context ends, and each time signals the
// process to log its counters.
func (p *Process) MonitorUsage(ctx context.Context) {
	for timing.Sleep(ctx, measureInterval) == nil {
		p.Usage()
		p.requestCounters()
	}
}

// requestCounters signals the process to log its counters. It does nothing before the process serves: the signal ends a
// process that has not begun to handle it.
func (p *Process) requestCounters() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.serving {
		p.sendSignal(syscall.SIGUSR1)
	}
}

// Counter returns a counter of the last process as read by Stop, or 0 if it has none of that name. The counter
// "goroutines" is the largest value that was logged.
func (p *Process) Counter(name string) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counters[name]
}

var (
	counterLine  = regexp.MustCompile(`(?m)^event=counters .*$`)
	counterField = regexp.MustCompile(`(\w+)=([0-9.]+)`)
)

// readCounters returns the counters of the last counters line in a log, with the largest number of goroutines of any
// such line.
func readCounters(logPath string) map[string]float64 {
	text, _ := os.ReadFile(logPath)
	lines := counterLine.FindAll(text, -1)
	if len(lines) == 0 {
		return map[string]float64{}
	}
	out := parseCounters(lines[len(lines)-1])
	for _, line := range lines {
		out["goroutines"] = max(out["goroutines"], parseCounters(line)["goroutines"])
	}
	return out
}

func parseCounters(line []byte) map[string]float64 {
	out := map[string]float64{}
	for _, m := range counterField.FindAllSubmatch(line, -1) {
		if v, err := strconv.ParseFloat(string(m[2]), 64); err == nil {
			out[string(m[1])] = v
		}
	}
	return out
}
