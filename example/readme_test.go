// Package example_test runs the example as its README words it.
package example_test

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// commands are the indented commands of a page, each with the lines that go on with it.
func commands(t *testing.T, page string) []string {
	t.Helper()
	text, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	var out []string
	open := ""
	for line := range strings.Lines(string(text)) {
		line, ok := strings.CutPrefix(strings.TrimRight(line, "\n"), "    ")
		if !ok && open == "" {
			continue
		}
		open += strings.TrimSpace(line)
		if strings.HasSuffix(open, `\`) || strings.Count(open, "'")%2 == 1 {
			open += "\n"
			continue
		}
		out = append(out, open)
		open = ""
	}
	return out
}

// The README's commands are run one after the other by one shell, with the built programs, on a loopback address
// of this test's own in the place of 127.0.0.1. The only words added wait for a started program to listen.
func TestReadme(t *testing.T) {
	pid := os.Getpid()
	own := fmt.Sprintf("127.%d.%d.%d", 128+pid>>16&63, pid>>8&255, 1+pid&127)
	root, dir := "..", t.TempDir()
	for _, name := range []string{"example/config.json", "deploy/chat.json"} {
		text, err := os.ReadFile(filepath.Join(root, name))
		if err != nil {
			t.Fatal(err)
		}
		if err := os.MkdirAll(filepath.Join(dir, filepath.Dir(name)), 0o700); err != nil {
			t.Fatal(err)
		}
		text = []byte(strings.ReplaceAll(string(text), "127.0.0.1", own))
		if err := os.WriteFile(filepath.Join(dir, name), text, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	if out, err := exec.Command("go", "build", "-C", root, "-o", filepath.Join(dir, "bin")+"/", "./...").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	waits := map[string]string{
		"bin/toy ":              "until curl -sf " + own + ":8500/v1/servers; do sleep 0.02; done",
		"bin/rampspread serve ": "until curl -sf " + own + ":9000/healthz; do sleep 0.02; done; until curl -sf " + own + ":8080/healthz; do sleep 0.02; done",
		"kill -HUP":             "until grep -q event=reloaded log; do sleep 0.02; done",
		"kill -USR1":            "until grep -q event=counters log; do sleep 0.02; done",
		"kill $!":               "wait $!",
	}
	// What each command must show, in the order of the page.
	wants := []struct{ command, shows string }{
		{"go build", ""}, {"bin/toy", ""}, {"bin/rampspread serve", ""},
		{"curl -N " + own + ":8080", "data: [DONE]"},
		{"curl -i " + own + ":8080", "HTTP/1.1 200 OK"},
		{"curl -N " + own + ":9000", `"content":"Hello "`},
		{"kill -USR1", ""},
		{"bin/rampspread call -at " + own + ":9600 drain-on", "SUCCESS draining"},
		{"curl -i " + own + ":9000/healthz", "HTTP/1.1 503"},
		{"bin/rampspread call -at " + own + ":9600 drain-off", "SUCCESS serving"},
		{"bin/rampspread call -at " + own + ":9600 check", "SUCCESS serving"},
		{"kill -HUP", ""}, {"kill $!", ""},
	}
	got := commands(t, "README.md")
	if len(got) != len(wants) {
		t.Fatalf("the README has %d commands, this test knows %d: %q", len(got), len(wants), got)
	}
	var script strings.Builder
	script.WriteString("set -u\n")
	for i, c := range got {
		c = strings.ReplaceAll(c, "127.0.0.1", own)
		if !strings.HasPrefix(c, wants[i].command) {
			t.Errorf("command %d is %q, this test expects %q", i, c, wants[i].command)
		}
		fmt.Fprintf(&script, "echo; echo '@@%d'\n", i)
		switch started, ok := strings.CutSuffix(c, " &"); {
		case strings.HasPrefix(c, "go build"): // done above, since this folder has no sources
		case ok:
			fmt.Fprintf(&script, "%s >>log 2>&1 &\n", started)
		default:
			script.WriteString(c + "\n")
		}
		for start, wait := range waits {
			if strings.HasPrefix(c, start) {
				script.WriteString("{ " + wait + "; } >/dev/null 2>&1\n")
			}
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	shell := exec.CommandContext(ctx, "bash", "-c", script.String())
	shell.Dir = dir
	shell.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	shell.Cancel = func() error { return syscall.Kill(-shell.Process.Pid, syscall.SIGKILL) }
	shell.WaitDelay = time.Second
	out, err := shell.CombinedOutput()
	if shell.Process != nil {
		syscall.Kill(-shell.Process.Pid, syscall.SIGKILL) // the toy, which runs until it is ended
	}
	log, _ := os.ReadFile(filepath.Join(dir, "log"))
	if err != nil {
		t.Errorf("%v", err)
	}
	for i, part := range strings.Split(string(out), "@@")[1:] {
		if !strings.Contains(part, wants[i].shows) {
			t.Errorf("%s: shows %q, not %q", wants[i].command, part, wants[i].shows)
		}
	}
	if !strings.Contains(string(log), "servers=2") || !strings.Contains(string(log), "served=3") {
		t.Errorf("the program's log: %s", log)
	}
}
