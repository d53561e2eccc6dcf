// Command harness plays the cases of this review: it starts hosts as the deploy file does, with stand-ins for the
// platform's store, servers and clients, on loopback addresses and the real clock.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld    = 0
	exitBroken  = 1
	exitUnknown = 2
)

var cases = map[string]func(s *site, trouble bool) int{
	"endless-head": playEndlessHead,
	"stop":         playStop,
	"path":         playPath,
	"joined":       playJoined,
	"lapse":        playLapse,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE FOLDER")
		os.Exit(exitUnknown)
	}
	s, err := newSite(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitUnknown)
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	result := make(chan int, 1)
	go func() { result <- cases[os.Args[1]](s, os.Getenv("TROUBLE") != "0") }()
	code := exitUnknown
	select {
	case code = <-result:
	case <-stop:
	case <-time.After(115 * time.Second):
		s.say("the case took too long")
	}
	s.say("exit %d", code)
	s.close()
	os.Exit(code)
}
