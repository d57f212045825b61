// Command loadgen keeps feeds open, sends requests, and reports the results as observed by callers.
package main

import (
	"context"
	"encoding/json"
	"os"

	"github.com/go-faster/errors"

	"lacewinglever.dev/bench/cli"
	"lacewinglever.dev/bench/load"
	"lacewinglever.dev/node/config"
)

type options struct {
	cli.CommonOptions
	Config string `long:"config" description:"settings file"`
	Out    string `long:"out" description:"output file for the JSON report; standard output if empty"`
}

func main() {
	var o options
	cli.Main(&o, &o.CommonOptions, func(ctx context.Context) error { return run(ctx, o) })
}

// run prints the table to standard error and writes the JSON report. It returns an error if the
// report has faults.
func run(ctx context.Context, o options) error {
	settings, err := config.Load(o.Config, load.Defaults(), (*load.Config).Check)
	if err != nil {
		return err
	}
	l, err := load.New(*settings)
	if err != nil {
		return err
	}
	report, err := l.Run(ctx)
	if err != nil {
		return err
	}
	report.Table(os.Stderr)
	text, err := json.MarshalIndent(report, "", "  ")
	if err != nil {
		return err
	}
	if err := write(o.Out, append(text, '\n')); err != nil {
		return err
	}
	if faults := report.Violations(); len(faults) > 0 {
		return errors.Errorf("%q", faults)
	}
	return nil
}

func write(path string, text []byte) error {
	if path == "" {
		_, err := os.Stdout.Write(text)
		return err
	}
	// The report is renamed into place, so that a reader never reads a partial one.
	if err := os.WriteFile(path+".part", text, 0o644); err != nil {
		return err
	}
	return os.Rename(path+".part", path)
}
