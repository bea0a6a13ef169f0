// Package config holds the configuration of a dispatcher and the settings of its deployment: their types, how they are
// read and checked, and their translation into the router's configuration. The keys of these files are defined here
// only. Values do not change after they have been read, so goroutines may share them.
package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"strconv"
)

// Config is the content of one dispatcher's configuration file.
type Config struct {
	Name             string          `json:"Name"`
	Listen           string          `json:"Listen"`
	Discovery        string          `json:"Discovery"`
	Admin            string          `json:"Ops"` // address for operators' calls; if empty, they are not served
	Seed             string          `json:"Seed"`
	Limits           ResourceLimits  `json:"Limits"`
	InitialEndpoints json.RawMessage `json:"Known"` // endpoint list at the start, in discovery's format
	Settings         Settings        `json:"Settings"`

	absentKeys []string // paths of the keys outside the settings that the file lacks; see RequireKeysOf
}

// ResourceLimits holds the resources that the platform lets the process use. A value of 0 selects the default.
type ResourceLimits struct {
	Cores    float64 `json:"Cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"Sockets"`
}

// ParseConfig decodes a dispatcher's configuration. It returns an error if the settings lack a key; see
// Settings.RequireKeys. It does not check the values; see Validate.
func ParseConfig(text []byte) (*Config, error) {
	var c Config
	if err := json.Unmarshal(text, &c); err != nil {
		return nil, fmt.Errorf("config: %w", err)
	}
	if err := c.checkKeys(text); err != nil {
		return nil, fmt.Errorf("config: %w", err)
	}
	return &c, nil
}

// Validate returns an error if a dispatcher cannot serve with the configuration: a required address is missing, or an
// address, the seed or the settings are invalid.
func (c *Config) Validate() error {
	for name, addr := range map[string]string{"listen": c.Listen, "discovery": c.Discovery} {
		if _, _, err := net.SplitHostPort(addr); err != nil {
			return fmt.Errorf("config: %s: %w", name, err)
		}
	}
	if c.Admin != "" {
		if _, _, err := net.SplitHostPort(c.Admin); err != nil {
			return fmt.Errorf("config: ops: %w", err)
		}
	}
	if _, err := c.SeedNumber(); err != nil {
		return err
	}
	router, err := c.Settings.Router()
	if err != nil {
		return fmt.Errorf("config: settings: %w", err)
	}
	if err := router.Validate(); err != nil {
		return fmt.Errorf("config: settings: %w", err)
	}
	if len(c.Settings.Kinds) != len(c.Settings.ModelFamily.RoleByKind) {
		return errors.New("config: settings: needs a duty for each kind")
	}
	return nil
}

// SeedNumber returns the seed of the random numbers, which the file holds in hexadecimal, or 0 if the file has none.
func (c *Config) SeedNumber() (uint64, error) {
	if c.Seed == "" {
		return 0, nil
	}
	n, err := strconv.ParseUint(c.Seed, 16, 64)
	if err != nil {
		return 0, fmt.Errorf("config: seed: %w", err)
	}
	return n, nil
}
