// Package request serves services of kind request. It accepts HTTP/3 from callers, chooses an
// executor (an agent whose target runs the request), and runs attempts on the local target.
package request

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"net/url"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/VictoriaMetrics/metrics"
	"github.com/go-faster/errors"
	"github.com/go-kit/log"
	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"

	"lacewinglever.dev/node/agent"
	"lacewinglever.dev/node/connid"
	lacewingv1 "lacewinglever.dev/node/gen/lacewing/v1"
	"lacewinglever.dev/node/gen/lacewing/v1/lacewingv1connect"
	"lacewinglever.dev/node/logging"
	"lacewinglever.dev/node/peer"
	"lacewinglever.dev/node/wire"
	"lacewinglever.dev/policy/dispatch"
	"lacewinglever.dev/policy/ident"
	"lacewinglever.dev/policy/limit"
	"lacewinglever.dev/policy/permit"
	"lacewinglever.dev/policy/record"
	"lacewinglever.dev/policy/settings"
)

// Limits of the connections from callers.
const (
	// initialPacketSize is in bytes and leaves space for the header that nodes put in front of a
	// forwarded datagram.
	initialPacketSize  = 1200
	maxStreams         = 100
	maxHeaderBytes     = 64 << 10
	defaultIdleTimeout = 60 * time.Second
	defaultQueueLimit  = 64
	// closeGracePeriod is how long a draining server waits, after the last request has ended, for
	// callers to close their connections.
	closeGracePeriod = time.Second
)

// Memory limits for permits.
const (
	maxPermitRecords     = 65536
	maxPermitResultBytes = 64 << 20
)

// Options configure a Server.
type Options struct {
	Mesh         peer.Mesh
	Keys         *wire.Keyring
	Service      ident.ServiceName
	Settings     func() *settings.Spec // newest accepted settings of the service; nil before the first
	TargetURL    string                // URL of the target; http only
	Slots        int                   // concurrent requests of the target
	LocalAddress netip.Addr            // source address of RPCs to other agents; unspecified: chosen by the system
	TLS          TLS
	Return       agent.ReturnFunc
	Load         func() *lacewingv1.Load // load that the agent reports for the local target; nil: Server.Load
	Logger       log.Logger
	Metrics      *metrics.Set
}

// Server is the HTTP/3 server of one agent, the coordinator of the requests that it receives, and
// the executor for the local target. It implements agent.FlowServer.
type Server struct {
	options        Options
	self           record.Node // own record at the start; id, name, data centre and incarnation are constant
	service        ident.ServiceID
	keys           atomic.Pointer[wire.Keyring]
	connection     *packetConn
	generator      *connid.Generator
	quic           *quic.Transport
	listener       *quic.EarlyListener
	http3          *http3.Server
	executor       *executor
	clients        *clientCache
	decisions      *logging.Decisions
	metrics        counters
	lastRequest    atomic.Uint64 // number of the newest request
	activeRequests atomic.Int64  // requests in progress as coordinator or under a permit

	dispatch struct {
		sync.Mutex
		dispatcher *dispatch.Dispatcher
		budget     limit.RetryBudget
		lastPruned time.Time
	}
	permits struct {
		sync.Mutex
		registry *permit.Registry[*lacewingv1.Response]
		inFlight map[permitKey]chan struct{} // admitted requests without an outcome; closed when it is recorded
		adopted  map[issuer]*adoption
	}
}

var (
	_ agent.FlowServer        = (*Server)(nil)
	_ agent.ConnectionMatcher = (*Server)(nil)
)

