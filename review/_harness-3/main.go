// Command review3 plays the scripts of the third review: small deployments of the project's own program on loopback, with stand-ins of
// the platform's store, servers and clients.
package main

import (
	"fmt"
	"os"
	"strings"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2 // the case could not run
)

// cases are the scripts, by the name of their folder. trouble is whether the disruption is played.
var cases = map[string]func(dir string, trouble bool) (int, error){
	"oddvalues":    oddValues,
	"oldversion":   oldVersion,
	"spoiltlength": spoiltLength,
	"queuesilence": queueSilence,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review3 CASE DIR")
		os.Exit(exitFailed)
	}
	code, err := cases[os.Args[1]](os.Args[2], strings.TrimSpace(os.Getenv("TROUBLE")) != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		code = exitFailed
	}
	os.Exit(code)
}
