package request

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	lacewingv1 "lacewinglever.dev/node/gen/lacewing/v1"
	"lacewinglever.dev/node/timing"
	"lacewinglever.dev/policy/permit"
	"lacewinglever.dev/policy/record"
	"lacewinglever.dev/policy/request"
)

// Limits of admission at another agent.
const (
	// maxAdmitSends bounds how often an admission is sent. Retransmission is safe, because a permit
	// is admitted once.
	maxAdmitSends      = 3
	admitRetryInterval = 50 * time.Millisecond
	// maxSuccessorHops bounds the chain of stopped agents that is followed to the one that admits a
	// permit. It allows for a rolling restart of a large pool within the validity of a permit.
	maxSuccessorHops = 64
)

// issue returns a new permit.
func (s *Server) issue() string {
	s.permits.Lock()
	defer s.permits.Unlock()
	return s.permits.registry.Issue(time.Now())
}

// runWithPermit runs a non-idempotent request.
func (s *Server) runWithPermit(ctx context.Context, token string, q *lacewingv1.Request) *lacewingv1.Response {
	if token == "" {
		return permitRequired("permit required")
	}
	p, err := permit.Parse(token, s.keys.Load())
	if errors.Is(err, permit.ErrMalformed) {
		return permitRequired("permit is malformed")
	}
	if err != nil {
		// The permit may have been issued and admitted under a key that was rotated out since.
		return outcomeResponse(request.Unknown, "permit is not authentic")
	}
	if p.Service != s.service {
		return permitRequired("permit of another service")
	}
	return s.admitAtIssuerOrSuccessor(ctx, token, p, q)
}

func permitRequired(reason string) *lacewingv1.Response {
	r := outcomeResponse(request.NotRun, reason)
	r.Status = http.StatusPreconditionRequired
	return r
}

// admitAtIssuerOrSuccessor sends the request to the process that admits the permit: the incarnation
// that issued it, or its successor. A request with the same permit may have run there before, so
// any failure on the way makes the outcome unknown.
func (s *Server) admitAtIssuerOrSuccessor(ctx context.Context, token string, p permit.Permit,
	q *lacewingv1.Request) *lacewingv1.Response {
	for sends := 0; sends < maxAdmitSends; {
		node, ok := s.admittingNode(p)
		if !ok {
			return outcomeResponse(request.Unknown, "the process that issued the permit is gone")
		}
		response, err := s.admitAt(ctx, &node, token, p, q)
		if err == nil {
			return response
		}
		// An aborted admission is not counted: the node is handing over, and its record will name
		// the successor.
		if connect.CodeOf(err) != connect.CodeAborted {
			sends++
		}
		if !timing.Sleep(ctx, admitRetryInterval) {
			break
		}
	}
	return outcomeResponse(request.Unknown, "the process that issued the permit did not answer")
}

func (s *Server) admitAt(ctx context.Context, node *record.Node, token string, p permit.Permit,
	q *lacewingv1.Request) (*lacewingv1.Response, error) {
	if node.ID == s.self.ID {
		return s.admit(ctx, p, q)
	}
	return s.sendAdmit(ctx, node, token, q)
}

// admittingNode returns the node that admits a permit, and false if there is none.
func (s *Server) admittingNode(p permit.Permit) (record.Node, bool) {
	next := record.Successor{ID: p.Agent, Incarnation: p.Incarnation}
	for range maxSuccessorHops {
		n, ok := s.options.Mesh.Node(next.ID)
		if !ok || n.Incarnation > next.Incarnation {
			return n, false
		}
		if n.State != record.Left {
			return n, true
		}
		next = n.Successor
	}
	return record.Node{}, false
}

var errNoResponse = errors.New("reply without a response")

func (s *Server) sendAdmit(ctx context.Context, node *record.Node, token string,
	q *lacewingv1.Request) (*lacewingv1.Response, error) {
	reply, err := s.clients.get(node).Admit(ctx, newAdmitRequest(token, q))
	if err != nil {
		return nil, err
	}
	if reply.Msg.GetResponse() == nil {
		return nil, errNoResponse
	}
	return reply.Msg.GetResponse(), nil
}

