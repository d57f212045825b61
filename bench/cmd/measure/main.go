// Command measure measures the slopes of docs/CAPACITY.md, compares the design with alternatives,
// and measures a fleet under load.
package main

import (
	"context"
	"os"

	"lacewinglever.dev/bench/cli"
	"lacewinglever.dev/bench/measure"
)

type options struct {
	cli.CommonOptions
	Bin      string   `long:"bin" description:"directory of the programs" default:"bin"`
	Out      string   `long:"out" description:"directory for the results" default:"measure-out"`
	Only     []string `long:"only" description:"part to run: libraries, control, choice or load; may be repeated; all parts by default"`
	PortBase int      `long:"port-base" description:"first port of the fleets" default:"26000"`
}

func main() {
	var o options
	cli.Main(&o, &o.CommonOptions, func(ctx context.Context) error {
		return measure.Run(ctx, measure.Options{Bin: o.Bin, Out: o.Out, Only: o.Only, PortBase: o.PortBase, Log: os.Stdout})
	})
}
