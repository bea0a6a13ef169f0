// Package process controls the successive processes of one dispatcher: it starts, pauses, kills and stops them, records
// in the history when the dispatcher was down, and reads the processes' resource usage and the counters in their logs.
// A Process is safe for concurrent use, but the caller must hold Lifecycle while it ends, pauses or starts the process.
package process

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"rampspread/internal/faultbench/history"
	"rampspread/internal/faultbench/timing"
	"rampspread/internal/hostos"
)

const (
	readyTimeout       = 20 * time.Second
	healthTimeout      = time.Second
	healthPollInterval = 10 * time.Millisecond
)

// Config holds the settings that are the same for all processes of a dispatcher.
type Config struct {
	Index     int           // index of the dispatcher
	Program   string        // path of the binary
	Dir       string        // directory of the logs and the faults file
	HealthURL string        // health endpoint, which returns 200 once a process is serving
	KillAfter time.Duration // time between SIGTERM and SIGKILL
	History   *history.Recorder
	Log       *slog.Logger
}

// Process controls a dispatcher's current process and keeps the results of its earlier ones.
type Process struct {
	// Lifecycle must be held by callers that end, pause or start the process.
	Lifecycle sync.Mutex
	config    Config

	mu           sync.Mutex
	configPath   string
	args         []string
	faults       hostos.Faults
	terminatedAt time.Time // time of SIGTERM to the current process, or zero if it was not sent
	cmd          *exec.Cmd
	exited       chan struct{} // closed when the current process has ended
	exitExpected bool          // the bench ends the current process
	downSince    time.Duration // start of the downtime, or 0 if the process is up
	downReason   string        // Class of the ProcessDown event
	upSince      time.Time     // time when the current process was ready, or end of its last pause
	readyAfter   time.Duration // time from the current process's start until it was serving
	serving      bool          // whether the current process has been serving
	maxFDs       int           // largest number of file descriptors measured by Usage
	maxRSSMB     float64       // largest RSSMB measured by Usage
	maxOwnMB     float64       // largest OwnMB measured by Usage
	crashes      int
	counters     map[string]float64 // counters of the last process
}

// New returns a Process that has not been started.
func New(c Config) *Process { return &Process{config: c} }

// Configure sets the arguments of later processes.
func (p *Process) Configure(args []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.args = args
}

// SetConfigPath sets the path of the configuration file of later processes.
func (p *Process) SetConfigPath(path string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.configPath = path
}

func (p *Process) logPath() string {
	return filepath.Join(p.config.Dir, fmt.Sprintf("n%d.log", p.config.Index))
}

// Start starts a process and returns once it is serving.
func (p *Process) Start(ctx context.Context) error {
	log, err := os.OpenFile(p.logPath(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("dispatcher %d: %w", p.config.Index, err)
	}
	defer log.Close()
	p.mu.Lock()
	cmd := exec.Command(p.config.Program, p.args...)
	cmd.Env = append(os.Environ(), "LB_CONFIG="+p.configPath, "RAMPSPREAD_FAULTS="+p.faultsPath())
	p.mu.Unlock()
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("dispatcher %d: %w", p.config.Index, err)
	}
	exited := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.exited, p.exitExpected, p.terminatedAt, p.serving = cmd, exited, false, time.Time{}, false
	p.mu.Unlock()
	go func() {
		p.recordEnd(cmd, cmd.Wait())
		close(exited)
	}()
	startedAt := time.Now()
	if err := p.awaitReady(ctx, exited); err != nil {
		return err
	}
	p.mu.Lock()
	p.readyAfter, p.serving = time.Since(startedAt), true
	p.mu.Unlock()
	p.recordUp()
	return nil
}

// awaitReady polls the process's health endpoint until it is serving.
func (p *Process) awaitReady(ctx context.Context, exited <-chan struct{}) error {
	client := &http.Client{Timeout: healthTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	for deadline := time.Now().Add(readyTimeout); ; {
		if resp, err := client.Get(p.config.HealthURL); err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-exited:
			return fmt.Errorf("dispatcher %d exited before it was serving: see its log in %s", p.config.Index, p.config.Dir)
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(healthPollInterval):
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("dispatcher %d was not serving within %v", p.config.Index, readyTimeout)
		}
	}
}

// recordEnd records that a process has ended. The end counts as a crash unless the bench ended the process and it was
// killed by SIGKILL or exited with code 0.
func (p *Process) recordEnd(cmd *exec.Cmd, err error) {
	killed := cmd.ProcessState.Sys().(syscall.WaitStatus).Signal() == syscall.SIGKILL
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.exitExpected || err != nil && !killed {
		p.crashes++
		p.config.Log.Warn("crashed", "dispatcher", p.config.Index, "err", err)
	}
	if p.downSince == 0 {
		p.downSince = p.config.History.Now()
	}
	p.downReason = history.DownEnded
	if killed {
		p.downReason = history.DownKilled
	}
}

