// Command demo runs both users' pools at their current sizes, injects faults, and exits with 0 only
// if all checks pass.
package main

import (
	"context"
	"os"

	"lacewinglever.dev/bench/cli"
	"lacewinglever.dev/bench/demo"
)

type options struct {
	cli.CommonOptions
	Bin      string `long:"bin" description:"directory of the programs" default:"bin"`
	PortBase int    `long:"port-base" description:"first port of the fleet" default:"12000"`
}

func main() {
	var o options
	cli.Main(&o, &o.CommonOptions, func(ctx context.Context) error {
		return demo.Run(ctx, demo.Options{Bin: o.Bin, PortBase: o.PortBase, Out: os.Stdout})
	})
}
