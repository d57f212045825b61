// Command lacewing-entry receives callers' datagrams and forwards them to the agents of the services.
package main

import (
	"context"
	"os"

	"lacewinglever.dev/node/daemon"
	"lacewinglever.dev/node/entry"
)

func main() {
	daemon.Main("lacewing-entry", func(ctx context.Context, path string) error {
		config, err := entry.LoadConfig(path)
		if err != nil {
			return err
		}
		return entry.Main(ctx, config, os.Stderr)
	})
}
