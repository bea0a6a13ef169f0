package cli

import (
	"fmt"

	"github.com/spf13/pflag"
)

// AcceptFormerName lets a string flag be given by its former name as well, for operators' scripts and deploy files that
// still use that. Both names set the same variable; help does not list the former one. Giving both is an error unless
// they have the same value. The flag must have been added to flags before.
func AcceptFormerName(flags *pflag.FlagSet, name, former string) {
	current := flags.Lookup(name)
	alias := &pflag.Flag{Name: former, Usage: current.Usage, DefValue: current.DefValue, Hidden: true}
	shared := current.Value
	current.Value, alias.Value = aliasedValue{shared, alias}, aliasedValue{shared, current}
	flags.AddFlag(alias)
}

// aliasedValue is the value of a flag that shares its variable with a flag of another name.
type aliasedValue struct {
	pflag.Value             // the variable of both
	other       *pflag.Flag // the flag of the other name
}

// Set sets the variable, unless the other flag has already set it to something else.
func (v aliasedValue) Set(value string) error {
	if v.other.Changed && v.String() != value {
		return fmt.Errorf("--%s, which is the same flag, is %q", v.other.Name, v.String())
	}
	return v.Value.Set(value)
}
