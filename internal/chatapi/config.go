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

// Config is the content of the chat frontend's configuration file, such as deploy/chat.json.
type Config struct {
	// Listen is the host and port to listen on.
	Listen string `json:"Listen"`
	// Models maps the names of models that clients may request to classes of the settings. The entry "*": "*" offers
	// each class as a model under the class's own name.
	Models map[string]string `json:"Models"`
	// MaxTokens is the limit of output tokens for requests that set none.
	MaxTokens int `json:"max_tokens"`
	// Idempotency limits the table of idempotency keys: Entries is the maximum number of keys, and KeepS is how many
	// seconds each key is retained.
	Idempotency struct {
		Entries int     `json:"Entries"`
		KeepS   float64 `json:"keep_s"`
	} `json:"Filings"`
}

// wildcard, used as both model and class, stands for every class of the settings.
const wildcard = "*"

const maxRetentionSeconds = 1e7

// ParseConfig decodes the contents of a configuration file and validates them against the settings.
func ParseConfig(contents []byte, settings *config.Settings) (*Config, error) {
	var c Config
	if err := json.Unmarshal(contents, &c); err != nil {
		return nil, fmt.Errorf("chat: %w", err)
	}
	if _, _, err := net.SplitHostPort(c.Listen); err != nil {
		return nil, fmt.Errorf("chat: listen: %w", err)
	}
	if len(c.Models) == 0 {
		return nil, errors.New("chat: no models")
	}
	if c.Models[wildcard] == wildcard {
		delete(c.Models, wildcard)
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
	validRetention := c.Idempotency.KeepS > 0 && c.Idempotency.KeepS < maxRetentionSeconds
	if c.MaxTokens <= 0 || c.Idempotency.Entries <= 0 || !validRetention {
		return nil, errors.New("chat: max_tokens, filings.entries and filings.keep_s must be over 0")
	}
	return &c, nil
}

// Retention returns how long an idempotency key is retained.
func (c *Config) Retention() time.Duration {
	return time.Duration(c.Idempotency.KeepS * float64(time.Second))
}

// classIndex returns the index in the settings of the class with the given name, or -1 if there is none.
func classIndex(settings *config.Settings, name string) int {
	for i, class := range settings.Classes {
		if class.Name == name {
			return i
		}
	}
	return -1
}

// modelNames returns the names of the models in alphabetical order.
func (c *Config) modelNames() []string {
	names := make([]string, 0, len(c.Models))
	for name := range c.Models {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
