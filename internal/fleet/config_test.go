package fleet

import (
	"strings"
	"testing"
	"time"
)

func TestConfigWithInvalidValuesIsRejected(t *testing.T) {
	good := configJSON("f", testKey, 0, 1, 2)
	parsed, err := Parse([]byte(good), "n1")
	if err != nil || parsed.Listen != memberAddress(1) || parsed.probeInterval != 100*time.Millisecond {
		t.Fatalf("%+v, %v", parsed, err)
	}
	for _, c := range []struct{ name, old, replacement string }{
		{"unknown key", `"fleet"`, `"flee"`},
		{"empty fleet name", `"fleet":"f"`, `"fleet":""`},
		{"key of 17 bytes", testKey, testKey + "00"},
		{"key not in hex", testKey, "xyz"},
		{"duplicate member name", `"n0"`, `"n2"`},
		{"empty member name", `"n0"`, `""`},
		{"duplicate address", memberAddress(0), memberAddress(1)},
		{"public address", memberAddress(0), "8.8.8.8:7946"},
		{"unspecified address", memberAddress(0), "0.0.0.0:7946"},
		{"host name as address", memberAddress(0), "host:7946"},
		{"address without a port", memberAddress(0), "127.0.0.1:0"},
		{"this process not a member", `"n1"`, `"other"`},
		{"probe interval too short", `"probe_ms":100`, `"probe_ms":1`},
		{"lease term too short", `"probe_ms":100`, `"term_ms":1`},
		{"two voters", `"probe_ms":100`, `"voters":["n0","n1"]`},
		{"voter not a member", `"probe_ms":100`, `"voters":["n9"]`},
		{"duplicate voter", `"probe_ms":100`, `"voters":["n0","n0","n1"]`},
		{"unspecified listen address", `"probe_ms":100`, `"listen":"[::]:1"`},
		{"second document", `]}`, `]} {}`},
		{"truncated", `]}`, `]`},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := Parse([]byte(strings.Replace(good, c.old, c.replacement, 1)), "n1")
			if err == nil || strings.Contains(err.Error(), "\n") {
				t.Errorf("%s in place of %s: got error %v, want one of one line", c.replacement, c.old, err)
			}
		})
	}
}

// configWithKeys returns a configuration with additional keys.
func configWithKeys(keys string) string {
	return strings.Replace(configJSON("f", testKey, 0, 1, 2), `"probe_ms":100`, `"probe_ms":100,`+keys, 1)
}

func TestConfigWithInvalidBudgetsIsRejected(t *testing.T) {
	for _, c := range []struct{ name, keys string }{
		{"negative floor", `"voters":["n0"],"budgets":{"floor":-1}`},
		{"floor over 1", `"voters":["n0"],"budgets":{"floor":1.1}`},
		{"floor under 1 without voters", `"budgets":{"floor":0.5}`},
		{"negative limit", `"voters":["n0"],"budgets":{"floor":0.5,"repeats_s":-1}`},
		{"unknown key", `"voters":["n0"],"budgets":{"floors":0.5}`},
		{"limit too high", `"voters":["n0"],"budgets":{"floor":0.5,"probes_per_replica_s":1e9}`},
	} {
		t.Run(c.name, func(t *testing.T) {
			if _, err := Parse([]byte(configWithKeys(c.keys)), "n1"); err == nil || strings.Contains(err.Error(), "\n") {
				t.Errorf("%s: got error %v, want one of one line", c.keys, err)
			}
		})
	}
}

// The minimum fraction is the floor divided by the number of members, and 0 without budgets.
func TestMinFractionIsAnEvenPartOfTheFloor(t *testing.T) {
	c, err := Parse([]byte(configWithKeys(`"budgets":{"floor":1}`)), "n1")
	if err != nil || c.MinFraction() != 1.0/3 {
		t.Errorf("config %v, error %v, want a minimum of 1/3", c, err)
	}
	if c, _ := Parse([]byte(configWithKeys(`"voters":["n0"]`)), "n1"); c.MinFraction() != 0 {
		t.Error("the minimum fraction is not 0 without budgets")
	}
}
