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

// Headers and values of the answers of agents.
const (
	HeaderOutcome   = "Lacewing-Outcome"
	HeaderPermit    = "Lacewing-Permit"
	OutcomeAnswered = "answered"
	OutcomeNotRun   = "not-run"
	OutcomeUnknown  = "unknown"
)

const (
	// permitAge is how long a permit is kept for use; agents' permits are valid for 60 s.
	permitAge  = 20 * time.Second
	maxPermits = 64
	// quicIdle is how long a connection whose agent is gone is kept; until then its requests time out.
	quicIdle    = 5 * time.Second
	quicPing    = time.Second
	maxMoves    = 3 // times that a request moves to another connection because the agent is leaving
	maxReplies  = 3 // times that a request is sent again because a permit is required
	maxBodySize = 17 << 20
)

var errUnsent = errors.New("no connection")

type permit struct {
	text   string
	issued time.Time
}

// requests sends requests to one service.
type requests struct {
	config  Requests
	pool    *pool
	conns   []*conn
	run     string // prefix of run ids
	start   time.Time
	pending sync.WaitGroup

	mu       sync.Mutex
	rand     *rand.Rand
	report   RequestReport
	latency  *hdrhistogram.Histogram
	permits  []permit
	once     map[string]bool // run ids of requests that may run once; true if answered
	refused  map[string]bool // run ids that were not run
	answered map[string]bool // run ids of all requests that were answered
	final    bool            // all outcomes are known and the run logs were read afterwards
}

func newRequests(config Requests, seed uint64) *requests {
	g := &requests{
		config: config, pool: newPool(config.Targets), start: time.Now(), rand: rand.New(rand.NewPCG(seed, uint64(time.Now().UnixNano()))),
		latency: newHistogram(), once: map[string]bool{}, refused: map[string]bool{}, answered: map[string]bool{},
		report: RequestReport{Service: config.Service},
	}
	g.run = fmt.Sprintf("%08x", g.rand.Uint32())
	for range config.Connections {
		g.conns = append(g.conns, &conn{address: config.Address})
	}
	return g
}

// send starts requests at the rate until the context ends, then waits for their outcomes.
func (g *requests) send(ctx context.Context) {
	poolCtx, stop := context.WithCancel(context.Background())
	defer stop()
	go g.pool.run(poolCtx)
	every := time.Duration(float64(time.Second) / g.config.Rate)
	for n := 0; ; n++ {
		intended := g.start.Add(time.Duration(n) * every)
		select {
		case <-time.After(time.Until(intended)):
		case <-ctx.Done():
			g.pending.Wait()
			g.close()
			return
		}
		g.begin(n, intended)
	}
}

func (g *requests) close() {
	for _, c := range g.conns {
		c.drop()
	}
}

func (g *requests) begin(n int, intended time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.report.Pending >= g.config.InFlight {
		g.report.Skipped++
		return
	}
	g.report.Pending++
	g.report.Started++
	kind := g.pick()
	g.pending.Go(func() { g.one(n, kind, intended) })
}

