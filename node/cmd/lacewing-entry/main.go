// Command lacewing-entry receives callers' datagrams and forwards them to the agents of the
// services.
package main

import (
	"context"
	"os"

	"lacewinglever.dev/node/config"
	"lacewinglever.dev/node/daemon"
	"lacewinglever.dev/node/entry"
	"lacewinglever.dev/node/packetentry"
)

func main() {
	daemon.Main("lacewing-entry", func(ctx context.Context, path string) error {
		mode, err := config.ReadMode(path)
		if err != nil {
			return err
		}
		if mode == config.ModeFlows {
			return packetentry.Main(ctx, path, os.Stdout)
		}
		settings, err := entry.LoadConfig(path)
		if err != nil {
			return err
		}
		return entry.Main(ctx, settings, os.Stderr)
	})
}
