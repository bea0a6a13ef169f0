package chatapi

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"slices"
	"time"

	"rampspread/internal/config"
)

// Config is the chat front's own file, such as deploy/chat.json.
type Config struct {
	Listen string `json:"Listen"`
	// Models maps the model that a client names to a class of the settings; "*" to "*" offers each class under its own name.
	Models map[string]string `json:"Models"`
	// MaxTokens is asked for where a client names no limit.
	MaxTokens int `json:"max_tokens"`
	// Idempotency bounds the table of idempotency keys.
	Idempotency struct {
		Entries int     `json:"Entries"`
		KeepS   float64 `json:"keep_s"`
	} `json:"Filings"`
}

// all, as a model and as its class, stands for each class of the settings.
const all = "*"

// ParseConfig decodes and checks the file's text against the settings.
func ParseConfig(text []byte, settings *config.Settings) (*Config, error) {
	var c Config
	if err := json.Unmarshal(text, &c); err != nil {
		return nil, fmt.Errorf("chat: %w", err)
	}
	if _, _, err := net.SplitHostPort(c.Listen); err != nil {
		return nil, fmt.Errorf("chat: listen: %w", err)
	}
	if len(c.Models) == 0 {
		return nil, errors.New("chat: no models")
	}
	if c.Models[all] == all {
		delete(c.Models, all)
		for _, class := range settings.Classes {
			if _, ok := c.Models[class.Name]; !ok {
				c.Models[class.Name] = class.Name
			}
		}
	}
	for model, class := range c.Models {
		if classIndex(settings, class) < 0 {
			return nil, fmt.Errorf("chat: model %q: no class %q", model, class)
		}
	}
	if c.MaxTokens <= 0 || c.Idempotency.Entries <= 0 || !(c.Idempotency.KeepS > 0 && c.Idempotency.KeepS < 1e7) {
		return nil, errors.New("chat: max_tokens, filings.entries and filings.keep_s must be over 0")
	}
	return &c, nil
}

// Retention is how long a filing is remembered.
func (c *Config) Retention() time.Duration {
	return time.Duration(c.Idempotency.KeepS * float64(time.Second))
}

func classIndex(s *config.Settings, name string) int {
	for i, c := range s.Classes {
		if c.Name == name {
			return i
		}
	}
	return -1
}

// modelNames are the models in order, for the list of models.
func (c *Config) modelNames() []string {
	names := make([]string, 0, len(c.Models))
	for name := range c.Models {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
