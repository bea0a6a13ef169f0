package inflight

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"rampspread/internal/system"
)

const testRetention = 2 * time.Second

// TestMain is also the other process: "take KIND NAME", "drop KIND NAME" and "ran NAME" on its standard input, a verdict for each
// on its standard output.
func TestMain(m *testing.M) {
	if dir := os.Getenv("BESIDE_DIR"); dir != "" {
		os.Exit(runPeerProcess(dir))
	}
	os.Exit(m.Run())
}

func runPeerProcess(dir string) int {
	t, err := Start(system.Real(), dir, "n0", testRetention)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	t.timeout = 10 * time.Second
	ctx, stop := context.WithCancel(context.Background())
	var done sync.WaitGroup
	done.Go(func() { t.Run(ctx) })
	fmt.Println("silent", t.WaitForPeers(ctx))
	in := bufio.NewScanner(os.Stdin)
	for in.Scan() {
		w := strings.Fields(in.Text())
		v := Acquired
		switch w[0] {
		case "take":
			v = t.Acquire(Kind(w[1]), w[2])
		case "drop":
			t.Release(Kind(w[1]), w[2])
		case "ran":
			t.MarkMayHaveRun(w[1])
		}
		fmt.Println(v)
	}
	stop()
	done.Wait()
	return 0
}

// process is another process that shares the folder.
type process struct {
	t      *testing.T
	cmd    *exec.Cmd
	stdin  *os.File
	stdout *bufio.Scanner
}

func startProcess(t *testing.T, dir string) *process {
	t.Helper()
	in, write, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(os.Args[0])
	cmd.Env, cmd.Stdin, cmd.Stderr = append(os.Environ(), "BESIDE_DIR="+dir), in, os.Stderr
	out, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	in.Close()
	p := &process{t, cmd, write, bufio.NewScanner(out)}
	t.Cleanup(func() { p.kill() })
	if got := p.readLine(); got != "silent 0" {
		t.Fatalf("it began with %q", got)
	}
	return p
}

func (p *process) readLine() string {
	if !p.stdout.Scan() {
		p.t.Fatal("the other process ended")
	}
	return p.stdout.Text()
}

func (p *process) request(format string, args ...any) string {
	p.t.Helper()
	fmt.Fprintf(p.stdin, format+"\n", args...)
	return p.readLine()
}

func (p *process) kill() {
	p.cmd.Process.Kill()
	p.stdin.Close()
	p.cmd.Wait()
}

func (p *process) end() {
	p.stdin.Close()
	p.cmd.Wait()
}

func claimText(v Claim) string { return fmt.Sprint(v) }

// What one process has in hand when another comes is known to that one before it takes anything, and the other way about; what is
// ended is free again.
func TestOneHasIt(t *testing.T) {
	dir := t.TempDir()
	first := startProcess(t, dir)
	for _, name := range []string{"a", "b"} {
		if got := first.request("take id- %s", name); got != claimText(Acquired) {
			t.Fatalf("alone: %s", got)
		}
	}
	if files, _ := filepath.Glob(filepath.Join(dir, "*", "*", "id-*")); len(files) > 0 {
		t.Errorf("alone it wrote %d files", len(files))
	}
	second := startProcess(t, dir)
	if got := second.request("take id- a"); got != claimText(HeldByOther) {
		t.Errorf("what the first has: %s", got)
	}
	if got := second.request("take id- c"); got != claimText(Acquired) {
		t.Errorf("what nobody has: %s", got)
	}
	if got := first.request("take id- c"); got != claimText(HeldByOther) {
		t.Errorf("what the second has: %s", got)
	}
	first.request("drop id- a")
	eventually(t, "what was ended", func() bool { return second.request("take id- a") == claimText(Acquired) })
	second.kill() // what it had is nobody's
	eventually(t, "what the one that was killed had", func() bool { return first.request("take id- c") == claimText(Acquired) })
	eventually(t, "no file to be left", func() bool {
		files, _ := filepath.Glob(filepath.Join(dir, "*", "*", "id-*"))
		return len(files) == 0
	})
}

