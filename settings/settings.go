// Package settings reads settings from flags and environment variables, and provides flag
// values that check their input. A flag takes precedence over the environment variable,
// and the variable over the default.
package settings

import (
	"fmt"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/spf13/pflag"
)

type (
	// An Addresses is a flag value with a comma-separated list of addresses.
	Addresses []netip.AddrPort

	// An Address is a flag value with one IP address and port. The zero value means that
	// none is set.
	Address netip.AddrPort

	// A Choice is a flag value that must be one of the allowed values.
	Choice struct {
		Value   string
		Allowed []string
	}

	// A BoundedDuration is a flag value with a duration from Minimum to Maximum.
	BoundedDuration struct {
		Value            time.Duration
		Minimum, Maximum time.Duration
	}
)

const (
	// EnvironmentPrefix is the prefix of all environment variables of the program.
	EnvironmentPrefix = "WIGEONLINK_"

	// VariableAnnotation is the key of a command annotation. Its value is the name, with
	// EnvironmentPrefix, of an environment variable that the command reads although it
	// belongs to none of its flags.
	VariableAnnotation = "variable"
)

// EnvironmentVariable returns the name of the environment variable of a flag.
func EnvironmentVariable(flag string) string {
	return EnvironmentPrefix + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
}

// FromEnvironment sets every flag that is not on the command line from its environment
// variable, if there is one. It returns an error if a variable in the environment has
// EnvironmentPrefix and known returns false for its name; known must return true for the
// variables of all commands. It also returns an error if a value is not valid for its flag.
func FromEnvironment(flags *pflag.FlagSet, known func(string) bool) error {
	for _, entry := range os.Environ() {
		name, _, _ := strings.Cut(entry, "=")
		if strings.HasPrefix(name, EnvironmentPrefix) && !known(name) {
			return eris.Errorf("%s: no such setting", name)
		}
	}
	var failed error
	flags.VisitAll(func(f *pflag.Flag) {
		value, ok := os.LookupEnv(EnvironmentVariable(f.Name))
		if !ok || f.Changed || failed != nil {
			return
		}
		f.Changed = true
		if err := f.Value.Set(value); err != nil {
			failed = eris.Errorf("%s: %v", EnvironmentVariable(f.Name), err)
		}
	})
	return failed
}

// Set parses a list of addresses. An empty text sets an empty list.
func (a *Addresses) Set(text string) error {
	*a = nil
	if text == "" {
		return nil
	}
	for _, part := range strings.Split(text, ",") {
		var one Address
		if err := one.Set(strings.TrimSpace(part)); err != nil {
			return err
		}
		*a = append(*a, netip.AddrPort(one))
	}
	return nil
}

// String returns the addresses in the format that Set parses.
func (a *Addresses) String() string {
	parts := make([]string, len(*a))
	for i, p := range *a {
		parts[i] = p.String()
	}
	return strings.Join(parts, ",")
}

// Type returns the type name for the help text.
func (a *Addresses) Type() string { return "ip:port,..." }

// Set parses an address.
func (a *Address) Set(text string) error {
	p, err := netip.ParseAddrPort(text)
	if err != nil {
		return fmt.Errorf("%q is not an IP address and port, such as 127.0.0.1:8080", text)
	}
	*a = Address(p)
	return nil
}

// String returns the address, or an empty string if none is set.
func (a *Address) String() string {
	if !netip.AddrPort(*a).IsValid() {
		return ""
	}
	return netip.AddrPort(*a).String()
}

// Type returns the type name for the help text.
func (a *Address) Type() string { return "ip:port" }

// Set sets the value, or returns an error if text is not one of the allowed values.
func (c *Choice) Set(text string) error {
	for _, a := range c.Allowed {
		if a == text {
			c.Value = text
			return nil
		}
	}
	return fmt.Errorf("%q is not one of %s", text, strings.Join(c.Allowed, ", "))
}

// String returns the value.
func (c *Choice) String() string { return c.Value }

// Type returns the type name for the help text.
func (c *Choice) Type() string { return strings.Join(c.Allowed, "|") }

// Set parses a duration in the format of time.ParseDuration and checks its range.
func (s *BoundedDuration) Set(text string) error {
	d, err := time.ParseDuration(text)
	if err != nil || d < s.Minimum || d > s.Maximum {
		return fmt.Errorf("%q is not a duration from %s to %s", text, s.Minimum, s.Maximum)
	}
	s.Value = d
	return nil
}

// String returns the duration.
func (s *BoundedDuration) String() string { return s.Value.String() }

// Type returns the type name for the help text.
func (s *BoundedDuration) Type() string { return "duration" }
