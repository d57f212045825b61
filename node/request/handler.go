package request

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	lacewingv1 "lacewinglever.dev/node/gen/lacewing/v1"
	"lacewinglever.dev/policy/ident"
	"lacewinglever.dev/policy/request"
	"lacewinglever.dev/policy/settings"
)

// serve handles one request of a caller.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	s.activeRequests.Add(1)
	defer s.activeRequests.Add(-1)
	spec := s.options.Settings()
	if spec == nil {
		s.respond(w, r, outcomeResponse(request.NotRun, "no settings yet"), false)
		return
	}
	s.applySettings(spec)
	deadline := deadlineOf(r, spec, time.Now())
	q, err := readRequest(r, uint64(s.service), deadline)
	if err != nil {
		s.respond(w, r, badRequest(err), len(spec.NonIdempotent) > 0)
		return
	}
	q.Idempotent = isIdempotent(spec, q.GetMethod(), q.GetPath())
	// The executor's reply can arrive after the deadline.
	ctx, cancel := context.WithDeadline(r.Context(), deadline.Add(replyGracePeriod+cancelTimeout))
	defer cancel()
	var response *lacewingv1.Response
	if q.GetIdempotent() {
		response = s.coordinate(ctx, q)
	} else {
		response = s.runWithPermit(ctx, r.Header.Get(HeaderPermit), q)
	}
	s.respond(w, r, response, len(spec.NonIdempotent) > 0)
}

// applySettings passes to the executor the settings that it uses.
func (s *Server) applySettings(spec *settings.Spec) {
	if spec.QueueLimit > 0 {
		s.executor.setQueueLimit(spec.QueueLimit)
	}
}

func badRequest(err error) *lacewingv1.Response {
	r := outcomeResponse(request.NotRun, err.Error())
	r.Status = http.StatusBadRequest
	if errors.Is(err, errBodyTooLarge) {
		r.Status = http.StatusRequestEntityTooLarge
	}
	return r
}

// respond writes the response to the caller, with a permit for a later request if the service uses
// permits.
func (s *Server) respond(w http.ResponseWriter, r *http.Request, response *lacewingv1.Response, withPermit bool) {
	outcome := fromOutcome(response.GetOutcome())
	header := w.Header()
	for _, h := range response.GetHeaders() {
		header[h.GetName()] = h.GetValues()
	}
	header.Set(HeaderOutcome, outcome.String())
	if withPermit {
		header.Set(HeaderPermit, s.issue())
	}
	if response.GetExecutor() != 0 {
		header.Set(HeaderExecutor, s.nameOf(ident.NodeID(response.GetExecutor())))
	}
	body := response.GetBody()
	if outcome != request.Answered {
		body = []byte(response.GetReason() + "\n")
		header.Set("Content-Type", "text/plain; charset=utf-8")
	}
	if !carriesBody(r.Method, int(response.GetStatus())) {
		w.WriteHeader(int(response.GetStatus()))
		return
	}
	header.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(int(response.GetStatus()))
	_, _ = w.Write(body)
}

func carriesBody(method string, status int) bool {
	return method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified
}

func (s *Server) nameOf(id ident.NodeID) string {
	if n, ok := s.options.Mesh.Node(id); ok {
		return n.Name
	}
	return id.String()
}
