// Command wigeonlink distributes generation requests, whose output lengths are not known in
// advance, over model engines with limited memory. Package console implements its subcommands.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/wigeonlink/wigeonlink/console"
	"github.com/wigeonlink/wigeonlink/platform"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	err := console.NewRoot().ExecuteContext(ctx)
	if err == nil || errors.Is(err, context.Canceled) {
		return
	}
	fmt.Fprintln(os.Stderr, "wigeonlink:", err)
	var exit *platform.ExitError
	if errors.As(err, &exit) {
		os.Exit(exit.Status)
	}
	os.Exit(1)
}
