// Package fleet is a process's membership in the fleet: who else is there, by gossip over memberlist. It does the
// I/O; what is made of what was heard is decided in view. The core never waits for any of it.
package fleet

import (
	"encoding/hex"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"slices"
	"time"

	"rampspread/internal/cli"
	"rampspread/internal/fleet/subset"
)

// Config is an operator's file, deploy/fleet.json.
type Config struct {
	// Fleet names the deployment. Packets of another fleet are passed over.
	Fleet string `json:"fleet"`
	// Key seals and authenticates what members say (AES-GCM): 16, 24 or 32 bytes in hex, the same for all.
	Key string `json:"key"`
	// Listen is where this process takes the others' packets (UDP) and calls (TCP), and where it sends from. None: its
	// own address on the list.
	Listen string `json:"listen"`
	// Members are all who may be in the fleet, this process among them.
	Members []Peer `json:"members"`
	// ProbeMS is how often a member looks whether another is there, in ms; 0: defaultProbe. The time to find one
	// gone grows with it.
	ProbeMS int `json:"probe_ms"`
	// Voters are the members that grant duties: 1, 3 or 5 of them. None: nothing is done in turn.
	Voters []string `json:"voters"`
	// TermMS is how long a duty is granted for, in ms; 0: defaultTerm. A duty is taken over about so long after its
	// holder died.
	TermMS int `json:"term_ms"`
	// Idempotency makes a filing run once in the whole fleet: the voters keep who has claimed it, each in a state of its own. None:
	// each dispatcher knows its own filings only.
	Idempotency *IdempotencyConfig `json:"filings,omitempty"`
	// Bootstrap lets a member that starts learn from others what they know of replicas and texts.
	Bootstrap bool `json:"beliefs,omitempty"`
	// EndpointFilter lets members hold each other back from replicas that a newer list than their own has ended.
	EndpointFilter bool `json:"ends,omitempty"`
	// VersionSkew lets members that act on something older than most be restricted and shut out; none: nobody is.
	VersionSkew *VersionSkewConfig `json:"stragglers,omitempty"`
	// SubsetReaders is how many readers, with their writers, a dispatcher keeps to at the least; 0: to all replicas.
	SubsetReaders int `json:"subset_readers,omitempty"`
	// Budgets are what all may do together; none: each dispatcher goes by the settings' count of dispatchers.
	Budgets *Budgets `json:"budgets,omitempty"`

	key   []byte
	addrs map[string]string // by name
	probe time.Duration
	term  time.Duration
}

// IdempotencyConfig says how long, and how many, the fleet's keepers remember; the same at all.
type IdempotencyConfig struct {
	KeepS   float64 `json:"keep_s"`
	Entries int     `json:"entries"`
}

// Keep is how long a filing is remembered.
func (f *IdempotencyConfig) Keep() time.Duration {
	return time.Duration(f.KeepS * float64(time.Second))
}

// Peer is one name that may be in the fleet, and the address at which others reach it.
type Peer struct {
	Name    string `json:"name"`
	Address string `json:"address"`
}

const (
	defaultProbe = 250 * time.Millisecond
	maxMembers   = 4096 // names on the file's list; what grows with them grows by need
	maxName      = 64
)

// Load reads and checks an operator's file for the process of that name.
func Load(path, name string) (*Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	c, err := Parse(text, name)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return c, nil
}

