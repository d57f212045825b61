package request

import (
	"context"
	"slices"
	"time"

	lacewingv1 "lacewinglever.dev/node/gen/lacewing/v1"
	"lacewinglever.dev/node/logging"
	"lacewinglever.dev/policy/dispatch"
	"lacewinglever.dev/policy/ident"
	"lacewinglever.dev/policy/record"
	"lacewinglever.dev/policy/request"
)

// Constants of the coordinator.
const (
	// maxAttempts bounds the attempts of one request.
	maxAttempts = 3
	// Round trips that are assumed between agents. Load reports come far too seldom to measure them, and only their order matters.
	nearDistance = time.Millisecond
	farDistance  = 10 * time.Millisecond
	// forgetInterval is how often observations of targets that left the pool are dropped.
	forgetInterval = time.Minute
)

// coordination is one request on its way through attempts.
type coordination struct {
	server   *Server
	state    *request.Request
	request  *lacewingv1.Request
	number   uint64
	deadline time.Time
	tried    []ident.NodeID
	reason   string               // of the last attempt that did not run
	response *lacewingv1.Response // the newest from an executor

	// Of the open attempt.
	ticket   dispatch.Ticket
	executor record.Node
}

// coordinate places a request on executors until its outcome is known.
func (s *Server) coordinate(ctx context.Context, q *lacewingv1.Request) *lacewingv1.Response {
	s.active.Add(1)
	defer s.active.Add(-1)
	s.metrics.requests.Inc()
	deadline := time.UnixMilli(int64(q.GetDeadlineUnixMs()))
	c := &coordination{server: s, request: q, number: s.number.Add(1), deadline: deadline}
	s.offer(time.Now())
	state, action := request.New(deadline, maxAttempts)
	c.state = state
	for action.Kind != request.Finish {
		event := request.Event{Number: action.Number}
		event.Kind = c.perform(ctx, action)
		action = state.Handle(time.Now(), event, s.mayRetry)
	}
	return c.finish(action.Outcome)
}

func (s *Server) offer(now time.Time) {
	s.dispatch.Lock()
	defer s.dispatch.Unlock()
	s.dispatch.budget.Offer(now)
}

func (s *Server) mayRetry() bool {
	s.dispatch.Lock()
	defer s.dispatch.Unlock()
	if !s.dispatch.budget.Retry(time.Now()) {
		return false
	}
	s.metrics.retries.Inc()
	return true
}

// perform does what the state asks for and returns what happened.
func (c *coordination) perform(ctx context.Context, a request.Action) request.EventKind {
	id := request.AttemptID{
		Coordinator: c.server.self.ID,
		Incarnation: c.server.self.Incarnation,
		Request:     c.number,
		Number:      a.Number,
	}
	var kind request.EventKind
	var response *lacewingv1.Response
	switch a.Kind {
	case request.Select:
		return c.selectExecutor()
	case request.Cancel:
		kind, response = c.server.sendCancel(ctx, &c.executor, id, c.deadline)
	default:
		kind, response = c.server.sendExecute(ctx, &c.executor, id, c.request, c.deadline)
	}
	c.observe(ctx, kind, response)
	return kind
}

func (c *coordination) selectExecutor() request.EventKind {
	now := time.Now()
	s := c.server
	pool, nodes := s.candidates(now)
	s.dispatch.Lock()
	ticket, reason := s.dispatch.dispatcher.Choose(now, pool, c.tried, c.deadline.Sub(now))
	if now.Sub(s.dispatch.forgotten) > forgetInterval {
		s.dispatch.dispatcher.Prune(pool)
		s.dispatch.forgotten = now
	}
	s.dispatch.Unlock()
	if s.decisions.Allow() {
		s.decisions.Log("executor", logging.KeyRequest, c.number, logging.KeyOwner, ticket.Target, logging.KeyReason, reason)
	}
	if reason != dispatch.Chosen {
		c.reason = string(reason)
		return request.NoExecutor
	}
	i := slices.IndexFunc(nodes, func(n record.Node) bool { return n.ID == ticket.Target })
	c.ticket, c.executor = ticket, nodes[i]
	c.tried = append(c.tried, ticket.Target)
	return request.Selected
}