// New starts the HTTP/3 server. It serves the datagrams that are passed to Deliver until Close.
func New(o Options) (*Server, error) {
	target, err := url.Parse(o.TargetURL)
	if err != nil || target.Scheme != "http" || target.Host == "" {
		return nil, errors.Errorf("target URL %q: want http://host:port", o.TargetURL)
	}
	if o.Slots < 1 {
		return nil, errors.Errorf("target slots %d: want at least 1", o.Slots)
	}
	tlsConfig, err := o.TLS.config(o.Service.String())
	if err != nil {
		return nil, err
	}
	s := &Server{options: o, self: o.Mesh.Self(), service: o.Service.ID()}
	if o.Load == nil {
		s.options.Load = s.Load
	}
	s.keys.Store(o.Keys)
	s.decisions = logging.NewDecisions(o.Logger)
	s.metrics = newCounters(o.Metrics)
	s.clients = newClientCache(o.Keys, o.LocalAddress)
	s.executor = newExecutor(s.self.ID, target, o.Slots, defaultQueueLimit)
	s.dispatch.dispatcher = dispatch.New(s.self.DataCentre, rand.IntN)
	s.permits.inFlight = map[permitKey]chan struct{}{}
	s.permits.adopted = map[issuer]*adoption{}
	s.permits.registry = s.newRegistry(issuer{s.self.ID, s.self.Incarnation})
	s.connection = newPacketConn(o.Return)
	s.generator = connid.NewGenerator(s.self.ID, s.self.Incarnation, o.Keys)
	s.quic = &quic.Transport{Conn: s.connection, ConnectionIDGenerator: s.generator}
	s.listener, err = s.quic.ListenEarly(tlsConfig, s.quicConfig())
	if err != nil {
		return nil, errors.Wrap(err, "start QUIC")
	}
	s.http3 = &http3.Server{Handler: http.HandlerFunc(s.serve), MaxHeaderBytes: maxHeaderBytes}
	go func() { _ = s.http3.ServeListener(s.listener) }()
	return s, nil
}

func (s *Server) quicConfig() *quic.Config {
	idle := defaultIdleTimeout
	if spec := s.options.Settings(); spec != nil && spec.IdleTimeout > 0 {
		idle = spec.IdleTimeout
	}
	return &quic.Config{
		MaxIdleTimeout:          idle,
		MaxIncomingStreams:      maxStreams,
		InitialPacketSize:       initialPacketSize,
		DisablePathMTUDiscovery: true,
	}
}

// Deliver passes a caller's datagram to the QUIC stack, or drops it if the receive queue is full.
func (s *Server) Deliver(caller ident.Caller, payload []byte) {
	if !s.connection.deliver(caller, payload) {
		s.metrics.datagramsDropped.Inc()
	}
}

// MatchesConnection reports whether a caller's datagram belongs to a connection of this process. It
// reads the connection ID, which stays the same when the caller's address changes.
func (s *Server) MatchesConnection(payload []byte) bool {
	id, ok := connid.FromDatagram(s.keys.Load(), payload)
	return ok && id.Agent == s.self.ID && id.Matches(s.self.Incarnation)
}

// Handler returns the path and the handler of AgentService, which the program wraps in
// rpcauth.Handler. rest serves the RPCs Drain and Explain; with nil they return "unimplemented".
func (s *Server) Handler(rest lacewingv1connect.AgentServiceHandler) (string, http.Handler) {
	if rest == nil {
		rest = lacewingv1connect.UnimplementedAgentServiceHandler{}
	}
	return lacewingv1connect.NewAgentServiceHandler(rpcHandler{AgentServiceHandler: rest, server: s},
		connect.WithReadMaxBytes(maxMessage))
}

// Load returns the busy slots, the queue length and the mean service time of the local target, for
// the heartbeat. The agent adds connections, shedding and warm-up.
func (s *Server) Load() *lacewingv1.Load { return s.executor.load() }

// SetKeys replaces the keyring, for key rotation.
func (s *Server) SetKeys(k *wire.Keyring) {
	s.keys.Store(k)
	s.generator.SetKeys(k)
	s.clients.setKeys(k)
	s.permits.Lock()
	defer s.permits.Unlock()
	s.permits.registry.SetTagger(k)
}

// Drain refuses new connections, sends GOAWAY, and returns when the requests and attempts in
// progress have ended or the context ends.
func (s *Server) Drain(ctx context.Context) error {
	_ = s.listener.Close()
	shutdown, cancel := context.WithCancel(ctx)
	defer cancel()
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		_ = s.http3.Shutdown(shutdown)
	}()
	if err := s.executor.drain(ctx); err != nil {
		return err
	}
	if err := s.waitForRequests(ctx); err != nil {
		return err
	}
	select {
	case <-closed:
	case <-time.After(closeGracePeriod):
	case <-ctx.Done():
	}
	return nil
}

// waitForRequests returns when no request that this server coordinates is in progress.
func (s *Server) waitForRequests(ctx context.Context) error {
	poll := time.NewTicker(drainPoll)
	defer poll.Stop()
	for s.activeRequests.Load() > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-poll.C:
		}
	}
	return nil
}

// Close closes all connections immediately.
func (s *Server) Close() error {
	_ = s.http3.Close()
	err := s.quic.Close()
	_ = s.connection.Close()
	s.clients.base.CloseIdleConnections()
	s.executor.client.CloseIdleConnections()
	if err != nil {
		return errors.Wrap(err, "close QUIC")
	}
	return nil
}
