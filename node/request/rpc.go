package request

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"

	lacewingv1 "lacewinglever.dev/node/gen/lacewing/v1"
	"lacewinglever.dev/node/gen/lacewing/v1/lacewingv1connect"
	"lacewinglever.dev/node/rpcauth"
	"lacewinglever.dev/node/wire"
	"lacewinglever.dev/policy/ident"
	"lacewinglever.dev/policy/record"
	"lacewinglever.dev/policy/request"
)

// headerIncarnation names the incarnation to which an Execute or Cancel is addressed. A restarted
// executor has no record of what its previous incarnation ran, so it must not reply in its place.
const headerIncarnation = rpcauth.HeaderIncarnation

// Limits of RPCs between agents.
const (
	rpcIdlePerHost = 64
	rpcIdleTimeout = 90 * time.Second
	// maxMessage is the largest message that is read, in bytes: a response with its headers.
	maxMessage = MaxResponseBytes + 1<<20
	// cancelTimeout bounds the RPC Cancel.
	cancelTimeout = 500 * time.Millisecond
	// replyGracePeriod is how long after not_after the coordinator waits for an executor's reply.
	replyGracePeriod = 200 * time.Millisecond
)

// clientCache holds an RPC client per address. The clients sign their requests and check the
// replies.
type clientCache struct {
	base    *http.Transport
	http    *http.Client
	options []connect.ClientOption
	mu      sync.Mutex
	byURL   map[string]lacewingv1connect.AgentServiceClient
}

func newClientCache(keys *wire.Keyring, local netip.Addr) *clientCache {
	base := &http.Transport{
		DialContext:         rpcauth.Dialer(local).DialContext,
		MaxIdleConnsPerHost: rpcIdlePerHost,
		IdleConnTimeout:     rpcIdleTimeout,
	}
	// Compression costs more processor time than the links between data centres justify.
	defaults := []connect.ClientOption{connect.WithAcceptCompression("gzip", nil, nil),
		connect.WithReadMaxBytes(maxMessage)}
	return &clientCache{
		base:    base,
		http:    &http.Client{Transport: &rpcauth.Transport{Keys: keys, Base: base}},
		options: defaults,
		byURL:   map[string]lacewingv1connect.AgentServiceClient{},
	}
}

// setKeys replaces the keyring. RPCs in progress finish with the old one.
func (c *clientCache) setKeys(keys *wire.Keyring) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.http = &http.Client{Transport: &rpcauth.Transport{Keys: keys, Base: c.base}}
	clear(c.byURL)
}

// maxClients bounds the cached clients. Addresses come from authentic records, but change with
// every restart of an agent.
const maxClients = 4096

func (c *clientCache) get(n *record.Node) lacewingv1connect.AgentServiceClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	url := "http://" + n.RPCAddress
	client, ok := c.byURL[url]
	if !ok {
		if len(c.byURL) >= maxClients {
			clear(c.byURL)
		}
		client = lacewingv1connect.NewAgentServiceClient(c.http, url, c.options...)
		c.byURL[url] = client
	}
	return client
}

// traceConnection returns a context that records whether a connection was obtained. Without one, no
// byte of the request was sent.
func traceConnection(ctx context.Context) (context.Context, *atomic.Bool) {
	connected := &atomic.Bool{}
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	return httptrace.WithClientTrace(ctx, trace), connected
}

func toAttempt(id request.AttemptID) *lacewingv1.Attempt {
	return &lacewingv1.Attempt{
		Coordinator: uint64(id.Coordinator),
		Incarnation: uint64(id.Incarnation),
		Request:     id.Request,
		Number:      id.Number,
	}
}

func fromAttempt(a *lacewingv1.Attempt) request.AttemptID {
	return request.AttemptID{
		Coordinator: ident.NodeID(a.GetCoordinator()),
		Incarnation: ident.Incarnation(a.GetIncarnation()),
		Request:     a.GetRequest(),
		Number:      a.GetNumber(),
	}
}

// sendExecute sends an attempt to its executor and returns the result as an event.
func (s *Server) sendExecute(ctx context.Context, to *record.Node, id request.AttemptID, q *lacewingv1.Request,
	notAfter time.Time) (request.EventKind, *lacewingv1.Response) {
	if to.ID == s.self.ID {
		return s.executeHere(ctx, id, q, notAfter)
	}
	ctx, cancel := context.WithDeadline(ctx, notAfter.Add(replyGracePeriod))
	defer cancel()
	ctx, connected := traceConnection(ctx)
	message := connect.NewRequest(&lacewingv1.ExecuteRequest{Attempt: toAttempt(id), Request: q,
		NotAfterUnixMs: uint64(notAfter.UnixMilli())})
	message.Header().Set(headerIncarnation, formatIncarnation(to.Incarnation))
	reply, err := s.clients.get(to).Execute(ctx, message)
	switch {
	case err == nil && fromAttempt(reply.Msg.GetAttempt()) == id && reply.Msg.GetResponse() != nil:
		return eventOf(reply.Msg.GetResponse()), reply.Msg.GetResponse()
	case err == nil:
		return request.ReplyLost, nil // a reply to another attempt
	case !connected.Load() || connect.CodeOf(err) == connect.CodeFailedPrecondition:
		return request.NotSent, nil
	}
	return request.ReplyLost, nil
}

func (s *Server) executeHere(ctx context.Context, id request.AttemptID, q *lacewingv1.Request,
	notAfter time.Time) (request.EventKind, *lacewingv1.Response) {
	result, err := s.executor.execute(ctx, id, q, notAfter)
	if err != nil {
		return request.ReplyLost, nil
	}
	return eventOf(result), result
}

