// Command lacewing-agent runs beside one target: it owns flows and passes their datagrams to the target.
package main

import (
	"context"
	"net/netip"
	"os"

	"lacewinglever.dev/node/agent"
	"lacewinglever.dev/node/config"
	"lacewinglever.dev/node/daemon"
	"lacewinglever.dev/node/packetagent"
	"lacewinglever.dev/node/request"
)

func main() {
	daemon.Main("lacewing-agent", func(ctx context.Context, path string) error {
		mode, err := config.ReadMode(path)
		if err != nil {
			return err
		}
		if mode == config.ModeFlows {
			return packetagent.Main(ctx, path, os.Stdout)
		}
		settings, err := agent.LoadConfig(path)
		if err != nil {
			return err
		}
		return agent.Main(ctx, settings, os.Stderr, newRequestServer)
	})
}

// newRequestServer makes the server of a service of requests.
func newRequestServer(o agent.RequestOptions) (agent.RequestServer, error) {
	listen, err := netip.ParseAddrPort(o.Config.RPC.Listen)
	if err != nil {
		return nil, err
	}
	return request.New(request.Options{
		Mesh: o.Mesh, Keys: o.Keys, Service: o.Service, Settings: o.Settings, TargetURL: o.Config.Target.URL,
		Slots: int(o.Config.Target.Slots), LocalAddress: listen.Addr(), Return: o.Return, Load: o.Load,
		TLS: request.TLS(o.Config.TLS), Logger: o.Logger, Metrics: o.Metrics,
	})
}
