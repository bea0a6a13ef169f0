package faultbench

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"rampspread/internal/faultbench/deployment"
	"rampspread/internal/faultbench/discovery"
	"rampspread/internal/faultbench/history"
	"rampspread/internal/faultbench/scenario"
	"rampspread/internal/faultbench/timing"
	"rampspread/internal/hostos"
	stored "rampspread/internal/state"
)

const (
	readyWait    = 20 * time.Second
	usualSockets = 1024
)

// proc is one dispatcher's process, through all its lives.
type proc struct {
	run    *Run
	index  int
	config string   // path
	args   []string // of every life
	tries  int      // how many its settings allow
	moves  int      // of discovery, which has two addresses

	life      sync.Mutex // held by what ends, stops or begins a life
	reloading sync.Mutex // held while its configuration changes
	faults    hostos.Faults

	mu      sync.Mutex
	leaving time.Time // when SIGTERM was sent to this life; zero: it was not
	cmd     *exec.Cmd
	ended   chan struct{} // of this life
	meant   bool          // its end is of the rig's making
	down    time.Duration // since when; 0: it is up
	why     string        // it is down, as history.Down has it
	since   time.Time     // this life or the last pause's end
	ready   time.Duration // what this life took to serve
	fds     int           // the most that were seen, if it was measured,
	ownMB   float64       // also
	crashes int
	counts  map[string]float64 // the last life's counters
}

// start begins a life and returns once it serves.
func (p *proc) start(ctx context.Context) error {
	log, err := os.OpenFile(filepath.Join(p.run.dir, fmt.Sprintf("n%d.log", p.index)), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("dispatcher %d: %w", p.index, err)
	}
	defer log.Close()
	cmd := exec.Command(p.run.options.Program, p.args...)
	cmd.Env = append(os.Environ(), "LB_CONFIG="+p.config, "RAMPSPREAD_FAULTS="+p.faultsFile())
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("dispatcher %d: %w", p.index, err)
	}
	ended := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.ended, p.meant, p.leaving = cmd, ended, false, time.Time{}
	p.mu.Unlock()
	go func() {
		err := cmd.Wait()
		p.mu.Lock()
		if !p.meant || err != nil && cmd.ProcessState.Sys().(syscall.WaitStatus).Signal() != syscall.SIGKILL {
			p.crashes++
			p.run.options.Log.Warn("crashed", "dispatcher", p.index, "err", err)
		}
		if p.down == 0 {
			p.down = p.run.history.Now()
		}
		if p.why = history.DownEnded; cmd.ProcessState.Sys().(syscall.WaitStatus).Signal() == syscall.SIGKILL {
			p.why = history.DownKilled
		}
		p.mu.Unlock()
		close(ended)
	}()
	began := time.Now()
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(readyWait); ; {
		if resp, err := client.Get("http://" + p.run.addrs.listen(p.index) + "/healthz"); err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				break
			}
		}
		select {
		case <-ended:
			return fmt.Errorf("dispatcher %d ended before it served: see its log in %s", p.index, p.run.dir)
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(10 * time.Millisecond):
		}
		if time.Now().After(end) {
			return fmt.Errorf("dispatcher %d did not serve within %v", p.index, readyWait)
		}
	}
	p.mu.Lock()
	p.ready = time.Since(began)
	p.mu.Unlock()
	p.up()
	return nil
}

// up notes that it serves again: until now it was not to blame.
func (p *proc) up() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.down > 0 {
		p.run.history.Add(history.Event{At: p.down, Kind: history.ProcessDown, Class: p.why, Dispatcher: p.index, Until: p.run.history.Now()})
	}
	p.down, p.since = 0, time.Now()
}

// upSince tells whether it has been up since t without a break.
func (p *proc) upSince(t time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.down == 0 && p.since.Before(t)
}

// frontDetectsShutdown is how late after SIGTERM a process still gets new connections: 0.2 to 0.4 s, by the protocol page.
const frontDetectsShutdown = 400 * time.Millisecond

// leavesFront tells whether the front deals out nothing to it any more since it is ending.
func (p *proc) leavesFront() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.run.options.Strict && !p.leaving.IsZero() && time.Since(p.leaving) > frontDetectsShutdown
}

// signal sends one to this life. A life that is meant to end by it has not crashed.
func (p *proc) signal(s syscall.Signal, down, ends bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.meant = p.meant || ends
	if down && p.down == 0 {
		p.down = p.run.history.Now()
	}
	if p.cmd != nil {
		p.cmd.Process.Signal(s) // one that has ended already takes none
	}
}

func (p *proc) kill() {
	p.signal(syscall.SIGKILL, true, true)
	<-p.ended
}

