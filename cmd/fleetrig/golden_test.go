package main

import (
	"bytes"
	"fmt"
	"io"
	"path/filepath"
	"strings"
	"testing"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"rampspread/internal/testutil/golden"
)

// describe writes a command's use, its flags by name with type and default, and its sub-commands.
func describe(out io.Writer, c *cobra.Command, indent string) {
	fmt.Fprintf(out, "%s%s\n", indent, c.Use)
	c.LocalFlags().VisitAll(func(f *pflag.Flag) {
		fmt.Fprintf(out, "%s  --%s type=%s default=%q short=%q\n", indent, f.Name, f.Value.Type(), f.DefValue, f.Shorthand)
	})
	for _, sub := range c.Commands() {
		describe(out, sub, indent+"    ")
	}
}

func TestGoldenCommands(t *testing.T) {
	var out bytes.Buffer
	describe(&out, commands(io.Discard, io.Discard), "")
	text := strings.ReplaceAll(out.String(), filepath.Dir(programPath()), "FOLDER") // the folder differs between runs
	golden.Text(t, "commands.golden", text)
}

// The names of the built-in scenarios and of the kinds of fault must not change, since journals and scripts contain
// them.
func TestGoldenList(t *testing.T) {
	var out bytes.Buffer
	root := commands(&out, io.Discard)
	root.SetArgs([]string{"list"})
	if err := root.ExecuteContext(t.Context()); err != nil {
		t.Fatal(err)
	}
	var names []string
	for line := range strings.Lines(out.String()) {
		names = append(names, strings.Fields(line)[0])
	}
	soak, _, err := root.Find([]string{"soak"})
	if err != nil {
		t.Fatal(err)
	}
	text := fmt.Sprintf("%s\n%s\n", strings.Join(names, "\n"), soak.Flag("faults").Usage)
	golden.Text(t, "list.golden", text)
}
