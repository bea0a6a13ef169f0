package cli

import (
	"fmt"

	"github.com/spf13/pflag"
)

// AcceptFormerName makes a string flag available under its former name too, which operators' scripts and deploy files
// may still use. Both names set the same variable; help does not list the former name. Giving both is an error unless
// their values are equal. The flag must already have been added to flags.
func AcceptFormerName(flags *pflag.FlagSet, name, former string) {
	current := flags.Lookup(name)
	alias := &pflag.Flag{Name: former, Usage: current.Usage, DefValue: current.DefValue, Hidden: true}
	shared := current.Value
	current.Value, alias.Value = aliasedValue{shared, alias}, aliasedValue{shared, current}
	flags.AddFlag(alias)
}

// aliasedValue is the value of a flag that shares its variable with a second flag of another name.
type aliasedValue struct {
	pflag.Value             // the variable that both flags share
	other       *pflag.Flag // the second flag
}

// Set sets the variable. It returns an error if the other flag has already set it to a different value.
func (v aliasedValue) Set(value string) error {
	if v.other.Changed && v.String() != value {
		return fmt.Errorf("--%s, which is the same flag, is %q", v.other.Name, v.String())
	}
	return v.Value.Set(value)
}
