package agent

import (
	"context"
	"crypto/tls"
	"io"
	"net/http"
	"net/url"
	"time"

	"connectrpc.com/connect"
	"github.com/VictoriaMetrics/metrics"
	"github.com/go-faster/errors"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"golang.org/x/sync/errgroup"

	"lacewinglever.dev/node/config"
	"lacewinglever.dev/node/daemon"
	lacewingv1 "lacewinglever.dev/node/gen/lacewing/v1"
	"lacewinglever.dev/node/gen/lacewing/v1/lacewingv1connect"
	"lacewinglever.dev/node/logging"
	"lacewinglever.dev/node/peer"
	"lacewinglever.dev/node/rpcauth"
	"lacewinglever.dev/node/transport"
	"lacewinglever.dev/node/wire"
	"lacewinglever.dev/policy/ident"
	"lacewinglever.dev/policy/record"
	"lacewinglever.dev/policy/settings"
	"lacewinglever.dev/policy/yamlfile"
)

const (
	defaultDrainTimeout = time.Minute
	socketReaders       = 4
)

// Target configures the target beside the agent.
type Target struct {
	UDP   string `yaml:"udp"` // host:port of a feed target; empty for a service of kind request
	URL   string `yaml:"url"` // base URL of requests, GET /load and GET /healthz
	Slots uint32 `yaml:"slots"`
}

// TLS names the files of the certificate that a service of kind request presents to callers.
// Without files, a self-signed certificate is generated at start.
type TLS struct {
	CertificateFile string `yaml:"certificate_file"`
	KeyFile         string `yaml:"key_file"`
}

// Config is the settings file of lacewing-agent.
type Config struct {
	config.Node  `yaml:",inline"`
	Service      string        `yaml:"service"`
	Weight       float64       `yaml:"weight"`
	DrainTimeout time.Duration `yaml:"drain_timeout"`
	Target       Target        `yaml:"target"`
	TLS          TLS           `yaml:"tls"`
}

// Check reports the faults of the file.
func (c *Config) Check(f *yamlfile.Faults) {
	c.Node.Check(f)
	if _, err := ident.ParseServiceName(c.Service); err != nil {
		f.Add("$.service", "%v", err)
	}
	if c.Weight <= 0 {
		f.Add("$.weight", "%v: want more than 0", c.Weight)
	}
	if c.DrainTimeout <= 0 {
		f.Add("$.drain_timeout", "%v: want more than 0", c.DrainTimeout)
	}
	if c.Target.UDP == "" && c.Target.URL == "" {
		f.Add("$.target", "want udp for feeds or url for requests")
	}
	if c.Target.UDP != "" {
		config.CheckHostPort(f, "$.target.udp", c.Target.UDP)
	}
	if u, err := url.Parse(c.Target.URL); c.Target.URL != "" && (err != nil || u.Scheme != "http" || u.Host == "") {
		f.Add("$.target.url", "%q: want http://host:port", c.Target.URL)
	}
	if c.Target.Slots == 0 {
		f.Add("$.target.slots", "want at least 1")
	}
	c.checkTLS(f)
}

func (c *Config) checkTLS(f *yamlfile.Faults) {
	if c.TLS == (TLS{}) {
		return
	}
	if c.Target.UDP != "" {
		f.Add("$.tls", "a service of feeds has no certificate: target.udp is set")
	}
	if _, err := tls.LoadX509KeyPair(c.TLS.CertificateFile, c.TLS.KeyFile); err != nil {
		f.Add("$.tls", "%v", err)
	}
}

// LoadConfig reads and checks a settings file.
func LoadConfig(path string) (*Config, error) {
	return config.Load(path, Config{Weight: 1, DrainTimeout: defaultDrainTimeout, Target: Target{Slots: 1}},
		(*Config).Check)
}

// RequestOptions configure a RequestServer.
type RequestOptions struct {
	Config   *Config
	Mesh     peer.Mesh
	Keys     *wire.Keyring
	Service  ident.ServiceName
	Settings func() *settings.Spec // returns nil before the first accepted settings
	Return   ReturnFunc
	// Load returns the load of the target for heartbeats. It must not be called before the server
	// exists.
	Load    func() *lacewingv1.Load
	Logger  log.Logger
	Metrics *metrics.Set
}

// RequestServer is a FlowServer for requests that also serves the AgentService RPCs about them.
type RequestServer interface {
	FlowServer
	// Handler returns the path and the handler of AgentService. rest serves the RPCs that do not
	// concern requests.
	Handler(rest lacewingv1connect.AgentServiceHandler) (string, http.Handler)
	Close() error
}

// NewRequestServer makes the server of a service of kind request.
type NewRequestServer func(RequestOptions) (RequestServer, error)

