package packetentry

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-faster/errors"

	"lacewinglever.dev/node/fleet"
	"lacewinglever.dev/node/logging"
	"lacewinglever.dev/node/timing"
	"lacewinglever.dev/platform"
	"lacewinglever.dev/policy/holding"
	"lacewinglever.dev/policy/ident"
	"lacewinglever.dev/policy/roster"
	"lacewinglever.dev/policy/routes"
	"lacewinglever.dev/policy/steering"
)

const (
	// forwardGrace is how long an entry goes on forwarding after it told the fabric that it isn't ready: the fabric asks twice a second and
	// takes an entry out after two misses.
	forwardGrace = 2200 * time.Millisecond
	// stopMargin is kept between the end of the process and the moment at which it would be killed.
	stopMargin = 500 * time.Millisecond
	// turnAtMost bounds how long a stopping entry waits for others. The platform wants it out of rotation within 4 s of the signal, of which
	// the fabric takes up to 1.5 s to notice.
	turnAtMost = 1500 * time.Millisecond
	// turnCheck is the interval in which a stopping entry looks whether it is its turn.
	turnCheck = 50 * time.Millisecond
	// expireEvery is the interval in which idle flows are forgotten.
	expireEvery = time.Second
	// idleSlack is added to the idle timeout of flows, for clocks and packets on the way.
	idleSlack = 5 * time.Second
	// defaultIdle is the idle timeout while no routes are known.
	defaultIdle = 30 * time.Second
)

// Entry passes callers' packets to agents.
type Entry struct {
	settings *Settings
	fleet    *fleet.Fleet
	conn     *net.UDPConn
	port     uint16 // of callers' addresses
	flows    *flowTable
	stopping atomic.Bool
	started  atomic.Bool // was ready once
	logs     fleet.DecisionLogs
	counters counters
	held     *holding.Queue[platform.Packet]

	mu     sync.Mutex    // one packet at a time
	agents []roster.Peer // scratch, see ranked
}

type counters struct {
	fleet.DropCounters
	opened   *metrics.Counter
	carried  *metrics.Counter
	searched *metrics.Counter
	seconds  *metrics.Histogram
}

func newCounters(set *metrics.Set) counters {
	return counters{
		DropCounters: fleet.DropCounters{Set: set},
		opened:       set.NewCounter("lacewing_flows_opened_total"),
		carried:      set.NewCounter("lacewing_packets_carried_total"),
		searched:     set.NewCounter("lacewing_packets_searched_total"),
		seconds:      set.NewHistogram("lacewing_forward_seconds"),
	}
}

// Main runs an entry until the context ends, then lets it leave.
func Main(ctx context.Context, path string, logs io.Writer) error {
	settings, err := LoadSettings(path)
	if err != nil {
		return err
	}
	p := fleet.NewProgram(&settings.Settings, logs)
	e, err := newEntry(settings, p)
	if err != nil {
		return err
	}
	return p.Run(ctx, e.stop,
		e.fleet.Run, e.receive, e.retry, e.expire,
		fleet.Serve(settings.Ready, platform.ReadyHandler(e.ready)),
		fleet.WatchSettings(p, e.fleet, path, settings, LoadSettings, func(s *Settings) *fleet.Settings { return &s.Settings }),
	)
}

func newEntry(s *Settings, p *fleet.Program) (*Entry, error) {
	address, err := netip.ParseAddrPort(s.Callers)
	if err != nil {
		return nil, errors.Wrap(err, "callers")
	}
	e := &Entry{
		settings: s, port: address.Port(), flows: newFlowTable(), counters: newCounters(p.Metrics), held: holding.NewQueue[platform.Packet](),
		logs: p.Decisions(),
	}
	p.Metrics.NewGauge("lacewing_flows", func() float64 { return float64(e.flows.size()) })
	p.Metrics.NewGauge("lacewing_packets_held", func() float64 { return float64(e.held.Len()) })
	if e.conn, err = fleet.ListenUDP(s.Callers); err != nil {
		return nil, err
	}
	e.fleet, err = fleet.New(fleet.Options{Settings: &s.Settings, Entry: true, Handler: e, Logger: p.Logger, Metrics: p.Metrics})
	return e, err
}

// HandlePacket counts a packet that was sent to an entry by mistake.
func (e *Entry) HandlePacket(time.Duration, *fleet.ForwardedPacket) {
	e.counters.CountDrop("relayed to an entry")
}

// RecordOwner remembers which agent's target holds a flow.
func (e *Entry) RecordOwner(flow steering.Flow, owner ident.NodeID) {
	e.flows.put(fleet.Now(), flow, owner)
}

// FillHeartbeat has nothing to add.
func (e *Entry) FillHeartbeat(time.Duration, *roster.Heartbeat) {}

// ready tells whether the fabric may deliver packets here. An entry stays ready until it stops, because what it knows holds on when the store is
// away.
func (e *Entry) ready() bool {
	if e.stopping.Load() {
		return false
	}
	if e.started.Load() {
		return true
	}
	if e.fleet.Routes.Load() == nil {
		return false
	}
	now := fleet.Now()
	for _, p := range e.fleet.Roster.Agents(nil, "") {
		if steering.AcceptsNewFlows(&p, now) {
			e.started.Store(true)
			return true
		}
	}
	return false
}

