package config

import (
	"errors"

	"rampspread/routing"
)

// Classes holds the table of the router's classes and the names by which clients may select a class. The table only
// grows: an open request keeps the index of its class, and the rules at that index must not change. A Classes value is
// immutable.
type Classes struct {
	Config      routing.Config // for the router; has every class that has been in force since the start
	IndexByName map[string]int // index into Config.Classes of each name that clients may use now
	classNames  []string       // name of each class in Config.Classes
	hasZones    bool           // whether the deployment has zones
}

// ClassTable returns the table with which the process starts.
func (s *Settings) ClassTable() (Classes, error) {
	cfg, err := s.Router()
	if err != nil {
		return Classes{}, err
	}
	t := Classes{Config: cfg, IndexByName: map[string]int{}, hasZones: len(s.Zones) > 0}
	for i, c := range s.Classes {
		t.classNames = append(t.classNames, c.Name)
		if _, ok := t.IndexByName[c.Name]; !ok {
			t.IndexByName[c.Name] = i
		}
	}
	return t, nil
}

// Reconfigure returns the table under new settings, which must have passed Validate. A class whose name and rules are
// unchanged keeps its index. A new class, and a class whose rules changed, is added at the end. Clients can no longer
// name a class that is not in the new settings. The rest of the router's configuration comes from the new settings.
func (t Classes) Reconfigure(next *Settings) (Classes, error) {
	if t.hasZones && len(next.Zones) == 0 {
		// A file that lacks this key may lack others too.
		return t, errors.New("settings: zones are missing, but the deployment has zones")
	}
	cfg, err := next.Router()
	if err != nil {
		return t, err
	}
	out := Classes{Config: cfg, IndexByName: map[string]int{}, classNames: append([]string(nil), t.classNames...), hasZones: t.hasZones}
	out.Config.Classes = append([]routing.Class(nil), t.Config.Classes...)
	for i, class := range cfg.Classes {
		name := next.Classes[i].Name
		index := out.indexOf(name, class)
		if index < 0 {
			index = len(out.Config.Classes)
			out.Config.Classes = append(out.Config.Classes, class)
			out.classNames = append(out.classNames, name)
		}
		out.IndexByName[name] = index
	}
	return out, nil
}

// indexOf returns the last index of a class with the given name and rules, or -1 if there is none.
func (t Classes) indexOf(name string, class routing.Class) int {
	for i := len(t.Config.Classes) - 1; i >= 0; i-- {
		if t.classNames[i] == name && t.Config.Classes[i] == class {
			return i
		}
	}
	return -1
}
