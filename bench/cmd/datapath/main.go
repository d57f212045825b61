// Command datapath measures the datagrams per second and core of the entry and the agent, and
// compares them with a bare copy loop.
package main

import (
	"context"
	"os"

	"lacewinglever.dev/bench/cli"
	"lacewinglever.dev/bench/datapath"
)

type options struct {
	cli.CommonOptions
	datapath.Options
}

func main() {
	var o options
	cli.Main(&o, &o.CommonOptions, func(ctx context.Context) error {
		return datapath.Run(ctx, o.Options, os.Stdin, os.Stdout)
	})
}
