package app

import (
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"rampspread/internal/chatapi"
	"rampspread/internal/config"
	"rampspread/internal/fleet"
	"rampspread/internal/state"
)

// inputs holds the content of the files that a dispatcher is started with, read and checked.
type inputs struct {
	config   *config.Config
	chat     *chatapi.Config // nil without a chat frontend
	fleet    *fleet.Config   // nil if the dispatcher is not a member of a fleet
	stateDir string          // empty if no state outlives the process
}

// identity returns the owner of the dispatcher's stored state.
func (in inputs) identity() state.Identity {
	owner := state.Identity{Name: in.config.Name}
	if in.fleet != nil {
		owner.Fleet = in.fleet.Fleet
	}
	return owner
}

// inputFiles holds the paths that are given on the command line.
type inputFiles struct{ config, chat, fleet, stateDir string }

func (f *inputFiles) addFlags(c *cobra.Command) {
	c.Flags().StringVar(&f.config, "config", os.Getenv("LB_CONFIG"), "the configuration `file`")
	c.Flags().StringVar(&f.chat, "chat", "", "the chat front's `file`, such as deploy/chat.json; none: no chat front")
	c.Flags().StringVar(&f.stateDir, "state", "",
		"the `folder` of what must outlive the process, made by state init; none: nothing does")
	c.Flags().StringVar(&f.fleet, "fleet", "",
		"the fleet's `file`, such as deploy/fleet.json; none: the program knows of no others")
}

// load reads and checks all files.
func (f *inputFiles) load() (in inputs, err error) {
	if in.config, err = loadConfig(f.config); err != nil {
		return in, err
	}
	if in.chat, err = loadChat(f.chat, &in.config.Settings); err != nil {
		return in, err
	}
	if f.fleet != "" {
		if in.fleet, err = fleet.Load(f.fleet, in.config.Name); err != nil {
			return in, err
		}
	}
	in.stateDir = f.stateDir
	storesIdempotency := in.fleet != nil && in.fleet.Idempotency != nil && in.fleet.IsVoter(in.config.Name)
	if storesIdempotency && in.stateDir == "" {
		return in, fmt.Errorf("%s: filings: %s is one that keeps them and has no -state", f.fleet, in.config.Name)
	}
	return in, nil
}

// envOverrides maps environment variables to the configuration fields that they override.
type envOverrides map[string]func(*config.Config) *string

// loadConfig reads the configuration for a start. Environment variables take precedence over the file.
func loadConfig(path string) (*config.Config, error) {
	return readConfig(path, envOverrides{
		"LB_NAME":      func(c *config.Config) *string { return &c.Name },
		"LB_LISTEN":    func(c *config.Config) *string { return &c.Listen },
		"LB_DISCOVERY": func(c *config.Config) *string { return &c.Discovery },
		"LB_OPS":       func(c *config.Config) *string { return &c.Admin },
	})
}

// readConfig reads and checks a configuration file. The environment variables in overrides take precedence over the
// file if they are set.
func readConfig(path string, overrides envOverrides) (*config.Config, error) {
	if path == "" {
		return nil, errors.New("no configuration: set LB_CONFIG or -config")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("config: %w", err)
	}
	cfg, err := config.ParseConfig(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	for name, field := range overrides {
		if value := os.Getenv(name); value != "" {
			*field(cfg) = value
		}
	}
	if err := cfg.Validate(); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return cfg, nil
}

// loadChat reads the chat frontend's file. Without a path there is no chat frontend, and the result is nil.
func loadChat(path string, settings *config.Settings) (*chatapi.Config, error) {
	if path == "" {
		return nil, nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("chat: %w", err)
	}
	cfg, err := chatapi.ParseConfig(text, settings)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return cfg, nil
}
