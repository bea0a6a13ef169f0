package main

import (
	"flag"
	"fmt"
	"os"
	"syscall"
	"time"
)

// killWhen kills a process as soon as a file exists, or prints "late" if there is none within 5 s.
func killWhen(args []string) {
	var pid int
	var file string
	parse("kill-when", args, func(f *flag.FlagSet) {
		f.IntVar(&pid, "pid", 0, "the process")
		f.StringVar(&file, "file", "", "the file")
	})
	end := time.Now().Add(5 * time.Second)
	for time.Now().Before(end) {
		if _, err := os.Stat(file); err != nil {
			continue
		}
		syscall.Kill(pid, syscall.SIGKILL)
		info, _ := os.Stat(file)
		fmt.Println("killed, the file has", info.Size(), "bytes")
		return
	}
	fmt.Println("late")
}
