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

// Config is the content of the fleet file, which the operator writes (deploy/fleet.json). It is the same at all
// members, except for Listen.
type Config struct {
	// Fleet is the name of the deployment. Packets of another fleet are ignored.
	Fleet string `json:"fleet"`
	// Key encrypts and authenticates the members' messages (AES-GCM). It has 16, 24 or 32 bytes, in hex, and is the
	// same at all members.
	Key string `json:"key"`
	// Listen is the address at which this process receives packets (UDP) and connections (TCP), and from which it
	// sends. If it is empty, the process uses its own address in Members.
	Listen string `json:"listen"`
	// Members lists all processes that may be in the fleet, including this one.
	Members []Peer `json:"members"`
	// ProbeIntervalMS is the interval, in ms, at which a member probes whether another is reachable; 0 means
	// defaultProbeInterval. The time to detect a failure grows with it.
	ProbeIntervalMS int `json:"probe_ms"`
	// Voters lists the members that grant leases: 1, 3 or 5 of them. Without voters no tasks run.
	Voters []string `json:"voters"`
	// LeaseTermMS is the term of a lease, in ms; 0 means defaultLeaseTerm. If the holder of a task fails, another
	// member takes over the task about one term later.
	LeaseTermMS int `json:"term_ms"`
	// Idempotency makes a request with an idempotency key run only once in the whole fleet: each voter records in its
	// own store who has claimed the request. If it is nil, each dispatcher recognizes only its own requests.
	Idempotency *IdempotencyConfig `json:"filings,omitempty"`
	// Bootstrap lets a starting member receive what other members have learned about replicas and prefixes.
	Bootstrap bool `json:"beliefs,omitempty"`
	// EndpointFilter lets members stop each other from using replicas that a newer endpoint list has removed or set to
	// draining.
	EndpointFilter bool `json:"ends,omitempty"`
	// VersionSkew lets members that act on older versions than most others be restricted and fenced. If it is nil, no
	// member is restricted or fenced.
	VersionSkew *VersionSkewConfig `json:"stragglers,omitempty"`
	// MinSubsetPrefillReplicas is the minimum number of prefill replicas, with their decode replicas, that a dispatcher
	// uses; 0 means all.
	MinSubsetPrefillReplicas int `json:"subset_readers,omitempty"`
	// Budgets limits what all members may do together. If it is nil, each dispatcher uses the number of dispatchers in
	// the settings instead.
	Budgets *Budgets `json:"budgets,omitempty"`

	key           []byte
	addressByName map[string]string
	probeInterval time.Duration
	leaseTerm     time.Duration
}

// IdempotencyConfig bounds the idempotency records of the voters. It is the same at all members.
type IdempotencyConfig struct {
	RetentionS float64 `json:"keep_s"`  // retention of a record, in seconds
	Entries    int     `json:"entries"` // maximum number of records at each voter
}

// Retention returns how long an idempotency record is retained.
func (c *IdempotencyConfig) Retention() time.Duration {
	return time.Duration(c.RetentionS * float64(time.Second))
}

// Peer is the name of a process that may be in the fleet, and the address at which others reach it.
type Peer struct {
	Name    string `json:"name"`
	Address string `json:"address"`
}

const (
	defaultProbeInterval  = 250 * time.Millisecond
	minProbeIntervalMS    = 50
	maxProbeIntervalMS    = 10_000
	minLeaseTermMS        = 300
	maxLeaseTermMS        = 60_000
	maxMembers            = 4096 // a high bound costs no memory, which is allocated for the configured members only
	maxNameBytes          = 64
	minRetentionS         = 1
	maxRetentionS         = 1e7 // exclusive
	maxIdempotencyRecords = 1e6 // idempotency records at each voter
	maxBudgetLimit        = 1e6 // in the unit of each limit of Budgets
)

// Load reads and checks the fleet file at path for the process of the given name.
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

// Parse parses and checks the text of a fleet file for the process of the given name. Unknown keys and invalid values
// are errors.
func Parse(text []byte, name string) (*Config, error) {
	var c Config
	if err := cli.DecodeStrict(text, &c); err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	c.probeInterval = millisOr(c.ProbeIntervalMS, defaultProbeInterval)
	c.leaseTerm = millisOr(c.LeaseTermMS, defaultLeaseTerm)
	for _, section := range []func() error{
		c.parseKey,
		c.checkSizes,
		func() error { return c.parseMembers(name) },
		c.checkVoters,
		c.checkListen,
		c.checkIdempotency,
		c.checkVersionSkew,
		c.checkSubset,
		c.checkBudgets,
	} {
		if err := section(); err != nil {
			return nil, err
		}
	}
	return &c, nil
}

func millisOr(ms int, byDefault time.Duration) time.Duration {
	if ms == 0 {
		return byDefault
	}
	return time.Duration(ms) * time.Millisecond
}

func (c *Config) parseKey() (err error) {
	if c.key, err = hex.DecodeString(c.Key); err != nil {
		return errors.New("fleet: key is not in hex")
	}
	return nil
}

