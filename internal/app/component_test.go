package app

import (
	"errors"
	"slices"
	"testing"
)

// Components start in order, and the started components stop in the reverse order. A component that failed to start is
// not stopped.
func TestComponentsStopInReverseOfStart(t *testing.T) {
	errStart := errors.New("start")
	for name, c := range map[string]struct {
		failing string
		want    []string
	}{
		"all start":      {"", []string{"+a", "+b", "+c", "-c", "-b", "-a"}},
		"last one fails": {"c", []string{"+a", "+b", "+c", "-b", "-a"}},
		"first fails":    {"a", []string{"+a"}},
	} {
		t.Run(name, func(t *testing.T) {
			var calls []string
			newComponent := func(name string) component {
				return component{name, func() error {
					calls = append(calls, "+"+name)
					if name == c.failing {
						return errStart
					}
					return nil
				}, func() { calls = append(calls, "-"+name) }}
			}
			nothing := component{name: "nothing to start or stop"}
			started, err := startAll([]component{newComponent("a"), nothing, newComponent("b"), newComponent("c")})
			if failed := errors.Is(err, errStart); failed != (c.failing != "") {
				t.Errorf("error %v", err)
			}
			stopAll(started)
			if !slices.Equal(calls, c.want) {
				t.Errorf("calls %v, want %v", calls, c.want)
			}
		})
	}
}
