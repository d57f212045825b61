package request

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/go-faster/errors"

	lacewingv1 "lacewinglever.dev/node/gen/lacewing/v1"
	"lacewinglever.dev/policy/ident"
	"lacewinglever.dev/policy/limit"
	"lacewinglever.dev/policy/request"
)

// Limits of an executor.
const (
	// rememberedAttempts bounds the attempts that are remembered until their not_after.
	rememberedAttempts = 65536
	// targetDialTimeout bounds the connection to the local target, which is on the same instance.
	targetDialTimeout = time.Second
	// targetIdleTimeout closes idle connections before common servers do. A connection that the target closes while a request is
	// written to it makes the outcome unknown.
	targetIdleTimeout = 2 * time.Second
	// drainGrace is how long a draining executor still accepts attempts, until the coordinators know that it drains.
	drainGrace = time.Second
	// drainPoll is the interval at which Drain looks whether the work has ended.
	drainPoll = 20 * time.Millisecond
)

// errExpired means that this copy of an attempt was not run. An earlier copy may have run and be forgotten.
var errExpired = errors.New("attempt arrived after not_after")

// executor runs attempts on the local target, each at most once.
type executor struct {
	self   ident.NodeID
	target *url.URL
	client *http.Client
	slots  int

	mu       sync.Mutex
	attempts *request.AttemptTracker[*lacewingv1.Response]
	queue    *limit.Queue
	recent   limit.RecentMean
	flights  map[request.AttemptID]*flight
	waiting  map[uint64]*flight // by id in the queue
	next     uint64             // id in the queue
	refuse   bool               // draining and past the grace
}

// flight is an attempt that was admitted and has not finished.
type flight struct {
	id       request.AttemptID
	queued   uint64
	notAfter time.Time
	start    chan bool     // true: a slot is taken; false: it will not start
	done     chan struct{} // closed when the result is recorded
	cancel   context.CancelFunc
	began    time.Time // zero while it waits
	result   *lacewingv1.Response
}

func newExecutor(self ident.NodeID, target *url.URL, slots, queueLimit int) *executor {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: targetDialTimeout}).DialContext,
		MaxIdleConnsPerHost: max(slots, 1),
		IdleConnTimeout:     targetIdleTimeout,
		DisableCompression:  true,
	}
	return &executor{
		self:   self,
		target: target,
		client: &http.Client{
			Transport:     transport,
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
		slots:    max(slots, 1),
		attempts: request.NewAttemptTracker[*lacewingv1.Response](rememberedAttempts),
		queue:    limit.NewQueue(slots, queueLimit),
		flights:  map[request.AttemptID]*flight{},
		waiting:  map[uint64]*flight{},
	}
}