// term ends it as a planned restart does.
func (p *proc) term() {
	p.mu.Lock()
	p.leaving = time.Now()
	p.mu.Unlock()
	p.signal(syscall.SIGTERM, false, true)
	select {
	case <-p.ended:
	case <-time.After(p.run.deployment.KillAfter()):
		p.kill()
	}
}

func (p *proc) pause(ctx context.Context, d time.Duration) {
	p.signal(syscall.SIGSTOP, true, false)
	p.mu.Lock()
	p.why = history.DownPaused
	p.mu.Unlock()
	timing.Sleep(ctx, d)
	p.signal(syscall.SIGCONT, false, false)
	p.up()
}

// restart starts a life after the last one's end. With forget it finds nothing of what the last one stored.
func (p *proc) restart(ctx context.Context, forget bool) {
	if forget {
		os.RemoveAll(p.run.stateDir(p.index))
	}
	if p.run.options.Strict {
		p.tellKnown()
	}
	if err := p.start(ctx); err != nil && ctx.Err() == nil {
		p.mu.Lock()
		p.crashes++
		p.mu.Unlock()
		p.run.options.Log.Warn("restart_failed", "dispatcher", p.index, "err", err)
	}
}

// tellKnown tells the next process the list as the last one had it. Without, it is told an older one, as the platform may also do.
func (p *proc) tellKnown() {
	p.reloading.Lock()
	defer p.reloading.Unlock()
	if err := p.writeConfig(); err != nil {
		p.run.options.Log.Warn("restart_config", "dispatcher", p.index, "err", err)
	}
}

// stop ends the last life in good order and reads its counters.
func (p *proc) stop() {
	p.mu.Lock()
	ended, cmd := p.ended, p.cmd
	p.meant = true
	p.mu.Unlock()
	if cmd == nil {
		return
	}
	cmd.Process.Signal(syscall.SIGCONT)
	cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-ended:
	case <-time.After(p.run.deployment.KillAfter()):
		cmd.Process.Kill()
		<-ended
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.down > 0 { // for good
		p.run.history.Add(history.Event{At: p.down, Kind: history.ProcessDown, Class: p.why, Dispatcher: p.index})
	}
	text, _ := os.ReadFile(filepath.Join(p.run.dir, fmt.Sprintf("n%d.log", p.index)))
	p.counts = lastCounters(text)
	for _, line := range counterLine.FindAll(text, -1) {
		p.counts["goroutines"] = max(p.counts["goroutines"], lastCounters(line)["goroutines"])
	}
}

// usage is what a process takes of its machine.
type usage struct {
	rssMB float64 // at the most so far
	ownMB float64 // without the pages of files, which the kernel can take back; at the end, or the most that was seen
	fds   int     // at the end, or the most that were seen
	ready time.Duration
	cpu   time.Duration
}

// usage reads what this life has taken so far.
func (p *proc) usage() (u usage) {
	p.mu.Lock()
	pid := p.cmd.Process.Pid
	p.mu.Unlock()
	status, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if m := highWater.FindSubmatch(status); m != nil {
		kb, _ := strconv.ParseFloat(string(m[1]), 64)
		u.rssMB = kb / 1024
	}
	if m := anonymous.FindSubmatch(status); m != nil {
		kb, _ := strconv.ParseFloat(string(m[1]), 64)
		u.ownMB = kb / 1024
	}
	fds, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	p.mu.Lock()
	p.fds = max(p.fds, len(fds))
	p.ownMB = max(p.ownMB, u.ownMB)
	u.fds, u.ownMB, u.ready = p.fds, p.ownMB, p.ready
	p.mu.Unlock()
	stat, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if _, rest, ok := strings.Cut(string(stat), ") "); ok {
		if f := strings.Fields(rest); len(f) > 12 { // utime and stime, in hundredths of a second
			user, _ := strconv.Atoi(f[11])
			system, _ := strconv.Atoi(f[12])
			u.cpu = time.Duration(user+system) * 10 * time.Millisecond
		}
	}
	return u
}

// measure looks at a process until the context ends, and lets it print its counters.
func (p *proc) measure(ctx context.Context) {
	for timing.Sleep(ctx, 500*time.Millisecond) == nil {
		p.usage()
		p.signal(syscall.SIGUSR1, false, false)
	}
}

var (
	highWater   = regexp.MustCompile(`(?m)^VmHWM:\s+(\d+) kB`)
	anonymous   = regexp.MustCompile(`(?m)^RssAnon:\s+(\d+) kB`)
	counterLine = regexp.MustCompile(`(?m)^event=counters .*$`)
	counter     = regexp.MustCompile(`(\w+)=([0-9.]+)`)
)

