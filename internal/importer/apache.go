package importer

import (
	"errors"
	"fmt"
	"net"
	"net/url"
	"strconv"
	"strings"
)

// Valid range of Apache's loadfactor.
const (
	minLoadFactor = 1
	maxLoadFactor = 100
)

var defaultPorts = map[string]string{"http": "80", "https": "443", "ajp": "8009"}

// parseApache reads BalancerMember lines. The balancer is the first argument of such a line or, without that argument,
// is named by the enclosing <Proxy balancer://NAME> section.
func parseApache(lines []logicalLine) ([]Member, error) {
	var members []Member
	section := "" // the balancer whose <Proxy> section is open
	for _, line := range lines {
		tokens := strings.Fields(line.text)
		directive := strings.ToLower(tokens[0])
		switch {
		case directive == "<proxy" && len(tokens) > 1:
			section, _ = balancerName(strings.TrimSuffix(tokens[1], ">"))
		case directive == "</proxy>":
			section = ""
		case directive == "balancermember":
			member, err := parseBalancerMember(section, tokens[1:])
			if err != nil {
				return nil, fmt.Errorf("line %d: %w", line.number, err)
			}
			if member != nil {
				members = append(members, *member)
			}
		}
	}
	return members, nil
}

func balancerName(argument string) (string, bool) {
	name, ok := strings.CutPrefix(strings.Trim(argument, `"`), "balancer://")
	return strings.TrimSuffix(name, "/"), ok
}

// parseBalancerMember reads the arguments of one BalancerMember. It returns nil for a member that receives no requests.
func parseBalancerMember(balancer string, args []string) (*Member, error) {
	if len(args) > 0 {
		if name, ok := balancerName(args[0]); ok {
			balancer, args = name, args[1:]
		}
	}
	if balancer == "" || len(args) == 0 {
		return nil, errors.New("a member without a balancer or an address")
	}
	addr, err := memberAddr(args[0])
	if err != nil {
		return nil, err
	}
	member := &Member{Name: balancer + "/" + addr, Balancer: balancer, Addr: addr, Weight: 1}
	for _, arg := range args[1:] {
		name, value, _ := strings.Cut(arg, "=")
		switch strings.ToLower(name) {
		case "route":
			member.Name = balancer + "/" + value
		case "loadfactor":
			if member.Weight, err = parseLoadFactor(value); err != nil {
				return nil, fmt.Errorf("member %s: %w", addr, err)
			}
		case "status":
			active := member.applyStatus(value)
			if !active {
				return nil, nil
			}
		}
	}
	return member, nil
}

// memberAddr returns the host and port of a member's URL.
func memberAddr(argument string) (string, error) {
	u, err := url.Parse(strings.Trim(argument, `"`))
	if err != nil {
		return "", fmt.Errorf("member: %w", err)
	}
	port := u.Port()
	if port == "" {
		port = defaultPorts[u.Scheme]
	}
	if u.Hostname() == "" || port == "" {
		return "", fmt.Errorf("member %q has no host or port", argument)
	}
	return net.JoinHostPort(u.Hostname(), port), nil
}

func parseLoadFactor(value string) (float64, error) {
	factor, err := strconv.ParseFloat(value, 64)
	if err != nil || !(factor >= minLoadFactor && factor <= maxLoadFactor) {
		return 0, fmt.Errorf("loadfactor %q is not from %d to %d", value, minLoadFactor, maxLoadFactor)
	}
	return factor, nil
}

// applyStatus applies status flags and reports whether the member receives requests. Flags are set unless a minus sign
// precedes them: D disabled, S stopped, N draining, H hot standby, R hot spare. Stopped members receive no requests;
// hot standbys and hot spares receive none yet.
func (m *Member) applyStatus(flags string) bool {
	set := true
	for _, flag := range strings.ToUpper(flags) {
		switch flag {
		case '+', '-':
			set = flag == '+'
		case 'S', 'H', 'R':
			if set {
				return false
			}
		case 'D', 'N':
			m.Draining = set
		}
	}
	return true
}