func eventOf(r *lacewingv1.Response) request.EventKind {
	switch fromOutcome(r.GetOutcome()) {
	case request.Answered:
		return request.AnswerReceived
	case request.NotRun:
		return request.NotRunReceived
	}
	return request.UnknownReceived
}

// sendCancel cancels an attempt at its executor and returns the result as an event. It continues
// after the caller has disconnected.
func (s *Server) sendCancel(ctx context.Context, to *record.Node, id request.AttemptID,
	notAfter time.Time) (request.EventKind, *lacewingv1.Response) {
	if to.ID == s.self.ID {
		return cancelEvent(s.executor.cancel(id, notAfter))
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
	defer cancel()
	message := connect.NewRequest(&lacewingv1.CancelRequest{
		Service:        uint64(s.service),
		Attempt:        toAttempt(id),
		NotAfterUnixMs: uint64(notAfter.UnixMilli()),
	})
	message.Header().Set(headerIncarnation, formatIncarnation(to.Incarnation))
	reply, err := s.clients.get(to).Cancel(ctx, message)
	if err != nil {
		return request.CancelFailed, nil
	}
	return cancelEvent(reply.Msg.GetNeverRan(), reply.Msg.GetResponse())
}

func cancelEvent(neverRan bool, result *lacewingv1.Response) (request.EventKind, *lacewingv1.Response) {
	switch {
	case neverRan:
		return request.CancelSucceeded, nil
	case result != nil:
		return eventOf(result), result
	}
	return request.CancelFailed, nil
}

func formatIncarnation(i ident.Incarnation) string { return strconv.FormatUint(uint64(i), 10) }

// rpcHandler serves the RPCs of AgentService that belong to requests; the embedded handler serves
// the others. A replay by a third party within the 30 s that rpcauth accepts runs nothing twice: an
// executor keeps an attempt until its not_after and refuses it afterwards, a permit is admitted
// once, and a coordinator does not send an attempt again after its Cancel.
type rpcHandler struct {
	lacewingv1connect.AgentServiceHandler
	server *Server
}

// Errors of RPCs. They mean that this copy of the message had no effect.
var (
	errOtherService     = errors.New("the agent serves another service")
	errOtherIncarnation = errors.New("the message is for another incarnation of the agent")
)

// checkRecipient refuses messages that are addressed to another service or incarnation.
func (r rpcHandler) checkRecipient(service uint64, header http.Header) error {
	if ident.ServiceID(service) != r.server.service {
		return connect.NewError(connect.CodeFailedPrecondition, errOtherService)
	}
	if header.Get(headerIncarnation) != formatIncarnation(r.server.self.Incarnation) {
		return connect.NewError(connect.CodeFailedPrecondition, errOtherIncarnation)
	}
	return nil
}

// Execute runs an attempt on the local target.
func (r rpcHandler) Execute(ctx context.Context,
	m *connect.Request[lacewingv1.ExecuteRequest]) (*connect.Response[lacewingv1.ExecuteResponse], error) {
	if err := r.checkRecipient(m.Msg.GetRequest().GetService(), m.Header()); err != nil {
		return nil, err
	}
	notAfter := time.UnixMilli(int64(m.Msg.GetNotAfterUnixMs()))
	if notAfter.After(time.Now().Add(maxNotAfter)) {
		return nil, connect.NewError(connect.CodeFailedPrecondition, errNotAfter)
	}
	result, err := r.server.executor.execute(ctx, fromAttempt(m.Msg.GetAttempt()), m.Msg.GetRequest(), notAfter)
	if errors.Is(err, errExpired) {
		return nil, connect.NewError(connect.CodeDeadlineExceeded, err)
	}
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	reply := &lacewingv1.ExecuteResponse{Attempt: m.Msg.GetAttempt(), Response: result, Load: r.server.Load()}
	return connect.NewResponse(reply), nil
}

// maxNotAfter bounds how long a coordinator can make an executor keep an attempt. It includes a
// tolerance for clock differences.
const maxNotAfter = MaxDeadline + 30*time.Second

var errNotAfter = errors.New("not_after is too far in the future")

// Cancel prevents an attempt from starting, or interrupts it if it is running.
func (r rpcHandler) Cancel(_ context.Context,
	m *connect.Request[lacewingv1.CancelRequest]) (*connect.Response[lacewingv1.CancelResponse], error) {
	if err := r.checkRecipient(m.Msg.GetService(), m.Header()); err != nil {
		return nil, err
	}
	notAfter := time.UnixMilli(int64(m.Msg.GetNotAfterUnixMs()))
	if notAfter.After(time.Now().Add(maxNotAfter)) {
		return nil, connect.NewError(connect.CodeFailedPrecondition, errNotAfter)
	}
	neverRan, result := r.server.executor.cancel(fromAttempt(m.Msg.GetAttempt()), notAfter)
	return connect.NewResponse(&lacewingv1.CancelResponse{NeverRan: neverRan, Response: result}), nil
}

// Admit runs a request once under a permit that this process issued or adopted.
func (r rpcHandler) Admit(ctx context.Context,
	m *connect.Request[lacewingv1.AdmitRequest]) (*connect.Response[lacewingv1.AdmitResponse], error) {
	if ident.ServiceID(m.Msg.GetRequest().GetService()) != r.server.service {
		return nil, connect.NewError(connect.CodeFailedPrecondition, errOtherService)
	}
	result, err := r.server.admitToken(ctx, m.Msg.GetPermit(), m.Msg.GetRequest())
	if errors.Is(err, errHandedOver) {
		return nil, errHandedOver
	}
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(&lacewingv1.AdmitResponse{Response: result}), nil
}

func newAdmitRequest(token string, q *lacewingv1.Request) *connect.Request[lacewingv1.AdmitRequest] {
	return connect.NewRequest(&lacewingv1.AdmitRequest{Permit: token, Request: q})
}
