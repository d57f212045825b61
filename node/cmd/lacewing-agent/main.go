// Command lacewing-agent runs beside one target: it owns flows and passes their datagrams to the target.
package main

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/jessevdk/go-flags"

	"lacewinglever.dev/node/agent"
	"lacewinglever.dev/node/request"
)

type options struct {
	Config  string `long:"config" value-name:"FILE" description:"settings file"`
	Version bool   `long:"version" description:"print the version and exit"`
}

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "lacewing-agent:", err)
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
		fmt.Println("lacewing-agent", version())
		return nil
	}
	if o.Config == "" {
		return errors.New("--config is required")
	}
	config, err := agent.LoadConfig(o.Config)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	return agent.Main(ctx, config, os.Stderr, newRequestServer)
}

// newRequestServer makes the server of a service of requests.
func newRequestServer(o agent.RequestOptions) (agent.RequestServer, error) {
	listen, err := netip.ParseAddrPort(o.Config.RPC.Listen)
	if err != nil {
		return nil, err
	}
	return request.New(request.Options{
		Mesh: o.Mesh, Keys: o.Keys, Service: o.Service, Settings: o.Settings, Target: o.Config.Target.URL,
		Slots: int(o.Config.Target.Slots), Local: listen.Addr(), Return: o.Return, Load: o.Load,
		TLS: request.TLS(o.Config.TLS), Logger: o.Logger, Metrics: o.Metrics,
	})
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
