package admin

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"strings"
	"time"
)

// Request makes one call at a process's admin address and returns the text that follows SUCCESS. An answer that does
// not start with SUCCESS is returned as an error with the whole answer as its text. The timeout applies to the connect
// and then again to the call.
func Request(addr, call string, timeout time.Duration) (string, error) {
	conn, err := net.DialTimeout("tcp", addr, timeout)
	if err != nil {
		return "", fmt.Errorf("call: %w", err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(timeout))
	if _, err := fmt.Fprintln(conn, call); err != nil {
		return "", fmt.Errorf("call: %w", err)
	}
	line, err := bufio.NewReader(conn).ReadString('\n')
	if err != nil {
		return "", fmt.Errorf("call: %w", err)
	}
	line = strings.TrimSpace(line)
	text, ok := strings.CutPrefix(line, string(Success))
	if !ok {
		return "", errors.New(line)
	}
	return strings.TrimSpace(text), nil
}
