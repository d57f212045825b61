package request

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	lacewingv1 "lacewinglever.dev/node/gen/lacewing/v1"
	"lacewinglever.dev/policy/permit"
	"lacewinglever.dev/policy/record"
	"lacewinglever.dev/policy/request"
)

// Constants of the admission at another agent.
const (
	// admitSends bounds how often an admission is sent. It is safe to repeat, because a permit is admitted once.
	admitSends = 3
	admitPause = 50 * time.Millisecond
)

// issue returns a new permit.
func (s *Server) issue() string {
	s.permits.Lock()
	defer s.permits.Unlock()
	return s.permits.book.Issue(time.Now())
}

// runWithPermit runs a request that may not be repeated.
func (s *Server) runWithPermit(ctx context.Context, text string, q *lacewingv1.Request) *lacewingv1.Response {
	if text == "" {
		return permitRequired("permit required")
	}
	p, err := permit.Parse(text, s.keys.Load())
	if errors.Is(err, permit.ErrMalformed) {
		return permitRequired("permit is malformed")
	}
	if err != nil {
		// It may have been issued and admitted under a key that was rotated out since.
		return outcomeResponse(request.Unknown, "permit is not authentic")
	}
	if p.Service != s.service {
		return permitRequired("permit of another service")
	}
	if p.Agent == s.self.ID {
		return s.admit(ctx, p, q)
	}
	return s.admitElsewhere(ctx, text, p, q)
}

func permitRequired(reason string) *lacewingv1.Response {
	r := outcomeResponse(request.NotRun, reason)
	r.Status = http.StatusPreconditionRequired
	return r
}

// admitElsewhere passes the request to the incarnation that issued the permit. An earlier presentation may have run there, so whatever
// goes wrong on the way makes the outcome unknown.
func (s *Server) admitElsewhere(ctx context.Context, text string, p permit.Permit, q *lacewingv1.Request) *lacewingv1.Response {
	issuer, ok := s.options.Mesh.Node(p.Agent)
	if !ok || issuer.State == record.Left || issuer.Incarnation > p.Incarnation {
		return outcomeResponse(request.Unknown, "the process that issued the permit is gone")
	}
	for range admitSends {
		response, err := s.sendAdmit(ctx, &issuer, text, q)
		if err == nil {
			return response
		}
		select {
		case <-ctx.Done():
			return outcomeResponse(request.Unknown, "the process that issued the permit did not answer")
		case <-time.After(admitPause):
		}
	}
	return outcomeResponse(request.Unknown, "the process that issued the permit did not answer")
}

var errNoResponse = errors.New("reply without a response")

func (s *Server) sendAdmit(ctx context.Context, issuer *record.Node, text string, q *lacewingv1.Request) (*lacewingv1.Response, error) {
	reply, err := s.clients.get(issuer).Admit(ctx, newAdmit(text, q))
	if err != nil {
		return nil, err
	}
	if reply.Msg.GetResponse() == nil {
		return nil, errNoResponse
	}
	return reply.Msg.GetResponse(), nil
}

// admitText is admit for a permit that another agent passes on.
func (s *Server) admitText(ctx context.Context, text string, q *lacewingv1.Request) (*lacewingv1.Response, error) {
	p, err := permit.Parse(text, s.keys.Load())
	if err != nil {
		return nil, err
	}
	return s.admit(ctx, p, q), nil
}

// admit runs a request under a permit of this process, or returns the outcome of the permit's first presentation.
func (s *Server) admit(ctx context.Context, p permit.Permit, q *lacewingv1.Request) *lacewingv1.Response {
	flight, response := s.enter(p, q)
	if flight == nil {
		return response
	}
	select {
	case <-flight:
	case <-ctx.Done():
		return outcomeResponse(request.Unknown, "still running")
	}
	_, response = s.enter(p, q)
	return response
}

// enter admits the permit and starts the request. It returns the flight to wait for, or the response.
func (s *Server) enter(p permit.Permit, q *lacewingv1.Request) (chan struct{}, *lacewingv1.Response) {
	s.permits.Lock()
	defer s.permits.Unlock()
	verdict, recorded := s.permits.book.Admit(time.Now(), p, digest(q))
	switch verdict {
	case permit.Admitted:
		flight := make(chan struct{})
		s.permits.flights[p.Number] = flight
		s.active.Add(1)
		go s.run(p, q, flight)
		return flight, nil
	case permit.InFlight:
		return s.permits.flights[p.Number], nil
	case permit.Recorded:
		return nil, proto.CloneOf(recorded)
	case permit.Expired:
		return nil, permitRequired("permit has expired")
	case permit.Void:
		return nil, permitRequired("permit is void")
	case permit.Mismatch:
		r := outcomeResponse(request.NotRun, "permit was used for another request")
		r.Status = http.StatusUnprocessableEntity
		return nil, r
	}
	return nil, outcomeResponse(request.Unknown, "outcome is no longer known")
}

// run runs an admitted request. It goes on when the caller leaves, so that another presentation gets the outcome.
func (s *Server) run(p permit.Permit, q *lacewingv1.Request, flight chan struct{}) {
	defer s.active.Add(-1)
	response := s.coordinate(context.Background(), q)
	s.permits.Lock()
	defer s.permits.Unlock()
	s.permits.book.Finish(p, response, proto.Size(response))
	delete(s.permits.flights, p.Number)
	close(flight)
}

// withoutBody keeps the outcome of an answer whose body no longer fits. 410 tells that the answer was given and is gone.
func withoutBody(r *lacewingv1.Response) *lacewingv1.Response {
	small := &lacewingv1.Response{Outcome: r.GetOutcome(), Status: r.GetStatus(), Executor: r.GetExecutor(), Reason: r.GetReason()}
	if fromOutcome(r.GetOutcome()) == request.Answered && len(r.GetBody()) > 0 {
		small.Status = http.StatusGone
		small.Reason = "the answer is no longer kept"
	}
	return small
}
