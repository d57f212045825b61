package request

import (
	"encoding/binary"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	lacewingv1 "lacewinglever.dev/node/gen/lacewing/v1"
	"lacewinglever.dev/policy/request"
	"lacewinglever.dev/policy/settings"
)

// Headers towards callers and targets.
const (
	// HeaderOutcome is answered, not-run or unknown.
	HeaderOutcome = "Lacewing-Outcome"
	// HeaderPermit carries a permit, in a response for a next request and in a request to use it.
	HeaderPermit = "Lacewing-Permit"
	// HeaderExecutor names the agent whose target answered.
	HeaderExecutor = "Lacewing-Executor"
	// HeaderDeadline is the time after which the answer is of no use, in milliseconds since the epoch. Callers may send it.
	HeaderDeadline = "Lacewing-Deadline"
	// HeaderAttempt is the id of the attempt, towards targets.
	HeaderAttempt = "Lacewing-Attempt"
	// HeaderNotRun is 1 in a target's 503 when the target has not run the request.
	HeaderNotRun = "Lacewing-Not-Run"

	headerPrefix = "Lacewing-"
	headerHost   = "Host"
)

// Limits of a request.
const (
	// MaxRequestBytes is the largest body of a request, in bytes.
	MaxRequestBytes = 1 << 20
	// MaxResponseBytes is the largest body of a response, in bytes.
	MaxResponseBytes = 16 << 20
	// MaxDeadline bounds the time that a request may take.
	MaxDeadline = 60 * time.Second
	// defaultDeadline applies when neither the settings nor the caller name one.
	defaultDeadline = 10 * time.Second
)

var errBodyTooLarge = errors.New("request body too large")

// hopByHop headers belong to one connection and are not passed on (RFC 9110, 7.6.1).
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Content-Length": true,
}

func readRequest(r *http.Request, service uint64, deadline time.Time) (*lacewingv1.Request, error) {
	body, err := io.ReadAll(io.LimitReader(r.Body, MaxRequestBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "read request body")
	}
	if len(body) > MaxRequestBytes {
		return nil, errBodyTooLarge
	}
	q := &lacewingv1.Request{
		Service:        service,
		Method:         r.Method,
		Path:           r.URL.RequestURI(),
		Headers:        toHeaders(r.Header),
		Body:           body,
		DeadlineUnixMs: uint64(deadline.UnixMilli()),
	}
	q.Headers = append(q.Headers, &lacewingv1.Header{Name: headerHost, Values: []string{r.Host}})
	return q, nil
}

// toHeaders leaves out headers of the connection and our own.
func toHeaders(h http.Header) []*lacewingv1.Header {
	headers := make([]*lacewingv1.Header, 0, len(h)+1)
	for name, values := range h {
		if hopByHop[name] || strings.HasPrefix(name, headerPrefix) {
			continue
		}
		headers = append(headers, &lacewingv1.Header{Name: name, Values: values})
	}
	return headers
}

// deadlineOf returns the caller's deadline, or the service's.
func deadlineOf(r *http.Request, spec *settings.Spec, now time.Time) time.Time {
	latest := now.Add(MaxDeadline)
	deadline := now.Add(defaultDeadline)
	if spec.Deadline > 0 {
		deadline = now.Add(spec.Deadline)
	}
	if ms, err := strconv.ParseInt(r.Header.Get(HeaderDeadline), 10, 64); err == nil {
		deadline = time.UnixMilli(ms)
	}
	if deadline.After(latest) {
		return latest
	}
	return deadline
}

// idempotent tells whether no rule of the settings matches.
func idempotent(spec *settings.Spec, method, path string) bool {
	for _, rule := range spec.NonIdempotent {
		methodMatches := rule.Method == "" || rule.Method == method
		if methodMatches && strings.HasPrefix(path, rule.Path) {
			return false
		}
	}
	return true
}

// digest identifies a request's content, so that a permit that is presented with another request is noticed.
func digest(q *lacewingv1.Request) uint64 {
	d := xxhash.New()
	var size [8]byte
	for _, part := range [][]byte{[]byte(q.GetMethod()), []byte(q.GetPath()), q.GetBody()} {
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		_, _ = d.Write(size[:])
		_, _ = d.Write(part)
	}
	return d.Sum64()
}

// outcomeResponse returns a response without an answer of a target.
func outcomeResponse(o request.Outcome, reason string) *lacewingv1.Response {
	r := &lacewingv1.Response{Outcome: toOutcome(o), Reason: reason, Status: http.StatusGatewayTimeout}
	if o == request.NotRun {
		r.Status = http.StatusServiceUnavailable
	}
	return r
}

func toOutcome(o request.Outcome) lacewingv1.Outcome {
	switch o {
	case request.Answered:
		return lacewingv1.Outcome_OUTCOME_ANSWERED
	case request.NotRun:
		return lacewingv1.Outcome_OUTCOME_NOT_RUN
	}
	return lacewingv1.Outcome_OUTCOME_UNKNOWN
}

func fromOutcome(o lacewingv1.Outcome) request.Outcome {
	switch o {
	case lacewingv1.Outcome_OUTCOME_ANSWERED:
		return request.Answered
	case lacewingv1.Outcome_OUTCOME_NOT_RUN:
		return request.NotRun
	}
	return request.Unknown
}
