package entry

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"runtime/debug"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-faster/errors"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"golang.org/x/sync/errgroup"

	"lacewinglever.dev/node/config"
	"lacewinglever.dev/node/controller"
	"lacewinglever.dev/node/daemon"
	lacewingv1 "lacewinglever.dev/node/gen/lacewing/v1"
	"lacewinglever.dev/node/logging"
	"lacewinglever.dev/node/peer"
	"lacewinglever.dev/node/transport"
	"lacewinglever.dev/policy/ident"
	"lacewinglever.dev/policy/record"
	"lacewinglever.dev/policy/yamlfile"
)

// Times of the shutdown.
const (
	// forwardGracePeriod is how long an entry forwards datagrams that are still on the way, after
	// it has announced that it leaves.
	forwardGracePeriod = 2 * time.Second
)

// memoryLimitBytes is the heap size from which the garbage collector runs more often instead of
// letting the heap double. The state of an entry in a fleet of 7,000 entries, 41,000 targets and
// 13,000 services takes some 150 MB, of a budget of 256 MB.
const memoryLimitBytes = 220 << 20

// socketReaders is the number of goroutines that read the node's socket.
const socketReaders = 4

// Platform configures the object API.
type Platform struct {
	URL string `yaml:"url"`
}

// Config is the settings file of lacewing-entry.
type Config struct {
	config.Node `yaml:",inline"`
	ServiceHost string   `yaml:"service_host"`
	Platform    Platform `yaml:"platform"`
}

// Check reports the faults of the file.
func (c *Config) Check(f *yamlfile.Faults) {
	c.Node.Check(f)
	if c.ServiceHost != "" && net.ParseIP(c.ServiceHost) == nil {
		f.Add("$.service_host", "%q: want an IP address", c.ServiceHost)
	}
	if u, err := url.Parse(c.Platform.URL); c.Platform.URL != "" && (err != nil || u.Host == "") {
		f.Add("$.platform.url", "%q: want a URL with a host", c.Platform.URL)
	}
}

// LoadConfig reads and checks a settings file.
func LoadConfig(path string) (*Config, error) {
	return config.Load(path, Config{}, (*Config).Check)
}

// Main runs an entry until the context ends. Then the entry announces that it is draining, forwards
// for forwardGracePeriod, announces that it has left and closes its sockets.
func Main(ctx context.Context, c *Config, logs io.Writer) error {
	debug.SetMemoryLimit(memoryLimitBytes)
	logger := logging.New(logs, c.Name, c.LogLevel)
	p, err := newProgram(c, logger)
	if err != nil {
		return err
	}
	// The parts outlive ctx, because the departure needs them.
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	g, running := errgroup.WithContext(running)
	for _, run := range p.parts {
		g.Go(func() error { return run(running) })
	}
	_ = level.Info(logger).Log(logging.KeyMessage, "entry started", "udp", c.UDP.Listen, "rpc", c.RPC.Listen)
	select {
	case <-ctx.Done():
	case <-running.Done():
		return g.Wait()
	}
	_ = level.Info(logger).Log(logging.KeyMessage, "entry is leaving")
	p.mesh.SetState(record.Draining)
	sleep(running, forwardGracePeriod)
	p.mesh.Leave(record.Successor{})
	sleep(running, lastRecordGracePeriod)
	stop()
	return g.Wait()
}

// lastRecordGracePeriod is the time for the last record to be sent.
const lastRecordGracePeriod = 200 * time.Millisecond

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// controllerMesh hides applied queries from package controller. Only Entry replies to them, with
// the revision that its sockets serve, which may be older than the newest one that the node has.
type controllerMesh struct{ peer.Mesh }

// HandleControl adds f for all messages but applied queries.
func (m controllerMesh) HandleControl(f func(*lacewingv1.Control)) {
	m.Mesh.HandleControl(func(c *lacewingv1.Control) {
		if c.GetAppliedQuery() == nil {
			f(c)
		}
	})
}

type program struct {
	mesh  *peer.Peer
	parts []func(context.Context) error
}

func newProgram(c *Config, logger log.Logger) (*program, error) {
	keys, err := c.Keyring()
	if err != nil {
		return nil, err
	}
	set := metrics.NewSet()
	self := record.Node{
		ID:          ident.NewNodeID(c.Name),
		Name:        c.Name,
		Entry:       true,
		DataCentre:  ident.DataCentre(c.DataCentre),
		Rack:        c.Rack,
		UDPAddress:  c.UDP.Advertise,
		RPCAddress:  c.RPC.Advertise,
		Incarnation: ident.Incarnation(time.Now().UnixMicro()),
		State:       record.Ready,
	}
	t, err := transport.Open(transport.Options{
		Self: self.ID, Listen: c.UDP.Listen, Advertise: c.UDP.Advertise, Keys: keys, Readers: socketReaders,
		Metrics: set,
	})
	if err != nil {
		return nil, err
	}
	mesh, err := peer.New(peer.Options{Self: self, Transport: t, Keys: keys, Seeds: c.Seeds, Logger: logger,
		Metrics: set})
	if err != nil {
		return nil, err
	}
	data, err := New(Options{
		Mesh: mesh, Transport: t, Keys: keys, ServiceHost: c.ServiceHost,
		Logger: logger, Decisions: logging.NewDecisions(logger), Metrics: set,
	})
	if err != nil {
		return nil, err
	}
	rpc := http.NewServeMux()
	rpc.Handle(mesh.Handler())
	rpc.Handle(data.Handler())
	p := &program{mesh: mesh}
	p.parts = []func(context.Context) error{
		func(ctx context.Context) error {
			return t.Run(ctx, data.Handlers(mesh.ReceiveControl))
		},
		mesh.Run,
		data.Run,
		func(ctx context.Context) error { return daemon.Serve(ctx, c.RPC.Listen, rpc) },
		func(ctx context.Context) error {
			return daemon.Serve(ctx, c.Metrics, daemon.ObservabilityHandler(set, func() string { return "ok" }))
		},
	}
	if c.Platform.URL == "" {
		return p, nil
	}
	ctrl, err := controller.New(controller.Options{Mesh: controllerMesh{mesh}, PlatformURL: c.Platform.URL, Logger: logger,
		Metrics: set})
	if err != nil {
		return nil, errors.Wrap(err, "controller")
	}
	p.parts = append(p.parts, ctrl.Run)
	return p, nil
}
