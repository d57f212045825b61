// Command lacewing-entry receives callers' datagrams and forwards them to the agents of the services.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/jessevdk/go-flags"

	"lacewinglever.dev/node/entry"
)

type options struct {
	Config  string `long:"config" value-name:"FILE" description:"settings file"`
	Version bool   `long:"version" description:"print the version and exit"`
}

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "lacewing-entry:", err)
		os.Exit(1)
	}
}

func run() error {
	var o options
	if _, err := flags.NewParser(&o, flags.HelpFlag|flags.PassDoubleDash).Parse(); err != nil {
		var flagErr *flags.Error
		if errors.As(err, &flagErr) && flagErr.Type == flags.ErrHelp {
			fmt.Println(flagErr.Message)
			return nil
		}
		return err
	}
	if o.Version {
		fmt.Println("lacewing-entry", version())
		return nil
	}
	if o.Config == "" {
		return errors.New("--config is required")
	}
	config, err := entry.LoadConfig(o.Config)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	return entry.Main(ctx, config, os.Stderr)
}

// version returns the module's version, or the commit where the build has none.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			return info.Main.Version + " " + s.Value
		}
	}
	return info.Main.Version
}
