// Command wigeonlink distributes generation requests with unknown output lengths over
// model engines with limited memory. The commands are in package console.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/wigeonlink/wigeonlink/console"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	err := console.NewRoot().ExecuteContext(ctx)
	if err == nil || errors.Is(err, context.Canceled) {
		return
	}
	fmt.Fprintln(os.Stderr, "wigeonlink:", err)
	os.Exit(1)
}
