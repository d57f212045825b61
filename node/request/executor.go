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
	// maxAttemptRecords bounds the attempts that are kept until their not_after.
	maxAttemptRecords = 65536
	// targetDialTimeout bounds the connection set-up to the local target, which runs on the same
	// instance.
	targetDialTimeout = time.Second
	// targetIdleTimeout closes idle connections before common servers do. If the target closes a
	// connection while a request is being written to it, the outcome is unknown.
	targetIdleTimeout = 2 * time.Second
	// drainGracePeriod is how long a draining executor still accepts attempts, until the
	// coordinators have received its new state.
	drainGracePeriod = time.Second
	// drainPoll is the interval at which Drain checks whether the work has ended.
	drainPoll = 20 * time.Millisecond
)

// errExpired means that this copy of an attempt was not run. An earlier copy may have run, with its
// record expired since.
var errExpired = errors.New("attempt arrived after not_after")

// executor runs attempts on the local target, each at most once.
type executor struct {
	self   ident.NodeID
	target *url.URL
	client *http.Client
	slots  int

	mu          sync.Mutex
	attempts    *request.AttemptTracker[*lacewingv1.Response]
	queue       *limit.Queue
	recent      limit.RecentMean
	open        map[request.AttemptID]*openAttempt
	waiting     map[uint64]*openAttempt // open attempts that wait for a slot, by queue id
	lastQueueID uint64                  // newest queue id
	refusing    bool                    // draining, and the grace period has passed
}

// openAttempt is an attempt that was admitted and has not finished.
type openAttempt struct {
	id        request.AttemptID
	queueID   uint64
	notAfter  time.Time
	granted   chan bool     // true: a slot is taken; false: the attempt will not start
	done      chan struct{} // closed when the result is recorded
	cancel    context.CancelFunc
	startedAt time.Time // zero while the attempt waits for a slot
	result    *lacewingv1.Response
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
		attempts: request.NewAttemptTracker[*lacewingv1.Response](maxAttemptRecords),
		queue:    limit.NewQueue(slots, queueLimit),
		open:     map[request.AttemptID]*openAttempt{},
		waiting:  map[uint64]*openAttempt{},
	}
}

