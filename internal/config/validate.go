package config

import (
	"errors"
	"fmt"
)

// Validate is the check that settings of a reload must pass before any of them is applied: a malformed or cut file must
// not leave a dispatcher with half of its rules. Each class has a name of its own, and a deadline and a latency
// objective over 0; attempts are over 0; kinds, and a role for each of them, are set. What a start may do without is
// checked by Config.Validate.
func (s *Settings) Validate() error {
	if err := s.validateClasses(); err != nil {
		return err
	}
	if s.Limits.MaxAttempts <= 0 {
		return errors.New("settings: limits: mostTries must be over 0")
	}
	if len(s.Kinds) == 0 || len(s.Kinds) != len(s.ModelFamily.RoleByKind) {
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

func (s *Settings) validateClasses() error {
	if len(s.Classes) == 0 {
		return errors.New("settings: no classes")
	}
	seen := map[string]bool{}
	for i, c := range s.Classes {
		switch {
		case c.Name == "" || seen[c.Name]:
			return fmt.Errorf("settings: class %d: no name, or one that another has", i)
		case !(c.DeadlineMs > 0) || !(c.TTFTObjectiveMs > 0): // NaN is not over 0 either
			return fmt.Errorf("settings: class %q: deadline and aim must be over 0", c.Name)
		}
		seen[c.Name] = true
	}
	return nil
}
