// Command rig plays the review's cases: it starts dispatchers with the deploy file's command, on loopback addresses,
// between stand-ins of the platform, of clients and of replicas, and judges what these saw.
package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"regexp"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

const (
	maxRunTime   = 115 * time.Second
	readyTimeout = 6 * time.Second // time in which a process has to say yes (DAYS, Replacing the process)
	// killAfter is the time from SIGTERM to SIGKILL: the longest deadline, counted as 3 s where it is longer, and 0.7 s.
	killAfter = 3700 * time.Millisecond
)

// notRun ends a case that cannot run.
type notRun struct{ reason string }

// rig is one run of a case.
type rig struct {
	root    string // the repository
	temp    string // temporary folder of the run
	trouble bool   // false: the same without the disruption
	started time.Time

	mu      sync.Mutex
	record  *os.File
	procs   []*process
	servers []io.Closer
	spawn   chan func()
	run     string // the deploy file's command
	prefix  string // of the loopback addresses that this run gives to dispatchers, up to the last number
	given   map[string]bool
}

// process is one started dispatcher.
type process struct {
	label string
	cmd   *exec.Cmd
	log   string
	ended chan struct{}
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: rig CASE FOLDER, from the repository's root")
		os.Exit(exitNotRun)
	}
	play, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "rig: unknown case", os.Args[1])
		os.Exit(exitNotRun)
	}
	os.Exit(runCase(play, os.Args[2]))
}

var cases = map[string]func(*rig) (broken bool){}

func runCase(play func(*rig) bool, folder string) (code int) {
	r := &rig{trouble: os.Getenv("TROUBLE") != "0", started: time.Now(), spawn: make(chan func()), given: map[string]bool{}}
	r.prefix = fmt.Sprintf("127.%d.%d.", 20+os.Getpid()%200, 1+rand.IntN(250))
	var err error
	if r.root, err = os.Getwd(); err != nil {
		return exitNotRun
	}
	if r.record, err = os.Create(filepath.Join(folder, "record.txt")); err != nil {
		fmt.Fprintln(os.Stderr, "rig:", err)
		return exitNotRun
	}
	if r.temp, err = os.MkdirTemp("", "review-"); err != nil {
		return exitNotRun
	}
	go func() { // processes die with the thread that started them, so that thread never ends
		runtime.LockOSThread()
		for f := range r.spawn {
			f()
		}
	}()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	result := make(chan int, 1)
	go func() {
		defer func() {
			if p := recover(); p != nil {
				reason, ok := p.(notRun)
				if !ok {
					panic(p)
				}
				r.note("cannot run: %s", reason.reason)
				result <- exitNotRun
			}
		}()
		r.note("trouble=%v", r.trouble)
		if play(r) {
			result <- exitBroken
			return
		}
		result <- exitHeld
	}()
	select {
	case code = <-result:
	case s := <-stop:
		r.note("stopped by %v", s)
		code = exitNotRun
	case <-time.After(maxRunTime):
		r.note("not done after %v", maxRunTime)
		code = exitNotRun
	}
	r.cleanUp()
	r.note("exit %d (0 held, 1 broken, 2 not run)", code)
	return code
}

// cleanUp ends all processes and servers of the run.
func (r *rig) cleanUp() {
	r.mu.Lock()
	procs, servers := r.procs, r.servers
	r.mu.Unlock()
	for _, p := range procs {
		p.signal(syscall.SIGKILL)
	}
	for _, p := range procs {
		<-p.ended
	}
	for _, s := range servers {
		s.Close()
	}
	for _, p := range procs {
		r.noteLog(p)
	}
	os.RemoveAll(r.temp)
}

// logOfInterest selects the lines of a dispatcher's log that go into the record.
var logOfInterest = regexp.MustCompile(`serving|draining|unserved|attempt_lost|further_attempt|not_sent|reload|fleet_|lease_expired|peers_found|version_skew|drain_o|state_|panic|violation`)