func (c *Config) checkSizes() error {
	switch {
	case c.Fleet == "" || len(c.Fleet) > maxNameBytes:
		return fmt.Errorf("fleet: the fleet's name has %d bytes, not from 1 to %d", len(c.Fleet), maxNameBytes)
	case !slices.Contains([]int{16, 24, 32}, len(c.key)):
		return fmt.Errorf("fleet: key has %d bytes, not 16, 24 or 32", len(c.key))
	case c.ProbeIntervalMS != 0 && (c.ProbeIntervalMS < minProbeIntervalMS || c.ProbeIntervalMS > maxProbeIntervalMS):
		return fmt.Errorf("fleet: probe_ms %d is not from %d to %d", c.ProbeIntervalMS, minProbeIntervalMS,
			maxProbeIntervalMS)
	case c.LeaseTermMS != 0 && (c.LeaseTermMS < minLeaseTermMS || c.LeaseTermMS > maxLeaseTermMS):
		return fmt.Errorf("fleet: term_ms %d is not from %d to %d", c.LeaseTermMS, minLeaseTermMS, maxLeaseTermMS)
	case !slices.Contains([]int{0, 1, 3, 5}, len(c.Voters)):
		return fmt.Errorf("fleet: %d voters, not 1, 3 or 5", len(c.Voters))
	case len(c.Members) > maxMembers:
		return fmt.Errorf("fleet: %d members, at most %d", len(c.Members), maxMembers)
	}
	return nil
}

// parseMembers checks the members, and sets Listen to this process's address if it is empty.
func (c *Config) parseMembers(self string) error {
	addresses := map[string]bool{}
	c.addressByName = map[string]string{}
	for i, m := range c.Members {
		if m.Name == "" || len(m.Name) > maxNameBytes {
			return fmt.Errorf("fleet: member %d: its name has %d bytes, not from 1 to %d", i, len(m.Name), maxNameBytes)
		}
		if c.addressByName[m.Name] != "" || addresses[m.Address] {
			return fmt.Errorf("fleet: member %q: its name or address %s stands twice", m.Name, m.Address)
		}
		c.addressByName[m.Name], addresses[m.Address] = m.Address, true
		if err := checkPrivate(m.Address); err != nil {
			return fmt.Errorf("fleet: member %q: %w", m.Name, err)
		}
		if m.Name == self && c.Listen == "" {
			c.Listen = m.Address
		}
	}
	if c.addressByName[self] == "" {
		return fmt.Errorf("fleet: this process's name %q is not on the list of members", self)
	}
	return nil
}

func (c *Config) checkVoters() error {
	for i, v := range c.Voters {
		if c.addressByName[v] == "" || slices.Contains(c.Voters[:i], v) {
			return fmt.Errorf("fleet: voter %q is no member, or stands twice", v)
		}
	}
	return nil
}

func (c *Config) checkListen() error {
	if err := checkPrivate(c.Listen); err != nil {
		return fmt.Errorf("fleet: listen: %w", err)
	}
	return nil
}

func (c *Config) checkIdempotency() error {
	i := c.Idempotency
	if i == nil {
		return nil
	}
	isRetentionValid := i.RetentionS >= minRetentionS && i.RetentionS < maxRetentionS // false for NaN
	if !isRetentionValid || i.Entries < 1 || i.Entries > maxIdempotencyRecords {
		return errors.New("fleet: filings: keep_s is not from 1 to 10000000, or entries not from 1 to 1000000")
	}
	if len(c.Voters) == 0 {
		return errors.New("fleet: filings: there are no voters to keep them")
	}
	return nil
}

func (c *Config) checkVersionSkew() error {
	if c.VersionSkew == nil {
		return nil
	}
	if err := c.VersionSkew.Limits().Validate(); err != nil {
		return fmt.Errorf("fleet: stragglers: %w", err)
	}
	return nil
}

func (c *Config) checkSubset() error {
	if c.MinSubsetPrefillReplicas == 0 {
		return nil
	}
	if err := c.SubsetLimits().Validate(); err != nil {
		return fmt.Errorf("fleet: subset_readers: %w", err)
	}
	return nil
}

func (c *Config) checkBudgets() error {
	b := c.Budgets
	if b == nil {
		return nil
	}
	if err := c.quotaLimits().Validate(); err != nil {
		return fmt.Errorf("fleet: budgets: %w", err)
	}
	if b.Floor < 1 && len(c.Voters) == 0 {
		return errors.New("fleet: budgets: there are no voters to lend what is over the floor")
	}
	least := min(b.PollsPerReplica, b.RetriesPerRequest, b.RetriesPerSecond)
	greatest := max(b.PollsPerReplica, b.RetriesPerRequest, b.RetriesPerSecond)
	if areValid := least >= 0 && greatest <= maxBudgetLimit; !areValid { // false for NaN
		return errors.New("fleet: budgets: a limit is not from 0 to 1000000")
	}
	return nil
}

// SubsetLimits returns the bounds of the subset of the replicas that a dispatcher uses.
func (c *Config) SubsetLimits() subset.Limits {
	return subset.Limits{MinPrefillReplicas: c.MinSubsetPrefillReplicas}
}

// IsVoter reports whether the member of the given name is a voter.
func (c *Config) IsVoter(name string) bool { return slices.Contains(c.Voters, name) }

// Secret returns the key for hashes that are the same at all members and differ from the hashes of other fleets.
func (c *Config) Secret() []byte { return c.key }

// address returns the address at which others reach the named member, or "" if the name is not configured.
func (c *Config) address(name string) string { return c.addressByName[name] }

// names returns the names of all members, in the order of the file.
func (c *Config) names() []string {
	names := make([]string, len(c.Members))
	for i, m := range c.Members {
		names[i] = m.Name
	}
	return names
}

// checkPrivate rejects addresses that are neither loopback addresses nor in a private network.
func checkPrivate(address string) error {
	a, err := netip.ParseAddrPort(address)
	switch {
	case err != nil:
		return fmt.Errorf("%q is no address with a port", address)
	case a.Port() == 0:
		return fmt.Errorf("%s has no port", address)
	case !a.Addr().IsLoopback() && !a.Addr().IsPrivate():
		return fmt.Errorf("%s is no loopback or private address", address)
	}
	return nil
}
