package load

import (
	"bytes"
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/go-faster/errors"
	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"

	"lacewinglever.dev/bench/pktinfo"
	"lacewinglever.dev/bench/target"
)

// Headers of the responses of agents, and values of HeaderOutcome.
const (
	HeaderOutcome   = "Lacewing-Outcome"
	HeaderPermit    = "Lacewing-Permit"
	OutcomeAnswered = "answered"
	OutcomeNotRun   = "not-run"
	OutcomeUnknown  = "unknown"
)

const (
	// maxPermitAge is the age up to which an unused permit is used. It leaves a margin to the 60 s
	// for which agents' permits are valid.
	maxPermitAge = 20 * time.Second
	maxPermits   = 64
	// quicIdleTimeout is the time after which a connection to a vanished agent is closed. Until
	// then its requests time out.
	quicIdleTimeout    = 5 * time.Second
	quicKeepAlive      = time.Second
	maxConnectionMoves = 3 // per request, when its agent is stopping
	maxPermitReplies   = 3 // resends of a request because a permit is required
	maxBodySize        = 17 << 20
)

var errNoConnection = errors.New("no connection")

type permit struct {
	text   string
	issued time.Time
}

// requestLoad sends the requests to one service and records their outcomes.
type requestLoad struct {
	config   Requests
	pool     *pool
	conns    []*conn
	idPrefix string // prefix of run ids
	start    time.Time
	pending  sync.WaitGroup

	mu         sync.Mutex
	rand       *rand.Rand
	report     RequestReport
	latency    *hdrhistogram.Histogram
	permits    []permit
	permitRuns map[string]bool // run ids of requests with a permit, which may run once only; true if answered
	notRun     map[string]bool // run ids with the outcome not-run
	answered   map[string]bool // run ids of all answered requests
	finished   bool            // all outcomes are known, and the run logs were read after that
}

func newRequestLoad(config Requests, seed uint64) *requestLoad {
	g := &requestLoad{
		config: config, pool: newPool(config.Targets), start: time.Now(),
		rand:    rand.New(rand.NewPCG(seed, uint64(time.Now().UnixNano()))),
		latency: newHistogram(), permitRuns: map[string]bool{}, notRun: map[string]bool{}, answered: map[string]bool{},
		report: RequestReport{Service: config.Service},
	}
	g.idPrefix = fmt.Sprintf("%08x", g.rand.Uint32())
	for range config.Connections {
		g.conns = append(g.conns, &conn{address: config.Address})
	}
	return g
}

// send starts requests at the configured rate until the context ends, then waits for their
// outcomes.
func (g *requestLoad) send(ctx context.Context) {
	poolCtx, stop := context.WithCancel(context.Background())
	defer stop()
	go g.pool.run(poolCtx)
	interval := time.Duration(float64(time.Second) / g.config.Rate)
	for n := 0; ; n++ {
		intended := g.start.Add(time.Duration(n) * interval)
		select {
		case <-time.After(time.Until(intended)):
		case <-ctx.Done():
			g.pending.Wait()
			g.close()
			return
		}
		g.startRequest(n, intended)
	}
}

func (g *requestLoad) close() {
	for _, c := range g.conns {
		c.closeNow()
	}
}

func (g *requestLoad) startRequest(n int, intended time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.report.Pending >= g.config.MaxInFlight {
		g.report.Skipped++
		return
	}
	g.report.Pending++
	g.report.Started++
	kind := g.pickKind()
	g.pending.Go(func() { g.sendOne(n, kind, intended) })
}

// pickKind picks a random kind of request by weight. g.mu must be held.
func (g *requestLoad) pickKind() Request {
	total := 0
	for _, k := range g.config.Mix {
		total += k.Weight
	}
	at := g.rand.IntN(total)
	for _, k := range g.config.Mix {
		if at -= k.Weight; at < 0 {
			return k
		}
	}
	return g.config.Mix[0]
}

// sendOne sends one request until its outcome is known or its attempts are used up. A request that
// needs a permit keeps its run id and, once it was sent with a permit, that permit. Any other
// request has a new run id for each attempt.
func (g *requestLoad) sendOne(n int, kind Request, intended time.Time) {
	var permitText string
	if kind.NeedsPermit {
		permitText = g.takePermit()
	}
	var last attemptResult
	permitReplies := 0
	for try := 0; try < g.config.MaxAttempts; try++ {
		id := fmt.Sprintf("%s-%d", g.idPrefix, n)
		if !kind.NeedsPermit {
			id = fmt.Sprintf("%s.%d", id, try)
		}
		last = g.attempt(g.conns[(n+try)%len(g.conns)], kind, id, permitText)
		if last.permitRequired && permitReplies < maxPermitReplies {
			permitText, permitReplies, try = last.permit, permitReplies+1, try-1
			g.updateReport(func(r *RequestReport) { r.PermitsRequired++ })
			continue
		}
		if last.outcome != OutcomeUnknown {
			break
		}
		if kind.NeedsPermit && permitText == "" && last.err == nil {
			break // without a permit, a second run could not be distinguished from the first
		}
		if try+1 < g.config.MaxAttempts {
			g.updateReport(func(r *RequestReport) { r.Retries++ })
		}
	}
	g.finish(kind, last, intended)
}