func (r *rig) noteLog(p *process) {
	text, err := os.ReadFile(p.log)
	if err != nil {
		return
	}
	const most = 30
	n := 0
	for line := range strings.Lines(string(text)) {
		if !logOfInterest.MatchString(line) || strings.Contains(line, "event=memberlist") {
			continue
		}
		if n++; n > most {
			r.note("log of %s: more lines left out", p.label)
			return
		}
		r.note("log of %s: %s", p.label, strings.TrimSpace(line))
	}
}

// note writes one line to the record and to standard output, with the time since the start.
func (r *rig) note(format string, args ...any) {
	line := fmt.Sprintf("%8.3f ", time.Since(r.started).Seconds()) + fmt.Sprintf(format, args...) + "\n"
	r.mu.Lock()
	defer r.mu.Unlock()
	r.record.WriteString(line)
	os.Stdout.WriteString(line)
}

func (r *rig) must(err error, what string) {
	if err != nil {
		panic(notRun{what + ": " + err.Error()})
	}
}

func (r *rig) closeAtEnd(c io.Closer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.servers = append(r.servers, c)
}

var runLine = regexp.MustCompile(`(?m)^run\s*=\s*("(?:[^"\\]|\\.)*")`)

// runCommand returns the deploy file's command for one dispatcher.
func (r *rig) runCommand() string {
	if r.run == "" {
		text, err := os.ReadFile(filepath.Join(r.root, "deploy/balancer.toml"))
		r.must(err, "deploy file")
		found := runLine.FindSubmatch(text)
		if found == nil {
			panic(notRun{"the deploy file has no run command"})
		}
		r.run, err = strconv.Unquote(string(found[1]))
		r.must(err, "run command")
	}
	return r.run
}

// dispatcher is what one process of a dispatcher is started with.
type dispatcher struct {
	name, listen, ops, discovery string
	chat                         string // address of the chat API, or empty
	config                       string // path
	temp                         string // its $TMPDIR
	flags                        string // flags besides those of the deploy file
}

// member is one dispatcher of the platform's.
type member struct {
	dispatcher
	ip      string // address from which it sends to the other members of its fleet
	process *process
	starts  int
}

// start starts one process with the deploy file's command, and waits until it says yes.
func (r *rig) start(d dispatcher, label string) *process {
	command := r.runCommand() + " " + d.flags
	p := &process{label: label, log: filepath.Join(r.temp, label+".log"), ended: make(chan struct{})}
	logFile, err := os.Create(p.log)
	r.must(err, "log")
	p.cmd = exec.Command("/bin/sh", "-c", command)
	p.cmd.Dir, p.cmd.Stdout, p.cmd.Stderr = r.root, logFile, logFile
	p.cmd.Env = append(os.Environ(), "TMPDIR="+d.temp, "LB_CONFIG="+d.config, "LB_NAME="+d.name, "LB_LISTEN="+d.listen,
		"LB_DISCOVERY="+d.discovery, "LB_OPS="+d.ops)
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	done := make(chan error)
	r.spawn <- func() { done <- p.cmd.Start() }
	r.must(<-done, "start "+label)
	r.mu.Lock()
	r.procs = append(r.procs, p)
	r.mu.Unlock()
	go func() {
		err := p.cmd.Wait()
		logFile.Close()
		r.note("%s (pid %d) ended: %v", label, p.cmd.Process.Pid, err)
		close(p.ended)
	}()
	r.note("%s (pid %d) started: %s", label, p.cmd.Process.Pid, strings.ReplaceAll(command, r.temp, "TEMP"))
	for deadline := time.Now().Add(readyTimeout); ; time.Sleep(20 * time.Millisecond) {
		answer, err := r.call(d.ops, "check")
		if err == nil && strings.HasPrefix(answer, "SUCCESS") {
			r.note("%s says %s", label, answer)
			return p
		}
		select {
		case <-p.ended:
			r.noteLog(p)
			panic(notRun{label + " ended"})
		default:
		}
		if time.Now().After(deadline) {
			panic(notRun{label + " does not say yes"})
		}
	}
}

func (p *process) signal(s syscall.Signal) { syscall.Kill(-p.cmd.Process.Pid, s) }

func (p *process) hasEnded() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

