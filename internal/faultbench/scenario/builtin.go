package scenario

import (
	"embed"
	"fmt"
	"io/fs"
	"os"
	"path"
)

//go:embed scenarios/*.json
var builtin embed.FS

// All returns the built-in scenarios, sorted by name.
func All() ([]*Scenario, error) {
	names, err := fs.Glob(builtin, "scenarios/*.json")
	if err != nil {
		return nil, fmt.Errorf("scenarios: %w", err)
	}
	var out []*Scenario
	for _, name := range names {
		text, err := builtin.ReadFile(name)
		if err != nil {
			return nil, fmt.Errorf("scenarios: %w", err)
		}
		s, err := Parse(text)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
		if s.Name+".json" != path.Base(name) {
			return nil, fmt.Errorf("%s: its name is %q", name, s.Name)
		}
		out = append(out, s)
	}
	return out, nil
}

// Load returns the built-in scenario with a name, or else reads a scenario from the file with that path.
func Load(name string) (*Scenario, error) {
	all, err := All()
	if err != nil {
		return nil, err
	}
	for _, s := range all {
		if s.Name == name {
			return s, nil
		}
	}
	text, err := os.ReadFile(name)
	if err != nil {
		return nil, fmt.Errorf("scenario %q is not built in (see fleetrig list) and no file: %w", name, err)
	}
	return Parse(text)
}
