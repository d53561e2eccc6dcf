package console

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/spf13/pflag"

	"github.com/wigeonlink/wigeonlink/settings"
)

// settingRow returns the table row that docs/OPERATIONS.md must contain for a flag.
func settingRow(f *pflag.Flag) string {
	return fmt.Sprintf("| `--%s` | `%s` | %s | %s |", f.Name, settings.EnvironmentVariable(f.Name), f.DefValue, f.Usage)
}

func TestServeFlagsAreDocumented(t *testing.T) {
	c := qt.New(t)
	page, err := os.ReadFile("../docs/OPERATIONS.md")
	c.Assert(err, qt.IsNil)
	var missing []string
	newServe().Flags().VisitAll(func(f *pflag.Flag) {
		if row := settingRow(f); !strings.Contains(string(page), row) {
			missing = append(missing, row)
		}
	})
	c.Assert(missing, qt.HasLen, 0, qt.Commentf("%s", strings.Join(missing, "\n")))
}

// run executes the root command with arguments. It returns the standard and error output as one
// text, and the error.
func run(args ...string) (string, error) {
	var out bytes.Buffer
	root := NewRoot()
	root.SetArgs(args)
	root.SetOut(&out)
	root.SetErr(&out)
	err := root.Execute()
	return out.String(), err
}

func TestInvalidSettingIsNamedInError(t *testing.T) {
	c := qt.New(t)
	key := strings.Repeat("ab", 32)
	good := []string{"serve", "--domain", "d", "--platform", "127.0.0.1:1", "--keys", key}
	cases := []struct {
		args []string
		want string
	}{
		{[]string{"serve"}, `--domain is empty.*`},
		{[]string{"serve", "--domain", "d"}, `--platform is empty.*`},
		{good[:5], `--keys is empty.*`},
		{append(good[:6:6], "abc"), `(?s)--keys: key 1 is not hexadecimal.*`},
		{append(good, "--caller", "nowhere"), `.*"nowhere" is not an IP address and port.*`},
		{append(good, "--drain", "1ms"), `.*"1ms" is not a duration from 1s to 1h0m0s.*`},
		{append(good, "--log-level", "loud"), `.*"loud" is not one of debug, info.*`},
		{append(good, "--body", "-1"), `--body -1: 0 to .*`},
		{append(good, "--cert", "x"), `--cert, --cert-key and --authority go together.*`},
		{append(good, "--peers", "127.0.0.1:2"), `--peers needs --cert.*`},
		{[]string{"serve", "--nonsense"}, `unknown flag: --nonsense`},
	}
	for _, tc := range cases {
		_, err := run(tc.args...)
		c.Assert(err, qt.ErrorMatches, tc.want, qt.Commentf("%v", tc.args))
	}
}

func TestSettingsFromEnvironment(t *testing.T) {
	c := qt.New(t)
	c.Setenv("WIGEONLINK_DOMAIN", "d")
	_, err := run("serve")
	c.Assert(err, qt.ErrorMatches, `--platform is empty.*`)
	c.Setenv("WIGEONLINK_CALLER", "nowhere")
	_, err = run("serve")
	c.Assert(err, qt.ErrorMatches, `WIGEONLINK_CALLER: "nowhere" is not an IP address.*`)
	_, err = run("serve", "--caller", "127.0.0.1:0")
	c.Assert(err, qt.ErrorMatches, `--platform is empty.*`)
	c.Setenv("WIGEONLINK_TYPO", "x")
	_, err = run("serve")
	c.Assert(err, qt.ErrorMatches, `WIGEONLINK_TYPO: no such setting`)
}

func TestTableCommands(t *testing.T) {
	c := qt.New(t)
	sample := filepath.Join("..", "table", "testdata", "sample.yaml")
	changed := filepath.Join("..", "table", "testdata", "changed.yaml")
	out, err := run("table", "check", sample)
	c.Assert(err, qt.IsNil)
	c.Assert(out, qt.Contains, "version 7, 2 organisations")
	out, err = run("table", "plan", sample, changed)
	c.Assert(err, qt.IsNil)
	c.Assert(out, qt.Contains, "4 rows change")
	_, err = run("table", "plan", changed, sample)
	c.Assert(err, qt.ErrorMatches, `.*version 7 is not above 8.*`)
	_, err = run("table", "check", "nowhere.yaml")
	c.Assert(err, qt.ErrorMatches, "1 faults")
}