// end sends SIGTERM, and SIGKILL when the platform would. It does not wait.
func (r *rig) end(p *process) {
	r.note("SIGTERM to %s", p.label)
	p.signal(syscall.SIGTERM)
	go func() {
		select {
		case <-p.ended:
		case <-time.After(killAfter):
			r.note("SIGKILL to %s", p.label)
			p.signal(syscall.SIGKILL)
		}
	}()
}

func (r *rig) await(p *process, limit time.Duration) {
	select {
	case <-p.ended:
	case <-time.After(limit):
		panic(notRun{p.label + " does not end"})
	}
}

// call makes an operator's call.
func (r *rig) call(addr, call string) (string, error) {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return "", err
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(2 * time.Second))
	fmt.Fprintln(c, call)
	line, err := bufio.NewReader(c).ReadString('\n')
	if line != "" {
		err = nil
	}
	return strings.TrimSpace(line), err
}

// Last numbers of a run's loopback addresses.
const (
	clientSide  = 1   // where dispatchers listen for clients and operators
	firstMember = 10  // from where the first dispatcher sends to the others
	firstRelay  = 110 // of the first dispatcher's relay
)

// freeAddr returns an address of this run's with a port that is free for TCP and UDP. Nothing else uses these loopback
// addresses, so the port stays free until a dispatcher takes it.
func (r *rig) freeAddr(host int) string {
	ip := fmt.Sprintf("%s%d", r.prefix, host)
	for range 50 {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			continue
		}
		addr := l.Addr().String()
		u, err := net.ListenPacket("udp", addr)
		l.Close()
		if err != nil {
			continue
		}
		u.Close()
		if !r.given[addr] {
			r.given[addr] = true
			return addr
		}
	}
	panic(notRun{"no free port at " + ip})
}

// serve serves a handler at an address of its own.
func (r *rig) serve(h http.HandlerFunc) (addr string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	r.must(err, "listen")
	s := &http.Server{Handler: h}
	r.closeAtEnd(s)
	go s.Serve(l)
	return l.Addr().String()
}

func (r *rig) folder(name string) string {
	path := filepath.Join(r.temp, name)
	r.must(os.MkdirAll(path, 0o700), "folder")
	return path
}

func (r *rig) writeJSON(name string, value any) (path string) {
	text, err := json.MarshalIndent(value, "", " ")
	r.must(err, name)
	path = filepath.Join(r.temp, name)
	r.must(os.WriteFile(path, text, 0o600), name)
	return path
}

func (r *rig) readJSON(name string) map[string]any {
	text, err := os.ReadFile(filepath.Join(r.root, name))
	r.must(err, name)
	var value map[string]any
	r.must(json.Unmarshal(text, &value), name)
	return value
}

// writeConfig writes a dispatcher's configuration: the example's, for a fleet of the given size.
func (r *rig) writeConfig(name, discovery string, dispatchers int) string {
	return r.writeConfigWith(name, discovery, dispatchers, func(map[string]any) {})
}

// writeConfigWith writes a configuration whose settings are changed by the given function.
func (r *rig) writeConfigWith(name, discovery string, dispatchers int, change func(settings map[string]any)) string {
	c := r.readJSON("example/config.json")
	c["name"], c["discovery"] = name, discovery
	settings := c["settings"].(map[string]any)
	settings["balancers"] = dispatchers
	change(settings)
	return r.writeJSON(name+"-config.json", c)
}

// classOf returns the class of the given name.
func classOf(settings map[string]any, name string) map[string]any {
	for _, class := range settings["classes"].([]any) {
		if class := class.(map[string]any); class["name"] == name {
			return class
		}
	}
	panic(notRun{"no class " + name})
}

// writeChat writes the chat API's file: the deployment's, at another address.
func (r *rig) writeChat(name, listen string) string {
	c := r.readJSON("deploy/chat.json")
	c["listen"] = listen
	return r.writeJSON(name+"-chat.json", c)
}

// command runs one of the program's own commands.
func (r *rig) command(args ...string) string {
	out, err := exec.Command(filepath.Join(r.root, "bin/rampspread"), args...).CombinedOutput()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		r.must(err, "bin/rampspread")
	}
	return strings.TrimSpace(strings.ReplaceAll(string(out), r.temp, "TEMP"))
}
