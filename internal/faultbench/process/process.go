// Package process controls the processes of one dispatcher, one after the other: it starts, pauses, kills and stops
// them, records in the history when the dispatcher was not up, and reads what they take of the machine and the counters
// in their logs. A Process is safe for concurrent use, but the caller must serialize what ends, pauses or starts it
// with Lifecycle.
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

// Config is what does not change between a dispatcher's processes.
type Config struct {
	Index     int           // of the dispatcher
	Program   string        // path of the binary
	Dir       string        // of the logs and the file of faults
	HealthURL string        // answers 200 once a process serves
	KillAfter time.Duration // between SIGTERM and SIGKILL
	History   *history.Recorder
	Log       *slog.Logger
}

// Process is a dispatcher's process and those before it.
type Process struct {
	// Lifecycle is held by what ends, pauses or starts the process.
	Lifecycle sync.Mutex
	config    Config

	mu           sync.Mutex
	configPath   string
	args         []string
	faults       hostos.Faults
	terminatedAt time.Time // when SIGTERM was sent to this process; zero: it was not
	cmd          *exec.Cmd
	exited       chan struct{} // closed when this process has ended
	exitExpected bool          // the bench ends this process
	downSince    time.Duration // 0: it is up
	downReason   string        // as ProcessDown events have it
	upSince      time.Time     // this process's start, or the end of its last pause
	readyAfter   time.Duration // from this process's start until it served
	maxFDs       int           // that were seen, if it was measured
	maxOwnMB     float64       // likewise
	crashes      int
	counters     map[string]float64 // of the last process
}

// New makes the control of a dispatcher's processes, of which none runs yet.
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

// Start starts a process and returns once it serves.
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
	p.cmd, p.exited, p.exitExpected, p.terminatedAt = cmd, exited, false, time.Time{}
	p.mu.Unlock()
	go func() {
		p.recordEnd(cmd, cmd.Wait())
		close(exited)
	}()
	began := time.Now()
	if err := p.awaitReady(ctx, exited); err != nil {
		return err
	}
	p.mu.Lock()
	p.readyAfter = time.Since(began)
	p.mu.Unlock()
	p.recordUp()
	return nil
}

// awaitReady polls the process's health until it serves.
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
			return fmt.Errorf("dispatcher %d ended before it served: see its log in %s", p.config.Index, p.config.Dir)
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(healthPollInterval):
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("dispatcher %d did not serve within %v", p.config.Index, readyTimeout)
		}
	}
}

// recordEnd notes that a process has ended. It has crashed unless the bench ended it, by SIGKILL or with exit code 0.
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

// recordUp records the time in which it was not up, and which it does not answer for.
func (p *Process) recordUp() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.downSince > 0 {
		p.config.History.Add(history.Event{At: p.downSince, Kind: history.ProcessDown, Class: p.downReason,
			Dispatcher: p.config.Index, Until: p.config.History.Now()})
	}
	p.downSince, p.upSince = 0, time.Now()
}

// UpSince tells whether it has been up since t without a break.
func (p *Process) UpSince(t time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.downSince == 0 && p.upSince.Before(t)
}

// Terminating tells whether SIGTERM was sent to this process longer than a time ago.
func (p *Process) Terminating(longerThan time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.terminatedAt.IsZero() && time.Since(p.terminatedAt) > longerThan
}

// Crashes is how many processes ended, or failed to start, without the bench's doing.
func (p *Process) Crashes() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.crashes
}

// PID is the process ID.
func (p *Process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd.Process.Pid
}

// Signal sends a signal to the process. One that has ended already takes none.
func (p *Process) Signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sendSignal(s)
}

// sendSignal is Signal with the lock held.
func (p *Process) sendSignal(s syscall.Signal) {
	if p.cmd != nil {
		p.cmd.Process.Signal(s)
	}
}

// markDown notes that it is not up from now on; the caller holds the lock.
func (p *Process) markDown() {
	if p.downSince == 0 {
		p.downSince = p.config.History.Now()
	}
}

// Kill ends the process by SIGKILL, and waits for its end.
func (p *Process) Kill() {
	p.mu.Lock()
	p.exitExpected = true
	p.markDown()
	p.sendSignal(syscall.SIGKILL)
	exited := p.exited
	p.mu.Unlock()
	<-exited
}

// Terminate ends the process as a planned restart does: by SIGTERM, and SIGKILL where that takes too long.
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

// Suspend stops the process by SIGSTOP.
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

// Restart starts a process after the last one's end. One that does not come up counts as crashed, unless the context
// has ended.
func (p *Process) Restart(ctx context.Context) {
	if err := p.Start(ctx); err != nil && ctx.Err() == nil {
		p.mu.Lock()
		p.crashes++
		p.mu.Unlock()
		p.config.Log.Warn("restart_failed", "dispatcher", p.config.Index, "err", err)
	}
}

// Stop ends the last process gracefully and reads its counters.
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
	if p.downSince > 0 { // for good
		p.config.History.Add(history.Event{At: p.downSince, Kind: history.ProcessDown, Class: p.downReason, Dispatcher: p.config.Index})
	}
	p.counters = readCounters(p.logPath())
}

// faultsPath is the file that tells the process its machine's faults.
func (p *Process) faultsPath() string {
	return filepath.Join(p.config.Dir, fmt.Sprintf("n%d.faults.json", p.config.Index))
}

// ChangeFaults changes the faults of its machine's clock and system calls.
func (p *Process) ChangeFaults(change func(*hostos.Faults)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faults.Fails == nil {
		p.faults.Fails = map[hostos.Op]hostos.Failure{}
	}
	change(&p.faults)
	if err := p.faults.Set(p.faultsPath()); err != nil {
		p.config.Log.Warn("faults_not_set", "dispatcher", p.config.Index, "err", err)
	}
}