// pick chooses a kind of request by weight. The lock is held.
func (g *requests) pick() Request {
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

// one sends one request until its outcome is known or the tries are used up. A request with a permit keeps its run id and,
// once it was sent with a permit, that permit. Another request has a new run id for each try.
func (g *requests) one(n int, kind Request, intended time.Time) {
	var held string
	if kind.Permit {
		held = g.takePermit()
	}
	var last reply
	replies := 0
	for try := 0; try < g.config.Tries; try++ {
		id := fmt.Sprintf("%s-%d", g.run, n)
		if !kind.Permit {
			id = fmt.Sprintf("%s.%d", id, try)
		}
		last = g.try(g.conns[(n+try)%len(g.conns)], kind, id, held)
		if last.required && replies < maxReplies {
			held, replies, try = last.permit, replies+1, try-1
			g.tally(func(r *RequestReport) { r.PermitsRequired++ })
			continue
		}
		if last.outcome != OutcomeUnknown {
			break
		}
		if kind.Permit && held == "" && last.err == nil {
			break // without a permit a second run could not be told from the first
		}
		if try+1 < g.config.Tries {
			g.tally(func(r *RequestReport) { r.Retries++ })
		}
	}
	g.finish(kind, last, intended)
}

// reply is what one try brought.
type reply struct {
	id       string
	outcome  string
	permit   string // a new one, or the one to send again with
	required bool   // the request must be sent again with the permit
	status   int
	target   string
	body     []byte
	cut      bool
	err      error
}

func (g *requests) try(c *conn, kind Request, id, held string) reply {
	ctx, cancel := context.WithTimeout(context.Background(), g.config.Timeout)
	defer cancel()
	last := reply{id: id, outcome: OutcomeUnknown}
	url := fmt.Sprintf("https://%s%s?%s=%d", g.config.Address, kind.Path, target.QuerySize, kind.Size)
	request, err := http.NewRequestWithContext(ctx, kind.Method, url, nil)
	if err != nil {
		last.err = err
		return last
	}
	request.Header.Set(target.HeaderRunID, id)
	if held != "" {
		request.Header.Set(HeaderPermit, held)
	}
	answer, err := c.roundTrip(ctx, request)
	if err != nil {
		last.err = err
		return last
	}
	defer answer.Body.Close()
	last.read(answer)
	if last.permit != "" && !last.required {
		g.keepPermit(last.permit)
	}
	return last
}

func (r *reply) read(answer *http.Response) {
	r.status, r.target = answer.StatusCode, answer.Header.Get(target.HeaderTargetName)
	r.permit = answer.Header.Get(HeaderPermit)
	outcome := answer.Header.Get(HeaderOutcome)
	r.body, r.err = io.ReadAll(io.LimitReader(answer.Body, maxBodySize))
	switch {
	case r.err != nil:
		r.cut = true
	case r.status == http.StatusPreconditionRequired && r.permit != "":
		r.outcome, r.required = OutcomeNotRun, true
	case outcome != "":
		r.outcome = outcome
	case r.status == http.StatusOK:
		r.outcome = OutcomeAnswered
	}
}

func (g *requests) tally(change func(*RequestReport)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	change(&g.report)
}

// finish counts the outcome and judges the answer.
func (g *requests) finish(kind Request, last reply, intended time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := &g.report
	r.Pending--
	if last.cut {
		r.Cut++
	}
	if kind.Permit {
		g.once[last.id] = last.outcome == OutcomeAnswered
	}
	switch {
	case last.outcome == OutcomeAnswered:
		r.Answered++
		g.answered[last.id] = true
		_ = g.latency.RecordValue(max(1, time.Since(intended).Microseconds()))
		g.judge(kind, last)
	case last.outcome == OutcomeNotRun:
		r.NotRun++
		g.refused[last.id] = true
	case errors.Is(last.err, errUnsent):
		r.Unsent++
	default:
		r.Unknown++
		g.event("%s %s %s: unknown, status %d, error %v", kind.Method, kind.Path, last.id, last.status, last.err)
	}
}

func (g *requests) event(format string, args ...any) {
	if len(g.report.Events) < maxEvents {
		g.report.Events = append(g.report.Events, fmt.Sprintf("%.3f s: ", time.Since(g.start).Seconds())+fmt.Sprintf(format, args...))
	}
}

// judge compares an answer with the one that the named target gives to this run.
func (g *requests) judge(kind Request, last reply) {
	if last.status != http.StatusOK {
		g.report.Errors++
		delete(g.answered, last.id)
		return
	}
	want := target.AnswerBody(last.target, g.config.Service, last.id, kind.Size)
	if bytes.Equal(last.body, want) {
		return
	}
	first, _, _ := bytes.Cut(last.body, []byte("\n"))
	words := bytes.Fields(first)
	if len(words) == 3 && string(words[1]) != g.config.Service {
		g.report.Misrouted++
	} else {
		g.report.Wrong++
	}
	g.event("%s %s %s: wrong answer of %d bytes that starts %.80q, want %d bytes", kind.Method, kind.Path, last.id,
		len(last.body), first, len(want))
}

func (g *requests) takePermit() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	for len(g.permits) > 0 {
		at := len(g.permits) - 1
		if g.config.OldPermits {
			at = 0
		}
		p := g.permits[at]
		g.permits = slices.Delete(g.permits, at, at+1)
		if time.Since(p.issued) < permitAge {
			return p.text
		}
	}
	return ""
}