// turnFor returns how long an entry with this grace may wait for others before it leaves the rotation.
func turnFor(grace time.Duration) time.Duration {
	return min(grace-forwardGrace-stopMargin, turnAtMost)
}

// stop waits for the other entries of the data centre that are being restarted, as long as the grace allows, then goes on forwarding until the
// fabric has taken the entry out.
func (e *Entry) stop(ctx context.Context) {
	turn, cancel := context.WithTimeout(ctx, turnFor(e.settings.StopGrace))
	defer cancel()
	for turn.Err() == nil && e.fleet.Roster.HasLeavingEntry(fleet.Now(), e.fleet.Self.DataCentre) {
		timing.Sleep(turn, turnCheck)
	}
	e.stopping.Store(true)
	e.fleet.Leave()
	timing.Sleep(ctx, forwardGrace)
}

// expire forgets idle flows until the context ends.
func (e *Entry) expire(ctx context.Context) error {
	return timing.Every(ctx, expireEvery, func(time.Time) {
		idle := defaultIdle
		if t := e.fleet.Routes.Load(); t != nil && t.IdleTimeout > 0 {
			idle = t.IdleTimeout
		}
		e.flows.expire(fleet.Now(), idle+idleSlack)
	})
}

// receive passes on callers' packets until the context ends.
func (e *Entry) receive(ctx context.Context) error {
	return fleet.ReadPackets(ctx, e.conn, e.counters.DropCounters, func(now time.Duration, p platform.Packet) {
		if p.Bounced() || p.Accepts() {
			e.counters.CountDrop("malformed")
			return
		}
		e.pass(now, &arrival{Arrived: now, Value: p})
		e.counters.seconds.Update((fleet.Now() - now).Seconds())
	})
}

// retry decides again about packets that were held, until the context ends.
func (e *Entry) retry(ctx context.Context) error {
	return fleet.Retry(ctx, e.held, func(item *arrival) { e.pass(fleet.Now(), item) })
}

// arrival is a packet that arrived, and has perhaps been held.
type arrival = holding.Item[platform.Packet]

// pass passes on a packet.
func (e *Entry) pass(now time.Duration, a *arrival) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if a.Value.Opens() {
		e.open(now, a)
	} else {
		e.carry(now, a)
	}
}

// open chooses the target at which a new flow opens.
func (e *Entry) open(now time.Duration, arrived *arrival) {
	p := arrived.Value
	flow := p.CallerFlow()
	table := e.fleet.Routes.Load()
	if table == nil {
		e.hold(now, arrived, "no routes known yet", 0)
		return
	}
	route, ok := table.Lookup(flow.Service())
	if !ok {
		e.reset(flow, p, "no route", table)
		return
	}
	service := route.PickService(flow.Hash())
	agents := e.ranked(flow, service)
	typical := steering.MeanRequestTime(agents)
	late := steering.MissesObjective(p.Age()+now-arrived.Arrived, route.Objective, typical)
	at, tried := e.choose(now, arrived, late, agents)
	if at < 0 {
		if anyAccepts(now, agents) {
			arrived.MarkNoCapacity(now)
			e.hold(now, arrived, "all targets are full", table.Revision)
			return
		}
		if e.fleet.RosterComplete(now) && allAbsent(agents) {
			e.reset(flow, p, "service without targets", table)
			return
		}
		e.hold(now, arrived, "no target accepts", table.Revision)
		return
	}
	a := &agents[at]
	e.flows.put(now, flow, a.ID)
	e.fleet.Roster.RecordPlacement(now, a.ID)
	e.counters.opened.Inc()
	e.send(a, &fleet.ForwardedPacket{Service: service, Revision: table.Revision, Tried: tried, Packet: p})
	if e.logs.Usual.Allow() {
		e.logs.Usual.Log("flow opens", logging.KeyFlow, flow, "copy", p.CopyIndex(), "route", route.Name, logging.KeyService, service,
			logging.KeyRevision, table.Revision, logging.KeyPeer, a.Name, logging.KeyTarget, a.Target.ID,
			"load", float32(steering.Load(now, a, e.fleet.Self.DataCentre, typical)), "late", late, logging.KeyAge, now-a.LastSeen, "candidates", len(agents))
	}
}

// choose returns the index of the agent for an opening packet, and the agents that are not to be tried again. Copies go where the first went, also
// when one of them was held meanwhile, unless that agent has to be replaced.
func (e *Entry) choose(now time.Duration, arrived *arrival, late bool, agents []roster.Peer) (int, []ident.NodeID) {
	p := arrived.Value
	need := steering.Requirements{
		Origin: e.fleet.Self.DataCentre, CapacityWait: arrived.CapacityWait(now), Late: late,
	}
	if before, ok := e.flows.get(now, p.CallerFlow()); ok {
		for i := range agents {
			if agents[i].ID == before && steering.ReusesAgent(now, &agents[i], int(p.CopyIndex())) {
				return i, nil
			}
		}
		need.Tried = []ident.NodeID{before}
	}
	at := steering.Place(now, need, agents)
	if at < 0 && len(need.Tried) > 0 {
		need.Tried = nil
		at = steering.Place(now, need, agents)
	}
	return at, need.Tried
}

