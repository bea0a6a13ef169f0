package scenario

import (
	"strings"
	"testing"
)

// The built-in scenarios must parse, and an invalid scenario must give an error of one line.
func TestScenarios(t *testing.T) {
	all, err := All()
	if err != nil || len(all) < 8 {
		t.Fatalf("%d scenarios, %v", len(all), err)
	}
	good := `{"name":"x","seconds":20,"rate":9,"zones":3,"readers":3,"writers":3,"faults":[{"at":5,"do":"kill","for":3}]}`
	if _, err := Parse([]byte(good)); err != nil {
		t.Fatal(err)
	}
	for _, change := range [][2]string{
		{`"rate":9`, `"rate":0`}, {`"rate":9`, `"rate":9,"speed":1`}, {`"zones":3`, `"zones":0`}, {`"readers":3`, `"readers":0`},
		{`"name":"x"`, `"name":"../x"`}, {`"do":"kill"`, `"do":"fly"`}, {`"at":5`, `"at":25`}, {`"for":3`, `"for":16`},
		{`"do":"kill"`, `"do":"kill","part":2`}, {`"do":"kill"`, `"do":"cut-zone","zone":3`}, {`"do":"kill"`, `"do":"links"`},
		{`"do":"kill"`, `"do":"kill","links":"replicas"`}, {`"do":"kill"`, `"do":"links","links":"replicas","way":"up"`},
		{`"do":"kill"`, `"do":"replica-slow","factor":1`}, {`"seconds":20`, `"seconds":1e9`}, {`}]}`, `}]} {}`}, {`}]}`, `}]`},
	} {
		if _, err := Parse([]byte(strings.Replace(good, change[0], change[1], 1))); err == nil || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v", change[1], err)
		}
	}
}