// attemptResult is the result of one attempt.
type attemptResult struct {
	id             string
	outcome        string
	permit         string // for a later request, or for the retry if permitRequired
	permitRequired bool   // the request must be resent with the permit
	status         int
	target         string
	body           []byte
	truncated      bool
	err            error
}

func (g *requestLoad) attempt(c *conn, kind Request, id, permitText string) attemptResult {
	ctx, cancel := context.WithTimeout(context.Background(), g.config.Timeout)
	defer cancel()
	last := attemptResult{id: id, outcome: OutcomeUnknown}
	url := fmt.Sprintf("https://%s%s?%s=%d", g.config.Address, kind.Path, target.QuerySize, kind.AnswerBytes)
	request, err := http.NewRequestWithContext(ctx, kind.Method, url, nil)
	if err != nil {
		last.err = err
		return last
	}
	request.Header.Set(target.HeaderRunID, id)
	if permitText != "" {
		request.Header.Set(HeaderPermit, permitText)
	}
	response, err := c.roundTrip(ctx, request)
	if err != nil {
		last.err = err
		return last
	}
	defer response.Body.Close()
	last.read(response)
	if last.permit != "" && !last.permitRequired {
		g.keepPermit(last.permit)
	}
	return last
}

func (r *attemptResult) read(response *http.Response) {
	r.status, r.target = response.StatusCode, response.Header.Get(target.HeaderTargetName)
	r.permit = response.Header.Get(HeaderPermit)
	outcome := response.Header.Get(HeaderOutcome)
	r.body, r.err = io.ReadAll(io.LimitReader(response.Body, maxBodySize))
	switch {
	case r.err != nil:
		r.truncated = true
	case r.status == http.StatusPreconditionRequired && r.permit != "":
		r.outcome, r.permitRequired = OutcomeNotRun, true
	case outcome != "":
		r.outcome = outcome
	case r.status == http.StatusOK:
		r.outcome = OutcomeAnswered
	}
}

func (g *requestLoad) updateReport(change func(*RequestReport)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	change(&g.report)
}

// finish counts the outcome of a request and checks its answer.
func (g *requestLoad) finish(kind Request, last attemptResult, intended time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := &g.report
	r.Pending--
	if last.truncated {
		r.Truncated++
	}
	if kind.NeedsPermit {
		g.permitRuns[last.id] = last.outcome == OutcomeAnswered
	}
	switch {
	case last.outcome == OutcomeAnswered:
		r.Answered++
		g.answered[last.id] = true
		_ = g.latency.RecordValue(max(1, time.Since(intended).Microseconds()))
		g.checkAnswer(kind, last)
	case last.outcome == OutcomeNotRun:
		r.NotRun++
		g.notRun[last.id] = true
	case errors.Is(last.err, errNoConnection):
		r.Unsent++
	default:
		r.Unknown++
		g.recordEvent("%s %s %s: unknown, status %d, error %v", kind.Method, kind.Path, last.id, last.status, last.err)
	}
}

// recordEvent adds a description of a fault to the report, up to maxEvents. g.mu must be held.
func (g *requestLoad) recordEvent(format string, args ...any) {
	if len(g.report.Events) < maxEvents {
		g.report.Events = append(g.report.Events,
			fmt.Sprintf("%.3f s: ", time.Since(g.start).Seconds())+fmt.Sprintf(format, args...))
	}
}

// checkAnswer compares an answer with the one that the named target gives for this run id. g.mu must
// be held.
func (g *requestLoad) checkAnswer(kind Request, last attemptResult) {
	if last.status != http.StatusOK {
		g.report.ErrorStatuses++
		delete(g.answered, last.id)
		return
	}
	want := target.AnswerBody(last.target, g.config.Service, last.id, kind.AnswerBytes)
	if bytes.Equal(last.body, want) {
		return
	}
	first, _, _ := bytes.Cut(last.body, []byte("\n"))
	words := bytes.Fields(first)
	if len(words) == 3 && string(words[1]) != g.config.Service {
		g.report.Misrouted++
	} else {
		g.report.WrongAnswers++
	}
	g.recordEvent("%s %s %s: wrong answer of %d bytes that starts %.80q, want %d bytes", kind.Method, kind.Path, last.id,
		len(last.body), first, len(want))
}

func (g *requestLoad) takePermit() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	for len(g.permits) > 0 {
		index := len(g.permits) - 1
		if g.config.OldestPermitFirst {
			index = 0
		}
		p := g.permits[index]
		g.permits = slices.Delete(g.permits, index, index+1)
		if time.Since(p.issued) < maxPermitAge {
			return p.text
		}
	}
	return ""
}

