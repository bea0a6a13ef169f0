// Package importer reads the members that Apache's balancer configuration and
// mod_jk's worker files name, so that they can be handed on as a list of servers.
package importer

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/url"
	"slices"
	"strconv"
	"strings"
)

const maxLine = 64 << 10

// Member is one server that a file names.
type Member struct {
	Name     string // unique in its file
	Balancer string
	Addr     string // host and port
	Weight   float64
	Draining bool // takes nothing new
}

// Parse reads either kind of file: one with worker.* properties is mod_jk's, any other Apache's.
func Parse(r io.Reader) ([]Member, error) {
	lines, err := logicalLines(r)
	if err != nil {
		return nil, err
	}
	parse := apache
	for _, l := range lines {
		if strings.HasPrefix(l.text, "worker.") {
			parse = jk
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
	for _, m := range members {
		if seen[m.Name] {
			return nil, fmt.Errorf("member %q is named twice", m.Name)
		}
		seen[m.Name] = true
	}
	return members, nil
}

type line struct {
	number int
	text   string
}

// logicalLines joins continued lines and drops comments and blank ones.
func logicalLines(r io.Reader) ([]line, error) {
	var out []line
	s, joined := bufio.NewScanner(r), ""
	s.Buffer(nil, maxLine)
	for number := 1; s.Scan(); number++ {
		text := strings.TrimSpace(s.Text())
		if joined == "" && strings.HasPrefix(text, "#") {
			continue
		}
		if head, more := strings.CutSuffix(text, `\`); more {
			if joined += head; len(joined) > maxLine {
				return nil, fmt.Errorf("line %d: too long", number)
			}
			continue
		}
		if text = joined + text; text != "" {
			out = append(out, line{number, text})
		}
		joined = ""
	}
	if err := s.Err(); err != nil {
		return nil, fmt.Errorf("read: %w", err)
	}
	if joined != "" {
		return nil, errors.New("the last line is continued, but nothing follows")
	}
	return out, nil
}

// apache reads BalancerMember lines, inside <Proxy balancer://NAME> or with the balancer as first word.
func apache(lines []line) ([]Member, error) {
	var out []Member
	balancer := ""
	for _, l := range lines {
		words := strings.Fields(l.text)
		directive := strings.ToLower(words[0])
		switch {
		case directive == "<proxy" && len(words) > 1:
			balancer, _ = balancerName(strings.TrimSuffix(words[1], ">"))
		case directive == "</proxy>":
			balancer = ""
		case directive == "balancermember":
			m, err := apacheMember(balancer, words[1:])
			if err != nil {
				return nil, fmt.Errorf("line %d: %w", l.number, err)
			}
			if m != nil {
				out = append(out, *m)
			}
		}
	}
	return out, nil
}

func balancerName(text string) (string, bool) {
	name, ok := strings.CutPrefix(strings.Trim(text, `"`), "balancer://")
	return strings.TrimSuffix(name, "/"), ok
}

// apacheMember reads one member; nil stands for one that is stopped.
func apacheMember(balancer string, words []string) (*Member, error) {
	if len(words) > 0 {
		if name, ok := balancerName(words[0]); ok {
			balancer, words = name, words[1:]
		}
	}
	if balancer == "" || len(words) == 0 {
		return nil, errors.New("a member without a balancer or an address")
	}
	u, err := url.Parse(strings.Trim(words[0], `"`))
	if err != nil {
		return nil, fmt.Errorf("member: %w", err)
	}
	port := u.Port()
	if port == "" {
		port = map[string]string{"http": "80", "https": "443", "ajp": "8009"}[u.Scheme]
	}
	if u.Hostname() == "" || port == "" {
		return nil, fmt.Errorf("member %q has no host or port", words[0])
	}
	m := &Member{Balancer: balancer, Addr: net.JoinHostPort(u.Hostname(), port), Weight: 1}
	m.Name = balancer + "/" + m.Addr
	for _, word := range words[1:] {
		name, value, _ := strings.Cut(word, "=")
		switch strings.ToLower(name) {
		case "route":
			m.Name = balancer + "/" + value
		case "loadfactor":
			if m.Weight, err = strconv.ParseFloat(value, 64); err != nil || !(m.Weight >= 1 && m.Weight <= 100) {
				return nil, fmt.Errorf("member %s: loadfactor %q is not from 1 to 100", m.Addr, value)
			}
		case "status":
			// Flags are set unless a minus sign stands before them: D disabled, S stopped, N draining,
			// H hot standby, R hot spare. The last two stand by and take nothing yet.
			set := true
			for _, flag := range strings.ToUpper(value) {
				switch flag {
				case '+', '-':
					set = flag == '+'
				case 'S', 'H', 'R':
					if set {
						return nil, nil
					}
				case 'D', 'N':
					m.Draining = set
				}
			}
		}
	}
	return m, nil
}

// jk reads worker properties: the members of each balancer in worker.list, and the workers listed alone.
func jk(lines []line) ([]Member, error) {
	props := map[string]string{}
	for _, l := range lines {
		name, value, ok := strings.Cut(l.text, "=")
		name, value = strings.TrimSpace(name), strings.TrimSpace(value)
		if !ok || name == "" {
			return nil, fmt.Errorf("line %d: no property", l.number)
		}
		for key, v := range props {
			if !strings.HasPrefix(key, "worker.") {
				value = strings.ReplaceAll(value, "$("+key+")", v)
			}
		}
		if len(value) > maxLine {
			return nil, fmt.Errorf("line %d: too long", l.number)
		}
		if old := props[name]; old != "" && (name == "worker.list" || strings.HasSuffix(name, ".balance_workers")) {
			value = old + "," + value // these add up
		}
		props[name] = value
	}
	// get looks at the worker, then at the template that it refers to.
	get := func(worker, attr, fallback string) string {
		for range 8 {
			if v, ok := props["worker."+worker+"."+attr]; ok {
				return v
			}
			ref, ok := props["worker."+worker+".reference"]
			if !ok {
				break
			}
			worker = strings.TrimPrefix(ref, "worker.")
		}
		return fallback
	}
	var out []Member
	for _, name := range names(props["worker.list"]) {
		inside := []string{name}
		switch get(name, "type", "ajp13") {
		case "lb":
			inside = names(get(name, "balance_workers", get(name, "balanced_workers", "")))
		case "status":
			continue
		}
		for _, worker := range inside {
			m := Member{Name: worker, Balancer: name, Weight: 1}
			host, port := get(worker, "host", "localhost"), get(worker, "port", "8009")
			if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 {
				return nil, fmt.Errorf("worker %s: port %q", worker, port)
			}
			m.Addr = net.JoinHostPort(host, port)
			factor := get(worker, "lbfactor", "1")
			n, err := strconv.ParseUint(factor, 10, 16)
			if err != nil || n == 0 {
				return nil, fmt.Errorf("worker %s: lbfactor %q", worker, factor)
			}
			m.Weight = float64(n)
			switch activation := strings.ToLower(get(worker, "activation", "A")); {
			case strings.HasPrefix(activation, "s"):
				continue
			case strings.HasPrefix(activation, "d"):
				m.Draining = true
			}
			out = append(out, m)
		}
	}
	return out, nil
}

func names(text string) []string {
	out := strings.FieldsFunc(text, func(r rune) bool { return r == ',' || r == ' ' || r == '\t' })
	slices.Sort(out)
	return slices.Compact(out)
}
