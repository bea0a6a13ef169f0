// Command standin-2 has the stand-ins of the second review's cases: discovery, readers and writers (replicas), a client
// of the chat API (post) and of the platform's front (platform), a client of the health check and of the operators' calls (get, call), and a search for free
// ports (ports). All of them use loopback addresses only. Everything that is sent, answered and run is appended to one
// record file, a line each.
package main

import (
	"flag"
	"fmt"
	"net"
	"os"
	"strings"
	"time"
)

func main() {
	if len(os.Args) < 2 {
		fail("usage: standin-2 ports|replicas|post|platform|get|call|note|relay|pauses [flags]")
	}
	name, args := os.Args[1], os.Args[2:]
	commands := map[string]func([]string){
		"ports": ports, "replicas": replicas, "post": post, "get": get, "call": call, "note": note, "kill-when": killWhen, "platform": platform, "pauses": pauses, "relay": relays,
	}
	run, ok := commands[name]
	if !ok {
		fail("unknown command %q", name)
	}
	run(args)
}

func fail(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "standin-2: "+format+"\n", args...)
	os.Exit(2)
}

func parse(name string, args []string, define func(*flag.FlagSet)) *flag.FlagSet {
	flags := flag.NewFlagSet(name, flag.ExitOnError)
	define(flags)
	flags.Parse(args) // exits with 2 on an error
	return flags
}

// ports prints free loopback ports, one line each.
func ports(args []string) {
	count := 1
	parse("ports", args, func(f *flag.FlagSet) { f.IntVar(&count, "n", 1, "how many") })
	var open []net.Listener
	for range count {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			fail("%v", err)
		}
		open = append(open, l)
		fmt.Println(l.Addr().(*net.TCPAddr).Port)
	}
	for _, l := range open {
		l.Close()
	}
}

// note appends one line to the record.
func note(args []string) {
	file := ""
	f := parse("note", args, func(f *flag.FlagSet) { f.StringVar(&file, "record", "", "the record file") })
	newRecord(file).add("test", "%s", strings.Join(f.Args(), " "))
}

// record is the record file. Its lines are appended by several processes.
type record struct{ file *os.File }

func newRecord(path string) *record {
	if path == "" {
		return &record{}
	}
	file, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		fail("%v", err)
	}
	return &record{file}
}

func (r *record) add(who, format string, args ...any) {
	if r.file == nil {
		return
	}
	line := time.Now().Format("15:04:05.000") + " " + who + " " + fmt.Sprintf(format, args...) + "\n"
	r.file.WriteString(line) // one write call: lines of several processes do not mix
}
