package config

import (
	"errors"

	"rampspread/routing"
)

// Classes is the table of the router's classes, and which of them clients may name. The router's list only grows: an
// open request keeps the index of its class, and that index keeps its rules. A Classes is immutable.
type Classes struct {
	Config     routing.Config // for the router, with every class that was in force since the start
	Names      map[string]int // the classes that clients may name now, by their index in Config
	classNames []string       // the name of each of Config's classes
	hasZones   bool           // the deployment has zones
}

// ClassTable is the table at the start.
func (s *Settings) ClassTable() (Classes, error) {
	cfg, err := s.Router()
	if err != nil {
		return Classes{}, err
	}
	t := Classes{Config: cfg, Names: map[string]int{}, hasZones: len(s.Zones) > 0}
	for i, c := range s.Classes {
		t.classNames = append(t.classNames, c.Name)
		if _, ok := t.Names[c.Name]; !ok {
			t.Names[c.Name] = i
		}
	}
	return t, nil
}

// Reconfigure is the table under new settings, which must have passed Validate. A class whose name and rules are as
// before keeps its index; a new one, or one whose rules changed, is added at the end; one that is gone can no longer be
// named. All else of the router's configuration is the new settings'.
func (t Classes) Reconfigure(next *Settings) (Classes, error) {
	if t.hasZones && len(next.Zones) == 0 {
		return t, errors.New("settings: needs the deployment's zones") // the file lacks a key, and so may lack others
	}
	cfg, err := next.Router()
	if err != nil {
		return t, err
	}
	out := Classes{Config: cfg, Names: map[string]int{}, classNames: append([]string(nil), t.classNames...), hasZones: t.hasZones}
	out.Config.Classes = append([]routing.Class(nil), t.Config.Classes...)
	for i, class := range cfg.Classes {
		name := next.Classes[i].Name
		index := out.indexOf(name, class)
		if index < 0 {
			index = len(out.Config.Classes)
			out.Config.Classes = append(out.Config.Classes, class)
			out.classNames = append(out.classNames, name)
		}
		out.Names[name] = index
	}
	return out, nil
}

// indexOf returns the last index of a class with a name and rules, -1 if there is none.
func (t Classes) indexOf(name string, class routing.Class) int {
	for i := len(t.Config.Classes) - 1; i >= 0; i-- {
		if t.classNames[i] == name && t.Config.Classes[i] == class {
			return i
		}
	}
	return -1
}
