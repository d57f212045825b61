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
	// silence is how long nothing may arrive for a feed that keeps sending.
	silence = 2 * time.Second
	// stall is how long the sender may stand still before silence can't be judged.
	stall    = 500 * time.Millisecond
	sendTick = time.Millisecond
	// firstCaller and callerCount are the callers' addresses: 127.192.0.0/11.
	firstCaller = 127<<24 | 192<<16
	callerCount = 1 << 21
	maxDatagram = 65_535
)

// open is one feed.
type open struct {
	id        uint64
	from      netip.Addr
	calls     uint64
	target    string // that served it last; empty until the first answer
	lastHeard time.Time
	silent    bool
	broken    bool
	reading   uint64 // highest number
}

// feeds holds the feeds of one service.
type feeds struct {
	config Feeds
	conn   *pktinfo.Conn
	to     netip.AddrPort
	pool   *pool
	rand   *rand.Rand
	base   uint64 // ids of feeds are base+1, base+2 and so on
	start  time.Time

	mu      sync.Mutex
	order   []*open // in order of opening, replaced by churn in place; feed i sends at each tick that is i modulo period
	tick    int64   // last one whose feeds have sent
	byID    map[uint64]*open
	created uint64
	stalls  int
	report  FeedReport
	latency *hdrhistogram.Histogram
}

func newFeeds(config Feeds, seed uint64) (*feeds, error) {
	to, err := netip.ParseAddrPort(config.Address)
	if err != nil {
		return nil, err
	}
	conn, err := pktinfo.Listen()
	if err != nil {
		return nil, err
	}
	random := rand.New(rand.NewPCG(seed, uint64(conn.Port())))
	return &feeds{
		config: config, conn: conn, to: to, pool: newPool(config.Targets), rand: random, base: random.Uint64() &^ (1<<32 - 1),
		start: time.Now(), byID: map[uint64]*open{}, latency: newHistogram(),
		report: FeedReport{Service: config.Service, Wanted: config.Count, BrokenByTarget: map[string]int{}},
	}, nil
}

// run opens and holds the feeds until the context ends.
func (g *feeds) run(ctx context.Context) {
	go g.receive(ctx)
	go g.pool.run(ctx)
	tick := time.NewTicker(sendTick)
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
		if now.Sub(last) > stall {
			g.forgive(now)
		}
		calls := append(g.create(now, now.Sub(last)), g.due(now)...)
		for _, call := range calls {
			_ = g.conn.WriteFrom(call.datagram.Append(out[:0], g.config.Size), call.from, g.to)
		}
		last = now
	}
}

// forgive restarts the judgement of silence, because the load program itself stood still.
func (g *feeds) forgive(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stalls++
	for _, f := range g.order {
		f.lastHeard = now
	}
}

// create opens the feeds that are due by the opening rate, then replaces feeds by the churn rate. It returns their first
// datagrams.
func (g *feeds) create(now time.Time, elapsed time.Duration) []call {
	g.mu.Lock()
	defer g.mu.Unlock()
	var calls []call
	for len(g.order) < g.config.Count && float64(len(g.order)) < now.Sub(g.start).Seconds()*g.config.OpenRate {
		g.order = append(g.order, g.fresh(now))
		calls = append(calls, g.call(g.order[len(g.order)-1], now))
	}
	for n := g.config.Churn * elapsed.Seconds(); n > 0 && len(g.order) == g.config.Count; n-- {
		if g.rand.Float64() < n {
			i := g.rand.IntN(len(g.order))
			delete(g.byID, g.order[i].id)
			g.order[i] = g.fresh(now)
			calls = append(calls, g.call(g.order[i], now))
		}
	}
	return calls
}

func (g *feeds) fresh(now time.Time) *open {
	g.created++
	var b [4]byte
	binary.BigEndian.PutUint32(b[:], firstCaller+1+uint32(g.created%(callerCount-2)))
	f := &open{id: g.base + g.created, from: netip.AddrFrom4(b), lastHeard: now}
	g.byID[f.id] = f
	return f
}

type call struct {
	datagram feed.Datagram
	from     netip.Addr
}