func (g *requestLoad) keepPermit(text string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.permits) < maxPermits {
		g.permits = append(g.permits, permit{text, time.Now()})
	}
}

// currentReport returns the report, with the outcomes so far checked against the runs in the logs
// of the targets.
func (g *requestLoad) currentReport() RequestReport {
	poolReport := g.pool.currentReport()
	g.pool.mu.Lock()
	runs := map[string]int{}
	for _, run := range g.pool.runs {
		runs[run.ID]++
	}
	unreadLogs := 0
	for _, failed := range g.pool.unreadable {
		if failed {
			unreadLogs++
		}
	}
	logsComplete := !g.pool.runsMissing && len(g.config.Targets) > 0
	g.pool.mu.Unlock()
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.report
	r.Events = append([]string(nil), g.report.Events...)
	r.Pool, r.UnreadLogs, r.Latency = poolReport, unreadLogs, newLatency(g.latency)
	for id := range g.permitRuns {
		if runs[id] > 1 {
			r.RanTwice++
			r.Events = append(r.Events, fmt.Sprintf("%s ran %d times", id, runs[id]))
		}
	}
	for id := range g.notRun {
		if runs[id] > 0 {
			r.RunAfterNotRun++
			r.Events = append(r.Events, id+" ran though the outcome was not-run")
		}
	}
	for id := range g.answered {
		if runs[id] == 0 && logsComplete && g.finished {
			r.AnsweredWithoutRun++
		}
	}
	return r
}

// conn is a QUIC connection with its own socket. It is opened on demand.
type conn struct {
	address string

	mu     sync.Mutex
	client *http3.ClientConn
	quic   *quic.Conn
	closer func()
}

func (c *conn) roundTrip(ctx context.Context, request *http.Request) (*http.Response, error) {
	client, err := c.get(ctx)
	if err != nil {
		return nil, errors.Wrap(errNoConnection, err.Error())
	}
	response, err := client.RoundTrip(request)
	// A stopping agent has not started the request (RFC 9114, 5.2), so the request is sent on
	// another connection.
	for moves := 0; err != nil && isRejected(err) && moves < maxConnectionMoves; moves++ {
		c.retire(client)
		if client, err = c.get(ctx); err != nil {
			return nil, errors.Wrap(errNoConnection, err.Error())
		}
		response, err = client.RoundTrip(request)
	}
	// Closing the connection after a timeout would break the other requests on it.
	if err != nil && ctx.Err() == nil {
		c.closeIfCurrent(client)
	}
	return response, err
}

func (c *conn) get(ctx context.Context) (*http3.ClientConn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.client != nil && c.quic.Context().Err() == nil {
		return c.client, nil
	}
	c.close()
	to, err := net.ResolveUDPAddr("udp4", c.address)
	if err != nil {
		return nil, err
	}
	udp, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, err
	}
	pktinfo.EnlargeBuffers(udp)
	transport := &quic.Transport{Conn: udp}
	closer := func() {
		_ = transport.Close()
		_ = udp.Close()
	}
	// The fleet uses a certificate of its own. Its verification is not tested here.
	tlsConfig := &tls.Config{InsecureSkipVerify: true, NextProtos: []string{http3.NextProtoH3}}
	c.quic, err = transport.Dial(ctx, to, tlsConfig,
		&quic.Config{MaxIdleTimeout: quicIdleTimeout, KeepAlivePeriod: quicKeepAlive})
	if err != nil {
		closer()
		return nil, err
	}
	c.client, c.closer = (&http3.Transport{}).NewClientConn(c.quic), closer
	return c.client, nil
}

// isRejected reports whether the agent rejected the request because of the graceful shutdown of the
// connection. The library does not export the error of its own side.
func isRejected(err error) bool {
	var code *http3.Error
	if errors.As(err, &code) {
		return code.ErrorCode == http3.ErrCodeRequestRejected
	}
	return strings.Contains(err.Error(), "connection in graceful shutdown")
}

// retire detaches the current connection, so that further requests open another one. Requests in
// progress complete on the old one.
func (c *conn) retire(client *http3.ClientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.client != client {
		return
	}
	old, closer := c.quic, c.closer
	context.AfterFunc(old.Context(), closer)
	c.client, c.quic, c.closer = nil, nil, nil
}

// closeIfCurrent closes the connection unless it was replaced in the meantime.
func (c *conn) closeIfCurrent(client *http3.ClientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.client == client {
		c.close()
	}
}

func (c *conn) closeNow() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.close()
}

// close closes the connection if it is open. c.mu must be held.
func (c *conn) close() {
	if c.closer != nil {
		_ = c.quic.CloseWithError(0, "")
		c.closer()
	}
	c.client, c.quic, c.closer = nil, nil, nil
}
