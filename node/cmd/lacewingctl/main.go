// Command lacewingctl writes services' settings and shows what the system reports about them.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"lacewinglever.dev/node/ctl"
	"lacewinglever.dev/node/daemon"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := ctl.Main(ctx, os.Args[1:], os.Stdout, os.Stderr, daemon.Version())
	stop()
	os.Exit(code)
}
