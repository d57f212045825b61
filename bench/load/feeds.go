package load

import (
	"context"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"lacewinglever.dev/bench/feed"
	"lacewinglever.dev/bench/pktinfo"
)

const (
	// silenceLimit is the time without received datagrams after which a feed that keeps sending
	// counts as silent.
	silenceLimit = 2 * time.Second
	// stallLimit is the longest pause of the sender after which silence can still be detected.
	// After a longer one the silence timers restart.
	stallLimit   = 500 * time.Millisecond
	sendInterval = time.Millisecond
	// firstCaller and callerCount define the address range of the callers, 127.192.0.0/11.
	firstCaller = 127<<24 | 192<<16
	callerCount = 1 << 21
	maxDatagram = 65_535
)

// feedState is the state of one feed.
type feedState struct {
	id           uint64
	caller       netip.Addr
	calls        uint64
	target       string // target that served it last; empty until the first answer
	lastReceived time.Time
	silent       bool
	broken       bool
	lastReading  uint64 // highest sequence number of a reading
}

// feedLoad keeps the feeds of one service open.
type feedLoad struct {
	config Feeds
	conn   *pktinfo.Conn
	to     netip.AddrPort
	pool   *pool
	rand   *rand.Rand
	baseID uint64 // ids of feeds are baseID+1, baseID+2 and so on
	start  time.Time

	mu sync.Mutex
	// feeds are in the order of opening; churn replaces them in place. Feed i sends at each tick that
	// is i modulo the number of ticks per interval.
	feeds    []*feedState
	lastTick int64 // last tick whose feeds have sent
	byID     map[uint64]*feedState
	created  uint64
	stalls   int
	report   FeedReport
	latency  *hdrhistogram.Histogram
}

func newFeedLoad(config Feeds, seed uint64) (*feedLoad, error) {
	to, err := netip.ParseAddrPort(config.Address)
	if err != nil {
		return nil, err
	}
	conn, err := pktinfo.Listen()
	if err != nil {
		return nil, err
	}
	random := rand.New(rand.NewPCG(seed, uint64(conn.Port())))
	return &feedLoad{
		config: config, conn: conn, to: to, pool: newPool(config.Targets), rand: random,
		baseID: random.Uint64() &^ (1<<32 - 1),
		start:  time.Now(), byID: map[uint64]*feedState{}, latency: newHistogram(),
		report: FeedReport{Service: config.Service, Wanted: config.Count, BrokenByTarget: map[string]int{}},
	}, nil
}

// run opens the feeds and keeps them open until the context ends.
func (g *feedLoad) run(ctx context.Context) {
	go g.receive(ctx)
	go g.pool.run(ctx)
	tick := time.NewTicker(sendInterval)
	defer tick.Stop()
	last := time.Now()
	out := make([]byte, 0, maxDatagram)
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			_ = g.conn.Close()
			return
		}
		now := time.Now()
		if now.Sub(last) > stallLimit {
			g.resetSilence(now)
		}
		calls := append(g.openDue(now, now.Sub(last)), g.nextCalls(now)...)
		for _, call := range calls {
			_ = g.conn.WriteFrom(call.datagram.Append(out[:0], g.config.DatagramBytes), call.caller, g.to)
		}
		last = now
	}
}

// resetSilence restarts the silence timers after a stall of the load program itself.
func (g *feedLoad) resetSilence(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stalls++
	for _, f := range g.feeds {
		f.lastReceived = now
	}
}

// openDue opens feeds at the opening rate and, once all are open, replaces feeds at the churn rate.
// It returns their first datagrams.
func (g *feedLoad) openDue(now time.Time, elapsed time.Duration) []outgoingCall {
	g.mu.Lock()
	defer g.mu.Unlock()
	var calls []outgoingCall
	for len(g.feeds) < g.config.Count && float64(len(g.feeds)) < now.Sub(g.start).Seconds()*g.config.OpenRate {
		g.feeds = append(g.feeds, g.newFeed(now))
		calls = append(calls, g.nextCall(g.feeds[len(g.feeds)-1], now))
	}
	for n := g.config.ChurnRate * elapsed.Seconds(); n > 0 && len(g.feeds) == g.config.Count; n-- {
		if g.rand.Float64() < n {
			i := g.rand.IntN(len(g.feeds))
			delete(g.byID, g.feeds[i].id)
			g.feeds[i] = g.newFeed(now)
			calls = append(calls, g.nextCall(g.feeds[i], now))
		}
	}
	return calls
}

func (g *feedLoad) newFeed(now time.Time) *feedState {
	g.created++
	var b [4]byte
	binary.BigEndian.PutUint32(b[:], firstCaller+1+uint32(g.created%(callerCount-2)))
	f := &feedState{id: g.baseID + g.created, caller: netip.AddrFrom4(b), lastReceived: now}
	g.byID[f.id] = f
	return f
}

type outgoingCall struct {
	datagram feed.Datagram
	caller   netip.Addr
}