// anyAccepts tells whether a target accepts flows, so that those that find none only lack room.
func anyAccepts(now time.Duration, agents []roster.Peer) bool {
	for i := range agents {
		if steering.AcceptsNewFlows(&agents[i], now) {
			return true
		}
	}
	return false
}

// allAbsent tells whether no target of a service is left.
func allAbsent(agents []roster.Peer) bool {
	for i := range agents {
		if !agents[i].Target.Ended {
			return false
		}
	}
	return true
}

// carry passes on a packet of an open flow.
func (e *Entry) carry(now time.Duration, arrived *arrival) {
	p := arrived.Value
	flow := p.CallerFlow()
	table := e.fleet.Routes.Load()
	revision := uint64(0)
	if table != nil {
		revision = table.Revision
	}
	if owner, ok := e.flows.get(now, flow); ok {
		if a, ok := e.fleet.Roster.Find(owner); ok && a.Health(now) != roster.Gone && !a.Target.Ended {
			e.counters.carried.Inc()
			e.send(&a, &fleet.ForwardedPacket{Service: a.Service, Revision: revision, Packet: p})
			return
		}
	}
	e.search(now, arrived, flow, table)
}

// search passes a packet of a flow without a known target to the first agent that may hold it.
func (e *Entry) search(now time.Duration, arrived *arrival, flow steering.Flow, table *routes.Table) {
	p := arrived.Value
	service, revision := "", uint64(0)
	if table != nil {
		route, ok := table.Lookup(flow.Service())
		if !ok {
			e.reset(flow, p, "route removed", table)
			return
		}
		service, revision = route.PickService(flow.Hash()), table.Revision
	}
	agents := e.ranked(flow, service)
	at, verdict := steering.NextCandidate(now, agents, nil, table != nil && e.fleet.RosterComplete(now))
	switch verdict {
	case steering.Continue:
		e.counters.searched.Inc()
		e.send(&agents[at], &fleet.ForwardedPacket{Service: service, Revision: revision, WantsOwner: true, Packet: p})
		if e.logs.Unusual.Allow() {
			e.logs.Unusual.Log("flow searched", logging.KeyFlow, flow, "sequence", p.Sequence(), logging.KeyService, service,
				logging.KeyRevision, revision, logging.KeyPeer, agents[at].Name, "candidates", len(agents))
		}
	case steering.NotFound:
		e.reset(flow, p, "no target holds the flow", table)
	case steering.Unknown:
		e.hold(now, arrived, "agents unknown", revision)
	}
}

// ranked returns the agents of a service in the order for a flow. The result is valid until the next call.
func (e *Entry) ranked(flow steering.Flow, service string) []roster.Peer {
	e.agents = e.fleet.Roster.Agents(e.agents[:0], service)
	steering.Rank(flow.Hash(), e.fleet.Self.DataCentre, e.agents)
	return e.agents
}

func (e *Entry) send(a *roster.Peer, r *fleet.ForwardedPacket) {
	r.Entry, r.Origin = e.fleet.Self.Address, e.fleet.Self.DataCentre
	e.fleet.Send(a.Address, r)
}

// reset ends a flow that no target holds.
func (e *Entry) reset(flow steering.Flow, p platform.Packet, reason string, table *routes.Table) {
	if p.Resets() {
		return
	}
	e.counters.CountReset(reason)
	to := netip.AddrPortFrom(flow.Caller().Addr(), e.port)
	if _, err := e.conn.WriteToUDPAddrPort(platform.NewReset(p), to); err != nil {
		e.counters.CountDrop("send failed")
	}
	if e.logs.Unusual.Allow() {
		e.logs.Unusual.Log("flow reset", logging.KeyFlow, flow, "sequence", p.Sequence(), "opening", p.Opens(), logging.KeyReason, reason,
			logging.KeyRevision, table.Revision)
	}
}

// hold keeps a packet until a decision is possible. A packet that can't be kept is left to be sent again by its caller.
func (e *Entry) hold(now time.Duration, arrived *arrival, reason string, revision uint64) {
	item, p := *arrived, arrived.Value
	item.Flow = p.CallerFlow()
	first := item.Arrived == now
	if p.Opens() {
		item.HoldTime = p.ValidFor()
	}
	if first {
		item.Value = platform.Packet(bytes.Clone(p)) // the buffer is used for the next packet
	}
	kept := e.held.Put(now, item)
	if !kept {
		e.counters.CountDrop(reason)
	}
	if (!kept || first) && e.logs.Unusual.Allow() {
		e.logs.Unusual.Log("packet held", logging.KeyFlow, item.Flow, "sequence", p.Sequence(), "opening", p.Opens(), logging.KeyReason, reason,
			"kept", kept, logging.KeyAge, now-item.Arrived, logging.KeyRevision, revision)
	}
}
