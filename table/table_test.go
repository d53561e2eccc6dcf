package table

import (
	"bytes"
	"encoding/json"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
)

// readCase is a test case in testdata/cases.json. In Text, @key stands for a valid key
// cell. Faults holds one substring per expected problem.
type readCase struct {
	Name   string
	File   string
	Text   string
	Faults []string
}

func TestReadReportsEveryProblem(t *testing.T) {
	c := qt.New(t)
	data, err := os.ReadFile(filepath.Join("testdata", "cases.json"))
	c.Assert(err, qt.IsNil)
	var cases []readCase
	c.Assert(json.Unmarshal(data, &cases), qt.IsNil)
	for _, rc := range cases {
		c.Run(rc.Name, func(c *qt.C) {
			text := strings.ReplaceAll(rc.Text, "@key", FormatKeyHash(rc.Name))
			_, err := Read(rc.File, strings.NewReader(text))
			if len(rc.Faults) == 0 {
				c.Assert(err, qt.IsNil)
				return
			}
			c.Assert(err, qt.IsNotNil)
			for _, fault := range rc.Faults {
				c.Assert(err.Error(), qt.Contains, fault)
			}
			c.Assert(strings.Count(err.Error(), "\n")+1, qt.Equals, len(rc.Faults), qt.Commentf("%v", err))
		})
	}
}

// readSample reads and checks a sheet in testdata.
func readSample(c *qt.C, name string) (Sheet, *Table) {
	c.Helper()
	f, err := os.Open(filepath.Join("testdata", name))
	c.Assert(err, qt.IsNil)
	defer f.Close()
	s, err := ReadSheet(name, f)
	c.Assert(err, qt.IsNil)
	t, err := Check(s)
	c.Assert(err, qt.IsNil)
	return s, t
}

func TestYAMLAndCSVGiveSameTable(t *testing.T) {
	c := qt.New(t)
	_, fromYAML := readSample(c, "sample.yaml")
	_, fromCSV := readSample(c, "sample.csv")
	c.Assert(fromYAML, qt.CmpEquals(cmp.AllowUnexported(Table{}), cmpopts.EquateComparable(netip.AddrPort{})), fromCSV)
}

func TestWriteCSVRoundTrip(t *testing.T) {
	c := qt.New(t)
	s, want := readSample(c, "sample.yaml")
	var out bytes.Buffer
	c.Assert(s.WriteCSV(&out), qt.IsNil)
	got, err := Read("out.csv", &out)
	c.Assert(err, qt.IsNil)
	c.Assert(got, qt.CmpEquals(cmp.AllowUnexported(Table{}), cmpopts.EquateComparable(netip.AddrPort{})), want)
}

func TestPlanListsChangedRows(t *testing.T) {
	c := qt.New(t)
	before, _ := readSample(c, "sample.yaml")
	after, _ := readSample(c, "changed.yaml")
	var lines []string
	for _, change := range Plan(before, after) {
		lines = append(lines, change.String())
	}
	c.Assert(lines, qt.DeepEquals, []string{
		`~ table version: "7" -> "8"`,
		`~ organisation large weight: "5" -> "4"`,
		`+ engine e2 model=m domain=north address=127.0.0.1:9002 checks=no`,
		`- route s POST /lots method=POST path=/lots idempotent=no`,
	}, qt.Commentf("%s", strings.Join(lines, "\n")))
	c.Assert(Plan(after, after), qt.HasLen, 0)
}

func TestRoutePrefersMostSpecific(t *testing.T) {
	c := qt.New(t)
	_, table := readSample(c, "sample.yaml")
	s := table.Services["s"]
	c.Assert(s.Route("GET", "/lots/1").Idempotent, qt.IsTrue)
	c.Assert(s.Route("POST", "/lots").Idempotent, qt.IsFalse)
	c.Assert(s.Route("DELETE", "/other").Idempotent, qt.IsTrue)
	c.Assert(Service{}.Route("GET", "/").Idempotent, qt.IsFalse)
}

// FuzzReadSheet checks that Read returns either a table or an error, never both or
// neither.
func FuzzReadSheet(f *testing.F) {
	for _, name := range []string{"sample.yaml", "sample.csv"} {
		data, err := os.ReadFile(filepath.Join("testdata", name))
		if err != nil {
			f.Fatal(err)
		}
		f.Add(filepath.Ext(name) == ".yaml", data)
	}
	f.Fuzz(func(t *testing.T, yaml bool, data []byte) {
		file := "x.csv"
		if yaml {
			file = "x.yaml"
		}
		table, err := Read(file, bytes.NewReader(data))
		if (table == nil) == (err == nil) {
			t.Fatalf("table %v, error %v", table, err)
		}
	})
}
