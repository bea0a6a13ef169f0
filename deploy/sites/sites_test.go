// Package sites holds variants of deployments on which the program is tested. The operators' kit provides the
// deployments: a site file each, and the files real.json, wire.json and unlock.txt beside it. A variant is a file with
// the values in which it differs from a site file.
package sites

import (
	"bytes"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

const site = `name = "one"
wire = "wire.json"

[net]
zones = ["a", "b"]

[rules]
grace_ms = 500

[[class]]
name = "first"
worth = 1

[[class]]
name = "second"
worth = 2

[[tier.kind]]
name = "k"
`

// runLayScript runs lay.sh with the values on a temporary kit that consists of the named files. It returns the site
// file that the script made, its standard error, and whether it succeeded.
func runLayScript(t *testing.T, values string, kitFiles ...string) (result, stderr string, ok bool) {
	t.Helper()
	dir, temp := t.TempDir(), t.TempDir()
	for _, name := range kitFiles {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(site), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	path := filepath.Join(t.TempDir(), "mine.values")
	if err := os.WriteFile(path, []byte(values), 0o600); err != nil {
		t.Fatal(err)
	}
	var out, errs bytes.Buffer
	c := exec.Command("bash", "lay.sh", path, filepath.Join(dir, "site.toml"))
	c.Env, c.Stdout, c.Stderr = append(os.Environ(), "TMPDIR="+temp), &out, &errs
	err := c.Run()
	if err != nil {
		remaining, _ := os.ReadDir(temp)
		if out.Len() > 0 || strings.Count(errs.String(), "\n") != 1 || len(remaining) > 0 {
			t.Errorf("%q: standard output %q, standard error %q, files that remain: %v", values, out.String(), errs.String(), remaining)
		}
		return "", errs.String(), false
	}
	text, err := os.ReadFile(strings.TrimSpace(out.String()))
	if err != nil {
		t.Fatal(err)
	}
	for _, file := range []string{"real.json", "wire.json", "unlock.txt"} {
		if _, err := os.Stat(filepath.Join(filepath.Dir(strings.TrimSpace(out.String())), file)); err != nil {
			t.Error(err)
		}
	}
	return string(text), errs.String(), true
}

var kit = []string{"site.toml", "real.json", "wire.json", "unlock.txt"}

func TestLaysValuesOverASite(t *testing.T) {
	result, stderr, ok := runLayScript(t, "# words\ntop name = \"mine\"\nrules  grace_ms = 20\nclass.2 name = \"other = name\"\nclass.1 -\ntier.kind.1 name = \"z\"\n", kit...)
	want := strings.NewReplacer(`"one"`, `"mine"`, "500", "20", `"second"`, `"other = name"`, `"k"`, `"z"`, "[[class]]\nname = \"first\"\nworth = 1\n\n", "").Replace(site)
	if !ok || result != want || stderr != "" {
		t.Errorf("made %q, standard error %q", result, stderr)
	}
}

func TestStopsWithOneLine(t *testing.T) {
	for values, want := range map[string]string{
		"class.3 name = \"x\"\n":              "nothing to replace: class.3 name",
		"class.1 colour = \"x\"\n":            "nothing to replace: class.1 colour",
		"class.4 -\n":                         "nothing to replace: class.4 -",
		"rules grace_ms\n":                    "no value",
		"top name = 1\ntop name = 2\n":        "twice",
		"class.1 -\nclass.1 name = \"x\"\n":   "nothing to replace: class.1 name",
		"net zones = [\"c\"]\nnets x = [0]\n": "nothing to replace: nets x",
	} {
		if _, stderr, ok := runLayScript(t, values, kit...); ok || !strings.Contains(stderr, want) {
			t.Errorf("%q: %q", values, stderr)
		}
	}
	for i, missing := range kit {
		without := append(append([]string{}, kit[:i]...), kit[i+1:]...)
		if _, stderr, ok := runLayScript(t, "top name = \"mine\"\n", without...); ok || !strings.Contains(stderr, missing+": the kit is missing") {
			t.Errorf("without %s: %q", missing, stderr)
		}
	}
}