// admitToken is admit for a permit that another agent forwards.
func (s *Server) admitToken(ctx context.Context, token string, q *lacewingv1.Request) (*lacewingv1.Response, error) {
	p, err := permit.Parse(token, s.keys.Load())
	if err != nil {
		return nil, err
	}
	return s.admit(ctx, p, q)
}

// admit runs a request under a permit that this process issued or adopted. If the permit was used
// before, it returns the outcome of that request. Its only error is errHandedOver; the request has
// not run here then.
func (s *Server) admit(ctx context.Context, p permit.Permit, q *lacewingv1.Request) (*lacewingv1.Response, error) {
	done, response, err := s.tryAdmit(p, q)
	if done == nil {
		return response, err
	}
	select {
	case <-done:
	case <-ctx.Done():
		return outcomeResponse(request.Unknown, "still running"), nil
	}
	_, response, err = s.tryAdmit(p, q)
	return response, err
}

// tryAdmit admits the permit and starts the request. It returns a channel that is closed when the
// request is finished, or the response.
func (s *Server) tryAdmit(p permit.Permit, q *lacewingv1.Request) (chan struct{}, *lacewingv1.Response, error) {
	s.permits.Lock()
	defer s.permits.Unlock()
	registry := s.registryOf(p)
	if registry == nil {
		return nil, outcomeResponse(request.Unknown, "the process that issued the permit is gone"), nil
	}
	key := keyOf(p)
	verdict, recorded := registry.Admit(time.Now(), p, requestDigest(q))
	switch verdict {
	case permit.Admitted:
		done := make(chan struct{})
		s.permits.inFlight[key] = done
		s.activeRequests.Add(1)
		go s.runAdmitted(registry, p, q, done)
		return done, nil, nil
	case permit.InFlight:
		return s.permits.inFlight[key], nil, nil
	case permit.Closed:
		return nil, nil, errHandedOver
	case permit.Recorded:
		return nil, proto.CloneOf(recorded), nil
	}
	return nil, refusal(verdict), nil
}

// refusal returns the response to a permit that is not admitted and has no recorded outcome.
func refusal(v permit.Verdict) *lacewingv1.Response {
	switch v {
	case permit.Expired:
		return permitRequired("permit has expired")
	case permit.Void:
		return permitRequired("permit is void")
	case permit.Mismatch:
		r := outcomeResponse(request.NotRun, "permit was used for another request")
		r.Status = http.StatusUnprocessableEntity
		return r
	}
	return outcomeResponse(request.Unknown, "outcome is no longer known")
}

// runAdmitted runs an admitted request. It continues after the caller has disconnected, so that a
// repeated request with the same permit gets the outcome.
func (s *Server) runAdmitted(registry *permit.Registry[*lacewingv1.Response], p permit.Permit, q *lacewingv1.Request,
	done chan struct{}) {
	defer s.activeRequests.Add(-1)
	response := s.coordinate(context.Background(), q)
	s.permits.Lock()
	defer s.permits.Unlock()
	registry.Finish(p, response, proto.Size(response))
	delete(s.permits.inFlight, keyOf(p))
	close(done)
}

// outcomeOnly returns the outcome of a response without its body, which no longer fits in memory.
// Status 410 means that there was an answer and it is no longer kept.
func outcomeOnly(r *lacewingv1.Response) *lacewingv1.Response {
	reduced := &lacewingv1.Response{Outcome: r.GetOutcome(), Status: r.GetStatus(), Executor: r.GetExecutor(),
		Reason: r.GetReason()}
	if fromOutcome(r.GetOutcome()) == request.Answered && len(r.GetBody()) > 0 {
		reduced.Status = http.StatusGone
		reduced.Reason = "the answer is no longer kept"
	}
	return reduced
}
