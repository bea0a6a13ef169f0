package admin

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"strings"
	"time"
)

// Request makes one call at a program's ops address and returns what follows SUCCESS. An answer of FAILURE is an error with
// the answer's words.
func Request(addr, call string, wait time.Duration) (string, error) {
	conn, err := net.DialTimeout("tcp", addr, wait)
	if err != nil {
		return "", fmt.Errorf("call: %w", err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(wait))
	if _, err := fmt.Fprintln(conn, call); err != nil {
		return "", fmt.Errorf("call: %w", err)
	}
	answer, err := bufio.NewReader(conn).ReadString('\n')
	if err != nil {
		return "", fmt.Errorf("call: %w", err)
	}
	answer = strings.TrimSpace(answer)
	text, ok := strings.CutPrefix(answer, "SUCCESS")
	if !ok {
		return "", errors.New(answer)
	}
	return strings.TrimSpace(text), nil
}
