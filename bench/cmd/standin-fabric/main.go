// Command standin-fabric emulates the network between callers, entries and agents.
package main

import (
	"context"
	"os"

	"lacewinglever.dev/bench/cli"
	"lacewinglever.dev/bench/fabric"
	"lacewinglever.dev/node/config"
	"lacewinglever.dev/node/logging"
)

type options struct {
	cli.CommonOptions
	Config string `long:"config" description:"settings file"`
}

func main() {
	var o options
	cli.Main(&o, &o.CommonOptions, func(ctx context.Context) error {
		settings, err := config.Load(o.Config, fabric.Defaults(), (*fabric.Config).Check)
		if err != nil {
			return err
		}
		return fabric.New(*settings, logging.New(os.Stderr, "fabric", "info")).Run(ctx)
	})
}
