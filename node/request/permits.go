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

// Constants of the admission at another agent.
const (
	// admitSends bounds how often an admission is sent. It is safe to repeat, because a permit is admitted once.
	admitSends = 3
	admitPause = 50 * time.Millisecond
	// maxSuccessors bounds how many agents that left one after the other are followed to the one that admits a permit: a rolling restart of a
	// large pool within the validity of a permit.
	maxSuccessors = 64
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
	return s.admitAtHolder(ctx, text, p, q)
}

func permitRequired(reason string) *lacewingv1.Response {
	r := outcomeResponse(request.NotRun, reason)
	r.Status = http.StatusPreconditionRequired
	return r
}

// admitAtHolder passes the request to the process that admits the permit: the incarnation that issued it, or its successor. An earlier
// presentation may have run there, so whatever goes wrong on the way makes the outcome unknown.
func (s *Server) admitAtHolder(ctx context.Context, text string, p permit.Permit, q *lacewingv1.Request) *lacewingv1.Response {
	for sends := 0; sends < admitSends; {
		holder, ok := s.holder(p)
		if !ok {
			return outcomeResponse(request.Unknown, "the process that issued the permit is gone")
		}
		response, err := s.admitAt(ctx, &holder, text, p, q)
		if err == nil {
			return response
		}
		if connect.CodeOf(err) != connect.CodeAborted { // else the holder hands over, and its record will name its successor
			sends++
		}
		if !timing.Sleep(ctx, admitPause) {
			break
		}
	}
	return outcomeResponse(request.Unknown, "the process that issued the permit did not answer")
}

func (s *Server) admitAt(ctx context.Context, holder *record.Node, text string, p permit.Permit, q *lacewingv1.Request) (*lacewingv1.Response, error) {
	if holder.ID == s.self.ID {
		return s.admit(ctx, p, q)
	}
	return s.sendAdmit(ctx, holder, text, q)
}

// holder returns the process that admits a permit, and false if there is none.
func (s *Server) holder(p permit.Permit) (record.Node, bool) {
	at := record.Successor{ID: p.Agent, Incarnation: p.Incarnation}
	for range maxSuccessors {
		n, ok := s.options.Mesh.Node(at.ID)
		if !ok || n.Incarnation > at.Incarnation {
			return n, false
		}
		if n.State != record.Left {
			return n, true
		}
		at = n.Successor
	}
	return record.Node{}, false
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
	return s.admit(ctx, p, q)
}

// admit runs a request under a permit that this process issued or adopted, or returns the outcome of the permit's first presentation. Its only error
// is errHandedOver, after which nothing has run here.
func (s *Server) admit(ctx context.Context, p permit.Permit, q *lacewingv1.Request) (*lacewingv1.Response, error) {
	flight, response, err := s.enter(p, q)
	if flight == nil {
		return response, err
	}
	select {
	case <-flight:
	case <-ctx.Done():
		return outcomeResponse(request.Unknown, "still running"), nil
	}
	_, response, err = s.enter(p, q)
	return response, err
}

// enter admits the permit and starts the request. It returns the flight to wait for, or the response.
func (s *Server) enter(p permit.Permit, q *lacewingv1.Request) (chan struct{}, *lacewingv1.Response, error) {
	s.permits.Lock()
	defer s.permits.Unlock()
	book := s.bookOf(p)
	if book == nil {
		return nil, outcomeResponse(request.Unknown, "the process that issued the permit is gone"), nil
	}
	key := keyOf(p)
	verdict, recorded := book.Admit(time.Now(), p, digest(q))
	switch verdict {
	case permit.Admitted:
		flight := make(chan struct{})
		s.permits.flights[key] = flight
		s.active.Add(1)
		go s.run(book, p, q, flight)
		return flight, nil, nil
	case permit.InFlight:
		return s.permits.flights[key], nil, nil
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

// run runs an admitted request. It goes on when the caller leaves, so that another presentation gets the outcome.
func (s *Server) run(book *permit.Registry[*lacewingv1.Response], p permit.Permit, q *lacewingv1.Request, flight chan struct{}) {
	defer s.active.Add(-1)
	response := s.coordinate(context.Background(), q)
	s.permits.Lock()
	defer s.permits.Unlock()
	book.Finish(p, response, proto.Size(response))
	delete(s.permits.flights, keyOf(p))
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