func (g *requests) keepPermit(text string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.permits) < maxPermits {
		g.permits = append(g.permits, permit{text, time.Now()})
	}
}

// result judges the runs that the targets noted against the outcomes so far.
func (g *requests) result() RequestReport {
	report := g.pool.result()
	g.pool.mu.Lock()
	runs := map[string]int{}
	for _, run := range g.pool.runs {
		runs[run.ID]++
	}
	unread := 0
	for _, failed := range g.pool.unread {
		if failed {
			unread++
		}
	}
	complete := !g.pool.lost && len(g.config.Targets) > 0
	g.pool.mu.Unlock()
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.report
	r.Events = append([]string(nil), g.report.Events...)
	r.Pool, r.UnreadLogs, r.Latency = report, unread, latencyOf(g.latency)
	for id := range g.once {
		if runs[id] > 1 {
			r.Doubled++
			r.Events = append(r.Events, fmt.Sprintf("%s ran %d times", id, runs[id]))
		}
	}
	for id := range g.refused {
		if runs[id] > 0 {
			r.RunAfterNotRun++
			r.Events = append(r.Events, id+" ran though the outcome was not-run")
		}
	}
	for id := range g.answered {
		if runs[id] == 0 && complete && g.final {
			r.AnsweredWithoutRun++
		}
	}
	return r
}

// conn is a QUIC connection with a socket of its own, opened when it is needed.
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
		return nil, errors.Wrap(errUnsent, err.Error())
	}
	answer, err := client.RoundTrip(request)
	// The agent is leaving and has not begun the request (RFC 9114, 5.2), which goes to another connection.
	for moves := 0; err != nil && notBegun(err) && moves < maxMoves; moves++ {
		c.retire(client)
		if client, err = c.get(ctx); err != nil {
			return nil, errors.Wrap(errUnsent, err.Error())
		}
		answer, err = client.RoundTrip(request)
	}
	// A request that timed out must not take the others on its connection with it.
	if err != nil && ctx.Err() == nil {
		c.dropIf(client)
	}
	return answer, err
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
	// The certificate is the stand-in fleet's own; what it proves is not under test here.
	tlsConfig := &tls.Config{InsecureSkipVerify: true, NextProtos: []string{http3.NextProtoH3}}
	c.quic, err = transport.Dial(ctx, to, tlsConfig, &quic.Config{MaxIdleTimeout: quicIdle, KeepAlivePeriod: quicPing})
	if err != nil {
		closer()
		return nil, err
	}
	c.client, c.closer = (&http3.Transport{}).NewClientConn(c.quic), closer
	return c.client, nil
}

// notBegun tells whether the request met the graceful shutdown of its connection. The library does not export the error.
func notBegun(err error) bool {
	var code *http3.Error
	if errors.As(err, &code) {
		return code.ErrorCode == http3.ErrCodeRequestRejected
	}
	return strings.Contains(err.Error(), "connection in graceful shutdown")
}

// retire opens another connection for further requests. Those in progress end on the old one.
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

// dropIf closes the connection unless it was replaced meanwhile.
func (c *conn) dropIf(client *http3.ClientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.client == client {
		c.close()
	}
}

func (c *conn) drop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.close()
}

func (c *conn) close() {
	if c.closer != nil {
		_ = c.quic.CloseWithError(0, "")
		c.closer()
	}
	c.client, c.quic, c.closer = nil, nil, nil
}
