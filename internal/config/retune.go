package config

import (
	"errors"
	"fmt"

	"rampspread/routing"
)

// Validate is the test that settings which come by a reload must pass before any of them is taken: a broken or
// cut file must not leave a dispatcher with half of its rules. Each class has a name of its own, a deadline and
// an aim over 0; attempts are over 0; kinds, their duties and zones are there.
func (s *Settings) Validate() error {
	if len(s.Classes) == 0 {
		return errors.New("settings: no classes")
	}
	seen := map[string]bool{}
	for i, c := range s.Classes {
		switch {
		case c.Name == "" || seen[c.Name]:
			return fmt.Errorf("settings: class %d: no name, or one that another has", i)
		case !(c.HardLimitMs > 0) || !(c.PromiseMs > 0):
			return fmt.Errorf("settings: class %q: deadline and aim must be over 0", c.Name)
		}
		seen[c.Name] = true
	}
	if s.Limits.MostTries <= 0 {
		return errors.New("settings: limits: mostTries must be over 0")
	}
	if len(s.Kinds) == 0 || len(s.Kinds) != len(s.FamilyInfo.DutyByKind) {
		return errors.New("settings: needs kinds, and a duty for each kind")
	}
	router, err := s.Router()
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	if err := router.Validate(); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	return nil
}

// Classes is what the module knows as classes, and which of them clients may name. The module's list only
// grows: an open request keeps the number of its class, and that number keeps its rules.
type Classes struct {
	Config routing.Config // for the module, with every class that was in force since the start
	Names  map[string]int // the classes that clients may name now, by their numbers in Config
	names  []string       // the name of each of Config's classes
	zoned  bool           // the deployment has zones
}

// ClassTable is the table at the start.
func (s *Settings) ClassTable() (Classes, error) {
	cfg, err := s.Router()
	if err != nil {
		return Classes{}, err
	}
	t := Classes{Config: cfg, Names: map[string]int{}, zoned: len(s.Zones) > 0}
	for i, c := range s.Classes {
		t.names = append(t.names, c.Name)
		if _, ok := t.Names[c.Name]; !ok {
			t.Names[c.Name] = i
		}
	}
	return t, nil
}

// Reconfigure is the table under new settings. A class whose name and rules are as before keeps its number; a new
// one, or one whose rules changed, is added at the end; one that is gone can no longer be named. All else of
// the module's configuration is the new settings'. next must have passed Check.
func (t Classes) Reconfigure(next *Settings) (Classes, error) {
	if t.zoned && len(next.Zones) == 0 {
		return t, errors.New("settings: needs the deployment's zones") // it lacks a key, and so may lack others
	}
	cfg, err := next.Router()
	if err != nil {
		return t, err
	}
	out := Classes{Config: cfg, Names: map[string]int{}, names: append([]string(nil), t.names...), zoned: t.zoned}
	out.Config.Classes = append([]routing.Class(nil), t.Config.Classes...)
	for i, c := range cfg.Classes {
		name, number := next.Classes[i].Name, -1
		for j, old := range out.Config.Classes {
			if out.names[j] == name && old == c {
				number = j
			}
		}
		if number < 0 {
			number = len(out.Config.Classes)
			out.Config.Classes = append(out.Config.Classes, c)
			out.names = append(out.names, name)
		}
		out.Names[name] = number
	}
	return out, nil
}
