// Package request serves services of kind request: HTTP/3 towards callers, the choice of an executor, and the execution of attempts on
// the local target.
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
	// initialPacketSize leaves room for the header of the datagrams between nodes.
	initialPacketSize = 1200
	maxStreams        = 100
	maxHeaderBytes    = 64 << 10
	defaultIdle       = 60 * time.Second
	defaultQueueLimit = 64
	// closeGrace is how long a draining server waits, after the last request has ended, for callers to close their connections.
	closeGrace = time.Second
)

// Limits of the memory for permits.
const (
	rememberedPermits = 65536
	permitBytes       = 64 << 20
)

// Options configure a Server.
type Options struct {
	Mesh         peer.Mesh
	Keys         *wire.Keyring
	Service      ident.ServiceName
	Settings     func() *settings.Spec // newest accepted settings of the service; nil while none are known
	TargetURL    string                // URL of the target, http only
	Slots        int                   // of the target
	LocalAddress netip.Addr            // from which RPCs to other agents are made; unspecified: the system chooses
	TLS          TLS
	Return       agent.ReturnFunc
	Load         func() *lacewingv1.Load // what the agent reports of the local target; nil: Server.Load
	Logger       log.Logger
	Metrics      *metrics.Set
}

// Server is the HTTP/3 server, the coordinator of the requests that it receives, and the executor at the local target. It implements
// agent.Local.
type Server struct {
	options    Options
	self       record.Node // at the start: id, name, data centre and incarnation don't change
	service    ident.ServiceID
	keys       atomic.Pointer[wire.Keyring]
	connection *packetConn
	generator  *connid.Generator
	quic       *quic.Transport
	listener   *quic.EarlyListener
	http3      *http3.Server
	executor   *executor
	clients    *clients
	decisions  *logging.Decisions
	metrics    counters
	number     atomic.Uint64 // of the last request
	active     atomic.Int64  // requests that are being coordinated or admitted

	dispatch struct {
		sync.Mutex
		dispatcher *dispatch.Dispatcher
		budget     limit.RetryBudget
		forgotten  time.Time
	}
	permits struct {
		sync.Mutex
		book    *permit.Registry[*lacewingv1.Response]
		flights map[permitKey]chan struct{} // closed when the outcome is recorded
		adopted map[issuer]*adoption
	}
}

var (
	_ agent.FlowServer        = (*Server)(nil)
	_ agent.ConnectionMatcher = (*Server)(nil)
)

// New starts the HTTP/3 server. It serves what Deliver passes to it until Close.
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
	s.clients = newClients(o.Keys, o.LocalAddress)
	s.executor = newExecutor(s.self.ID, target, o.Slots, defaultQueueLimit)
	s.dispatch.dispatcher = dispatch.New(s.self.DataCentre, rand.IntN)
	s.permits.flights = map[permitKey]chan struct{}{}
	s.permits.adopted = map[issuer]*adoption{}
	s.permits.book = s.newBook(issuer{s.self.ID, s.self.Incarnation})
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
	idle := defaultIdle
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

// Deliver passes on a caller's datagram.
func (s *Server) Deliver(caller ident.Caller, payload []byte) {
	if !s.connection.deliver(caller, payload) {
		s.metrics.datagramsDropped.Inc()
	}
}

// MatchesConnection tells whether a caller's datagram belongs to a connection of this process by its connection id, which stays the same when the
// caller's address changes.
func (s *Server) MatchesConnection(payload []byte) bool {
	id, ok := connid.FromDatagram(s.keys.Load(), payload)
	return ok && id.Agent == s.self.ID && id.Matches(s.self.Incarnation)
}

// Handler returns the path and the handler of AgentService, which the program wraps in rpcauth.Handler. rest serves Drain and Explain; nil leaves them unimplemented.
func (s *Server) Handler(rest lacewingv1connect.AgentServiceHandler) (string, http.Handler) {
	if rest == nil {
		rest = lacewingv1connect.UnimplementedAgentServiceHandler{}
	}
	return lacewingv1connect.NewAgentServiceHandler(rpcs{AgentServiceHandler: rest, server: s}, connect.WithReadMaxBytes(maxMessage))
}

// Load returns the busy slots, the queue and the mean service time of the local target, for the heartbeat. Connections, shedding and warmth
// are for the agent to fill in.
func (s *Server) Load() *lacewingv1.Load { return s.executor.load() }

// SetKeys replaces the keyring, for key rotation.
func (s *Server) SetKeys(k *wire.Keyring) {
	s.keys.Store(k)
	s.generator.SetKeys(k)
	s.clients.setKeys(k)
	s.permits.Lock()
	defer s.permits.Unlock()
	s.permits.book.SetTagger(k)
}

// Drain accepts no new connections, sends GOAWAY and returns when the requests and attempts in progress have ended, or the context ends.
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
	if err := s.waitRequests(ctx); err != nil {
		return err
	}
	select {
	case <-closed:
	case <-time.After(closeGrace):
	case <-ctx.Done():
	}
	return nil
}

// waitRequests returns when this server coordinates no request.
func (s *Server) waitRequests(ctx context.Context) error {
	poll := time.NewTicker(drainPoll)
	defer poll.Stop()
	for s.active.Load() > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-poll.C:
		}
	}
	return nil
}

// Close ends all connections at once.
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