// execute runs an attempt, or returns the result of the first copy of it. It returns errExpired if this copy came too late,
// and the context's error if it ends first; the attempt then goes on.
func (e *executor) execute(ctx context.Context, id request.AttemptID, q *lacewingv1.Request, notAfter time.Time) (*lacewingv1.Response, error) {
	f, result, err := e.admit(id, q, notAfter)
	if f == nil {
		return result, err
	}
	select {
	case <-f.done:
		return f.result, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// admit returns the flight to wait for, or the result.
func (e *executor) admit(id request.AttemptID, q *lacewingv1.Request, notAfter time.Time) (*flight, *lacewingv1.Response, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	verdict, result := e.attempts.Admit(now, id, notAfter)
	switch verdict {
	case request.InFlight:
		return e.flights[id], nil, nil
	case request.Recorded:
		return nil, result, nil
	case request.Expired:
		return nil, nil, errExpired
	case request.Cancelled:
		return nil, e.notRun("cancelled"), nil
	case request.TooManyAttempts:
		return nil, e.notRun("too many attempts"), nil
	}
	return e.enqueue(now, id, q, notAfter)
}

// enqueue offers an admitted attempt to the queue.
func (e *executor) enqueue(now time.Time, id request.AttemptID, q *lacewingv1.Request, notAfter time.Time) (*flight, *lacewingv1.Response, error) {
	if e.refuse {
		return nil, e.recordNotRun(id, "draining"), nil
	}
	e.next++
	verdict := e.queue.Offer(now, e.next, notAfter)
	if verdict == limit.ShedFull || verdict == limit.ShedLate {
		return nil, e.recordNotRun(id, verdict.String()), nil
	}
	f := &flight{id: id, queued: e.next, notAfter: notAfter, start: make(chan bool, 1), done: make(chan struct{})}
	ctx, cancel := context.WithDeadline(context.Background(), notAfter)
	f.cancel = cancel
	e.flights[id] = f
	if verdict == limit.Start {
		f.start <- true
	} else {
		e.waiting[f.queued] = f
	}
	go e.fly(ctx, f, q)
	return f, nil, nil
}

func (e *executor) recordNotRun(id request.AttemptID, reason string) *lacewingv1.Response {
	r := e.notRun(reason)
	e.attempts.Finish(id, r)
	return r
}

func (e *executor) notRun(reason string) *lacewingv1.Response {
	r := outcomeResponse(request.NotRun, reason)
	r.Executor = uint64(e.self)
	return r
}

// fly waits for a slot, runs the attempt and records the result.
func (e *executor) fly(ctx context.Context, f *flight, q *lacewingv1.Request) {
	defer f.cancel()
	started := <-f.start
	if started && e.begin(f) {
		result := e.call(ctx, f.id, q, f.notAfter)
		result.Executor = uint64(e.self)
		e.land(f, result, true)
		return
	}
	e.land(f, e.notRun("cancelled or too late in the queue"), started)
}

func (e *executor) begin(f *flight) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if !e.attempts.Begin(now, f.id) {
		return false
	}
	f.began = now
	return true
}

// land records the result, frees the slot and starts those that wait.
func (e *executor) land(f *flight, result *lacewingv1.Response, slot bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	f.result = result
	e.attempts.Finish(f.id, result)
	delete(e.flights, f.id)
	close(f.done)
	if !slot {
		return
	}
	now := time.Now()
	var service time.Duration
	if !f.began.IsZero() {
		service = now.Sub(f.began)
		e.recent.Observe(now, service)
	}
	start, late := e.queue.Done(now, service)
	e.signal(start, true)
	e.signal(late, false)
}

func (e *executor) signal(queued []uint64, start bool) {
	for _, id := range queued {
		e.waiting[id].start <- start
		delete(e.waiting, id)
	}
}

// cancel makes sure that an attempt never begins, or ends it if it runs. It returns the result if it has finished.
func (e *executor) cancel(id request.AttemptID, notAfter time.Time) (neverRan bool, result *lacewingv1.Response) {
	e.mu.Lock()
	defer e.mu.Unlock()
	verdict, result := e.attempts.Cancel(time.Now(), id, notAfter)
	switch verdict {
	case request.NeverRuns:
		if f, ok := e.flights[id]; ok && e.queue.Remove(f.queued) {
			e.signal([]uint64{f.queued}, false)
		}
		return true, nil
	case request.Running:
		e.flights[id].cancel()
	case request.Done:
		return fromOutcome(result.GetOutcome()) == request.NotRun, result
	}
	return false, nil
}

// load fills in what the heartbeat reports.
func (e *executor) load() *lacewingv1.Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	began := make([]time.Time, 0, len(e.flights))
	for _, f := range e.flights {
		if !f.began.IsZero() {
			began = append(began, f.began)
		}
	}
	return &lacewingv1.Load{
		BusySlots:    uint32(e.queue.Busy()),
		Slots:        uint32(e.slots),
		Queued:       uint32(e.queue.Waiting()),
		LatencyUs:    uint32(min(e.recent.Mean(time.Now(), began), time.Hour).Microseconds()),
		WarmPerMille: 1000,
	}
}

