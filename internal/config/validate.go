package config

import (
	"errors"
	"fmt"
)

// Validate checks the settings of a reload before any of them is applied: a malformed or truncated file must not leave
// a dispatcher with half of its rules. Each class must have a unique name, and a deadline and a latency objective over
// 0. The number of attempts must be over 0. There must be kinds, and a role for each of them. A start requires less of
// the values; Config.Validate checks that. That no key is missing is checked by ParseConfig, before both.
func (s *Settings) Validate() error {
	if err := s.validateClasses(); err != nil {
		return err
	}
	if s.Limits.MaxAttempts <= 0 {
		return errors.New("settings: limits: mostTries must be over 0")
	}
	if len(s.Kinds) == 0 || len(s.Kinds) != len(s.ModelFamily.RoleByKind) {
		return errors.New("settings: kinds must not be empty, and dutyByKind must have an entry for each kind")
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
			return fmt.Errorf("settings: class %d has no name, or the name of an earlier class", i)
		case !(c.DeadlineMs > 0) || !(c.TTFTObjectiveMs > 0): // this form also rejects NaN
			return fmt.Errorf("settings: class %q: hardLimitMs and promiseMs must be over 0", c.Name)
		}
		seen[c.Name] = true
	}
	return nil
}
