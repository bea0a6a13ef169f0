// Package importer reads the members that Apache's balancer configuration (mod_proxy_balancer) and mod_jk's
// workers.properties name, so that an operator can convert them into an endpoint list. The package has no state; Parse
// is safe for concurrent use.
package importer

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strings"
)

// maxLineBytes limits the length of a line after continued lines were joined, and of a property's value after
// substitution.
const maxLineBytes = 64 << 10

// Member is one server that a file names.
type Member struct {
	Name     string // unique within the file
	Balancer string // name of its balancer, or its own name if mod_jk's worker.list names it directly
	Addr     string // host and port
	Weight   float64
	Draining bool // accepts no new requests
}

// Parse reads a file in either format: a file with worker.* properties is read as mod_jk's, any other file as Apache's.
// Parse fails if the file is invalid, if it names no member, or if it names a member twice.
func Parse(r io.Reader) ([]Member, error) {
	lines, err := readLogicalLines(r)
	if err != nil {
		return nil, err
	}
	parse := parseApache
	for _, line := range lines {
		if strings.HasPrefix(line.text, workerPrefix) {
			parse = parseModJK
		}
	}
	members, err := parse(lines)
	if err != nil {
		return nil, err
	}
	if len(members) == 0 {
		return nil, errors.New("the file names no member")
	}
	seen := map[string]bool{}
	for _, member := range members {
		if seen[member.Name] {
			return nil, fmt.Errorf("member %q is named twice", member.Name)
		}
		seen[member.Name] = true
	}
	return members, nil
}

// logicalLine is a line with its continuations joined.
type logicalLine struct {
	number int // number of the last physical line
	text   string
}

// readLogicalLines joins continued lines and drops comments and blank lines.
func readLogicalLines(r io.Reader) ([]logicalLine, error) {
	var lines []logicalLine
	scanner, joined := bufio.NewScanner(r), ""
	scanner.Buffer(nil, maxLineBytes)
	for number := 1; scanner.Scan(); number++ {
		text := strings.TrimSpace(scanner.Text())
		if joined == "" && strings.HasPrefix(text, "#") {
			continue
		}
		if head, continued := strings.CutSuffix(text, `\`); continued {
			if joined += head; len(joined) > maxLineBytes {
				return nil, fmt.Errorf("line %d: too long", number)
			}
			continue
		}
		if text = joined + text; text != "" {
			lines = append(lines, logicalLine{number, text})
		}
		joined = ""
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("read: %w", err)
	}
	if joined != "" {
		return nil, errors.New("the last line is continued, but nothing follows")
	}
	return lines, nil
}