func (e *executor) setQueueLimit(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.queue.SetLimit(n)
}

// drain refuses new attempts after the grace and returns when the admitted ones have ended, or the context ends.
func (e *executor) drain(ctx context.Context) error {
	grace := time.After(drainGrace)
	poll := time.NewTicker(drainPoll)
	defer poll.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-grace:
			e.stopAccepting()
		case <-poll.C:
			if e.idle() {
				return nil
			}
		}
	}
}

func (e *executor) stopAccepting() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.refuse = true
}

func (e *executor) idle() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.refuse && len(e.flights) == 0
}

// call sends the request to the target. Without a connection nothing was written, so it did not run. After that, only the target's answer
// tells.
func (e *executor) call(ctx context.Context, id request.AttemptID, q *lacewingv1.Request, notAfter time.Time) *lacewingv1.Response {
	ctx, connected := traced(ctx)
	r, err := e.toTarget(ctx, id, q, notAfter)
	if err != nil {
		return outcomeResponse(request.NotRun, "bad request: "+err.Error())
	}
	answer, err := e.client.Do(r)
	if err != nil && !connected.Load() {
		return outcomeResponse(request.NotRun, "no connection to the target")
	}
	if err != nil {
		return outcomeResponse(request.Unknown, "target did not answer")
	}
	defer answer.Body.Close()
	return fromTarget(answer)
}

// singleUse is a request body that can't be read again. net/http repeats a request without a body on a new connection when a kept one
// breaks, and the target could then run it twice.
type singleUse struct{ io.Reader }

func (singleUse) Close() error { return nil }

func (e *executor) toTarget(ctx context.Context, id request.AttemptID, q *lacewingv1.Request, notAfter time.Time) (*http.Request, error) {
	path, err := url.ParseRequestURI(q.GetPath())
	if err != nil {
		return nil, errors.Wrap(err, "path")
	}
	address := *path
	address.Scheme, address.Host, address.User = e.target.Scheme, e.target.Host, nil
	r, err := http.NewRequestWithContext(ctx, q.GetMethod(), address.String(), singleUse{bytes.NewReader(q.GetBody())})
	if err != nil {
		return nil, errors.Wrap(err, "method or path")
	}
	r.ContentLength = int64(len(q.GetBody()))
	for _, h := range q.GetHeaders() {
		if h.GetName() == headerHost {
			r.Host = first(h.GetValues())
			continue
		}
		r.Header[h.GetName()] = h.GetValues()
	}
	r.Header.Set(HeaderDeadline, strconv.FormatInt(notAfter.UnixMilli(), 10))
	r.Header.Set(HeaderAttempt, formatAttempt(id))
	return r, nil
}

func first(values []string) string {
	if len(values) == 0 {
		return ""
	}
	return values[0]
}

func formatAttempt(id request.AttemptID) string {
	return fmt.Sprintf("%s-%x-%x-%d", id.Coordinator, uint64(id.Incarnation), id.Request, id.Number)
}

// fromTarget reads the target's answer. One that is cut short, or longer than the limit, is unknown and never completed from elsewhere.
func fromTarget(answer *http.Response) *lacewingv1.Response {
	if answer.StatusCode == http.StatusServiceUnavailable && answer.Header.Get(HeaderNotRun) == "1" {
		return outcomeResponse(request.NotRun, "shed by the target")
	}
	body, err := io.ReadAll(io.LimitReader(answer.Body, MaxResponseBytes+1))
	if err != nil {
		return outcomeResponse(request.Unknown, "target's answer was cut short")
	}
	if len(body) > MaxResponseBytes {
		return outcomeResponse(request.Unknown, "target's answer is too long")
	}
	return &lacewingv1.Response{
		Outcome: lacewingv1.Outcome_OUTCOME_ANSWERED,
		Status:  uint32(answer.StatusCode),
		Headers: toHeaders(answer.Header),
		Body:    body,
	}
}