// due returns the datagrams to send now and looks for feeds that fell silent. It touches only the feeds that send.
func (g *feeds) due(now time.Time) []call {
	g.mu.Lock()
	defer g.mu.Unlock()
	period := max(1, int64(g.config.Interval/sendTick))
	tick := int64(now.Sub(g.start) / sendTick)
	// After a stall of more than a period each feed sends once.
	g.tick = max(g.tick, tick-period)
	var calls []call
	for g.tick < tick {
		g.tick++
		for i := g.tick % period; i < int64(len(g.order)); i += period {
			g.judge(g.order[i], now)
			calls = append(calls, g.call(g.order[i], now))
		}
	}
	return calls
}

// judge looks whether a feed fell silent or was never answered. The lock is held.
func (g *feeds) judge(f *open, now time.Time) {
	if f.target == "" && !f.silent && now.Sub(f.lastHeard) > silence {
		f.silent = true
		g.report.Unanswered++
		g.event(f, now, "not answered")
	}
	if f.target != "" && !f.silent && now.Sub(f.lastHeard) > silence {
		f.silent = true
		g.report.Silent++
		g.breaks(f, now, "silent")
	}
}

// call returns the next datagram of a feed. The lock is held.
func (g *feeds) call(f *open, now time.Time) call {
	f.calls++
	g.report.Calls++
	return call{feed.Datagram{
		Kind: feed.Call, Flow: f.id, Sequence: f.calls, SentNs: now.UnixNano(), Service: g.config.Service,
	}, f.from}
}

// breaks counts a broken feed once. The lock is held.
func (g *feeds) breaks(f *open, now time.Time, why string) {
	g.event(f, now, why)
	if !f.broken {
		f.broken = true
		g.report.Broken++
		g.report.BrokenByTarget[f.target]++
	}
}

// event describes a fault. The lock is held.
func (g *feeds) event(f *open, now time.Time, why string) {
	if len(g.report.Events) < maxEvents {
		g.report.Events = append(g.report.Events, fmt.Sprintf("%.3f s: feed %x of %s at %q: %s",
			now.Sub(g.start).Seconds(), f.id, f.from, f.target, why))
	}
}

func (g *feeds) receive(ctx context.Context) {
	b := make([]byte, maxDatagram)
	for {
		n, _, at, err := g.conn.Read(b)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			continue
		}
		d, err := feed.Parse(b[:n])
		g.heard(d, err, at, time.Now())
	}
}

// heard judges a datagram from a target.
func (g *feeds) heard(d feed.Datagram, err error, at netip.Addr, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	f := g.byID[d.Flow]
	switch {
	case err != nil:
		g.report.Malformed++
		return
	case d.Service != g.config.Service, f != nil && f.from != at, f == nil && d.Flow-g.base-1 >= g.created:
		g.report.Misrouted++
		return
	case f == nil:
		g.report.Late++
		return
	}
	f.lastHeard, f.silent = now, false
	switch {
	case f.target == "":
		g.report.Opened++
		g.pool.opened(d.Target)
	case f.target != d.Target:
		g.report.Moved++
		g.breaks(f, now, "moved to "+d.Target)
		f.reading = 0
	}
	f.target = d.Target
	g.count(f, d, now)
}

func (g *feeds) count(f *open, d feed.Datagram, now time.Time) {
	switch d.Kind {
	case feed.Answer:
		g.report.Answers++
		_ = g.latency.RecordValue(max(1, (now.UnixNano()-d.SentNs)/1000))
	case feed.Reading:
		g.report.Readings++
		// A doubled or overtaken reading has a number that is not higher; a later one fills no gap.
		if f.reading != 0 && d.Sequence > f.reading+1 {
			g.report.Gaps += int(d.Sequence - f.reading - 1)
		}
		f.reading = max(f.reading, d.Sequence)
	}
}

func (g *feeds) result() FeedReport {
	g.mu.Lock()
	r := g.report
	r.BrokenByTarget = map[string]int{}
	for target, n := range g.report.BrokenByTarget {
		r.BrokenByTarget[target] = n
	}
	r.Events = append([]string(nil), g.report.Events...)
	for _, f := range g.order {
		if f.target != "" {
			r.Open++
		}
	}
	r.Unopened = len(g.order) - r.Open
	r.Latency = latencyOf(g.latency)
	g.mu.Unlock()
	r.Pool = g.pool.result()
	return r
}
