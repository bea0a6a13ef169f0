// Command simhost is the adapter between the simulator and package routing. It runs many independent routers in one
// process, reads batches of events from standard input and writes one reply of actions per batch to standard output. It
// translates events and actions and makes no decisions. It uses a single goroutine.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
)

const inputBufferBytes = 64 << 10

func main() {
	if err := serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simhost:", err)
		os.Exit(1)
	}
}

// serve reads batches from in and writes their replies to out until the end of the input.
func serve(in io.Reader, out io.Writer) error {
	reader, h := bufio.NewReaderSize(in, inputBufferBytes), newHost()
	for {
		frame, err := h.answerNext(reader)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if _, err := out.Write(frame); err != nil {
			return fmt.Errorf("write reply: %w", err)
		}
	}
}
