package importer

import (
	"fmt"
	"net"
	"slices"
	"strconv"
	"strings"
)

const (
	workerPrefix = "worker."
	workerList   = workerPrefix + "list"
	// maxReferences limits how many references between workers are followed, since they may be circular.
	maxReferences = 8
)

// Defaults of mod_jk's worker properties.
const (
	defaultWorkerType       = "ajp13"
	defaultWorkerHost       = "localhost"
	defaultWorkerPort       = "8009"
	defaultWorkerFactor     = "1"
	defaultWorkerActivation = "A" // active
)

// Worker types that do not describe a server.
const (
	loadBalancerType = "lb"
	statusType       = "status"
)

// workerProperties maps the full names of a file's properties to their values.
type workerProperties map[string]string

// parseModJK reads worker properties. It returns the members of each balancer in worker.list, and the servers that
// worker.list names directly.
func parseModJK(lines []logicalLine) ([]Member, error) {
	properties, err := parseProperties(lines)
	if err != nil {
		return nil, err
	}
	var members []Member
	for _, listed := range splitNames(properties[workerList]) {
		for _, worker := range properties.workersOf(listed) {
			member, err := properties.member(listed, worker)
			if err != nil {
				return nil, err
			}
			if member != nil {
				members = append(members, *member)
			}
		}
	}
	return members, nil
}

// parseProperties reads lines of the form NAME=VALUE. If worker.list or a balance_workers property is given several
// times, its values are joined; for any other property the last value counts.
func parseProperties(lines []logicalLine) (workerProperties, error) {
	properties := workerProperties{}
	for _, line := range lines {
		name, value, ok := strings.Cut(line.text, "=")
		name, value = strings.TrimSpace(name), strings.TrimSpace(value)
		if !ok || name == "" {
			return nil, fmt.Errorf("line %d: no property", line.number)
		}
		value = properties.substitute(value)
		if len(value) > maxLineBytes {
			return nil, fmt.Errorf("line %d: too long", line.number)
		}
		accumulates := name == workerList || strings.HasSuffix(name, ".balance_workers")
		if earlier := properties[name]; earlier != "" && accumulates {
			value = earlier + "," + value
		}
		properties[name] = value
	}
	return properties, nil
}

// substitute replaces $(NAME) with the value of the property NAME, unless that is a worker property.
func (p workerProperties) substitute(value string) string {
	for name, replacement := range p {
		if !strings.HasPrefix(name, workerPrefix) {
			value = strings.ReplaceAll(value, "$("+name+")", replacement)
		}
	}
	return value
}

// get returns an attribute of a worker. If the worker does not set it, get follows the worker's reference to its
// template, and returns the default if no template sets it either.
func (p workerProperties) get(worker, attribute, defaultValue string) string {
	for range maxReferences {
		if value, ok := p[workerPrefix+worker+"."+attribute]; ok {
			return value
		}
		reference, ok := p[workerPrefix+worker+".reference"]
		if !ok {
			break
		}
		worker = strings.TrimPrefix(reference, workerPrefix)
	}
	return defaultValue
}

// workersOf returns the workers of a listed balancer, no workers for a status worker, or only the listed name itself if
// it is a server.
func (p workerProperties) workersOf(listed string) []string {
	switch p.get(listed, "type", defaultWorkerType) {
	case loadBalancerType:
		return splitNames(p.get(listed, "balance_workers", p.get(listed, "balanced_workers", "")))
	case statusType:
		return nil
	}
	return []string{listed}
}

// member returns the member that a worker describes, or nil if the worker is stopped.
func (p workerProperties) member(balancer, worker string) (*Member, error) {
	port := p.get(worker, "port", defaultWorkerPort)
	if _, err := parsePositive(port); err != nil {
		return nil, fmt.Errorf("worker %s: port %q", worker, port)
	}
	factor := p.get(worker, "lbfactor", defaultWorkerFactor)
	weight, err := parsePositive(factor)
	if err != nil {
		return nil, fmt.Errorf("worker %s: lbfactor %q", worker, factor)
	}
	addr := net.JoinHostPort(p.get(worker, "host", defaultWorkerHost), port)
	member := &Member{Name: worker, Balancer: balancer, Addr: addr, Weight: float64(weight)}
	switch activation := strings.ToLower(p.get(worker, "activation", defaultWorkerActivation)); {
	case strings.HasPrefix(activation, "s"): // stopped
		return nil, nil
	case strings.HasPrefix(activation, "d"): // disabled
		member.Draining = true
	}
	return member, nil
}

// parsePositive parses a number from 1 to 65535.
func parsePositive(value string) (uint16, error) {
	n, err := strconv.ParseUint(value, 10, 16)
	if err != nil {
		return 0, err
	}
	if n == 0 {
		return 0, strconv.ErrRange
	}
	return uint16(n), nil
}

// splitNames returns the names of a list in alphabetical order, each once.
func splitNames(list string) []string {
	names := strings.FieldsFunc(list, func(r rune) bool { return r == ',' || r == ' ' || r == '\t' })
	slices.Sort(names)
	return slices.Compact(names)
}