// program is the parts of lacewing-agent.
type program struct {
	config    *Config
	logger    log.Logger
	set       *metrics.Set
	keys      *wire.Keyring
	service   ident.ServiceName
	transport *transport.Transport
	mesh      *peer.Peer
	agent     *Agent
	requests  RequestServer // nil for a service of kind feed
}

// Main runs an agent until the context ends, then drains it: the target gets no new flows, and
// existing ones are kept until they end or the drain timeout expires.
func Main(ctx context.Context, c *Config, logs io.Writer, requests NewRequestServer) error {
	p, err := newProgram(c, logging.New(logs, c.Name, c.LogLevel), requests)
	if err != nil {
		return err
	}
	// The other parts outlive ctx, because the drain needs them.
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	g, running := errgroup.WithContext(running)
	g.Go(func() error {
		return p.transport.Run(running, p.agent.Handlers(p.mesh.ReceiveControl))
	})
	g.Go(func() error { return p.mesh.Run(running) })
	g.Go(func() error { return daemon.Serve(running, c.RPC.Listen, p.rpc()) })
	g.Go(func() error {
		return daemon.Serve(running, c.Metrics, daemon.ObservabilityHandler(p.set,
			func() string { return p.mesh.Self().State.String() }))
	})
	g.Go(func() error {
		defer stop()
		return p.agent.Run(ctx, running)
	})
	_ = level.Info(p.logger).Log(logging.KeyMessage, "agent started", logging.KeyService, p.service,
		"udp", c.UDP.Listen)
	err = g.Wait()
	if p.requests != nil {
		_ = p.requests.Close()
	}
	return err
}

func newProgram(c *Config, logger log.Logger, requests NewRequestServer) (*program, error) {
	p := &program{config: c, logger: logger, set: metrics.NewSet()}
	var err error
	if p.keys, err = c.Keyring(); err != nil {
		return nil, err
	}
	if p.service, err = ident.ParseServiceName(c.Service); err != nil {
		return nil, err
	}
	self := p.self()
	p.transport, err = transport.Open(transport.Options{
		Self: self.ID, Listen: c.UDP.Listen, Advertise: c.UDP.Advertise, Keys: p.keys, Readers: socketReaders,
		Metrics: p.set,
	})
	if err != nil {
		return nil, err
	}
	p.mesh, err = peer.New(peer.Options{
		Self: self, Transport: p.transport, Keys: p.keys, Seeds: c.Seeds, Logger: logger, Metrics: p.set,
	})
	if err != nil {
		return nil, err
	}
	o := Options{
		Mesh: p.mesh, Transport: p.transport, Service: p.service, TargetUDP: c.Target.UDP, TargetURL: c.Target.URL,
		Slots: c.Target.Slots, DrainTimeout: c.DrainTimeout, Parse: settings.Parse, Logger: logger, Metrics: p.set,
	}
	if c.Target.UDP == "" {
		o.NewFlowServer = p.flowServerFactory(requests)
	}
	p.agent, err = New(o)
	return p, err
}

func (p *program) self() record.Node {
	c := p.config
	return record.Node{
		ID:          ident.NewNodeID(c.Name),
		Name:        c.Name,
		DataCentre:  ident.DataCentre(c.DataCentre),
		Rack:        c.Rack,
		UDPAddress:  c.UDP.Advertise,
		RPCAddress:  c.RPC.Advertise,
		Service:     p.service.ID(),
		ServiceName: p.service,
		Incarnation: ident.Incarnation(time.Now().UnixMicro()),
		State:       record.Joining,
		Weight:      c.Weight,
	}
}

// flowServerFactory returns the constructor of the flow server of a service of kind request.
func (p *program) flowServerFactory(requests NewRequestServer) func(*Agent) (FlowServer, error) {
	return func(a *Agent) (FlowServer, error) {
		if requests == nil {
			return nil, errors.New("this program serves feeds only: target.udp is required")
		}
		server, err := requests(RequestOptions{
			Config: p.config, Mesh: p.mesh, Keys: p.keys, Service: p.service, Settings: a.Settings,
			Return: a.SendToCaller, Load: a.Load, Logger: p.logger, Metrics: p.set,
		})
		p.requests = server
		return server, err
	}
}

// rpc returns the handler of the RPC address. PeerService checks signatures itself.
func (p *program) rpc() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(p.mesh.Handler())
	rest := &agentService{agent: p.agent}
	if p.requests != nil {
		path, h := p.requests.Handler(rest)
		mux.Handle(path, rpcauth.Handler(p.keys, h))
		return mux
	}
	path, h := lacewingv1connect.NewAgentServiceHandler(rest, connect.WithReadMaxBytes(maxLoadBody))
	mux.Handle(path, rpcauth.Handler(p.keys, h))
	return mux
}
