package app

// The files that a dispatcher starts with.

import (
	"errors"
	"fmt"
	"os"

	"rampspread/internal/chatapi"
	"rampspread/internal/config"
)

// load reads the configuration that the program starts with; the environment's words stand above the file's.
func load(path string) (*config.Config, error) {
	return read(path, map[string]func(*config.Config) *string{
		"LB_NAME":      func(c *config.Config) *string { return &c.Name },
		"LB_LISTEN":    func(c *config.Config) *string { return &c.Listen },
		"LB_DISCOVERY": func(c *config.Config) *string { return &c.Discovery },
		"LB_OPS":       func(c *config.Config) *string { return &c.Admin },
	})
}

// read reads and checks a configuration. The words that env names take the place of the file's.
func read(path string, env map[string]func(*config.Config) *string) (*config.Config, error) {
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
	for name, field := range env {
		if v := os.Getenv(name); v != "" {
			*field(cfg) = v
		}
	}
	if err := cfg.Validate(); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return cfg, nil
}

// loadChat reads the chat front's file; no path means that there is no such front.
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
