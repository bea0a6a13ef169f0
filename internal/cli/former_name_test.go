package cli

import (
	"strings"
	"testing"

	"github.com/spf13/pflag"
)

// A flag can be set by either name. Giving both names is an error of one line, unless their values are equal.
func TestFormerNameSetsTheFlagUnlessTheValuesDiffer(t *testing.T) {
	for _, c := range []struct {
		name string
		args []string
		want string // the flag's value or, after a leading "!", a part of the error
	}{
		{"neither", nil, "default"},
		{"current name", []string{"--new", "a"}, "a"},
		{"former name", []string{"--old", "a"}, "a"},
		{"former name, twice: the last counts", []string{"--old", "a", "--old", "b"}, "b"},
		{"current name, twice: the last counts", []string{"--new", "a", "--new", "b"}, "b"},
		{"both, same value", []string{"--new", "a", "--old", "a"}, "a"},
		{"both, same value, former name first", []string{"--old", "a", "--new", "a"}, "a"},
		{"both, both empty", []string{"--old=", "--new="}, ""},
		{"both, different values", []string{"--new", "a", "--old", "b"},
			`!invalid argument "b" for "--old" flag: --new, which is the same flag, is "a"`},
		{"both, different values, former name first", []string{"--old", "a", "--new", "b"},
			`!invalid argument "b" for "--new" flag: --old, which is the same flag, is "a"`},
		{"both, one empty", []string{"--old=", "--new", "a"}, `!--old, which is the same flag, is ""`},
		{"both, different values with a line break", []string{"--old", "a\nb", "--new", "c"}, `!is "a\nb"`},
		{"both, default given explicitly", []string{"--new", "default", "--old", "b"}, "!is \"default\""},
	} {
		t.Run(c.name, func(t *testing.T) {
			var value string
			flags := pflag.NewFlagSet("test", pflag.ContinueOnError)
			flags.StringVar(&value, "new", "default", "a `thing`")
			AcceptFormerName(flags, "new", "old")
			err := flags.Parse(c.args)
			if want, wantError := strings.CutPrefix(c.want, "!"); wantError {
				if err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
					t.Errorf("error %v, want %q", err, want)
				}
			} else if err != nil || value != c.want {
				t.Errorf("%q, %v; want %q", value, err, c.want)
			}
		})
	}
}

// Help for a renamed flag is the same as if the flag had never had another name.
func TestHelpDoesNotListFormerName(t *testing.T) {
	flagSet := func() *pflag.FlagSet {
		flags := pflag.NewFlagSet("test", pflag.ContinueOnError)
		flags.String("new", "default", "a `thing`")
		flags.String("none", "", "a `thing` without a default")
		return flags
	}
	renamed := flagSet()
	AcceptFormerName(renamed, "new", "old")
	AcceptFormerName(renamed, "none", "nothing")
	if got, want := renamed.FlagUsages(), flagSet().FlagUsages(); got != want {
		t.Errorf("help:\n%s\nnot:\n%s", got, want)
	}
}