// recordUp marks the process as up and adds a ProcessDown event for the downtime that has ended, if any.
func (p *Process) recordUp() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.downSince > 0 {
		p.config.History.Add(history.Event{At: p.downSince, Kind: history.ProcessDown, Class: p.downReason,
			Dispatcher: p.config.Index, Until: p.config.History.Now()})
	}
	p.downSince, p.upSince = 0, time.Now()
}

// UpSince reports whether the process has been up without interruption since t.
func (p *Process) UpSince(t time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.downSince == 0 && p.upSince.Before(t)
}

// Terminating reports whether SIGTERM was sent to the current process more than longerThan ago.
func (p *Process) Terminating(longerThan time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.terminatedAt.IsZero() && time.Since(p.terminatedAt) > longerThan
}

// Crashes returns how many processes crashed or failed to restart.
func (p *Process) Crashes() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.crashes
}

// PID returns the process ID of the current or last process.
func (p *Process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd.Process.Pid
}

// Signal sends a signal to the process. It has no effect on a process that has ended.
func (p *Process) Signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sendSignal(s)
}

// sendSignal sends a signal to the process. The caller must hold the lock.
func (p *Process) sendSignal(s syscall.Signal) {
	if p.cmd != nil {
		p.cmd.Process.Signal(s)
	}
}

// markDown records that the process is down from now on. The caller must hold the lock.
func (p *Process) markDown() {
	if p.downSince == 0 {
		p.downSince = p.config.History.Now()
	}
}

// Kill ends the process with SIGKILL and waits for its end.
func (p *Process) Kill() {
	p.mu.Lock()
	p.exitExpected = true
	p.markDown()
	p.sendSignal(syscall.SIGKILL)
	exited := p.exited
	p.mu.Unlock()
	<-exited
}

// Terminate ends the process as a planned restart does: with SIGTERM, and after Config.KillAfter with SIGKILL.
func (p *Process) Terminate() {
	p.mu.Lock()
	p.terminatedAt = time.Now()
	p.exitExpected = true
	p.sendSignal(syscall.SIGTERM)
	exited := p.exited
	p.mu.Unlock()
	select {
	case <-exited:
	case <-time.After(p.config.KillAfter):
		p.Kill()
	}
}

// Suspend stops the process with SIGSTOP.
func (p *Process) Suspend() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.markDown()
	p.sendSignal(syscall.SIGSTOP)
}

// Pause suspends the process for a time.
func (p *Process) Pause(ctx context.Context, d time.Duration) {
	p.Suspend()
	p.mu.Lock()
	p.downReason = history.DownPaused
	p.mu.Unlock()
	timing.Sleep(ctx, d)
	p.Signal(syscall.SIGCONT)
	p.recordUp()
}

// Restart starts a process after the last one has ended. A failed start counts as a crash, unless the context has
// ended.
func (p *Process) Restart(ctx context.Context) {
	if err := p.Start(ctx); err != nil && ctx.Err() == nil {
		p.mu.Lock()
		p.crashes++
		p.mu.Unlock()
		p.config.Log.Warn("restart_failed", "dispatcher", p.config.Index, "err", err)
	}
}

// Stop resumes the last process if it is suspended, ends it with SIGTERM, and after Config.KillAfter with SIGKILL, and
// reads its counters.
func (p *Process) Stop() {
	p.mu.Lock()
	exited, cmd := p.exited, p.cmd
	p.exitExpected = true
	p.mu.Unlock()
	if cmd == nil {
		return
	}
	cmd.Process.Signal(syscall.SIGCONT)
	cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-exited:
	case <-time.After(p.config.KillAfter):
		cmd.Process.Kill()
		<-exited
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.downSince > 0 { // the dispatcher stays down, so the event has no Until
		p.config.History.Add(history.Event{At: p.downSince, Kind: history.ProcessDown, Class: p.downReason, Dispatcher: p.config.Index})
	}
	p.counters = readCounters(p.logPath())
}

// faultsPath returns the path of the file from which the process reads the faults of its simulated machine.
func (p *Process) faultsPath() string {
	return filepath.Join(p.config.Dir, fmt.Sprintf("n%d.faults.json", p.config.Index))
}

// ChangeFaults changes the faults of the clock and system calls of the process's simulated machine.
func (p *Process) ChangeFaults(change func(*hostos.Faults)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faults.Failures == nil {
		p.faults.Failures = map[hostos.Op]hostos.Failure{}
	}
	change(&p.faults)
	if err := p.faults.WriteFile(p.faultsPath()); err != nil {
		p.config.Log.Warn("faults_not_set", "dispatcher", p.config.Index, "err", err)
	}
}