// nextCalls returns the datagrams to send now and checks for silence. It visits only the feeds that
// send.
func (g *feedLoad) nextCalls(now time.Time) []outgoingCall {
	g.mu.Lock()
	defer g.mu.Unlock()
	period := max(1, int64(g.config.Interval/sendInterval))
	tick := int64(now.Sub(g.start) / sendInterval)
	// After a stall of more than one period, each feed sends once.
	g.lastTick = max(g.lastTick, tick-period)
	var calls []outgoingCall
	for g.lastTick < tick {
		g.lastTick++
		for i := g.lastTick % period; i < int64(len(g.feeds)); i += period {
			g.checkSilence(g.feeds[i], now)
			calls = append(calls, g.nextCall(g.feeds[i], now))
		}
	}
	return calls
}

// checkSilence detects a feed that fell silent or was never answered. g.mu must be held.
func (g *feedLoad) checkSilence(f *feedState, now time.Time) {
	if f.target == "" && !f.silent && now.Sub(f.lastReceived) > silenceLimit {
		f.silent = true
		g.report.Unanswered++
		g.recordEvent(f, now, "not answered")
	}
	if f.target != "" && !f.silent && now.Sub(f.lastReceived) > silenceLimit {
		f.silent = true
		g.report.Silent++
		g.recordBroken(f, now, "silent")
	}
}

// nextCall returns the next datagram of a feed. g.mu must be held.
func (g *feedLoad) nextCall(f *feedState, now time.Time) outgoingCall {
	f.calls++
	g.report.Calls++
	return outgoingCall{feed.Datagram{
		Kind: feed.Call, Flow: f.id, Sequence: f.calls, SentNs: now.UnixNano(), Service: g.config.Service,
	}, f.caller}
}

// recordBroken counts a feed as broken, at most once. g.mu must be held.
func (g *feedLoad) recordBroken(f *feedState, now time.Time, cause string) {
	g.recordEvent(f, now, cause)
	if !f.broken {
		f.broken = true
		g.report.Broken++
		g.report.BrokenByTarget[f.target]++
	}
}

// recordEvent adds a description of a fault to the report, up to maxEvents. g.mu must be held.
func (g *feedLoad) recordEvent(f *feedState, now time.Time, cause string) {
	if len(g.report.Events) < maxEvents {
		g.report.Events = append(g.report.Events, fmt.Sprintf("%.3f s: feed %x of %s at %q: %s",
			now.Sub(g.start).Seconds(), f.id, f.caller, f.target, cause))
	}
}

func (g *feedLoad) receive(ctx context.Context) {
	b := make([]byte, maxDatagram)
	for {
		n, _, caller, err := g.conn.Read(b)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			continue
		}
		d, err := feed.Parse(b[:n])
		g.handleDatagram(d, err, caller, time.Now())
	}
}

// handleDatagram checks a datagram from a target and updates the state of its feed. caller is the
// address that received it.
func (g *feedLoad) handleDatagram(d feed.Datagram, err error, caller netip.Addr, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	f := g.byID[d.Flow]
	switch {
	case err != nil:
		g.report.Malformed++
		return
	case d.Service != g.config.Service, f != nil && f.caller != caller, f == nil && d.Flow-g.baseID-1 >= g.created:
		g.report.Misrouted++
		return
	case f == nil:
		g.report.Late++
		return
	}
	f.lastReceived, f.silent = now, false
	switch {
	case f.target == "":
		g.report.Opened++
		g.pool.recordNewFlow(d.Target)
	case f.target != d.Target:
		g.report.Moved++
		g.recordBroken(f, now, "moved to "+d.Target)
		f.lastReading = 0
	}
	f.target = d.Target
	g.countDatagram(f, d, now)
}

func (g *feedLoad) countDatagram(f *feedState, d feed.Datagram, now time.Time) {
	switch d.Kind {
	case feed.Answer:
		g.report.Answers++
		_ = g.latency.RecordValue(max(1, (now.UnixNano()-d.SentNs)/1000))
	case feed.Reading:
		g.report.Readings++
		// A duplicated or reordered reading has a sequence number that is not higher than the last
		// one. A late reading does not reduce the gaps.
		if f.lastReading != 0 && d.Sequence > f.lastReading+1 {
			g.report.Gaps += int(d.Sequence - f.lastReading - 1)
		}
		f.lastReading = max(f.lastReading, d.Sequence)
	}
}

func (g *feedLoad) currentReport() FeedReport {
	g.mu.Lock()
	r := g.report
	r.BrokenByTarget = map[string]int{}
	for target, n := range g.report.BrokenByTarget {
		r.BrokenByTarget[target] = n
	}
	r.Events = append([]string(nil), g.report.Events...)
	for _, f := range g.feeds {
		if f.target != "" {
			r.Open++
		}
	}
	r.Unopened = len(g.feeds) - r.Open
	r.Latency = newLatency(g.latency)
	g.mu.Unlock()
	r.Pool = g.pool.currentReport()
	return r
}
