// Command harness-2 runs the cases of the second review. It starts the program's own processes with the command of the
// deploy file, and stand-ins of the store, the servers and the clients on loopback addresses. It writes record.txt to
// the current folder, and exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import "os"

// cases are the cases by name. Each returns the number of times that its rule was broken; trouble is whether the
// disruption takes place.
var cases = map[string]func(trouble bool) int{
	"crash":    crash,
	"crowd":    crowd,
	"path":     path,
	"stop":     stop,
	"unmarked": unmarked,
}

func main() {
	if len(os.Args) != 2 || cases[os.Args[1]] == nil {
		fail("usage: harness-2 CASE")
	}
	if cases[os.Args[1]](os.Getenv("TROUBLE") != "0") > 0 {
		os.Exit(1)
	}
}
