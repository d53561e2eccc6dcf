package route_test

import (
	"fmt"

	"github.com/wigeonlink/wigeonlink/route"
)

func ExampleMap_Find() {
	m := route.NewMap([]route.Route{
		{Name: "all", Host: "shop.example", Prefix: "/"},
		{Name: "reports", Host: "shop.example", Prefix: "/reports/"},
	})
	fmt.Println(m.Find("Shop.example:8080", "/reports/7").Name)
	fmt.Println(m.Find("shop.example", "/reports").Name)
	// Output:
	// reports
	// all
}