// observe notes how an attempt ended, for the choice of later executors.
func (c *coordination) observe(ctx context.Context, kind request.EventKind, response *lacewingv1.Response) {
	if response != nil {
		c.response, c.reason = response, response.GetReason()
	}
	var result dispatch.Result
	switch kind {
	case request.ReplyLost:
		return // decided by what follows
	case request.AnswerReceived:
		result = answerResult(response)
	case request.NotRunReceived, request.CancelSucceeded:
		result = dispatch.Refused
	case request.NotSent:
		result = dispatch.Unreachable
	default:
		result = dispatch.Failure
	}
	if response == nil {
		c.reason = eventReasons[kind]
	}
	if ctx.Err() != nil && kind != request.AnswerReceived {
		result = dispatch.Refused // the caller left, which says nothing about the target
	}
	s := c.server
	s.dispatch.Lock()
	defer s.dispatch.Unlock()
	s.dispatch.dispatcher.RecordResult(time.Now(), c.ticket, result)
}

// eventReasons are the reasons of events that come without a response.
var eventReasons = map[request.EventKind]string{
	request.NotSent:         "no connection to the executor",
	request.CancelSucceeded: "cancelled before it began",
	request.CancelFailed:    "the executor did not answer in time",
}

// answerResult counts the statuses of a broken target as failures: it answers them fast, and would attract work.
func answerResult(r *lacewingv1.Response) dispatch.Result {
	switch r.GetStatus() {
	case 500, 502, 504:
		return dispatch.Failure
	}
	return dispatch.Success
}

func (c *coordination) finish(o request.Outcome) *lacewingv1.Response {
	s := c.server
	s.metrics.outcomes[o].Inc()
	response := outcomeResponse(o, c.reason)
	response.Executor = uint64(c.executor.ID)
	response.Attempts = c.state.Attempts()
	if o == request.Answered {
		// The response is shared with further copies of the attempt, so it isn't changed.
		response.Status, response.Headers, response.Body = c.response.GetStatus(), c.response.GetHeaders(), c.response.GetBody()
	}
	return response
}

// candidates returns the pool as dispatch sees it, and the nodes.
func (s *Server) candidates(now time.Time) ([]dispatch.Candidate, []record.Node) {
	nodes := s.options.Mesh.Pool(s.service)
	pool := make([]dispatch.Candidate, len(nodes))
	spec := s.options.Settings()
	for i := range nodes {
		n := &nodes[i]
		drained := spec != nil && (spec.IsDraining(n.Name) || spec.Weight(n.DataCentre) <= 0)
		load := s.loadOf(now, n.ID)
		// An agent reports no warmth while its target is down or draining.
		down := !load.Reported.IsZero() && load.WarmFraction <= 0
		pool[i] = dispatch.Candidate{
			ID:         n.ID,
			DataCentre: n.DataCentre,
			Usable:     n.State == record.Ready && !drained && !down && !s.options.Mesh.IsSuspect(n.ID),
			RoundTrip:  s.distance(n),
			Local:      n.ID == s.self.ID,
			Load:       load,
		}
	}
	return pool, nodes
}

func (s *Server) distance(n *record.Node) time.Duration {
	switch {
	case n.ID == s.self.ID:
		return 0
	case n.DataCentre == s.self.DataCentre:
		return nearDistance
	}
	return farDistance
}

// loadOf returns the newest load report. The local target's is read at this moment, because the mesh has only those of other nodes.
func (s *Server) loadOf(now time.Time, id ident.NodeID) dispatch.Load {
	if id == s.self.ID {
		return toLoad(s.options.Load(), now)
	}
	report, age, ok := s.options.Mesh.Load(id)
	if !ok {
		return dispatch.Load{}
	}
	return toLoad(report, now.Add(-age))
}

func toLoad(l *lacewingv1.Load, reported time.Time) dispatch.Load {
	return dispatch.Load{
		Reported:     reported,
		Busy:         int(l.GetBusySlots()),
		Queued:       int(l.GetQueued()),
		Slots:        int(l.GetSlots()),
		Latency:      time.Duration(l.GetLatencyUs()) * time.Microsecond,
		Shedding:     l.GetShedding(),
		WarmFraction: float64(l.GetWarmPerMille()) / 1000,
	}
}
