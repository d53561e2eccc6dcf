// Package settings reads settings from flags and from the environment. A flag goes
// before the environment, the environment before the default.
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
	// An Addresses is a flag value that lists addresses, separated by commas.
	Addresses []netip.AddrPort

	// An Address is a flag value that holds one address.
	Address netip.AddrPort

	// A Choice is a flag value that is one of a list.
	Choice struct {
		Value   string
		Allowed []string
	}

	// A Span is a flag value that holds a duration within bounds.
	Span struct {
		Value       time.Duration
		Least, Most time.Duration
	}
)

const (
	// Prefix is what the names of the environment's settings begin with.
	Prefix = "WIGEONLINK_"

	// Known is the annotation under which a command names a variable of the prefix
	// that it reads and that is not a flag's.
	Known = "variable"
)

// Variable returns the environment variable of a flag.
func Variable(flag string) string {
	return Prefix + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
}

// FromEnvironment sets every flag that was not given from its variable. Unknown
// variables of the prefix are refused, for any command of the program may use
// them only if known names it.
func FromEnvironment(flags *pflag.FlagSet, known func(string) bool) error {
	for _, entry := range os.Environ() {
		name, _, _ := strings.Cut(entry, "=")
		if strings.HasPrefix(name, Prefix) && !known(name) {
			return eris.Errorf("%s: no such setting", name)
		}
	}
	var failed error
	flags.VisitAll(func(f *pflag.Flag) {
		value, ok := os.LookupEnv(Variable(f.Name))
		if !ok || f.Changed || failed != nil {
			return
		}
		f.Changed = true
		if err := f.Value.Set(value); err != nil {
			failed = eris.Errorf("%s: %v", Variable(f.Name), err)
		}
	})
	return failed
}

// Set reads addresses.
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

// String lists the addresses.
func (a *Addresses) String() string {
	parts := make([]string, len(*a))
	for i, p := range *a {
		parts[i] = p.String()
	}
	return strings.Join(parts, ",")
}

// Type names the value in the help text.
func (a *Addresses) Type() string { return "ip:port,..." }

// Set reads an address.
func (a *Address) Set(text string) error {
	p, err := netip.ParseAddrPort(text)
	if err != nil {
		return fmt.Errorf("%q is not an IP address and port, such as 127.0.0.1:8080", text)
	}
	*a = Address(p)
	return nil
}

// String returns the address.
func (a *Address) String() string {
	if !netip.AddrPort(*a).IsValid() {
		return ""
	}
	return netip.AddrPort(*a).String()
}

// Type names the value in the help text.
func (a *Address) Type() string { return "ip:port" }

// Set takes one of the allowed values.
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

// Type names the value in the help text.
func (c *Choice) Type() string { return strings.Join(c.Allowed, "|") }

// Set reads a duration.
func (s *Span) Set(text string) error {
	d, err := time.ParseDuration(text)
	if err != nil || d < s.Least || d > s.Most {
		return fmt.Errorf("%q is not a duration from %s to %s", text, s.Least, s.Most)
	}
	s.Value = d
	return nil
}

// String returns the duration.
func (s *Span) String() string { return s.Value.String() }

// Type names the value in the help text.
func (s *Span) Type() string { return "duration" }