// lastCounters reads the last line of counters in a log.
func lastCounters(text []byte) map[string]float64 {
	out := map[string]float64{}
	lines := counterLine.FindAll(text, -1)
	if len(lines) == 0 {
		return out
	}
	for _, m := range counter.FindAllSubmatch(lines[len(lines)-1], -1) {
		if v, err := strconv.ParseFloat(string(m[2]), 64); err == nil {
			out[string(m[1])] = v
		}
	}
	return out
}

// write writes one of the run's files as JSON and returns its path.
func (r *Run) write(name string, value any) (string, error) {
	text, err := json.MarshalIndent(value, "", " ")
	if err != nil {
		return "", fmt.Errorf("%s: %w", name, err)
	}
	path := filepath.Join(r.dir, name)
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return "", fmt.Errorf("%s: %w", name, err)
	}
	return path, nil
}

// retune gives it other settings, which it reads at once.
func (p *proc) retune(tries int) {
	p.reloading.Lock()
	defer p.reloading.Unlock()
	p.tries = tries
	if err := p.writeConfig(); err != nil {
		p.run.options.Log.Warn("retune", "err", err)
		return
	}
	p.signal(syscall.SIGHUP, false, false)
}

// move takes discovery to its other address: the one that was takes no new calls.
func (p *proc) move() {
	p.reloading.Lock()
	defer p.reloading.Unlock()
	r := p.run
	r.discovery.NoteMove(p.index)
	p.moves++
	r.discovery.Open(p.index, p.moves%discovery.Addresses)
	if err := p.writeConfig(); err != nil {
		r.options.Log.Warn("move", "err", err)
		return
	}
	r.discovery.Refuse(p.index, (p.moves+1)%discovery.Addresses)
	p.signal(syscall.SIGHUP, false, false)
}

// reloadInRow gives it new settings and moves its discovery several times in quick succession.
func (p *proc) reloadInRow(ctx context.Context, f scenario.Fault) {
	const reloads = 5
	for n := range reloads {
		if n%2 == 0 {
			p.retune(deployment.ChangedMaxAttempts + n%4/2)
		} else {
			p.move()
		}
		if timing.Sleep(ctx, scenario.Seconds(f.Duration)/reloads) != nil {
			return
		}
	}
}

// faultsFile is where its machine's faults are told.
func (p *proc) faultsFile() string {
	return filepath.Join(p.run.dir, fmt.Sprintf("n%d.faults.json", p.index))
}

// changeFaults changes what its machine does wrong.
func (p *proc) changeFaults(change func(*hostos.Faults)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faults.Fails == nil {
		p.faults.Fails = map[hostos.Op]hostos.Failure{}
	}
	change(&p.faults)
	if err := p.faults.Set(p.faultsFile()); err != nil {
		p.run.options.Log.Warn("faults", "dispatcher", p.index, "err", err)
	}
}

func (p *proc) writeConfig() (err error) {
	r := p.run
	p.config, err = r.write(fmt.Sprintf("n%d.json", p.index), map[string]any{
		"name": r.names[p.index], "listen": r.addrs.listen(p.index), "discovery": r.addrs.discovery(p.index, p.moves%discovery.Addresses), "ops": r.addrs.ops(p.index),
		"seed":   fmt.Sprintf("%016x", r.options.Seed*1000+uint64(p.index)+1),
		"limits": map[string]any{"cores": 1.0, "memory_mb": cmp.Or(r.options.MemoryMB, 192), "sockets": cmp.Or(r.options.Sockets, usualSockets)},
		"known":  r.discovery.LastKnown(p.index), "settings": r.settings(p.index),
	})
	return err
}

// configure writes the files of a dispatcher.
func (p *proc) configure() error {
	r := p.run
	if err := p.writeConfig(); err != nil {
		return err
	}
	p.args = []string{"serve"}
	if r.options.Fleet {
		file, err := r.fleetFile(p.index)
		if err != nil {
			return err
		}
		p.args = append(p.args, "-fleet", file)
	}
	if r.options.State && !r.options.IdempotentRequests {
		p.args = append(p.args, "-state", r.stateDir(p.index))
	}
	if r.options.IdempotentRequests {
		if err := stored.Init(r.stateDir(p.index), stored.Identity{Fleet: "rig", Name: r.names[p.index]}); err != nil {
			return fmt.Errorf("dispatcher %d: %w", p.index, err)
		}
		p.args = append(p.args, "-state", r.stateDir(p.index))
	}
	if r.options.Handover {
		p.args = append(p.args, "-handover", r.dir)
	}
	if r.acceptAnyRequest {
		chat, err := r.chatFile(p.index)
		if err != nil {
			return err
		}
		p.args = append(p.args, "-chat", chat)
	}
	return nil
}