// execute runs an attempt, or returns the result of its first copy. It returns errExpired if this
// copy was too late, and the context's error if the context ends first; the attempt continues in
// that case.
func (e *executor) execute(ctx context.Context, id request.AttemptID, q *lacewingv1.Request,
	notAfter time.Time) (*lacewingv1.Response, error) {
	attempt, result, err := e.admit(id, q, notAfter)
	if attempt == nil {
		return result, err
	}
	select {
	case <-attempt.done:
		return attempt.result, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// admit returns the attempt to wait for, or the result.
func (e *executor) admit(id request.AttemptID, q *lacewingv1.Request,
	notAfter time.Time) (*openAttempt, *lacewingv1.Response, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	verdict, result := e.attempts.Admit(now, id, notAfter)
	switch verdict {
	case request.InFlight:
		return e.open[id], nil, nil
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
func (e *executor) enqueue(now time.Time, id request.AttemptID, q *lacewingv1.Request,
	notAfter time.Time) (*openAttempt, *lacewingv1.Response, error) {
	if e.refusing {
		return nil, e.recordNotRun(id, "draining"), nil
	}
	e.lastQueueID++
	verdict := e.queue.Offer(now, e.lastQueueID, notAfter)
	if verdict == limit.ShedFull || verdict == limit.ShedLate {
		return nil, e.recordNotRun(id, verdict.String()), nil
	}
	attempt := &openAttempt{id: id, queueID: e.lastQueueID, notAfter: notAfter, granted: make(chan bool, 1),
		done: make(chan struct{})}
	ctx, cancel := context.WithDeadline(context.Background(), notAfter)
	attempt.cancel = cancel
	e.open[id] = attempt
	if verdict == limit.Start {
		attempt.granted <- true
	} else {
		e.waiting[attempt.queueID] = attempt
	}
	go e.runWhenGranted(ctx, attempt, q)
	return attempt, nil, nil
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

// runWhenGranted waits for a slot, runs the attempt and records the result.
func (e *executor) runWhenGranted(ctx context.Context, attempt *openAttempt, q *lacewingv1.Request) {
	defer attempt.cancel()
	started := <-attempt.granted
	if started && e.markStarted(attempt) {
		result := e.callTarget(ctx, attempt.id, q, attempt.notAfter)
		result.Executor = uint64(e.self)
		e.finish(attempt, result, true)
		return
	}
	e.finish(attempt, e.notRun("cancelled or too late in the queue"), started)
}

func (e *executor) markStarted(attempt *openAttempt) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if !e.attempts.Begin(now, attempt.id) {
		return false
	}
	attempt.startedAt = now
	return true
}

// finish records the result, frees the slot and starts attempts that wait for one.
func (e *executor) finish(attempt *openAttempt, result *lacewingv1.Response, hadSlot bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	attempt.result = result
	e.attempts.Finish(attempt.id, result)
	delete(e.open, attempt.id)
	close(attempt.done)
	if !hadSlot {
		return
	}
	now := time.Now()
	var service time.Duration
	if !attempt.startedAt.IsZero() {
		service = now.Sub(attempt.startedAt)
		e.recent.Observe(now, service)
	}
	start, late := e.queue.Done(now, service)
	e.notifyQueued(start, true)
	e.notifyQueued(late, false)
}

func (e *executor) notifyQueued(queueIDs []uint64, start bool) {
	for _, id := range queueIDs {
		e.waiting[id].granted <- start
		delete(e.waiting, id)
	}
}

// cancel prevents an attempt from starting, or interrupts it if it is running. It returns the
// result if the attempt has finished.
func (e *executor) cancel(id request.AttemptID, notAfter time.Time) (neverRan bool, result *lacewingv1.Response) {
	e.mu.Lock()
	defer e.mu.Unlock()
	verdict, result := e.attempts.Cancel(time.Now(), id, notAfter)
	switch verdict {
	case request.NeverRuns:
		if attempt, ok := e.open[id]; ok && e.queue.Remove(attempt.queueID) {
			e.notifyQueued([]uint64{attempt.queueID}, false)
		}
		return true, nil
	case request.Running:
		e.open[id].cancel()
	case request.Done:
		return fromOutcome(result.GetOutcome()) == request.NotRun, result
	}
	return false, nil
}

// load returns the executor's part of the heartbeat's load report.
func (e *executor) load() *lacewingv1.Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	began := make([]time.Time, 0, len(e.open))
	for _, attempt := range e.open {
		if !attempt.startedAt.IsZero() {
			began = append(began, attempt.startedAt)
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

// drain refuses new attempts after the grace period, and returns when the admitted ones have ended
// or the context ends.
func (e *executor) drain(ctx context.Context) error {
	grace := time.After(drainGracePeriod)
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
	e.refusing = true
}

func (e *executor) idle() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.refusing && len(e.open) == 0
}

// callTarget sends the request to the target. Without a connection nothing was written, so the
// request did not run. With one, only the target's answer shows whether it ran.
func (e *executor) callTarget(ctx context.Context, id request.AttemptID, q *lacewingv1.Request,
	notAfter time.Time) *lacewingv1.Response {
	ctx, connected := traceConnection(ctx)
	r, err := e.newTargetRequest(ctx, id, q, notAfter)
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
	return readTargetAnswer(answer)
}

// oneTimeBody is a request body that cannot be read again. Without it, net/http resends a request
// that has no body on a new connection when a reused one breaks, and the target could run it twice.
type oneTimeBody struct{ io.Reader }

func (oneTimeBody) Close() error { return nil }

func (e *executor) newTargetRequest(ctx context.Context, id request.AttemptID, q *lacewingv1.Request,
	notAfter time.Time) (*http.Request, error) {
	path, err := url.ParseRequestURI(q.GetPath())
	if err != nil {
		return nil, errors.Wrap(err, "path")
	}
	address := *path
	address.Scheme, address.Host, address.User = e.target.Scheme, e.target.Host, nil
	r, err := http.NewRequestWithContext(ctx, q.GetMethod(), address.String(),
		oneTimeBody{bytes.NewReader(q.GetBody())})
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

// readTargetAnswer reads the target's answer. If it is cut short, or longer than the limit, the
// outcome is unknown, and it is never completed from another target.
func readTargetAnswer(answer *http.Response) *lacewingv1.Response {
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
