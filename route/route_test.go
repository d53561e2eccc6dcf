package route

import (
	"encoding/json"
	"os"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestFind(t *testing.T) {
	c := qt.New(t)
	data, err := os.ReadFile("testdata/find.json")
	c.Assert(err, qt.IsNil)
	var file struct {
		Routes []struct{ Name, Host, Prefix string }
		Cases  []struct{ Host, Path, Want string }
	}
	c.Assert(json.Unmarshal(data, &file), qt.IsNil)
	var routes []Route
	for _, r := range file.Routes {
		routes = append(routes, Route{Name: r.Name, Host: r.Host, Prefix: r.Prefix})
	}
	m := NewMap(routes)
	for _, tc := range file.Cases {
		got := ""
		if r := m.Find(tc.Host, tc.Path); r != nil {
			got = r.Name
		}
		c.Check(got, qt.Equals, tc.Want, qt.Commentf("%s %s", tc.Host, tc.Path))
	}
}

func TestPoolByWeight(t *testing.T) {
	c := qt.New(t)
	r := Route{Split: []WeightedPool{{"a", 90}, {"b", 10}, {"never", 0}}}
	count := map[string]int{}
	for i := range 1000 {
		count[r.PickPool(uint64(i))]++
	}
	c.Assert(count, qt.DeepEquals, map[string]int{"a": 900, "b": 100})
	c.Assert((&Route{}).PickPool(1), qt.Equals, "")
	c.Assert((&Route{Split: []WeightedPool{{"only", 0}}}).PickPool(7), qt.Equals, "only")
}

func TestNilMap(t *testing.T) {
	c := qt.New(t)
	var m *Map
	c.Assert(m.Find("a", "/"), qt.IsNil)
	c.Assert(m.Len(), qt.Equals, 0)
}
