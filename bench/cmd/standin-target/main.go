// Command standin-target is a stand-in for a target. It serves feeds and requests and injects
// faults on demand.
package main

import (
	"context"
	"os"

	"lacewinglever.dev/bench/cli"
	"lacewinglever.dev/bench/target"
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
		settings, err := config.Load(o.Config, target.Defaults(), (*target.Config).Check)
		if err != nil {
			return err
		}
		return target.New(*settings, logging.New(os.Stderr, settings.Name, "info")).Run(ctx)
	})
}