// Parse reads a file strictly: unknown keys and whatever cannot work are refused.
func Parse(text []byte, name string) (*Config, error) {
	var c Config
	if err := cli.Strict(text, &c); err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	key, err := hex.DecodeString(c.Key)
	if err != nil {
		return nil, errors.New("fleet: key is not in hex")
	}
	switch {
	case c.Fleet == "" || len(c.Fleet) > maxName:
		return nil, fmt.Errorf("fleet: the fleet's name has %d bytes, not from 1 to %d", len(c.Fleet), maxName)
	case len(key) != 16 && len(key) != 24 && len(key) != 32:
		return nil, fmt.Errorf("fleet: key has %d bytes, not 16, 24 or 32", len(key))
	case c.ProbeMS != 0 && (c.ProbeMS < 50 || c.ProbeMS > 10_000):
		return nil, fmt.Errorf("fleet: probe_ms %d is not from 50 to 10000", c.ProbeMS)
	case c.TermMS != 0 && (c.TermMS < 300 || c.TermMS > 60_000):
		return nil, fmt.Errorf("fleet: term_ms %d is not from 300 to 60000", c.TermMS)
	case len(c.Voters) != 0 && len(c.Voters) != 1 && len(c.Voters) != 3 && len(c.Voters) != 5:
		return nil, fmt.Errorf("fleet: %d voters, not 1, 3 or 5", len(c.Voters))
	case len(c.Members) > maxMembers:
		return nil, fmt.Errorf("fleet: %d members, at most %d", len(c.Members), maxMembers)
	}
	if c.term = time.Duration(c.TermMS) * time.Millisecond; c.term == 0 {
		c.term = defaultTerm
	}
	c.key, c.probe = key, time.Duration(c.ProbeMS)*time.Millisecond
	if c.probe == 0 {
		c.probe = defaultProbe
	}
	addrs := map[string]bool{}
	c.addrs = map[string]string{}
	for i, m := range c.Members {
		if m.Name == "" || len(m.Name) > maxName {
			return nil, fmt.Errorf("fleet: member %d: its name has %d bytes, not from 1 to %d", i, len(m.Name), maxName)
		}
		if c.addrs[m.Name] != "" || addrs[m.Address] {
			return nil, fmt.Errorf("fleet: member %q: its name or address %s stands twice", m.Name, m.Address)
		}
		c.addrs[m.Name], addrs[m.Address] = m.Address, true
		if err := private(m.Address); err != nil {
			return nil, fmt.Errorf("fleet: member %q: %w", m.Name, err)
		}
		if m.Name == name && c.Listen == "" {
			c.Listen = m.Address
		}
	}
	if c.addrs[name] == "" {
		return nil, fmt.Errorf("fleet: this process's name %q is not on the list of members", name)
	}
	for i, v := range c.Voters {
		if c.addrs[v] == "" || slices.Contains(c.Voters[:i], v) {
			return nil, fmt.Errorf("fleet: voter %q is no member, or stands twice", v)
		}
	}
	if err := private(c.Listen); err != nil {
		return nil, fmt.Errorf("fleet: listen: %w", err)
	}
	if f := c.Idempotency; f != nil {
		if !(f.KeepS >= 1 && f.KeepS < 1e7) || f.Entries < 1 || f.Entries > 1e6 {
			return nil, errors.New("fleet: filings: keep_s is not from 1 to 10000000, or entries not from 1 to 1000000")
		}
		if len(c.Voters) == 0 {
			return nil, errors.New("fleet: filings: there are no voters to keep them")
		}
	}
	if c.VersionSkew != nil {
		if err := c.VersionSkew.Limits().Validate(); err != nil {
			return nil, fmt.Errorf("fleet: stragglers: %w", err)
		}
	}
	if c.SubsetReaders != 0 {
		if err := c.Subset().Validate(); err != nil {
			return nil, fmt.Errorf("fleet: subset_readers: %w", err)
		}
	}
	if b := c.Budgets; b != nil {
		if err := c.limits().Validate(); err != nil {
			return nil, fmt.Errorf("fleet: budgets: %w", err)
		}
		if b.Floor < 1 && len(c.Voters) == 0 {
			return nil, errors.New("fleet: budgets: there are no voters to lend what is over the floor")
		}
		if !(min(b.PollsPerReplica, b.RetriesPerRequest, b.RetriesPerSecond) >= 0 && max(b.PollsPerReplica, b.RetriesPerRequest, b.RetriesPerSecond) <= 1e6) {
			return nil, errors.New("fleet: budgets: a limit is not from 0 to 1000000")
		}
	}
	return &c, nil
}

// Subset is how small the part of the replicas may be that a dispatcher keeps to.
func (c *Config) Subset() subset.Limits { return subset.Limits{MinPrefillReplicas: c.SubsetReaders} }

// IsVoter tells whether the member of that name is a voter.
func (c *Config) IsVoter(name string) bool { return slices.Contains(c.Voters, name) }

// Secret is what hashes are keyed with: the same at all members, and no other fleet's.
func (c *Config) Secret() []byte { return c.key }

// private refuses addresses that are not of a machine's or a site's own network.
func private(addr string) error {
	a, err := netip.ParseAddrPort(addr)
	switch {
	case err != nil:
		return fmt.Errorf("%q is no address with a port", addr)
	case a.Port() == 0:
		return fmt.Errorf("%s has no port", addr)
	case !a.Addr().IsLoopback() && !a.Addr().IsPrivate():
		return fmt.Errorf("%s is no loopback or private address", addr)
	}
	return nil
}

// address is where others reach a name; none for one that is not on the list.
func (c *Config) address(name string) string { return c.addrs[name] }

// names are all that may be in the fleet.
func (c *Config) names() []string {
	out := make([]string, len(c.Members))
	for i, m := range c.Members {
		out[i] = m.Name
	}
	return out
}