// A filing that a process ran, or had in hand when it ended, is known to the next for as long as filings are remembered.
func TestFilingsStay(t *testing.T) {
	for _, end := range []string{"killed beside another", "ended alone"} {
		t.Run(end, func(t *testing.T) {
			t.Parallel()
			dir := t.TempDir()
			first := startProcess(t, dir)
			for _, name := range []string{"ran", "open", "never"} {
				first.request("take key- %s", name)
			}
			began := time.Now()
			first.request("ran ran")
			first.request("drop key- never")
			var second *process
			if end == "ended alone" {
				first.end()
				second = startProcess(t, dir)
			} else {
				second = startProcess(t, dir)
				if got := second.request("take key- ran"); got != claimText(MayHaveRun) {
					t.Errorf("beside it: %s", got)
				}
				if got := second.request("take key- open"); got != claimText(HeldByOther) {
					t.Errorf("in hand beside it: %s", got)
				}
				first.kill()
			}
			for name, want := range map[string]Claim{"ran": MayHaveRun, "open": MayHaveRun, "never": Acquired} {
				if got := second.request("take key- %s", name); got != claimText(want) && time.Since(began) < testRetention {
					t.Errorf("%s: %s, want %d", name, got, want)
				}
			}
			eventually(t, "its time to be over", func() bool { return second.request("take key- ran") == claimText(Acquired) })
		})
	}
}

// Three processes that take the same names, at once and one before the others, while one after another is killed and another comes:
// no name is ever held by two that live, and who comes first has it.
func TestNeverTwo(t *testing.T) {
	dir, rng := t.TempDir(), rand.New(rand.NewPCG(5, 5))
	procs := []*process{startProcess(t, dir), startProcess(t, dir), startProcess(t, dir)}
	for round := range 120 {
		name := fmt.Sprint("n", round)
		got := make([]string, len(procs))
		first := -1 // all at once: each may have seen another, so that nobody gets it
		if round%2 == 1 {
			first = rng.IntN(len(procs))
			if got[first] = procs[first].request("take id- %s", name); got[first] != claimText(Acquired) {
				t.Fatalf("the first to ask for %s got %s", name, got[first])
			}
		}
		var wait sync.WaitGroup
		for i, p := range procs {
			if i != first {
				fmt.Fprintf(p.stdin, "take id- %s\n", name)
				wait.Go(func() { p.stdout.Scan(); got[i] = p.stdout.Text() })
			}
		}
		wait.Wait()
		holders := 0
		for _, g := range got {
			if g == claimText(Acquired) {
				holders++
			}
		}
		if holders > 1 {
			t.Fatalf("%s is held by %d: %v", name, holders, got)
		}
		if round%20 == 19 {
			i := rng.IntN(len(procs))
			procs[i].kill()
			procs[i] = startProcess(t, dir)
			// What the others took last, the one that has just come knows.
			for j, g := range got {
				if j != i && g == claimText(Acquired) && procs[i].request("take id- %s", name) != claimText(HeldByOther) {
					t.Fatalf("%s was given to one that has just come", name)
				}
			}
		}
	}
}

// A folder that does not do what it is asked makes what is taken unknown, at once and in bounds, and nothing else.
func TestFolderFails(t *testing.T) {
	dir := t.TempDir()
	other := startProcess(t, dir)
	table, err := Start(system.Real(), dir, "n0", testRetention)
	if err != nil {
		t.Fatal(err)
	}
	table.timeout = 10 * time.Second
	if table.WaitForPeers(t.Context()) != 0 {
		t.Error("the other did not show what it has")
	}
	for range maxPendingLookups { // as if so many hung
		table.lookups <- struct{}{}
	}
	if v := table.Acquire(Request, "x"); v != Unknown || table.Failed() == 0 {
		t.Errorf("verdict %d, failed %d", v, table.Failed())
	}
	for range maxPendingLookups {
		<-table.lookups
	}
	if v := table.Acquire(Request, "x"); v != Acquired {
		t.Errorf("the folder is back: %d", v)
	}
	// A folder that cannot be looked at is one of a process that lives: it is not cleared away under it.
	blind := filepath.Join(table.sharedDir, "blind")
	if err := errors.Join(os.Mkdir(blind, 0o700), os.Symlink(lockFile, filepath.Join(blind, lockFile))); err != nil {
		t.Fatal(err)
	}
	table.refresh()
	if _, err := os.Stat(blind); err != nil {
		t.Errorf("it was cleared away: %v", err)
	}
	os.RemoveAll(blind)
	os.RemoveAll(table.ownDir)
	if v := table.Acquire(Request, "y"); v != Unknown {
		t.Errorf("without a folder: %d", v)
	}
	other.end()
	if _, err := Start(system.Real(), filepath.Join(dir, "none", "\x00"), "n0", testRetention); err == nil {
		t.Error("a folder that cannot be made was taken")
	}
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !ok(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s: not in 20 s", what)
		}
	}
}
