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

// measureInterval is how often Measure looks at a process.
const measureInterval = 500 * time.Millisecond

// Usage is what a process takes of its machine.
type Usage struct {
	RSSMB      float64 // the most so far
	OwnMB      float64 // without the pages of files, which the kernel can take back; now, or the most that was seen
	FDs        int     // now, or the most that were seen
	ReadyAfter time.Duration
	CPU        time.Duration
}

// Usage reads what the current process has taken so far.
func (p *Process) Usage() (u Usage) {
	pid := p.PID()
	status, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	u.RSSMB, u.OwnMB = statusMB(status, peakResidentLine), statusMB(status, anonymousResidentLine)
	fds, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	p.mu.Lock()
	p.maxFDs = max(p.maxFDs, len(fds))
	p.maxOwnMB = max(p.maxOwnMB, u.OwnMB)
	u.FDs, u.OwnMB, u.ReadyAfter = p.maxFDs, p.maxOwnMB, p.readyAfter
	p.mu.Unlock()
	stat, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	u.CPU = cpuTime(string(stat))
	return u
}

var (
	peakResidentLine      = regexp.MustCompile(`(?m)^VmHWM:\s+(\d+) kB`)
	anonymousResidentLine = regexp.MustCompile(`(?m)^RssAnon:\s+(\d+) kB`)
)

// statusMB reads a size from /proc/PID/status; 0: it is not there.
func statusMB(status []byte, line *regexp.Regexp) float64 {
	m := line.FindSubmatch(status)
	if m == nil {
		return 0
	}
	kb, _ := strconv.ParseFloat(string(m[1]), 64)
	return kb / 1024
}

// Fields of /proc/PID/stat behind the command's name, and the unit of its times.
const (
	userTimeField   = 11
	systemTimeField = 12
	clockTick       = 10 * time.Millisecond
)

// cpuTime reads the user and system time from /proc/PID/stat; 0: they are not there.
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

// Measure looks at the process until the context ends, and makes it log its counters.
func (p *Process) Measure(ctx context.Context) {
	for timing.Sleep(ctx, measureInterval) == nil {
		p.Usage()
		p.Signal(syscall.SIGUSR1)
	}
}

// Counter is one of the last process's counters, once Stop has read them; 0: it has none of that name. That of
// goroutines is the most that was logged.
func (p *Process) Counter(name string) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counters[name]
}

var (
	counterLine  = regexp.MustCompile(`(?m)^event=counters .*$`)
	counterField = regexp.MustCompile(`(\w+)=([0-9.]+)`)
)

// readCounters reads the last line of counters in a log, with the most goroutines of any line.
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
