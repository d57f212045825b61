// Command standin-platform serves the platform's object API from memory and injects faults on
// demand.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"lacewinglever.dev/bench/platform"
)

var version = "dev"

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := platform.Main(ctx, os.Args[1:], version)
	stop()
	os.Exit(code)
}
