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

// headerIncarnation names the incarnation that an Execute or Cancel is meant for. A restarted executor doesn't know what the one before it
// ran, so it must not answer for it.
const headerIncarnation = rpcauth.HeaderIncarnation

// Limits of RPCs between agents.
const (
	rpcIdlePerHost = 64
	rpcIdleTimeout = 90 * time.Second
	// maxMessage is the largest message that is read, in bytes: a response with its headers.
	maxMessage = MaxResponseBytes + 1<<20
	// cancelTimeout bounds a Cancel.
	cancelTimeout = 500 * time.Millisecond
	// replyGrace is how long after not_after an executor's reply is waited for.
	replyGrace = 200 * time.Millisecond
)

// clients holds an RPC client per address. They sign what they send and check the replies.
type clients struct {
	base    *http.Transport
	http    *http.Client
	options []connect.ClientOption
	mu      sync.Mutex
	byURL   map[string]lacewingv1connect.AgentServiceClient
}

func newClients(keys *wire.Keyring, local netip.Addr) *clients {
	base := &http.Transport{
		DialContext:         rpcauth.Dialer(local).DialContext,
		MaxIdleConnsPerHost: rpcIdlePerHost,
		IdleConnTimeout:     rpcIdleTimeout,
	}
	// Compression costs more processor time than the links between data centres need.
	defaults := []connect.ClientOption{connect.WithAcceptCompression("gzip", nil, nil), connect.WithReadMaxBytes(maxMessage)}
	return &clients{
		base:    base,
		http:    &http.Client{Transport: &rpcauth.Transport{Keys: keys, Base: base}},
		options: defaults,
		byURL:   map[string]lacewingv1connect.AgentServiceClient{},
	}
}

// setKeys replaces the keyring. Clients that are in use end their RPC with the old one.
func (c *clients) setKeys(keys *wire.Keyring) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.http = &http.Client{Transport: &rpcauth.Transport{Keys: keys, Base: c.base}}
	clear(c.byURL)
}

// maxClients bounds the clients that are kept. Addresses come from authentic records, but change with every restart of an agent.
const maxClients = 4096

func (c *clients) get(n *record.Node) lacewingv1connect.AgentServiceClient {
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

// traced returns a context that notes whether a connection was obtained. Without one, no byte of the request was sent.
func traced(ctx context.Context) (context.Context, *atomic.Bool) {
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

// sendExecute sends an attempt to its executor and returns what happened.
func (s *Server) sendExecute(ctx context.Context, to *record.Node, id request.AttemptID, q *lacewingv1.Request, notAfter time.Time) (request.EventKind, *lacewingv1.Response) {
	if to.ID == s.self.ID {
		return s.executeHere(ctx, id, q, notAfter)
	}
	ctx, cancel := context.WithDeadline(ctx, notAfter.Add(replyGrace))
	defer cancel()
	ctx, connected := traced(ctx)
	message := connect.NewRequest(&lacewingv1.ExecuteRequest{Attempt: toAttempt(id), Request: q, NotAfterUnixMs: uint64(notAfter.UnixMilli())})
	message.Header().Set(headerIncarnation, formatIncarnation(to.Incarnation))
	reply, err := s.clients.get(to).Execute(ctx, message)
	switch {
	case err == nil && fromAttempt(reply.Msg.GetAttempt()) == id && reply.Msg.GetResponse() != nil:
		return eventOf(reply.Msg.GetResponse()), reply.Msg.GetResponse()
	case err == nil:
		return request.ReplyLost, nil // the reply to another attempt
	case !connected.Load() || connect.CodeOf(err) == connect.CodeFailedPrecondition:
		return request.NotSent, nil
	}
	return request.ReplyLost, nil
}

func (s *Server) executeHere(ctx context.Context, id request.AttemptID, q *lacewingv1.Request, notAfter time.Time) (request.EventKind, *lacewingv1.Response) {
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

// sendCancel cancels an attempt at its executor and returns what happened. It works on after the caller has gone.
func (s *Server) sendCancel(ctx context.Context, to *record.Node, id request.AttemptID, notAfter time.Time) (request.EventKind, *lacewingv1.Response) {
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

// rpcs are the RPCs of AgentService that requests need. The others are served by rest. A copy of an RPC that is sent again by somebody else
// within the 30 s that rpcauth accepts runs nothing twice: an executor knows an attempt until its not_after and refuses it afterwards; a
// permit is admitted once; and a coordinator sends an attempt no more after it has sent its Cancel.
type rpcs struct {
	lacewingv1connect.AgentServiceHandler
	server *Server
}

// Errors of RPCs. They say that this copy of the message was not acted on.
var (
	errOtherService     = errors.New("the agent serves another service")
	errOtherIncarnation = errors.New("the message is for another incarnation of the agent")
)

// check refuses messages that are not for this process.
func (r rpcs) check(service uint64, header http.Header) error {
	if ident.ServiceID(service) != r.server.service {
		return connect.NewError(connect.CodeFailedPrecondition, errOtherService)
	}
	if header.Get(headerIncarnation) != formatIncarnation(r.server.self.Incarnation) {
		return connect.NewError(connect.CodeFailedPrecondition, errOtherIncarnation)
	}
	return nil
}

// Execute runs an attempt on the local target.
func (r rpcs) Execute(ctx context.Context, m *connect.Request[lacewingv1.ExecuteRequest]) (*connect.Response[lacewingv1.ExecuteResponse], error) {
	if err := r.check(m.Msg.GetRequest().GetService(), m.Header()); err != nil {
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

// maxNotAfter bounds how long a coordinator can make an executor remember an attempt. It allows for clocks that differ.
const maxNotAfter = MaxDeadline + 30*time.Second

var errNotAfter = errors.New("not_after is too far in the future")

// Cancel makes sure that an attempt never begins, or ends it.
func (r rpcs) Cancel(_ context.Context, m *connect.Request[lacewingv1.CancelRequest]) (*connect.Response[lacewingv1.CancelResponse], error) {
	if err := r.check(m.Msg.GetService(), m.Header()); err != nil {
		return nil, err
	}
	notAfter := time.UnixMilli(int64(m.Msg.GetNotAfterUnixMs()))
	if notAfter.After(time.Now().Add(maxNotAfter)) {
		return nil, connect.NewError(connect.CodeFailedPrecondition, errNotAfter)
	}
	neverRan, result := r.server.executor.cancel(fromAttempt(m.Msg.GetAttempt()), notAfter)
	return connect.NewResponse(&lacewingv1.CancelResponse{NeverRan: neverRan, Response: result}), nil
}

// Admit runs a request under a permit that this process issued, once.
func (r rpcs) Admit(ctx context.Context, m *connect.Request[lacewingv1.AdmitRequest]) (*connect.Response[lacewingv1.AdmitResponse], error) {
	if ident.ServiceID(m.Msg.GetRequest().GetService()) != r.server.service {
		return nil, connect.NewError(connect.CodeFailedPrecondition, errOtherService)
	}
	result, err := r.server.admitText(ctx, m.Msg.GetPermit(), m.Msg.GetRequest())
	if errors.Is(err, errHandedOver) {
		return nil, errHandedOver
	}
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(&lacewingv1.AdmitResponse{Response: result}), nil
}

func newAdmit(text string, q *lacewingv1.Request) *connect.Request[lacewingv1.AdmitRequest] {
	return connect.NewRequest(&lacewingv1.AdmitRequest{Permit: text, Request: q})
}
