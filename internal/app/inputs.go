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

// inputs is what a dispatcher is started with: the content of its files, read and checked.
type inputs struct {
	config   *config.Config
	chat     *chatapi.Config // nil: no chat front
	fleet    *fleet.Config   // nil: not a member of a fleet
	stateDir string          // none: nothing outlives the process
}

// identity is the owner of the dispatcher's stored state.
func (in inputs) identity() state.Identity {
	owner := state.Identity{Name: in.config.Name}
	if in.fleet != nil {
		owner.Fleet = in.fleet.Fleet
	}
	return owner
}

// inputFiles are the paths that the command line names.
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

// envOverrides maps variables to the fields of the configuration that they override.
type envOverrides map[string]func(*config.Config) *string

// loadConfig reads the configuration that the process starts with; the environment takes precedence over the file.
func loadConfig(path string) (*config.Config, error) {
	return readConfig(path, envOverrides{
		"LB_NAME":      func(c *config.Config) *string { return &c.Name },
		"LB_LISTEN":    func(c *config.Config) *string { return &c.Listen },
		"LB_DISCOVERY": func(c *config.Config) *string { return &c.Discovery },
		"LB_OPS":       func(c *config.Config) *string { return &c.Admin },
	})
}

// readConfig reads and checks a configuration file. Variables of overrides that are set take precedence over the file.
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

// loadChat reads the chat front's file; without a path there is no such front, and the result is nil.
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
